#include "godwit/membership/shard_ownership.h"

#include "godwit/base/hash.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// Tags of the lease have this bit set, those of shard keys don't.
constexpr std::uint64_t LeaseTagBit = 1ULL << 48U;

std::string shardKey(std::size_t shard)
{
    return "shard/" + std::to_string(shard);
}

// What the key holds: enough to recognise an own claim whose answer got lost.
std::string claimValue(const ShardOwnership &ownership)
{
    return ownership.options.self.value + ' ' + ownership.lease.id;
}

std::uint64_t openCommand(ShardOwnership &ownership, std::size_t shard)
{
    const std::uint64_t tag = MembershipTagBase + ownership.nextTag++;
    ownership.openTags.emplace(tag, shard);
    ownership.shards[shard].openTag = tag;
    return tag;
}

void claim(ShardOwnership &ownership, std::size_t shard, ShardActions &actions)
{
    ownership.shards[shard].state = ShardState::Claiming;
    ownership.shards[shard].leaseGeneration = ownership.lease.generation;
    KvCommand command;
    command.tag = openCommand(ownership, shard);
    command.verb = KvVerb::CompareAndSwap;
    command.key = shardKey(shard);
    command.value = claimValue(ownership);
    command.lease = ownership.lease.id;
    actions.emplace_back(std::move(command));
}

void release(ShardOwnership &ownership, std::size_t shard, ShardActions &actions)
{
    ShardEntry &entry = ownership.shards[shard];
    if (entry.state == ShardState::Owned) {
        actions.emplace_back(ShardLost{shard});
    }
    entry.state = ShardState::Releasing;
    KvCommand command;
    command.tag = openCommand(ownership, shard);
    command.verb = KvVerb::Delete;
    command.key = shardKey(shard);
    command.expectedVersion = entry.version;
    actions.emplace_back(std::move(command));
}

void becomeOwner(ShardOwnership &ownership, std::size_t shard, std::uint64_t version, ShardActions &actions)
{
    ShardEntry &entry = ownership.shards[shard];
    entry.state = ShardState::Owned;
    entry.version = version;
    actions.emplace_back(ShardGained{shard});
}

void onClaimReply(ShardOwnership &ownership, std::size_t shard, const KvReply &reply, ShardActions &actions)
{
    const bool own =
        reply.status == KvStatus::Conflict && !ownership.lease.id.empty() && reply.value == claimValue(ownership);
    if (own) {
        ownership.shards[shard].leaseGeneration = ownership.lease.generation;
    }
    if (reply.status == KvStatus::Ok || own) {
        becomeOwner(ownership, shard, reply.version, actions);
    } else {
        ownership.shards[shard].state = ShardState::Foreign;
    }
}

// Keys that were bound to a lapsed lease are gone; another router may own them already.
void dropLapsed(ShardOwnership &ownership, ShardActions &actions)
{
    for (std::size_t shard = 0; shard < ownership.shards.size(); ++shard) {
        ShardEntry &entry = ownership.shards[shard];
        const bool bound = entry.state == ShardState::Owned || entry.state == ShardState::Releasing;
        if (!bound || (entry.leaseGeneration == ownership.lease.generation && !ownership.lease.id.empty())) {
            continue;
        }
        if (entry.state == ShardState::Owned) {
            actions.emplace_back(ShardLost{shard});
        }
        entry.state = ShardState::Foreign;
    }
}

void tickShard(ShardOwnership &ownership, std::size_t shard, TimePoint now, ShardActions &actions)
{
    ShardEntry &entry = ownership.shards[shard];
    const bool free = ownership.openTags.size() < ownership.options.maxOpenCommands;
    if (entry.openTag != 0 || !free) {
        return;
    }
    const bool due = now >= entry.nextLook;
    if (entry.state == ShardState::Foreign && entry.firstChoice && due) {
        entry.nextLook = now + ownership.options.claimEvery;
        if (leaseHeld(ownership.lease, now)) {
            claim(ownership, shard, actions);
        }
        return;
    }
    const bool handOver = entry.state == ShardState::Owned && entry.notFirstSince
        && now - *entry.notFirstSince >= ownership.options.handOverAfter;
    const bool again = entry.state == ShardState::Releasing && due;
    if (handOver || again) {
        entry.nextLook = now + ownership.options.claimEvery;
        release(ownership, shard, actions);
    }
}

void tickAll(ShardOwnership &ownership, TimePoint now, ShardActions &actions)
{
    for (KvCommand &command : onTick(ownership.lease, now)) {
        actions.emplace_back(std::move(command));
    }
    dropLapsed(ownership, actions);
    for (std::size_t shard = 0; shard < ownership.shards.size(); ++shard) {
        tickShard(ownership, shard, now, actions);
    }
}

} // namespace

ShardOwnership makeShardOwnership(ShardOwnershipOptions options)
{
    ShardOwnership ownership;
    PlatformLeaseOptions lease;
    lease.tagBase = MembershipTagBase | LeaseTagBit;
    lease.timeToLive = options.timeToLive;
    lease.renewEvery = options.timeToLive / 3;
    ownership.lease = makePlatformLease(lease);
    ownership.shards.resize(options.shards);
    ownership.firstChoices.resize(options.shards);
    ownership.options = std::move(options);
    return ownership;
}

ShardActions onLiveRouters(ShardOwnership &ownership,
                           const std::vector<Incarnation> &live,
                           bool selfDraining,
                           TimePoint now)
{
    ownership.live = live;
    const auto self = std::find(ownership.live.begin(), ownership.live.end(), ownership.options.self);
    if (self == ownership.live.end() && !selfDraining) {
        ownership.live.push_back(ownership.options.self);
    } else if (self != ownership.live.end() && selfDraining) {
        ownership.live.erase(self);
    }
    std::sort(ownership.live.begin(), ownership.live.end());
    for (std::size_t shard = 0; shard < ownership.shards.size(); ++shard) {
        const std::string key = shardKey(shard);
        std::uint64_t best = 0;
        Incarnation first = ownership.options.self;
        for (const Incarnation &router : ownership.live) {
            const std::uint64_t weight = rendezvousWeight(key, router.value);
            if (weight > best) {
                best = weight;
                first = router;
            }
        }
        ownership.firstChoices[shard] = first;
        ShardEntry &entry = ownership.shards[shard];
        entry.firstChoice = first == ownership.options.self && !selfDraining;
        if (entry.firstChoice) {
            entry.notFirstSince.reset();
        } else if (!entry.notFirstSince) {
            // A stopping router gives back at once: waiting would only leave the shard without an owner later.
            entry.notFirstSince = selfDraining ? now - ownership.options.handOverAfter : now;
        }
    }
    ShardActions actions;
    tickAll(ownership, now, actions);
    return actions;
}

ShardActions onKvReply(ShardOwnership &ownership, const KvReply &reply, TimePoint now)
{
    ShardActions actions;
    if (onKvReply(ownership.lease, reply, now)) {
        tickAll(ownership, now, actions);
        return actions;
    }
    const auto open = ownership.openTags.find(reply.tag);
    if (open == ownership.openTags.end()) {
        return actions;
    }
    const std::size_t shard = open->second;
    ShardEntry &entry = ownership.shards[shard];
    ownership.openTags.erase(open);
    entry.openTag = 0;
    if (entry.state == ShardState::Claiming) {
        onClaimReply(ownership, shard, reply, actions);
    } else if (entry.state == ShardState::Releasing
               && (reply.status == KvStatus::Ok || reply.status == KvStatus::Conflict
                   || reply.status == KvStatus::NotFound)) {
        entry.state = ShardState::Foreign;
    }
    tickAll(ownership, now, actions);
    return actions;
}

ShardActions onTick(ShardOwnership &ownership, TimePoint now)
{
    ShardActions actions;
    tickAll(ownership, now, actions);
    return actions;
}

TimePoint nextWake(const ShardOwnership &ownership)
{
    TimePoint wake = nextWake(ownership.lease);
    if (ownership.openTags.size() >= ownership.options.maxOpenCommands) {
        return wake;
    }
    for (const ShardEntry &entry : ownership.shards) {
        if (entry.openTag != 0) {
            continue;
        }
        const bool claiming = entry.state == ShardState::Foreign && entry.firstChoice;
        if (claiming || entry.state == ShardState::Releasing) {
            wake = std::min(wake, entry.nextLook);
        }
        if (entry.state == ShardState::Owned && entry.notFirstSince) {
            wake = std::min(wake, *entry.notFirstSince + ownership.options.handOverAfter);
        }
    }
    return wake;
}

bool ownsShard(const ShardOwnership &ownership, std::size_t shard, TimePoint now)
{
    const ShardEntry &entry = ownership.shards[shard];
    if (entry.state != ShardState::Owned) {
        return false;
    }
    if (ownership.options.faultIgnoreLease) {
        return true;
    }
    return entry.leaseGeneration == ownership.lease.generation && leaseHeld(ownership.lease, now);
}

Incarnation likelyOwner(const ShardOwnership &ownership, std::size_t shard)
{
    return ownership.firstChoices[shard];
}

std::size_t shardOf(const ShardOwnership &ownership, std::string_view key)
{
    return static_cast<std::size_t>(stableHash(key) % ownership.shards.size());
}

} // namespace Godwit
