#pragma once

// Tracks whether a local copy of the platform's data is as recent as the copies of the other routers.
//
// Updates travel over links that can be saturated. They may be seconds late while everything else works, and a router
// cannot detect this from what it has received. It therefore polls other routers, and dates each response by the time
// of the request.
//
// Pure functions: time is passed in. Example:
//   recordPeerState(freshness, askedAt, peerAheadFor, now);
//   if (isStale(freshness, options, now)) { ... refuse requests that depend on the copy ... }

#include "godwit/base/enum_names.h"
#include "godwit/base/time.h"

#include <algorithm>
#include <string>

namespace Godwit
{

enum class ConfirmationSource {
    None,
    OwnRead, // This router read the store.
    PeerRead, // A peer reported a read of the store.
    PeerCopy, // A peer compared its copy.
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
    TimePoint peerConfirmedAt; // When a peer last reported a read of the store that matched the copy.
    TimePoint ownReadAt; // Start of this router's latest full read of the store.
    ConfirmationSource confirmedBy = ConfirmationSource::None; // Source of the latest confirmation.
    std::string confirmedByPeer; // The peer; empty unless a peer is the source.
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

// Returns the latest time at which the copy was shown to be current.
inline TimePoint confirmedCurrentAt(const CopyFreshness &freshness)
{
    return std::max(freshness.currentAsOf, freshness.peerConfirmedAt);
}

// Notes who confirmed the copy at `at`, unless a later confirmation is known.
inline void noteConfirmation(CopyFreshness &freshness, TimePoint at, ConfirmationSource source, const std::string &peer)
{
    if (at >= confirmedCurrentAt(freshness)) {
        freshness.confirmedBy = source;
        freshness.confirmedByPeer = peer;
    }
}

// Records the response of a peer that was polled at `askedAt` and had held changes missing from this copy for
// `peerAheadFor`. Zero only means that the peer holds nothing newer: its copy may be stale as well.
inline void recordPeerState(
    CopyFreshness &freshness, TimePoint askedAt, Duration peerAheadFor, TimePoint now, const std::string &peer = {})
{
    freshness.lastResponseAt = now;
    const TimePoint currentUntil = std::min(askedAt, now) - peerAheadFor;
    if (peerAheadFor == Duration::zero()) {
        noteConfirmation(freshness, currentUntil, ConfirmationSource::PeerCopy, peer);
    }
    freshness.currentAsOf =
        peerAheadFor > Duration::zero() ? currentUntil : std::max(freshness.currentAsOf, currentUntil);
}

// Records that this router has read everything from the store, starting at `startedAt`.
inline void recordFullRead(CopyFreshness &freshness, TimePoint startedAt)
{
    noteConfirmation(freshness, startedAt, ConfirmationSource::OwnRead, {});
    freshness.ownReadAt = std::max(freshness.ownReadAt, startedAt);
    freshness.currentAsOf = std::max(freshness.currentAsOf, startedAt);
}

// Records that a peer has read the store and found the same state as this copy.
inline void recordMatchingPeerRead(CopyFreshness &freshness, TimePoint now, const std::string &peer = {})
{
    noteConfirmation(freshness, now, ConfirmationSource::PeerRead, peer);
    freshness.peerConfirmedAt = now;
}

// Whether the copy was recently shown to be current. Otherwise, an entry that is missing from the copy may exist: the
// router may be partitioned, or updates may be queued on its link.
inline bool isConfirmedCurrent(const CopyFreshness &freshness, const FreshnessOptions &options, TimePoint now)
{
    return now < confirmedCurrentAt(freshness) + options.confirmationValidity;
}

// Whether the copy was too old at the last response of a peer. Between responses its age is unknown.
inline bool isStale(const CopyFreshness &freshness, const FreshnessOptions &options, TimePoint now)
{
    return now < freshness.lastResponseAt + options.responseValidity
        && freshness.lastResponseAt > freshness.currentAsOf + options.maxStaleness;
}

} // namespace Godwit
