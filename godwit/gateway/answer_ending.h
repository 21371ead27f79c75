#pragma once

// How an answer was framed, where and how it ended, and what that says of whether it is whole.
//
// Pure. Example:
//   AnswerEnding ending;
//   ending.framing = AnswerFraming::Connection;
//   ending.connection = ConnectionEnd::InOrder;
//   ending.position = StreamPosition::InsideEvent;
//   extentOf(ending) == AnswerExtent::BrokenOff;

#include "godwit/base/stream_position.h"

#include <optional>
#include <string_view>
#include <tuple>

namespace Godwit
{

// What says where an answer's body ends (RFC 9112, section 6.3).
enum class AnswerFraming {
    Length, // The length in its head, or a status that allows no body.
    Chunked, // Its last chunk.
    Connection, // Nothing but the end of its connection.
};

std::string_view answerFramingName(AnswerFraming framing);

// What had become of an answer's connection when the answer ended.
enum class ConnectionEnd {
    Open,
    InOrder, // The sender closed it.
    Broken, // A reset, or another error.
};

std::string_view connectionEndName(ConnectionEnd end);

struct AnswerEnding
{
    AnswerFraming framing = AnswerFraming::Length;
    ConnectionEnd connection = ConnectionEnd::Open;
    std::optional<StreamPosition> position; // Unset for an answer that is no stream.

    bool operator<(const AnswerEnding &other) const
    {
        return std::tie(framing, connection, position) < std::tie(other.framing, other.connection, other.position);
    }
};

// "none" for an answer that is no stream.
std::string_view positionName(const AnswerEnding &ending);

// How much of an answer came, by what its sender said of its end.
enum class AnswerExtent {
    Declared, // All of it: the sender said so.
    Inferred, // All of it or a part: its connection ended in order where the answer may end.
    BrokenOff, // A part.
};

std::string_view answerExtentName(AnswerExtent extent);

// A stream that ends inside an event has been broken off, whatever its framing says, and so has one that ends with its
// connection before its first event.
AnswerExtent extentOf(const AnswerEnding &ending);

// How to frame an answer that is passed on, when one of the endpoint's is framed by `received`: an end that the
// endpoint does not declare can't be declared for it. `otherwise` is the framing for answers whose end is declared.
AnswerFraming framingToPass(AnswerFraming received, AnswerFraming otherwise);

// Whether an answer that is passed on in this framing may end as a whole one.
bool mayEndWhole(AnswerFraming passed, AnswerExtent extent);

} // namespace Godwit
