#include "godwit/budget/ledger_sync.h"

#include "godwit/budget/budget_records.h"
#include "godwit/budget/witness_copies.h"

#include <algorithm>

namespace Godwit::internal
{
namespace
{

// How long the witnesses get to answer before a bill's release asks for a write of the ledger.
constexpr Duration WitnessPatience = std::chrono::milliseconds(20);
// Part of the write allowance that appends leave for draws and folds.
constexpr double AppendsShare = 0.5;
constexpr Duration RereadInterval = std::chrono::seconds(1);

bool hasWitnesses(const BudgetAgent &agent)
{
    const WitnessGroups &groups = agent.ledger.stored.witnesses;
    return !groups.far.empty() || !groups.near.empty();
}

bool witnessesDiffer(const BudgetAgent &agent)
{
    const WitnessGroups &stored = agent.ledger.stored.witnesses;
    const WitnessGroups &wanted = agent.ledger.wantedWitnesses;
    return stored.far != wanted.far || stored.near != wanted.near;
}

bool shardsMissing(const BudgetAgent &agent)
{
    const auto &stored = agent.ledger.stored.shards;
    const auto &wanted = agent.ledger.wantedShards;
    return !std::includes(stored.begin(), stored.end(), wanted.begin(), wanted.end());
}

bool hasUnrecorded(const BudgetAgent &agent)
{
    return !agent.bills.empty() && agent.bills.rbegin()->first > agent.ledger.stored.recordedThrough;
}

// When the next append should go out, by the age of the bills alone.
TimePoint appendAt(const BudgetAgent &agent)
{
    const OwnLedger &ledger = agent.ledger;
    const auto shortest =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / (writeRate(agent) * AppendsShare)));
    const Duration interval = std::max(agent.options.ledgerInterval, shortest);
    TimePoint at = ledger.lastWriteAt + interval;
    if (!agent.unreleased.empty()) {
        const TimePoint settledAt = agent.bills.at(*agent.unreleased.begin()).settledAt;
        const TimePoint patient = hasWitnesses(agent) ? settledAt + WitnessPatience : settledAt;
        at = std::min(at, std::max(ledger.lastWriteAt + shortest, patient));
    }
    return at;
}

// What a ledger write is for decides when it goes out; nullopt when there is nothing to write.
std::optional<TimePoint> wantedAt(const BudgetAgent &agent, TimePoint now)
{
    const OwnLedger &ledger = agent.ledger;
    if (agent.life == AgentLife::Closed || agent.life == AgentLife::Drained) {
        return std::nullopt;
    }
    if (ledger.needsRead) {
        return std::max(now, ledger.lastReadAt + (ledger.uncertain.empty() ? RereadInterval : Duration(0)));
    }
    if (ledger.closing || shardsMissing(agent) || readyToDeleteLedger(agent)) {
        return now;
    }
    if (ledger.version == 0) {
        return std::nullopt;
    }
    if (witnessesDiffer(agent)) {
        return now;
    }
    if (hasUnrecorded(agent)) {
        return std::max(now, appendAt(agent));
    }
    return std::nullopt;
}

WritePriority priorityOf(const BudgetAgent &agent)
{
    const bool urgent = !agent.unreleased.empty() || shardsMissing(agent) || agent.ledger.closing;
    return urgent ? WritePriority::Urgent : WritePriority::Normal;
}

LedgerRecord nextRecord(const BudgetAgent &agent)
{
    LedgerRecord record;
    record.epoch = agent.ledger.stored.epoch + (agent.ledger.closing ? 1 : 0);
    record.write = agent.ledger.writes + 1;
    record.recordedThrough = agent.lastSequence;
    record.witnesses = agent.ledger.wantedWitnesses;
    record.shards = agent.ledger.stored.shards;
    record.shards.insert(agent.ledger.wantedShards.begin(), agent.ledger.wantedShards.end());
    for (const auto &[sequence, bill] : agent.bills) {
        record.bills.push_back({sequence, bill.budget, bill.keyHash, bill.amount});
    }
    return record;
}

LedgerTerms termsOf(const LedgerRecord &record)
{
    return {record.epoch, record.write, record.recordedThrough, record.witnesses, record.shards};
}

OpenCommand ledgerCommand()
{
    OpenCommand owner;
    owner.owner = CommandOwner::Ledger;
    return owner;
}

void sendRead(Turn &turn)
{
    OwnLedger &ledger = turn.agent.ledger;
    KvCommand command;
    command.verb = KvVerb::Get;
    command.key = ledgerKey(turn.agent.self);
    ledger.verb = KvVerb::Get;
    ledger.lastReadAt = turn.now;
    ledger.tag = startCommand(turn, ledgerCommand(), std::move(command));
}

void sendDelete(Turn &turn)
{
    OwnLedger &ledger = turn.agent.ledger;
    chargeWrite(turn);
    KvCommand command;
    command.verb = KvVerb::Delete;
    command.key = ledgerKey(turn.agent.self);
    command.expectedVersion = ledger.version;
    ledger.verb = KvVerb::Delete;
    ledger.tag = startCommand(turn, ledgerCommand(), std::move(command));
}

void sendWrite(Turn &turn)
{
    OwnLedger &ledger = turn.agent.ledger;
    const LedgerRecord record = nextRecord(turn.agent);
    KvCommand command;
    command.verb = KvVerb::CompareAndSwap;
    command.key = ledgerKey(turn.agent.self);
    command.expectedVersion = ledger.version;
    command.value = encodeLedger(record);
    chargeWrite(turn);
    ledger.verb = KvVerb::CompareAndSwap;
    ledger.writes = record.write;
    ledger.proposed = termsOf(record);
    ledger.lastWriteAt = turn.now;
    ledger.tag = startCommand(turn, ledgerCommand(), std::move(command));
    updateLinks(turn.agent);
}

void startEpoch(Turn &turn)
{
    for (auto &[witness, link] : turn.agent.links) {
        link = WitnessLink();
    }
}

// Shards that waited to be listed can go on.
void wakeShards(Turn &turn)
{
    for (const std::uint32_t shard : turn.agent.ledger.wantedShards) {
        if (!turn.agent.shards[shard].dirty.empty()) {
            scheduleEarlier(turn.agent.shardDue, shard, turn.now);
        }
    }
    turn.agent.ledger.wantedShards.clear();
}

void adoptTerms(Turn &turn, const LedgerTerms &terms, std::uint64_t version)
{
    OwnLedger &ledger = turn.agent.ledger;
    const bool newEpoch = ledger.stored.epoch != terms.epoch;
    ledger.stored = terms;
    ledger.proposed = terms;
    if (version != ledger.version) {
        ledger.uncertain.clear();
    }
    ledger.version = version;
    ledger.closing = false;
    ledger.needsRead = false;
    updateLinks(turn.agent);
    if (newEpoch) {
        startEpoch(turn);
    }
    if (!shardsMissing(turn.agent)) {
        wakeShards(turn);
    }
    pumpCopies(turn);
}

void adoptAbsent(Turn &turn)
{
    OwnLedger &ledger = turn.agent.ledger;
    if (ledger.deleted || ledger.verb == KvVerb::Delete) {
        turn.agent.life = AgentLife::Drained;
        return;
    }
    // Nobody else deletes a ledger. If it is gone all the same, the platform has lost it, and what this incarnation
    // holds with it.
    if (ledger.version != 0) {
        becomeClosed(turn);
        return;
    }
    ledger.needsRead = false;
}

void adoptRecord(Turn &turn, std::uint64_t version, const std::string &value)
{
    LastReason reason;
    const auto record = decodeLedger(value, reason);
    if (!record) {
        noteReply(turn, KvStatus::Unknown);
        turn.agent.ledger.needsRead = true;
        return;
    }
    if (record->state == LedgerState::Closed) {
        becomeClosed(turn);
        return;
    }
    const bool closing = record->state == LedgerState::Closing;
    adoptTerms(turn, termsOf(*record), version);
    // Nobody has completed the closing yet. Compare-and-swap decides between the closer's last step and the reopening:
    // a partition that ends costs no call then.
    turn.agent.ledger.closing = closing;
}

void onWriteReply(Turn &turn, const KvReply &reply)
{
    OwnLedger &ledger = turn.agent.ledger;
    switch (reply.status) {
    case KvStatus::Ok:
        adoptTerms(turn, LedgerTerms(ledger.proposed), reply.version);
        break;
    case KvStatus::Conflict:
    case KvStatus::NotFound:
        if (reply.version == 0 || reply.value.empty()) {
            adoptAbsent(turn);
        } else {
            adoptRecord(turn, reply.version, reply.value);
        }
        break;
    case KvStatus::Rejected:
        ledger.proposed = ledger.stored;
        updateLinks(turn.agent);
        break;
    case KvStatus::Unknown:
        ledger.uncertain.push_back(ledger.proposed);
        ledger.needsRead = true;
        break;
    }
}

void onDeleteReply(Turn &turn, const KvReply &reply)
{
    switch (reply.status) {
    case KvStatus::Ok:
    case KvStatus::NotFound:
        turn.agent.life = AgentLife::Drained;
        break;
    case KvStatus::Conflict:
        if (reply.version == 0 || reply.value.empty()) {
            turn.agent.life = AgentLife::Drained;
        } else {
            adoptRecord(turn, reply.version, reply.value);
        }
        break;
    case KvStatus::Rejected:
        break;
    case KvStatus::Unknown:
        turn.agent.ledger.deleted = true;
        turn.agent.ledger.needsRead = true;
        break;
    }
}

void onReadReply(Turn &turn, const KvReply &reply)
{
    if (reply.status == KvStatus::NotFound || (reply.status == KvStatus::Ok && reply.version == 0)) {
        adoptAbsent(turn);
    } else if (reply.status == KvStatus::Ok) {
        adoptRecord(turn, reply.version, reply.value);
    }
}

void forgetOwnTail(Turn &turn)
{
    for (const auto &[witness, link] : turn.agent.links) {
        turn.out.emplace_back(PeerSend{witness, encodeBudgetMessage(ForgetTail{turn.agent.self})});
    }
    turn.agent.links.clear();
}

} // namespace

void reviewWitnesses(Turn &turn)
{
    turn.agent.ledger.wantedWitnesses = chooseWitnesses(turn.agent, turn.agent.ledger.wantedWitnesses);
}

bool shardListed(Turn &turn, std::uint32_t shard)
{
    if (turn.agent.ledger.stored.shards.count(shard) > 0) {
        return true;
    }
    turn.agent.ledger.wantedShards.insert(shard);
    return false;
}

bool readyToDeleteLedger(const BudgetAgent &agent)
{
    if (agent.life != AgentLife::Draining || !agent.calls.empty() || !agent.bills.empty()) {
        return false;
    }
    return std::all_of(agent.shards.begin(), agent.shards.end(), [](const auto &entry) {
        const ShardSync &shard = entry.second;
        return shard.phase == ShardPhase::Idle && !shard.uncertain && (shard.left || !shard.marked);
    });
}

std::optional<TimePoint> nextLedgerAt(Turn &turn)
{
    if (turn.agent.ledger.tag != 0) {
        return std::nullopt;
    }
    const auto wanted = wantedAt(turn.agent, turn.now);
    if (!wanted) {
        return std::nullopt;
    }
    TimePoint at = std::max(*wanted, platformFreeAt(turn));
    if (!turn.agent.ledger.needsRead) {
        at = std::max(at, allowedAt(turn, priorityOf(turn.agent)));
    }
    return at;
}

void runLedger(Turn &turn)
{
    const auto at = nextLedgerAt(turn);
    if (!at || *at > turn.now) {
        return;
    }
    if (turn.agent.ledger.needsRead) {
        sendRead(turn);
    } else if (readyToDeleteLedger(turn.agent) && !turn.agent.ledger.closing) {
        if (turn.agent.ledger.version == 0) {
            turn.agent.life = AgentLife::Drained;
        } else {
            sendDelete(turn);
        }
    } else {
        sendWrite(turn);
    }
}

void onLedgerReply(Turn &turn, const KvReply &reply)
{
    turn.agent.ledger.tag = 0;
    switch (turn.agent.ledger.verb) {
    case KvVerb::CompareAndSwap:
        onWriteReply(turn, reply);
        break;
    case KvVerb::Delete:
        onDeleteReply(turn, reply);
        break;
    default:
        onReadReply(turn, reply);
        break;
    }
    if (turn.agent.life == AgentLife::Drained) {
        forgetOwnTail(turn);
    }
    releaseBills(turn);
}

} // namespace Godwit::internal
