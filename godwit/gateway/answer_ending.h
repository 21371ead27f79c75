#pragma once

// How an answer was framed, and where and how it ended.
//
// Pure. Example:
//   AnswerEnding ending;
//   ending.framing = AnswerFraming::Connection;
//   ending.connection = ConnectionEnd::InOrder;
//   ending.position = StreamPosition::AtEdge;

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

} // namespace Godwit
