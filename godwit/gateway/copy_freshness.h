#pragma once

// Whether a copy of what the platform keeps is as new as those of the other routers.
//
// News travels over links that can be full: it may come seconds late while everything else looks sound, and a router
// can't tell that by what it has received. So it asks others, and goes by the time of the question.
//
// Pure. Example:
//   noteAnswer(agreement, asked, newerFor, now);
//   if (isStale(agreement, options, now)) { ... refuse what the copy decides ... }

#include "godwit/base/time.h"

#include <algorithm>

namespace Godwit
{

struct CopyFreshness
{
    TimePoint lastResponseAt; // When the last answer came.
    TimePoint currentAsOf; // Up to this moment the copy held all that another router did.
    TimePoint peerConfirmedAt; // When a reading of another router was heard that had found no more than the copy holds.
};

struct FreshnessOptions
{
    // A copy may be this much older than another router's. Answers come twice a second, and the bound on the use of
    // removed entries is 2 s.
    Duration maxStaleness = std::chrono::milliseconds(1200);
    // A router that has not been answered for longer is cut off, or has had nothing to ask for: it serves what it can
    // reach.
    Duration responseValidity = std::chrono::milliseconds(1500);
    // Longer than the gap between two readings, which a calm router hears of, and no longer than a change of the
    // document may take to be in force.
    Duration confirmationValidity = std::chrono::seconds(2);
};

// A peer was asked at `asked`, and had held changes that this copy lacks for `newerFor`. Zero says no more than that
// the peer holds nothing newer, since it may be old itself.
inline void recordPeerState(CopyFreshness &freshness, TimePoint askedAt, Duration peerAheadFor, TimePoint now)
{
    freshness.lastResponseAt = now;
    const TimePoint currentUntil = std::min(askedAt, now) - peerAheadFor;
    freshness.currentAsOf =
        peerAheadFor > Duration::zero() ? currentUntil : std::max(freshness.currentAsOf, currentUntil);
}

// This router has read everything itself, beginning at `began`.
inline void recordFullRead(CopyFreshness &freshness, TimePoint startedAt)
{
    freshness.currentAsOf = std::max(freshness.currentAsOf, startedAt);
}

// Another router has told of a reading that found what this copy holds.
inline void recordMatchingPeerRead(CopyFreshness &freshness, TimePoint now)
{
    freshness.peerConfirmedAt = now;
}

// Whether the copy has lately been shown to be current. Where it has not, what it lacks may exist: this router can be
// cut off, or what it should know waits on its link.
inline bool isConfirmedCurrent(const CopyFreshness &freshness, const FreshnessOptions &options, TimePoint now)
{
    return now < std::max(freshness.currentAsOf, freshness.peerConfirmedAt) + options.confirmationValidity;
}

// By the last answer, since between answers nothing is known.
inline bool isStale(const CopyFreshness &freshness, const FreshnessOptions &options, TimePoint now)
{
    return now < freshness.lastResponseAt + options.responseValidity
        && freshness.lastResponseAt > freshness.currentAsOf + options.maxStaleness;
}

} // namespace Godwit
