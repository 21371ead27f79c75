#pragma once

// Decides when an overloaded host briefly stops accepting connections.
//
// Some callers stay with one host even though others are advertised. Their requests saturate its link even if each one
// is refused, and a queue of several seconds builds up in front of the host. Messages between routers wait in the same
// queue, and the host serves nothing in time. A refused connection costs the link only two small packets, so the queue
// drains, and callers learn immediately that they have to use another host.
//
// Pure functions: time is passed in. Example:
//   recordRequestCount(pauses, counters.requests, now);
//   recordMessageLag(pauses, lag, now);
//   if (const auto pause = computePause(pauses, isStale, options, now)) { listener.pause(*pause); }

#include "godwit/base/time.h"

#include <cstdint>
#include <optional>

namespace Godwit
{

struct ConnectionPauseOptions
{
    double capacity = 0; // Requests per second that the host can serve.
    // Fraction of the capacity from which a host counts as overloaded. Hosts are planned to be loaded up to it; below
    // it lag has another cause, such as a suspended process, and refusing callers would not help.
    double overloadUtilization = 0.5;
    // Messages from other routers with this much lag indicate a queue in front of this host.
    Duration lagThreshold = std::chrono::milliseconds(150);
    // The same while the host defers requests that can wait (caller_admission.h). Deferring starts at a lower lag and
    // gets this far before all callers are refused.
    Duration deferringLagThreshold = std::chrono::milliseconds(300);
    bool defersRequests = false;
    // From this lag on, connections are closed after each response, so that a pause also affects their callers.
    Duration closeConnectionsLag = std::chrono::milliseconds(60);
    // Ratio of pause to lag; more than 1 because requests sent meanwhile are still in the queue.
    double drainFactor = 1.5;
    // Pause of a host that refuses all requests because its copies are stale.
    Duration stalePause = std::chrono::seconds(1);
    // A host that reports itself ready has to accept connections every few seconds.
    Duration maxPause = std::chrono::milliseconds(1500);
    // Shortest time between two pauses.
    Duration minInterval = std::chrono::milliseconds(100);
};

struct ConnectionPauseState
{
    Duration lag{}; // Latest measurement, taken at `lagMeasuredAt`.
    TimePoint lagMeasuredAt;
    TimePoint pausedUntil; // End of the last pause.
    TimePoint countedAt;
    std::uint64_t countedRequests = 0; // Total requests up to `countedAt`.
    double requestsPerSecond = 0;
};

// Updates the request rate from the number of requests since the process started. The rate is a decaying maximum,
// because hardly any requests arrive during a pause.
void recordRequestCount(ConnectionPauseState &pauses, std::uint64_t requests, TimePoint now);

// Records the lag of a message from another router.
void recordMessageLag(ConnectionPauseState &pauses, Duration lag, TimePoint now);

// Whether connections should be closed after their responses.
bool shouldCloseConnections(const ConnectionPauseState &pauses, const ConnectionPauseOptions &options, TimePoint now);

// Returns for how long the host should accept no connections from `now` on, or nullopt to keep accepting. `stale`: the
// host refuses all requests until its copies are up to date again. Records the pause in `pauses`.
std::optional<Duration> computePause(ConnectionPauseState &pauses,
                                     bool stale,
                                     const ConnectionPauseOptions &options,
                                     TimePoint now);

} // namespace Godwit
