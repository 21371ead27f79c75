#pragma once

// Log lines and counters for requests sent to endpoints. They show how close each send comes to the fleet-wide bounds
// on retries: time since the retry was granted, number of endpoints that may have run the request, number of endpoints
// that crashed while running it, and age of the remaining time that it carries.
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

// State of a request when its first byte is sent.
struct SendRecord
{
    std::string attempt;
    std::string service;
    std::string endpoint;
    int sends = 1; // Number of sends of this request, including this one.
    int possibleExecutions = 0; // Endpoints that may have run the request before.
    int maxEndpoints = 1; // Endpoints that may run the request at most.
    std::optional<Duration> sinceRetryGranted; // Unset for a first send.
    Duration timeLeft{}; // Remaining time that the endpoint is given.
    Duration timeLeftAge{}; // Time since timeLeft was computed.
    Duration sinceArrival{}; // Time since the request arrived.
    std::uint64_t fingerprint = 0; // 0: no endpoint is known to have crashed while running it.
    std::size_t deaths = 0; // Endpoints known to have crashed while running it.
    bool trial = false;
};

struct SendCounters
{
    std::uint64_t lateRetries = 0; // Retries sent later after being granted than limit shares allow for.
    std::uint64_t staleTimeLeft = 0; // Sends whose remaining time was older than MaxTimeLeftAge.
    std::uint64_t beyondMaxEndpoints =
        0; // Sends of requests that the maximum number of endpoints may already have run.
    std::uint64_t ofSuspects = 0; // Sends of requests during which endpoints are known to have crashed.
};

// By this much the remaining time given to an endpoint may exceed the actual one.
constexpr Duration MaxTimeLeftAge = std::chrono::milliseconds(500);

// Updates the counters, and logs every send except first sends of requests that are not suspect.
void recordSend(Relay &relay, const SendRecord &send);

} // namespace Godwit
