#pragma once

// What is written of a send to an endpoint, so that lines and counters show which of the fleet's bounds on repeats it
// touches: how old its draw from the allowance is, how many endpoints have run the request, how many have died under
// it, and how old the time left is that it carries.
//
// Example:
//   recordSend(relay, facts);

#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Godwit
{

class Relay;

// As the first byte goes out.
struct SendRecord
{
    std::string attempt;
    std::string service;
    std::string endpoint;
    int sends = 1; // Of this request, this one included.
    int possibleExecutions = 0; // Endpoints on which it may have run before.
    int maxEndpoints = 1; // That may run it.
    std::optional<Duration> sinceRetryGranted; // Since it was granted; unset for a first send.
    Duration timeLeft{}; // That the endpoint is handed.
    Duration timeLeftAge{}; // Since that was reckoned.
    Duration sinceArrival{}; // Of the request.
    std::uint64_t fingerprint = 0; // 0: no endpoint is known to have died under it.
    std::size_t deaths = 0; // Endpoints that are known to have died under it.
    bool trial = false;
};

struct SendCounters
{
    std::uint64_t lateRetries = 0; // Repeats that went out later after their draw than the shares allow for.
    std::uint64_t staleTimeLeft = 0; // Sends whose time left was reckoned over StaleTimeLeft before.
    std::uint64_t beyondMaxEndpoints = 0; // Sends of requests that their most endpoints may have run already.
    std::uint64_t ofSuspects = 0; // Sends of requests that endpoints are known to have died under.
};

// Endpoints may be handed this much more time than is left.
constexpr Duration MaxTimeLeftAge = std::chrono::milliseconds(500);

// Writes a line for all but first sends of requests that are under no suspicion.
void recordSend(Relay &relay, const SendRecord &send);

} // namespace Godwit
