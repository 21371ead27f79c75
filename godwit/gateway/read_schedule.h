#pragma once

// Schedules full reads of a prefix of the store, and selects the routers that perform them.
//
// A few routers, the readers, watch the prefix and forward changes to the others. A watch can miss changes without an
// error and resume after them, and messages can be lost. Therefore the readers take turns at reading the whole prefix.
// After a read, the reader announces its result to all others, which compare it with their copies and request a
// snapshot on a mismatch. A router without such an announcement reads by itself. This bounds the gap between two reads
// by `maxReadGap`, independent of lost messages and random delays, and by `standbyDelay` more if there are no readers.
//
// Pure functions: time and random numbers are passed in. Example:
//   timer.expires_at(nextReadTime(options, lastReadAt, liveRouters, jitter));

#include "godwit/base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace Godwit
{

struct ReadScheduleOptions
{
    // More than one, so that the loss of a reader causes no delay.
    int readers = 2;
    // On small fleets, a change that the watches missed has to be in force within 2 s. This interval, the rest of the
    // gap, the delay of the notified routers and two reads leave half a second of it.
    Duration interval = std::chrono::milliseconds(700);
    // Jitter per router. Two routers with less than this between their turns may both read: a read takes about 5 ms and
    // a message 1 ms.
    Duration spacing = std::chrono::milliseconds(25);
    // Upper bound of the jitter. Large fleets, where a change may take 3 s, have more routers than fit into it.
    Duration maxSpread = std::chrono::milliseconds(600);
    // Additional delay of routers that are not readers, so that they read only if the readers fail to.
    Duration standbyDelay = std::chrono::milliseconds(600);
};

// Returns the range over which the routers randomly spread their reads.
inline Duration readSpreadFor(const ReadScheduleOptions &options, int routers)
{
    return std::min(options.spacing * std::max(0, routers - 1), options.maxSpread);
}

// Longest time between a read known to a router and the next one, which the router performs itself at the latest.
inline Duration maxReadGap(const ReadScheduleOptions &options, int routers)
{
    return options.interval + readSpreadFor(options, routers);
}

// Returns the rank among the readers, from 0, of a router with weight `own`; unset if it is not a reader. `weights` are
// those of the other routers.
inline std::optional<int> readerRank(std::uint64_t own, const std::vector<std::uint64_t> &weights, int readers)
{
    const auto before = std::count_if(weights.begin(), weights.end(), [own](std::uint64_t weight) {
        return weight > own;
    });
    return before < readers ? std::optional(static_cast<int>(before)) : std::nullopt;
}

// Returns when this router reads unless another read is announced before. `jitter` is a new random number for each
// call, from 0 to 1.
inline TimePoint nextReadTime(
    const ReadScheduleOptions &options, TimePoint lastReadAt, int routers, double jitter, bool onStandby = false)
{
    const auto delay = static_cast<double>(readSpreadFor(options, routers).count()) * std::clamp(jitter, 0.0, 1.0);
    const Duration extra = onStandby ? options.standbyDelay : Duration::zero();
    return lastReadAt + options.interval + extra + Duration(static_cast<Duration::rep>(delay));
}

} // namespace Godwit
