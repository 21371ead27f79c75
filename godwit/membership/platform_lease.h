#pragma once

// One lease of this process at the platform, kept alive while the process runs.
//
// The holder counts the lease from the moment it SENT the request, on its own monotonic clock, and less a margin:
// the platform can't have started it earlier, so the holder stops believing before anyone else can take over.
// Ask leaseHeld() at the point of use, never earlier.
//
// Example:
//   PlatformLease lease = makePlatformLease({TagBase, 30s});
//   auto commands = onTick(lease, now);
//   if (leaseHeld(lease, now)) { ... }

#include "godwit/base/kv.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

struct PlatformLeaseOptions
{
    std::uint64_t tagBase = 0; // Tags are tagBase + a counter below 2^32.
    Duration timeToLive = std::chrono::seconds(30);
    Duration renewEvery = std::chrono::seconds(10);
    Duration retryEvery = std::chrono::seconds(1);
    // Taken off the end, for clocks that run at slightly different speeds.
    Duration margin = std::chrono::seconds(1);
};

struct PlatformLease
{
    PlatformLeaseOptions options;
    std::string id; // Empty: none.
    TimePoint validUntil{}; // The margin is taken off already.
    std::uint64_t generation = 0; // Raised with each new lease; what was bound to an older one is lost.
    std::uint64_t nextTag = 1;
    std::uint64_t openTag = 0;
    TimePoint sentAt{};
    TimePoint nextAttempt{};
};

PlatformLease makePlatformLease(PlatformLeaseOptions options);

// Returns true while the lease can't have lapsed at the platform.
bool leaseHeld(const PlatformLease &lease, TimePoint now);

// How long the lease is certain to last; zero when it isn't held.
Duration leaseRemaining(const PlatformLease &lease, TimePoint now);

// Grants or renews when it is time.
std::vector<KvCommand> onTick(PlatformLease &lease, TimePoint now);

// Takes the reply to one of its own commands; returns false for a foreign tag.
bool onKvReply(PlatformLease &lease, const KvReply &reply, TimePoint now);

TimePoint nextWake(const PlatformLease &lease);

} // namespace Godwit
