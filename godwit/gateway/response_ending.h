#pragma once

// How an answer was framed, where and how it ended, and what that says of whether it is whole.
//
// Pure. Example:
//   ResponseEnding ending;
//   ending.framing = ResponseFraming::Connection;
//   ending.connection = ConnectionEnd::InOrder;
//   ending.position = StreamPosition::InsideEvent;
//   completenessOf(ending) == ResponseCompleteness::BrokenOff;

#include "godwit/base/stream_position.h"

#include <optional>
#include <string_view>
#include <tuple>

namespace Godwit
{

// What says where an answer's body ends (RFC 9112, section 6.3).
enum class ResponseFraming {
    Length, // The length in its head, or a status that allows no body.
    Chunked, // Its last chunk.
    Connection, // Nothing but the end of its connection.
};

std::string_view responseFramingName(ResponseFraming framing);

// What had become of an answer's connection when the answer ended.
enum class ConnectionEnd {
    Open,
    Closed, // The sender closed it.
    Broken, // A reset, or another error.
};

std::string_view connectionEndName(ConnectionEnd end);

struct ResponseEnding
{
    ResponseFraming framing = ResponseFraming::Length;
    ConnectionEnd connection = ConnectionEnd::Open;
    std::optional<StreamPosition> position; // Unset for an answer that is no stream.

    bool operator<(const ResponseEnding &other) const
    {
        return std::tie(framing, connection, position) < std::tie(other.framing, other.connection, other.position);
    }
};

// "none" for an answer that is no stream.
std::string_view positionName(const ResponseEnding &ending);

// How much of an answer came, by what its sender said of its end.
enum class ResponseCompleteness {
    Declared, // All of it: the sender said so.
    Inferred, // All of it or a part: its connection ended in order where the answer may end.
    Truncated, // A part.
};

std::string_view responseCompletenessName(ResponseCompleteness completeness);

// A stream that ends inside an event has been broken off, whatever its framing says, and so has one that ends with its
// connection before its first event.
ResponseCompleteness completenessOf(const ResponseEnding &ending);

// How to frame an answer that is passed on, when one of the endpoint's is framed by `received`: an end that the
// endpoint does not declare can't be declared for it. `otherwise` is the framing for answers whose end is declared.
ResponseFraming framingToForward(ResponseFraming received, ResponseFraming declaredFraming);

// Whether an answer that is passed on in this framing may end as a whole one.
bool mayEndAsComplete(ResponseFraming forwarded, ResponseCompleteness completeness);

} // namespace Godwit
