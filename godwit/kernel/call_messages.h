#pragma once

// Messages between the traffic threads, which own connections, and the control thread, which decides.
//
// A traffic thread reports what a caller or an endpoint did as a CallEvent; the control thread answers with
// CallCommand values for that call. Exactly one of RefuseCall, ReleaseCall, AbortCall, ReplayCall, ForwardCall
// or AnswerCall ends a call, unless the caller leaves first.
//
// Example:
//   CallArrived arrived;
//   arrived.call = CallId{7};
//   arrived.routeName = "matching";
//   step(kernel, arrived, now, actions);

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Godwit
{

enum class CallKind {
    Chat, // Names its route by the model in its body.
    Service, // Names its route in its path.
};

// A whole request has been read from a caller. The answer is one of the commands below.
struct CallArrived
{
    CallId call;
    CallKind kind = CallKind::Chat;
    // SHA-256 of the caller's API key, lower-case hexadecimal. The key itself stays on the traffic thread.
    std::string keyDigest;
    std::string routeName;
    std::string idempotencyKey;
    bool idGenerated = false; // The caller sent no key; this router made one.
    std::optional<bool> repeatable; // What the caller says; the route's own rule when absent.
    bool firstSend = false; // The caller vouches that it never sent this id before.
    std::optional<WallTime> createdAt;
    int priority = 0; // Higher goes first.
    std::optional<Duration> deadline;
    // An upper bound of the prompt's tokens: no tokenizer makes more tokens than bytes.
    Tokens promptBound = 0;
    std::optional<Tokens> maxOutput;
    std::uint64_t bodyDigest = 0;
    std::vector<std::uint64_t> prefixHashes;
    bool forwarded = false; // Another router sent it here; it is not forwarded again.
};

// How one attempt at an endpoint ended, as the traffic thread saw it.
enum class AttemptResult {
    Completed, // The whole answer was read.
    ConnectFailed, // No byte reached the endpoint.
    RejectedNotRun, // The endpoint said that it did not run the request.
    ConnectionBroken, // The connection broke after bytes were sent.
    TimedOut,
    ServerError, // The endpoint answered that it failed; its connection is sound.
};

struct AttemptEnded
{
    CallId call;
    int attempt = 0;
    AttemptResult result = AttemptResult::Completed;
    // For Completed: prompt and output tokens as the endpoint counted them.
    Tokens used = 0;
    // Part of the answer went to the caller already: another attempt can't continue it.
    bool answerBegun = false;
    // The answer of a not-repeatable call, kept so that a second caller with its id can be given it.
    std::string answer;
};

struct FirstToken
{
    CallId call;
};

// A relay to another router ended. `delivered` is false when no byte reached that router.
struct ForwardEnded
{
    CallId call;
    bool delivered = true;
};

// A caller asked which addresses to use.
struct AddressesAsked
{
    CallId call;
    std::string keyDigest;
};

// The caller's connection closed before its answer ended.
struct CallerGone
{
    CallId call;
};

using CallEvent = std::variant<CallArrived, AttemptEnded, FirstToken, CallerGone, ForwardEnded, AddressesAsked>;

struct DispatchCall
{
    CallId call;
    int attempt = 0;
    EndpointId endpoint;
    std::string address;
    bool repeatable = true;
    Tokens maxOutput = 0;
    int priority = 0;
    std::string requestId;
    Duration timeLimit{};
};

struct RefuseCall
{
    CallId call;
    Error error;
};

// The bill stands: the rest of the answer may go to the caller.
struct ReleaseCall
{
    CallId call;
    Tokens billed = 0;
};

// The answer has begun and can't be finished.
struct AbortCall
{
    CallId call;
    Error error;
};

// A request with this id ran before; this is its answer.
struct ReplayCall
{
    CallId call;
    std::string answer;
};

// Another router holds enough of the budget: relay the call there.
struct ForwardCall
{
    CallId call;
    std::string address;
};

// The whole answer, made by the router itself.
struct AnswerCall
{
    CallId call;
    std::string json;
};

using CallCommand = std::variant<DispatchCall, RefuseCall, ReleaseCall, AbortCall, ReplayCall, ForwardCall, AnswerCall>;

// The call that a command is for.
inline CallId callOf(const CallCommand &command)
{
    return std::visit(
        [](const auto &c) {
            return c.call;
        },
        command);
}

} // namespace Godwit
