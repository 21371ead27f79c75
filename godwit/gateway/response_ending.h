#pragma once

// How a response was framed and how it ended, and whether it is therefore complete.
//
// Pure functions. Example:
//   ResponseEnding ending;
//   ending.framing = ResponseFraming::Connection;
//   ending.connection = ConnectionEnd::Closed;
//   ending.position = StreamPosition::InsideEvent;
//   completenessOf(ending) == ResponseCompleteness::Truncated;

#include "godwit/base/stream_position.h"

#include <optional>
#include <string_view>
#include <tuple>

namespace Godwit
{

// How the end of a response body is determined (RFC 9112, section 6.3).
enum class ResponseFraming {
    Length, // By Content-Length, or by a status that allows no body.
    Chunked, // By the last chunk.
    Connection, // Only by the close of the connection.
};

std::string_view responseFramingName(ResponseFraming framing);

// State of the connection when the response ended.
enum class ConnectionEnd {
    Open,
    Closed, // Closed by the sender (EOF).
    Broken, // Reset, or failed with another error.
};

std::string_view connectionEndName(ConnectionEnd end);

struct ResponseEnding
{
    ResponseFraming framing = ResponseFraming::Length;
    ConnectionEnd connection = ConnectionEnd::Open;
    std::optional<StreamPosition> position; // Unset if the response is not an event stream.

    bool operator<(const ResponseEnding &other) const
    {
        return std::tie(framing, connection, position) < std::tie(other.framing, other.connection, other.position);
    }
};

// Returns "none" if the response is not an event stream.
std::string_view positionName(const ResponseEnding &ending);

// How much of a response was received, judged by how its sender ended it.
enum class ResponseCompleteness {
    Declared, // Complete: the framing marks the end.
    Inferred, // Complete or truncated: the connection was closed cleanly where the response may end.
    Truncated, // Incomplete.
};

std::string_view responseCompletenessName(ResponseCompleteness completeness);

// A stream that ends inside an event is truncated regardless of its framing. So is one that is delimited by the close
// of its connection and ends before its first event.
ResponseCompleteness completenessOf(const ResponseEnding &ending);

// Returns the framing with which to forward a response that the endpoint framed by `received`. If the endpoint does not
// declare the end, the router must not declare it either. `declaredFraming` is used for responses with a declared end.
ResponseFraming framingToForward(ResponseFraming received, ResponseFraming declaredFraming);

// Whether a response that is forwarded with this framing may be terminated as a complete one.
bool mayEndAsComplete(ResponseFraming forwarded, ResponseCompleteness completeness);

} // namespace Godwit
