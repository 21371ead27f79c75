#pragma once

// Which router batches the writes of which shard: a saving of platform calls, never a right.
//
// The owner of a shard holds the key `shard/<n>` bound to its lease. The live router with the highest rendezvous
// weight claims the key when it is free, and an owner that is no longer first choice gives it back after a while.
// Two routers that both believe they own a shard do no harm, since each write of the shard is a compare-and-swap
// on its version; they only cost each other repeated attempts.
//
// Example:
//   ShardOwnership ownership = makeShardOwnership({self, 64});
//   auto actions = onLiveRouters(ownership, live, now);
//   if (ownsShard(ownership, 7, now)) { ... }

#include "godwit/base/ids.h"
#include "godwit/base/kv.h"
#include "godwit/base/time.h"
#include "godwit/membership/platform_lease.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Godwit
{

// The top byte of every KvCommand tag of shard ownership.
constexpr std::uint64_t MembershipTagBase = 0x04ULL << 56U;

struct ShardOwnershipOptions
{
    Incarnation self;
    std::size_t shards = 64;
    Duration timeToLive = std::chrono::seconds(30);
    // Between two looks at a shard that this router should own and doesn't.
    Duration claimEvery = std::chrono::seconds(3);
    // An owner that is not the first choice for so long gives the shard back.
    Duration handOverAfter = std::chrono::seconds(20);
    std::size_t maxOpenCommands = 8;
    // Fault switch for tests: believe in ownership whatever the lease says.
    bool faultIgnoreLease = false;
};

struct ShardGained
{
    std::size_t shard = 0;
};

struct ShardLost
{
    std::size_t shard = 0;
};

using ShardAction = std::variant<KvCommand, ShardGained, ShardLost>;
using ShardActions = std::vector<ShardAction>;

enum class ShardState {
    Foreign,
    Claiming, // The claim is on its way or its answer got lost.
    Owned,
    Releasing,
};

struct ShardEntry
{
    ShardState state = ShardState::Foreign;
    std::uint64_t version = 0; // Of the key, while owned.
    std::uint64_t leaseGeneration = 0; // Of the lease that the key is bound to.
    std::uint64_t openTag = 0;
    TimePoint nextLook{};
    std::optional<TimePoint> notFirstSince;
    bool firstChoice = false;
};

struct ShardOwnership
{
    ShardOwnershipOptions options;
    PlatformLease lease;
    std::vector<ShardEntry> shards;
    std::vector<Incarnation> live; // Sorted, with this router.
    std::vector<Incarnation> firstChoices; // By shard.
    std::map<std::uint64_t, std::size_t> openTags; // Tag and shard.
    std::uint64_t nextTag = 1;
};

ShardOwnership makeShardOwnership(ShardOwnershipOptions options);

// The live routers that aren't draining; this one is added unless `selfDraining`.
ShardActions onLiveRouters(ShardOwnership &ownership,
                           const std::vector<Incarnation> &live,
                           bool selfDraining,
                           TimePoint now);
ShardActions onKvReply(ShardOwnership &ownership, const KvReply &reply, TimePoint now);
ShardActions onTick(ShardOwnership &ownership, TimePoint now);
TimePoint nextWake(const ShardOwnership &ownership);

// True while the key is bound to a lease that can't have lapsed. Ask at the point of use.
bool ownsShard(const ShardOwnership &ownership, std::size_t shard, TimePoint now);

// Where to send a draw first: the rendezvous choice among live routers. It may not own the shard (yet).
Incarnation likelyOwner(const ShardOwnership &ownership, std::size_t shard);

// The shard of a key.
std::size_t shardOf(const ShardOwnership &ownership, std::string_view key);

} // namespace Godwit
