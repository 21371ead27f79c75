#pragma once

// Splits a stream of server-sent events into whole events and finds the end of a chat answer.
//
// Example:
//   EventSplitter splitter;
//   appendBytes(splitter, bytes);
//   while (auto event = takeEvent(splitter)) {
//       relay(*event);
//   }

#include "godwit/base/ids.h"
#include "godwit/base/stream_position.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

struct EventSplitter
{
    std::string buffer;
    std::size_t begin = 0;
    std::size_t searched = 0; // No event ends before this offset, counted from `begin`.
    bool tookEvent = false;
};

void appendBytes(EventSplitter &splitter, std::string_view bytes);

// Returns the next whole event with its closing blank line, as it came.
std::optional<std::string> takeEvent(EventSplitter &splitter);

// Bytes after the last event that was taken.
std::size_t pendingBytes(const EventSplitter &splitter);
std::string takePending(EventSplitter &splitter);

// Where the bytes so far stop. Blank lines between events are no part of one.
StreamPosition positionIn(const EventSplitter &splitter);

// True for "data: [DONE]".
bool isDoneEvent(std::string_view event);

// The tokens that a final chunk's usage states, if the event carries one.
struct Usage
{
    Tokens prompt = 0;
    Tokens completion = 0;
};
std::optional<Usage> usageOfEvent(std::string_view event);

// The same for the body of an answer that was not streamed.
std::optional<Usage> usageOfBody(std::string_view json);

} // namespace Godwit
