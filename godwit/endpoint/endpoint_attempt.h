#pragma once

// One attempt to run a call at an endpoint: send it, relay its streamed events, and say truthfully how it ended.
//
// Example, on a traffic thread's coroutine:
//   EndpointAttempt attempt(io, pool);
//   const AttemptOutcome outcome = attempt.run(request, [&](std::string_view event) { return relay(event); }, yield);

#include "godwit/base/time.h"
#include "godwit/endpoint/endpoint_pool.h"
#include "godwit/http/event_stream.h"
#include "godwit/kernel/call_messages.h"

#include <boost/asio/spawn.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

struct RequestHeader
{
    std::string name;
    std::string value;
};

struct EndpointRequest
{
    std::string address; // "ip:port"
    std::string target;
    std::string body;
    std::string contentType = "application/json";
    std::string requestId;
    std::vector<RequestHeader> passedOn; // For another router, which reads the caller's own headers again.
    int priority = 0;
    bool repeatable = true;
    bool forwarded = false; // To another router, which holds its answer's end back itself.
    bool chat = true;
    bool resumable = false; // A broken stream may be continued at the same endpoint.
    Duration connectTimeout = std::chrono::milliseconds(300);
    Duration timeLimit = std::chrono::minutes(5); // For the whole attempt.
    std::size_t maxAnswerBytes = 8UL * 1024 * 1024;
};

struct AttemptOutcome
{
    AttemptResult result = AttemptResult::ConnectFailed;
    unsigned status = 0;
    std::string contentType;
    std::string body; // The answer when it was not streamed.
    std::string tail; // The last events of a streamed answer, held back until the bill stands.
    std::optional<Usage> usage;
    std::optional<Duration> retryAfter;
    std::uint64_t tokens = 0; // Streamed events with text that were relayed.
    bool streamed = false;
    bool callerGone = false; // The relay function said so.
    bool cancelled = false;
};

class EndpointAttempt
{
public:
    // Takes one streamed event; returns false when the caller is gone.
    using Relay = std::function<bool(std::string_view event)>;

    // `io` and `pool` belong to the calling traffic thread and outlive this object.
    EndpointAttempt(boost::asio::io_context &io, EndpointPool &pool);
    ~EndpointAttempt();

    AttemptOutcome run(const EndpointRequest &request, const Relay &relay, const boost::asio::yield_context &yield);

    // Breaks the running attempt off. Its connection is closed, so that the endpoint stops working on it.
    void cancel();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Godwit
