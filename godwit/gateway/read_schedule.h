#pragma once

// Who reads a prefix of the store again, and when.
//
// A few routers, the readers, watch the prefix and tell the others of changes. A watch can fall silent while changes
// are made, and then go on after them, and a message can be lost. So the readers read everything again in turns: one
// reads and tells all others what it found, they compare it with their copies, and those that differ ask for a
// snapshot. A router that hears of no reading reads by itself, so that no loss of messages and no chance makes the gap
// between two readings longer than `maxReadGap`, and without readers not longer than that and `standby`.
//
// Pure. Example:
//   timer.expires_at(nextReadTime(options, lastHeard, liveRouters, lot));

#include "godwit/base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace Godwit
{

struct ReadScheduleOptions
{
    // More than one, so that the loss of one delays nothing.
    int readers = 2;
    // A change that the watches missed has to be in force within 2 s on small fleets: this and the rest of the gap,
    // the wait of those that heard, and two readings leave half a second of that.
    Duration interval = std::chrono::milliseconds(700);
    // Routers whose turns fall within this time of each other read both: a reading takes some 5 ms and a message 1 ms.
    Duration spacing = std::chrono::milliseconds(25);
    // Large fleets, whose changes may take 3 s, have more routers than fit into this.
    Duration maxSpread = std::chrono::milliseconds(600);
    // Routers that are no readers wait this much longer, so that they read only when the readers don't.
    Duration standbyDelay = std::chrono::milliseconds(600);
};

inline Duration readSpreadFor(const ReadScheduleOptions &options, int routers)
{
    return std::min(options.spacing * std::max(0, routers - 1), options.maxSpread);
}

// The longest time from one reading that a router has heard of to the next one, its own at the latest.
inline Duration maxReadGap(const ReadScheduleOptions &options, int routers)
{
    return options.interval + readSpreadFor(options, routers);
}

// Which of the readers a router of this weight is, from 0; unset when it is none. `weights` are those of the others.
inline std::optional<int> readerRank(std::uint64_t own, const std::vector<std::uint64_t> &weights, int readers)
{
    const auto before = std::count_if(weights.begin(), weights.end(), [own](std::uint64_t weight) {
        return weight > own;
    });
    return before < readers ? std::optional(static_cast<int>(before)) : std::nullopt;
}

// When this router reads unless it hears of another's reading before. `lot` is drawn anew each time, from 0 to 1.
inline TimePoint nextReadTime(
    const ReadScheduleOptions &options, TimePoint lastReadAt, int routers, double jitter, bool onStandby = false)
{
    const auto delay = static_cast<double>(readSpreadFor(options, routers).count()) * std::clamp(jitter, 0.0, 1.0);
    const Duration extra = onStandby ? options.standbyDelay : Duration::zero();
    return lastReadAt + options.interval + extra + Duration(static_cast<Duration::rep>(delay));
}

} // namespace Godwit
