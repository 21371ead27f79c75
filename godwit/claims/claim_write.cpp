#include "godwit/claims/claim_write.h"

#include "godwit/claims/claim_decision.h"

#include <algorithm>

namespace Godwit::internal
{
namespace
{

constexpr std::size_t EmptyRecordBytes = 64;

// Drops claims whose ids are refused by age anyway. The horizon moves to the youngest one dropped and no further, so
// that a router whose clock is far ahead can't make the others refuse ids of the present.
void dropOldClaims(ClaimRecord &record, ClaimAgent &agent, WallTime wallNow)
{
    const auto oldest = wallNow - agent.options.retention - agent.options.clockSkew;
    for (auto it = record.entries.begin(); it != record.entries.end();) {
        if (it->second.createdAt > oldest) {
            ++it;
            continue;
        }
        if (!agent.options.faults.trimWithoutHorizon) {
            record.horizon = std::max(record.horizon, it->second.createdAt);
        }
        ++agent.counters.trimmed;
        it = record.entries.erase(it);
    }
}

void dropOldAnswers(ClaimRecord &record, const ClaimOptions &options, WallTime wallNow)
{
    for (auto &[key, entry] : record.entries) {
        if (entry.answer && entry.claimedAt + options.answerRetention < wallNow) {
            entry.answer.reset();
        }
    }
}

std::size_t storedBytes(const ClaimRecord &record)
{
    std::size_t bytes = EmptyRecordBytes;
    for (const auto &[key, entry] : record.entries) {
        bytes += encodedClaimSize(key, entry);
    }
    return bytes;
}

// Makes room by dropping the oldest answers: a repeat then learns that it ran, not what was answered.
bool makeRoom(ClaimWrite &write, std::size_t needed, std::size_t bound)
{
    while (write.bytes + needed > bound) {
        ClaimEntry *oldest = nullptr;
        for (auto &[key, entry] : write.record.entries) {
            if (entry.answer && (!oldest || entry.claimedAt < oldest->claimedAt)) {
                oldest = &entry;
            }
        }
        if (!oldest) {
            return false;
        }
        oldest->answer.reset();
        write.bytes = storedBytes(write.record);
    }
    return true;
}

ClaimEntry *findOwn(ClaimRecord &record, const RequestKey &key, std::uint64_t sequence, const Incarnation &self)
{
    const auto found = record.entries.find(key);
    const bool own =
        found != record.entries.end() && found->second.holder == self && found->second.sequence == sequence;
    return own ? &found->second : nullptr;
}

void applyChange(ClaimWrite &write, const OwnChange &change, const ClaimAgent &agent)
{
    auto *entry = findOwn(write.record, change.key, change.sequence, agent.self);
    if (!entry) {
        return;
    }
    switch (change.outcome) {
    case ClaimOutcome::NotRun:
        write.bytes -= encodedClaimSize(change.key, *entry);
        write.record.entries.erase(change.key);
        return;
    case ClaimOutcome::Unknown:
        entry->state = ClaimState::Unknown;
        return;
    case ClaimOutcome::Ran:
        break;
    }
    entry->state = ClaimState::Ran;
    if (change.answer.size() > agent.options.maxAnswerBytes) {
        return;
    }
    ClaimEntry answered = *entry;
    answered.answer = change.answer;
    const auto growth = encodedClaimSize(change.key, answered) - encodedClaimSize(change.key, *entry);
    if (makeRoom(write, growth, agent.options.maxRecordBytes)) {
        entry->answer = change.answer;
        write.bytes += growth;
    }
}

} // namespace

ClaimWrite beginWrite(const ClaimShard &shard, ClaimAgent &agent, TimePoint now)
{
    ClaimWrite write;
    write.record = *shard.record;
    const auto wallNow = wallAt(agent, now);
    dropOldClaims(write.record, agent, wallNow);
    dropOldAnswers(write.record, agent.options, wallNow);
    write.bytes = storedBytes(write.record);
    for (const auto &change : shard.changes) {
        applyChange(write, change, agent);
    }
    return write;
}

bool addClaim(ClaimWrite &write, const WaitingClaim &waiting, const ClaimAgent &agent, TimePoint now)
{
    ClaimEntry entry;
    entry.holder = agent.self;
    entry.sequence = waiting.sequence;
    entry.bodyDigest = waiting.request.bodyDigest;
    entry.createdAt = waiting.createdAt;
    entry.claimedAt = wallAt(agent, now);
    const auto bytes = encodedClaimSize(waiting.request.key, entry);
    if (!makeRoom(write, bytes, agent.options.maxRecordBytes)) {
        return false;
    }
    write.bytes += bytes;
    write.record.entries[waiting.request.key] = std::move(entry);
    return true;
}

bool holdsClaim(const ClaimRecord &record, const WaitingClaim &waiting, const Incarnation &self)
{
    const auto found = record.entries.find(waiting.request.key);
    return found != record.entries.end() && found->second.holder == self && found->second.sequence == waiting.sequence;
}

bool changeIsDone(const OwnChange &change, const ClaimShard &shard, const Incarnation &self)
{
    if (!shard.record) {
        return false;
    }
    const auto found = shard.record->entries.find(change.key);
    const bool own = found != shard.record->entries.end() && found->second.holder == self
        && found->second.sequence == change.sequence;
    if (own) {
        return change.outcome != ClaimOutcome::NotRun && found->second.state != ClaimState::Claimed;
    }
    // Not there, but a write of it that got no answer may still land, long after this look at the record: the next
    // write of the shard raises the version and shuts it out.
    return !shard.lostWriteOver || shard.version > *shard.lostWriteOver;
}

} // namespace Godwit::internal
