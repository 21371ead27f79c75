#pragma once

// Bounds of the offsets between this router's clock and those of its peers.
//
// A message names times of its sender's clock, and how long it was on its way is unknown. The answer to a question was
// sent after the question, which bounds how far the sender's clock can be ahead of this one. A peer's time that is
// converted with this bound is never too late, however long its message was on its way. All times are boot times, which
// advance while a host is suspended.
//
// Pure functions: time is passed in. Example:
//   recordClockExchange(offsets, options, peer, askedAt, answeredAt, now);
//   const auto readAt = toLocalTime(offsets, options, peer, update.readStartedAt, now);

#include "godwit/base/time.h"

#include <map>
#include <optional>
#include <string>

namespace Godwit
{

struct ClockOffsetOptions
{
    // Clocks differ in rate by up to a few hundred microseconds a second, so that a bound is out by some 10 ms then.
    Duration validity = std::chrono::seconds(60);
    // A bound from an exchange that took longer is measured again soon, since it makes the peer's times too early.
    Duration maxPreciseRoundTrip = std::chrono::milliseconds(200);
    Duration retryInterval = std::chrono::seconds(1);
};

struct ClockOffset
{
    Duration maxAhead{}; // By how much the peer's clock is ahead at most; negative if it is behind.
    Duration roundTrip{}; // Of the exchange that gave the bound.
    TimePoint measuredAt;
};

struct ClockOffsets
{
    std::map<std::string, ClockOffset> peers; // By incarnation.
    std::map<std::string, TimePoint> askedAt; // Latest question sent to measure an offset, by incarnation.
};

// Records an answer that the peer sent at `answeredAt`, of its clock, to a question of `askedAt`. Keeps the lowest
// bound of those that are still valid, and drops those that are not.
void recordClockExchange(ClockOffsets &offsets,
                         const ClockOffsetOptions &options,
                         const std::string &peer,
                         TimePoint askedAt,
                         TimePoint answeredAt,
                         TimePoint now);

// Whether the peer is to be asked to measure its offset: no precise bound is known, and none was asked for lately.
// Notes that it is asked now.
bool startClockExchange(ClockOffsets &offsets,
                        const ClockOffsetOptions &options,
                        const std::string &peer,
                        TimePoint now);

// Converts a time of the peer's clock to the earliest time of this one that it may be; nullopt if no bound is known.
std::optional<TimePoint> toLocalTime(const ClockOffsets &offsets,
                                     const ClockOffsetOptions &options,
                                     const std::string &peer,
                                     TimePoint peerTime,
                                     TimePoint now);

} // namespace Godwit
