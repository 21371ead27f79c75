#include "godwit/budget/shard_sync.h"

#include "godwit/base/hash.h"
#include "godwit/budget/budget_messages.h"
#include "godwit/budget/budget_records.h"
#include "godwit/budget/ledger_sync.h"
#include "godwit/budget/shard_record.h"

#include <algorithm>
#include <cmath>

namespace Godwit::internal
{
namespace
{

constexpr std::size_t HoldersKept = 4;
// Under pressure a router keeps what it needs for this time only.
constexpr Duration PressureCover = std::chrono::seconds(2);
constexpr Duration NeedInterval = std::chrono::milliseconds(200);
// How often calls that wait for other routers' returns look at the record.
constexpr Duration GatherRetry = std::chrono::milliseconds(30);
constexpr Duration BlockedSpread = std::chrono::milliseconds(200);
constexpr unsigned ImmediateConflicts = 1;
constexpr Duration ConflictBackoff = std::chrono::milliseconds(2);
constexpr unsigned LongestConflictShift = 6;
constexpr Duration UnreadableRetry = std::chrono::seconds(1);

OpenCommand shardCommand(std::uint32_t shard)
{
    OpenCommand owner;
    owner.owner = CommandOwner::Shard;
    owner.shard = shard;
    return owner;
}

std::set<BudgetId> touchedBudgets(const BudgetAgent &agent, const ShardSync &sync)
{
    std::set<BudgetId> touched = sync.dirty;
    touched.insert(sync.atRisk.begin(), sync.atRisk.end());
    for (const std::uint64_t sequence : sync.bills) {
        touched.insert(agent.bills.at(sequence).budget);
    }
    return touched;
}

bool someoneWaits(const BudgetAgent &agent, const ShardSync &sync)
{
    return std::any_of(sync.dirty.begin(), sync.dirty.end(), [&](const BudgetId &budget) {
        const auto slice = agent.slices.find(budget);
        return slice != agent.slices.end() && !slice->second.waiting.empty();
    });
}

std::vector<Incarnation> holdersOf(const BudgetRecord &budget, const Incarnation &self)
{
    std::vector<std::pair<Tokens, Incarnation>> holders;
    for (const auto &[holder, slice] : budget.held) {
        if (holder != self && slice.amount > 0) {
            holders.emplace_back(slice.amount, holder);
        }
    }
    const std::size_t count = std::min(holders.size(), HoldersKept);
    std::partial_sort(holders.begin(),
                      holders.begin() + static_cast<std::ptrdiff_t>(count),
                      holders.end(),
                      [](const auto &a, const auto &b) {
                          return a.first > b.first;
                      });
    std::vector<Incarnation> most;
    for (std::size_t i = 0; i < count; ++i) {
        most.push_back(holders[i].second);
    }
    return most;
}

// The live router with demand that gets the whole rest when little is left: the same for all that see the same peers.
Incarnation homeOf(const BudgetAgent &agent, const BudgetId &budget, const BudgetRecord &record)
{
    Incarnation home = agent.self;
    std::uint64_t best = rendezvousWeight(budget.value, home.value);
    for (const auto &[holder, slice] : record.held) {
        const std::uint64_t weight = rendezvousWeight(budget.value, holder.value);
        if (slice.demand > 0 && weight > best && agent.peers.count(holder) > 0) {
            home = holder;
            best = weight;
        }
    }
    return home;
}

void adoptClaims(const BudgetAgent &agent, const BudgetId &budget, const BudgetRecord &record, BudgetSlice &slice)
{
    slice.otherDemand = 0;
    slice.claimants = 1;
    for (const auto &[holder, held] : record.held) {
        if (holder != agent.self && held.demand > 0) {
            slice.otherDemand += held.demand;
            ++slice.claimants;
        }
    }
    const Incarnation home = homeOf(agent, budget, record);
    slice.home = home == agent.self;
    slice.holders = holdersOf(record, agent.self);
    if (!slice.home) {
        slice.holders.erase(std::remove(slice.holders.begin(), slice.holders.end(), home), slice.holders.end());
        slice.holders.insert(slice.holders.begin(), home);
    }
}

// Takes what a record says about one budget into the slice.
void adoptSlice(Turn &turn, const ShardRecord &record, const BudgetId &budget, BudgetSlice &slice)
{
    const auto found = record.budgets.find(budget);
    slice.seen = true;
    slice.seenAt = turn.now;
    slice.exists = found != record.budgets.end();
    if (!slice.exists) {
        slice.free = 0;
        slice.unbilled = 0;
        slice.holders.clear();
        return;
    }
    const auto held = found->second.held.find(turn.agent.self);
    const HeldSlice own = held == found->second.held.end() ? HeldSlice() : held->second;
    slice.held = own.amount;
    slice.free = freeTokens(found->second);
    slice.unbilled = found->second.prepaid - found->second.billed - found->second.reduction;
    adoptClaims(turn.agent, budget, found->second, slice);
}

// Learns from the router's mark which of its writes took effect.
void adoptMark(Turn &turn, ShardSync &sync, const ShardRecord &record)
{
    const auto mark = record.marks.find(turn.agent.self);
    if (mark == record.marks.end()) {
        return;
    }
    sync.marked = true;
    if (turn.agent.options.faults.repeatUnknownWrites) {
        return;
    }
    // The answer to a write was lost: without the mark its bills would be folded and its draws made a second time.
    while (!sync.bills.empty() && *sync.bills.begin() <= mark->second.foldedThrough) {
        finishBill(turn, *sync.bills.begin(), false);
    }
}

void adoptShard(Turn &turn, ShardSync &sync, std::uint64_t version, const ShardRecord &record)
{
    const bool moved = version != sync.version;
    if (sync.uncertain && moved) {
        sync.uncertain = false;
    }
    adoptMark(turn, sync, record);
    for (const BudgetId &budget : touchedBudgets(turn.agent, sync)) {
        const auto slice = turn.agent.slices.find(budget);
        if (slice == turn.agent.slices.end()) {
            continue;
        }
        if (turn.agent.options.faults.repeatUnknownWrites && sync.atRisk.count(budget) > 0) {
            slice->second.seen = true;
            continue;
        }
        adoptSlice(turn, record, budget, slice->second);
        if (!sync.uncertain) {
            slice->second.returning = 0;
        }
    }
    if (!sync.uncertain) {
        sync.atRisk.clear();
    }
    sync.version = version;
}

void noteMissingWriters(Turn &turn, std::uint32_t shard, const ShardRecord &record)
{
    BudgetAgent &agent = turn.agent;
    if (agent.peers.empty()) {
        return;
    }
    for (const auto &[writer, mark] : record.marks) {
        if (writer == agent.self || agent.peers.count(writer) > 0) {
            continue;
        }
        MissingWriter &missing = agent.missing.try_emplace(writer, MissingWriter{turn.now, {}}).first->second;
        missing.shards.insert(shard);
    }
}

struct WaitingCalls
{
    // The sum of the calls that can be met now.
    Tokens admitted = 0;
    // Others wait for other routers' returns.
    bool gathering = false;
};

// Whether other routers may yet return enough for `call`.
bool mayGather(const Turn &turn, const BudgetId &budget, const BudgetSlice &slice, const BudgetCall &call)
{
    // The home has the rest; the call is forwarded there sooner than anything comes back.
    if (!slice.home && isLow(situationOf(turn, budget, slice))) {
        return false;
    }
    const bool young = turn.now < call.since + turn.agent.options.gatherTime;
    return young && call.worstCase <= slice.unbilled - slice.unfolded && !liveHolders(turn.agent, slice).empty();
}

// Picks the waiting calls that `pool` can meet, first come first. Of the others, those that other routers may yet make
// room for go on waiting, and the rest is refused.
WaitingCalls admitWaiting(Turn &turn, const BudgetId &budget, BudgetSlice &slice, Tokens pool)
{
    WaitingCalls result;
    std::vector<CallId> waiting;
    waiting.swap(slice.waiting);
    for (const CallId id : waiting) {
        const BudgetCall &call = turn.agent.calls.at(id);
        const Tokens left = slice.unbilled - slice.unfolded;
        if (result.admitted + call.worstCase <= pool) {
            result.admitted += call.worstCase;
            slice.waiting.push_back(id);
        } else if (mayGather(turn, budget, slice, call)) {
            result.gathering = true;
            slice.waiting.push_back(id);
        } else {
            refuse(turn, id, call.worstCase > left ? exhausted(budget, call.worstCase, left) : busy(budget));
        }
    }
    return result;
}

// Asks the largest holders to return what they don't need: calls were refused here for want of it.
void sendNeed(Turn &turn, const BudgetId &budget, BudgetSlice &slice)
{
    if (turn.now < slice.needSentAt + NeedInterval && slice.needSentAt != TimePoint()) {
        return;
    }
    slice.needSentAt = turn.now;
    for (const Incarnation &holder : liveHolders(turn.agent, slice)) {
        turn.out.emplace_back(PeerSend{holder, encodeBudgetMessage(NeedBudget{budget})});
    }
}

Duration coverOf(const Turn &turn, const BudgetSlice &slice, const BudgetRecord &record)
{
    const BudgetAgent &agent = turn.agent;
    if (agent.life != AgentLife::Open || turn.now >= slice.lastUsed + agent.options.idleReturnAfter) {
        return Duration(0);
    }
    if (record.reduction > 0 || turn.now < slice.pressureUntil) {
        return turn.now < slice.lastUsed + PressureCover ? PressureCover : Duration(0);
    }
    return agent.options.outageCover;
}

// Sets the slice in `record` to what the router should hold; the bills of the slice are folded already.
void proposeSlice(Turn &turn, ShardSync &sync, BudgetRecord &record, const BudgetId &budget)
{
    BudgetAgent &agent = turn.agent;
    BudgetSlice &slice = agent.slices.at(budget);
    absorbReduction(record);
    HeldSlice &own = record.held[agent.self];
    const Tokens bound = slice.reserved;
    const Tokens unbound = std::max<Tokens>(0, own.amount - bound);
    SliceSituation situation = situationOf(turn, budget, slice);
    situation.cover = coverOf(turn, slice, record);
    situation.ownDemand = situation.cover == Duration(0) ? 0 : situation.ownDemand;
    own.demand = static_cast<Tokens>(std::ceil(situation.ownDemand));
    situation.free = freeTokens(record);
    situation.spendable = unbound;
    situation.rest = record.prepaid - record.billed - record.reduction - bound;
    const WaitingCalls waiting = admitWaiting(turn, budget, slice, situation.free + unbound);
    situation.waiting = waiting.admitted;
    const SliceTarget target = sliceTarget(situation);
    const Tokens before = own.amount;
    own.amount = std::max(bound, bound + target.spendable);
    slice.returning = std::max(slice.returning, before - own.amount);
    absorbReduction(record);
    sync.proposed.push_back(
        {budget, own.amount, freeTokens(record), record.prepaid - record.billed - record.reduction, target.scarce});
    if (waiting.gathering) {
        sendNeed(turn, budget, slice);
        sync.dirty.insert(budget);
        scheduleEarlier(agent.shardDue, slice.shard, turn.now + GatherRetry);
    }
}

// Folds the router's bills into `record`; returns whether there were any.
bool proposeFold(Turn &turn, ShardSync &sync, ShardRecord &record)
{
    std::deque<LedgerBill> bills;
    for (const std::uint64_t sequence : sync.bills) {
        const PendingBill &bill = turn.agent.bills.at(sequence);
        bills.push_back({sequence, bill.budget, bill.keyHash, bill.amount});
    }
    sync.proposedThrough = turn.agent.lastSequence;
    sync.duplicates = foldBills(record, turn.agent.self, bills, foldRules(turn.agent.options));
    return !bills.empty();
}

void leaveShard(const Incarnation &self, ShardRecord &record)
{
    for (auto &[id, budget] : record.budgets) {
        if (budget.held.erase(self) > 0) {
            absorbReduction(budget);
        }
    }
    record.marks.erase(self);
}

bool sliceChanged(const BudgetAgent &agent, const ShardSync &sync)
{
    return std::any_of(sync.proposed.begin(), sync.proposed.end(), [&](const ProposedSlice &proposed) {
        return proposed.held != agent.slices.at(proposed.budget).held;
    });
}

// Encodes within the platform's limit, at the cost of the oldest request keys.
std::string encodeBounded(ShardRecord &record)
{
    std::string bytes = encodeShard(record);
    while (bytes.size() > MaxRecordBytes && !record.billedKeys.empty()) {
        const auto half = static_cast<std::ptrdiff_t>((record.billedKeys.size() + 1) / 2);
        record.billedKeys.erase(record.billedKeys.begin(), record.billedKeys.begin() + half);
        bytes = encodeShard(record);
    }
    return bytes;
}

void sendShardRead(Turn &turn, std::uint32_t shard, ShardSync &sync)
{
    KvCommand command;
    command.verb = KvVerb::Get;
    command.key = budgetShardKey(shard);
    sync.phase = ShardPhase::Reading;
    sync.again = false;
    chargeRead(turn);
    startCommand(turn, shardCommand(shard), std::move(command));
}

void sendShardWrite(Turn &turn, std::uint32_t shard, ShardSync &sync, ShardRecord &record)
{
    if (!sync.proposedLeave) {
        record.marks[turn.agent.self] = {++sync.write, sync.proposedThrough};
    }
    KvCommand command;
    command.verb = KvVerb::CompareAndSwap;
    command.key = budgetShardKey(shard);
    command.expectedVersion = sync.version;
    command.value = encodeBounded(record);
    chargeWrite(turn);
    sync.phase = ShardPhase::Writing;
    startCommand(turn, shardCommand(shard), std::move(command));
}

// Ends an exchange that needs no write.
void finishWithoutWrite(Turn &turn, ShardSync &sync)
{
    for (const ProposedSlice &proposed : sync.proposed) {
        BudgetSlice &slice = turn.agent.slices.at(proposed.budget);
        slice.scarce = proposed.scarce;
        serveWaiting(turn, slice);
    }
    sync.proposed.clear();
    sync.phase = ShardPhase::Idle;
    sync.conflicts = 0;
}

void refuseUnknown(Turn &turn, const BudgetId &budget)
{
    const auto slice = turn.agent.slices.find(budget);
    if (slice != turn.agent.slices.end()) {
        refuseWaiting(turn, slice->second, unknownBudget(budget));
        scheduleEarlier(turn.agent.reviews, budget, turn.now + turn.agent.options.idleReturnAfter);
    }
}

void proposeSlices(Turn &turn, ShardSync &sync, ShardRecord &record)
{
    sync.proposed.clear();
    const std::set<BudgetId> touched = touchedBudgets(turn.agent, sync);
    sync.dirty.clear();
    for (const BudgetId &budget : touched) {
        const auto found = record.budgets.find(budget);
        if (found == record.budgets.end()) {
            refuseUnknown(turn, budget);
        } else if (turn.agent.slices.count(budget) > 0) {
            proposeSlice(turn, sync, found->second, budget);
        }
    }
}

// Decides on the next write from `record` and sends it, if one is needed.
void proposeShard(Turn &turn, std::uint32_t shard, ShardSync &sync, ShardRecord record)
{
    BudgetAgent &agent = turn.agent;
    if (sync.leaveUncertain && record.marks.count(agent.self) == 0) {
        sync.phase = ShardPhase::Idle;
        sync.left = true;
        return;
    }
    // Every write of this router left its mark. If the mark is gone, others have returned the slices: what is held
    // in memory belongs to someone else by now.
    if (sync.marked && !sync.left && record.marks.count(agent.self) == 0 && !agent.options.faults.ignoreClosing) {
        sync.phase = ShardPhase::Idle;
        becomeClosed(turn);
        return;
    }
    const bool folds = proposeFold(turn, sync, record);
    proposeSlices(turn, sync, record);
    sync.proposedLeave = readyToLeave(agent, sync);
    if (sync.proposedLeave) {
        leaveShard(agent.self, record);
    } else if (!folds && !sliceChanged(agent, sync)) {
        finishWithoutWrite(turn, sync);
        return;
    }
    if (!sync.proposedLeave && !shardListed(turn, shard)) {
        // A closer looks only into the shards that the ledger lists; a slice elsewhere would never come back.
        for (const ProposedSlice &proposed : sync.proposed) {
            sync.dirty.insert(proposed.budget);
        }
        sync.phase = ShardPhase::Idle;
        runLedger(turn);
        return;
    }
    sendShardWrite(turn, shard, sync, record);
}

void onShardWritten(Turn &turn, ShardSync &sync, std::uint64_t version)
{
    BudgetAgent &agent = turn.agent;
    sync.version = version;
    sync.marked = !sync.proposedLeave;
    sync.left = sync.proposedLeave;
    sync.uncertain = false;
    sync.phase = ShardPhase::Idle;
    sync.conflicts = 0;
    const std::set<std::uint64_t> folded(sync.bills.begin(), sync.bills.upper_bound(sync.proposedThrough));
    for (const std::uint64_t sequence : folded) {
        const bool duplicate =
            std::find(sync.duplicates.begin(), sync.duplicates.end(), sequence) != sync.duplicates.end();
        finishBill(turn, sequence, duplicate);
    }
    for (const BudgetId &budget : sync.atRisk) {
        const auto slice = agent.slices.find(budget);
        if (slice != agent.slices.end()) {
            slice->second.returning = 0;
        }
    }
    sync.atRisk.clear();
    std::vector<ProposedSlice> proposedSlices;
    proposedSlices.swap(sync.proposed);
    for (const ProposedSlice &proposed : proposedSlices) {
        BudgetSlice &slice = agent.slices.at(proposed.budget);
        slice.held = sync.left ? 0 : proposed.held;
        slice.returning = 0;
        slice.free = proposed.free;
        slice.unbilled = proposed.unbilled;
        slice.scarce = proposed.scarce;
        slice.seenAt = turn.now;
        serveWaiting(turn, slice);
    }
}

void restoreDirty(ShardSync &sync)
{
    for (const ProposedSlice &proposed : sync.proposed) {
        sync.dirty.insert(proposed.budget);
    }
}

void onShardFailed(Turn &turn, std::uint32_t shard, ShardSync &sync, KvStatus status)
{
    const bool wrote = sync.phase == ShardPhase::Writing;
    restoreDirty(sync);
    for (const ProposedSlice &proposed : sync.proposed) {
        if (wrote && status == KvStatus::Unknown) {
            sync.atRisk.insert(proposed.budget);
        } else if (!sync.uncertain) {
            turn.agent.slices.at(proposed.budget).returning = 0;
        }
    }
    const bool unknown = wrote && status == KvStatus::Unknown;
    sync.uncertain = sync.uncertain || unknown;
    sync.leaveUncertain = sync.leaveUncertain || (unknown && sync.proposedLeave);
    sync.proposed.clear();
    sync.phase = ShardPhase::Idle;
    scheduleEarlier(turn.agent.shardDue, shard, platformFreeAt(turn));
}

void takeRecord(Turn &turn, std::uint32_t shard, ShardSync &sync, const KvReply &reply)
{
    LastReason reason;
    auto record = decodeShard(reply.value, reason);
    if (!record) {
        // Nothing is spent from a record that can't be read; an operator has to restore it.
        for (const BudgetId &budget : sync.dirty) {
            const auto slice = turn.agent.slices.find(budget);
            if (slice != turn.agent.slices.end()) {
                refuseWaiting(turn, slice->second, platformAway(UnreadableRetry, reason->message.c_str()));
            }
        }
        sync.phase = ShardPhase::Idle;
        scheduleEarlier(turn.agent.shardDue, shard, turn.now + UnreadableRetry);
        return;
    }
    adoptShard(turn, sync, reply.version, *record);
    noteMissingWriters(turn, shard, *record);
    proposeShard(turn, shard, sync, std::move(*record));
}

void onShardConflict(Turn &turn, std::uint32_t shard, ShardSync &sync, const KvReply &reply)
{
    restoreDirty(sync);
    sync.proposed.clear();
    ++sync.conflicts;
    if (sync.conflicts <= ImmediateConflicts) {
        takeRecord(turn, shard, sync, reply);
        return;
    }
    // Several routers write this shard now; coming back at different times lets each of them through.
    const Duration range = ConflictBackoff * (1 << std::min(sync.conflicts, LongestConflictShift));
    sync.phase = ShardPhase::Idle;
    scheduleEarlier(turn.agent.shardDue, shard, turn.now + jitter(turn.agent, range));
}

// Whether a slice has more than its router needs while calls wait elsewhere.
bool isPressed(const Turn &turn, const ShardSync &sync)
{
    return std::any_of(sync.dirty.begin(), sync.dirty.end(), [&](const BudgetId &budget) {
        const auto slice = turn.agent.slices.find(budget);
        return slice != turn.agent.slices.end() && turn.now < slice->second.pressureUntil;
    });
}

bool hasWork(const BudgetAgent &agent, const ShardSync &sync)
{
    return !sync.dirty.empty() || !sync.bills.empty() || sync.uncertain || readyToLeave(agent, sync);
}

} // namespace

bool readyToLeave(const BudgetAgent &agent, const ShardSync &sync)
{
    return agent.life == AgentLife::Draining && agent.calls.empty() && sync.bills.empty() && sync.marked && !sync.left;
}

void refuseForOutage(Turn &turn)
{
    const Duration retryAfter = turn.agent.platform.retryAt - turn.now;
    for (const auto &[shard, sync] : turn.agent.shards) {
        for (const BudgetId &budget : sync.dirty) {
            const auto slice = turn.agent.slices.find(budget);
            if (slice != turn.agent.slices.end()) {
                refuseWaiting(turn, slice->second, platformAway(retryAfter, "no draw from the budget is possible now"));
            }
        }
    }
}

void runShard(Turn &turn, std::uint32_t shard)
{
    BudgetAgent &agent = turn.agent;
    ShardSync &sync = agent.shards[shard];
    const bool over = agent.life == AgentLife::Closed || agent.life == AgentLife::Drained;
    if (over || sync.phase != ShardPhase::Idle || !hasWork(agent, sync)) {
        return;
    }
    const bool urgent = someoneWaits(agent, sync) || isPressed(turn, sync);
    const auto priority = urgent ? WritePriority::Urgent : WritePriority::Normal;
    const TimePoint at = std::max(platformFreeAt(turn), allowedAt(turn, priority));
    if (at > turn.now) {
        // Shards that wait for the allowance go on in a random order: in the same order at every router, they would
        // all write the same shard at the same time, and the last one would starve.
        scheduleEarlier(agent.shardDue, shard, urgent ? at : at + jitter(agent, BlockedSpread));
        return;
    }
    sendShardRead(turn, shard, sync);
}

void onShardReply(Turn &turn, std::uint32_t shard, const KvReply &reply)
{
    ShardSync &sync = turn.agent.shards[shard];
    const bool wrote = sync.phase == ShardPhase::Writing;
    switch (reply.status) {
    case KvStatus::Ok:
        if (wrote) {
            onShardWritten(turn, sync, reply.version);
        } else {
            takeRecord(turn, shard, sync, reply);
        }
        break;
    case KvStatus::NotFound:
        takeRecord(turn, shard, sync, KvReply());
        break;
    case KvStatus::Conflict:
        onShardConflict(turn, shard, sync, reply);
        break;
    case KvStatus::Rejected:
    case KvStatus::Unknown:
        onShardFailed(turn, shard, sync, reply.status);
        break;
    }
    if (turn.agent.life != AgentLife::Closed && sync.phase == ShardPhase::Idle && hasWork(turn.agent, sync)) {
        const bool hurry = turn.agent.life == AgentLife::Draining || sync.again;
        const Duration pace = hurry ? Duration(0) : turn.agent.options.foldInterval;
        scheduleEarlier(turn.agent.shardDue, shard, turn.now + pace);
    }
}

} // namespace Godwit::internal
