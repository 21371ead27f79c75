#pragma once

// When a host that gets more than it can carry takes no new connections for a moment.
//
// Some callers keep to one host whatever they are told. What they send fills its link even where each request is
// refused, so that a queue of seconds stands before the host; the routers' own messages wait in it as well, and the
// host serves nothing in time. A connection that is not taken costs the link two small packets: the queue empties, and
// the callers hear at once that they have to go elsewhere.
//
// Pure. Example:
//   recordRequestCount(pauses, counters.requests, now);
//   noteLag(pauses, lag, now);
//   if (const auto pause = computePause(pauses, isBehind, options, now)) { listener.pause(*pause); }

#include "godwit/base/time.h"

#include <cstdint>
#include <optional>

namespace Godwit
{

struct ConnectionPauseOptions
{
    double capacity = 0; // Requests a second that the host can take.
    // Hosts are planned to be loaded up to this part of their capacity. Below it what is late has another cause, such
    // as a process that stood still, and callers would be turned away for nothing.
    double overloadUtilization = 0.5;
    // Messages of other routers that come so late show a queue before this host.
    Duration lagThreshold = std::chrono::milliseconds(150);
    // From this lag on connections end after their answers, so that a pause also holds for those callers.
    Duration closeConnectionsLag = std::chrono::milliseconds(60);
    // A pause is longer than the lag by this factor: what has been sent since still comes.
    double drainFactor = 1.5;
    Duration stalePause = std::chrono::seconds(1);
    // A host that says that it is ready has to take connections every few seconds.
    Duration maxPause = std::chrono::milliseconds(1500);
    Duration minInterval = std::chrono::milliseconds(100);
};

struct ConnectionPauseState
{
    Duration lag{}; // As last seen, at `lagMeasuredAt`.
    TimePoint lagMeasuredAt;
    TimePoint pausedUntil; // End of the last pause.
    TimePoint countedAt;
    std::uint64_t countedRequests = 0; // Requests up to then.
    double requestsPerSecond = 0;
};

// Takes the number of requests since the start of the process. The highest rate of the last moments counts: during a
// pause hardly any come.
void recordRequestCount(ConnectionPauseState &pauses, std::uint64_t requests, TimePoint now);

// Takes how late another router's message was.
void recordMessageLag(ConnectionPauseState &pauses, Duration lag, TimePoint now);

// Whether connections should end after their answers.
bool shouldCloseConnections(const ConnectionPauseState &pauses, const ConnectionPauseOptions &options, TimePoint now);

// For how long the host should take no connections from now on; nullopt when it should go on. `behind`: it refuses all
// requests until its copies are new again.
std::optional<Duration> computePause(ConnectionPauseState &pauses,
                                     bool stale,
                                     const ConnectionPauseOptions &options,
                                     TimePoint now);

} // namespace Godwit
