#pragma once

// Whether an answer is whole and its caller's own, from the stand-ins' answers that are told by the request id.
//
// Example:
//   ChatAnswer answer;
//   feedStream(answer, bytes);
//   if (judgeChat(answer, id) == AnswerVerdict::Whole) { ... }

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit::Standins
{

enum class AnswerVerdict {
    Whole,
    Incomplete, // Cut, or its parts don't add up.
    Foreign, // Another request's.
};

struct ChatAnswer
{
    std::string pending; // Bytes of an event that has not ended yet.
    std::string text;
    std::int64_t pieces = 0; // Events with text.
    std::optional<std::int64_t> promptTokens;
    std::optional<std::int64_t> completionTokens;
    bool done = false; // The closing event, or the whole body of a plain answer, was read.
    std::string errorBody; // The JSON text of an error inside the stream.
};

// Takes bytes of a streamed answer. Returns how many new pieces of text they held.
std::int64_t feedStream(ChatAnswer &answer, std::string_view bytes);

// Takes the whole body of a plain answer.
void readPlain(ChatAnswer &answer, std::string_view body);

// A chat answer is whole when it has ended, holds the tokens 0, 1, 2, ... of `id` and as many as its usage says.
AnswerVerdict judgeChat(const ChatAnswer &answer, std::string_view id);

// A booking's answer names its request.
AnswerVerdict judgeBooking(std::string_view body, std::string_view id);

// A refusal as the routers write it.
struct Refusal
{
    std::string type;
    std::string message;
    bool notRun = false;
    std::optional<std::int64_t> retryAfterMs;
};

std::optional<Refusal> readRefusal(std::string_view body);

} // namespace Godwit::Standins
