#pragma once

// Tracks how recent a local copy of the platform's data is, against the copies of other routers and against the store.
//
// Updates travel over links that can be saturated. They may be seconds late while everything else works, and a router
// cannot detect this from what it has received. It therefore polls other routers, and dates each response by the time
// of the request. A copy is stale if another router has held newer data for too long.
//
// A copy that agrees with other routers may still be old, since these may be as old. It is confirmed only by a read of
// the store, and only as of the time when that read started. A router passes on the read that confirms its own copy,
// with this time; it is never replaced by the time of a message.
//
// Pure functions: time is passed in. Example:
//   recordPeerState(freshness, askedAt, peerAheadFor, now);
//   if (isStale(freshness, options, now)) { ... refuse requests that depend on the copy ... }
//   recordConfirmation(freshness, ConfirmationSource::PeerRead, readStartedAt, peer);
//   if (isConfirmedCurrent(freshness, options, bootTime)) { ... an entry that is missing does not exist ... }

#include "godwit/base/enum_names.h"
#include "godwit/base/time.h"

#include <algorithm>
#include <string>

namespace Godwit
{

enum class ConfirmationSource {
    None,
    OwnRead, // This router read the store.
    PeerRead, // A peer announced a read of the store.
    PeerCopy, // A peer was asked, and passed on the read that confirms its copy.
};

inline constexpr EnumName<ConfirmationSource> ConfirmationSourceNames[] = {
    {ConfirmationSource::None, "none"},
    {ConfirmationSource::OwnRead, "own_read"},
    {ConfirmationSource::PeerRead, "peer_read"},
    {ConfirmationSource::PeerCopy, "peer_copy"},
};

struct CopyFreshness
{
    TimePoint lastResponseAt; // Arrival of the last response from a peer.
    TimePoint currentAsOf; // Latest time at which the copy held everything that another router held.
    // Boot time at which the latest read of the store started whose result the copy is known to contain. Not set until
    // there was one.
    TimePoint confirmedAt;
    ConfirmationSource confirmedBy = ConfirmationSource::None;
    std::string confirmedByPeer; // Empty unless a peer is the source.
    TimePoint ownReadAt; // Boot time at which this router's latest full read of the store started.
};

struct FreshnessOptions
{
    // How much older than a peer's copy this one may be. Responses arrive twice per second, and removed entries must
    // not be used for longer than 2 s.
    Duration maxStaleness = std::chrono::milliseconds(1200);
    // Without a response for longer than this, the router is either partitioned or had no reason to poll. It then keeps
    // serving what it can reach.
    Duration responseValidity = std::chrono::milliseconds(1500);
    // Longer than the gap between two reads of the store, which an undisturbed router is notified of, and not longer
    // than a change of the document may take to come into force.
    Duration confirmationValidity = std::chrono::seconds(2);
};

// Records the response of a peer that was polled at `askedAt` and had held changes missing from this copy for
// `peerAheadFor`. Zero only means that the peer holds nothing newer: its copy may be stale as well.
inline void recordPeerState(CopyFreshness &freshness, TimePoint askedAt, Duration peerAheadFor, TimePoint now)
{
    freshness.lastResponseAt = now;
    const TimePoint currentUntil = std::min(askedAt, now) - peerAheadFor;
    freshness.currentAsOf =
        peerAheadFor > Duration::zero() ? currentUntil : std::max(freshness.currentAsOf, currentUntil);
}

// Records that the copy contains everything that was stored at boot time `at`, according to a read of the store.
inline void recordConfirmation(CopyFreshness &freshness,
                               ConfirmationSource source,
                               TimePoint at,
                               const std::string &peer = {})
{
    if (at > freshness.confirmedAt) {
        freshness.confirmedAt = at;
        freshness.confirmedBy = source;
        freshness.confirmedByPeer = peer;
    }
}

// Records that this router has read everything from the store, starting at `startedAt`, boot time `bootTime`.
inline void recordFullRead(CopyFreshness &freshness, TimePoint startedAt, TimePoint bootTime)
{
    freshness.currentAsOf = std::max(freshness.currentAsOf, startedAt);
    freshness.ownReadAt = std::max(freshness.ownReadAt, bootTime);
    recordConfirmation(freshness, ConfirmationSource::OwnRead, bootTime);
}

// Whether the copy was recently confirmed, at boot time `bootTime`. Otherwise, an entry that is missing from the copy
// may exist: the router may be partitioned, or updates may be queued on its link.
inline bool isConfirmedCurrent(const CopyFreshness &freshness, const FreshnessOptions &options, TimePoint bootTime)
{
    return freshness.confirmedBy != ConfirmationSource::None
        && bootTime < freshness.confirmedAt + options.confirmationValidity;
}

// Whether the copy was too old at the last response of a peer. Between responses its age is unknown.
inline bool isStale(const CopyFreshness &freshness, const FreshnessOptions &options, TimePoint now)
{
    return now < freshness.lastResponseAt + options.responseValidity
        && freshness.lastResponseAt > freshness.currentAsOf + options.maxStaleness;
}

} // namespace Godwit
