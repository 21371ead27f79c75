#pragma once

// A caller's HTTP request as a call, or the typed error that says what is wrong with it.
//
// Reads an OpenAI-compatible chat completion or a call of a plain service. The body that goes to the endpoint
// carries the output limit that the budget reserves, so that an endpoint can't generate beyond it.
//
// Example:
//   LastReason reason;
//   const auto parsed = parseCall(request, reason);
//   if (!parsed) { answer(*reason); }

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/kernel/call_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

// The parts of an HTTP request that decide its meaning. Texts are views into the request.
struct CallHttpRequest
{
    std::string_view method;
    std::string_view target;
    std::string_view authorization;
    std::string_view idempotencyKey;
    std::string_view priority;
    std::string_view deadlineMs;
    std::string_view repeatable;
    std::string_view createdAt; // Milliseconds since the Unix epoch.
    std::string_view firstSend;
    std::string_view forwarded;
    std::string_view contentType;
    std::string_view body;
};

enum class CallPath {
    ChatCompletions,
    Service,
    Addresses,
    Health,
    Unknown,
};

struct ParsedCall
{
    CallArrived arrived; // Without its CallId.
    // What goes to the endpoint. For a chat call `outputLimit` is still to be written into it.
    std::string target;
    std::string body;
    bool streamed = false;
};

CallPath callPathOf(std::string_view target);

// Reads a chat or service call. Any failure was not run.
std::optional<ParsedCall> parseCall(const CallHttpRequest &request, LastReason &reason);

// Returns the chat body with its output limit set to `limit` and, when streamed, with usage asked for.
// Precondition: `body` is a JSON object; parseCall has seen to that.
std::string withOutputLimit(const std::string &body, Tokens limit, bool streamed);

// A random id for a call whose caller sent none.
std::string makeRequestId();

} // namespace Godwit
