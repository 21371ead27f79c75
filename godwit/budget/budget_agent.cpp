#include "godwit/budget/budget_agent.h"

#include "godwit/base/hash.h"
#include "godwit/budget/agent_core.h"
#include "godwit/budget/budget_messages.h"
#include "godwit/budget/budget_records.h"
#include "godwit/budget/ledger_sync.h"
#include "godwit/budget/router_closing.h"
#include "godwit/budget/shard_sync.h"
#include "godwit/budget/witness_copies.h"

#include <algorithm>

namespace Godwit
{

using namespace internal;

namespace
{

// How soon what a call left over goes back while its budget runs low.
constexpr Duration ScarceFold = std::chrono::milliseconds(200);
constexpr Duration PressedFold = std::chrono::milliseconds(20);
constexpr int ReviewsPerIdleTime = 4;
// A slice is filled up again when it has fallen to this part of its target.
constexpr Tokens LowWaterDivisor = 2;
// An unknown budget is looked for again after this time.
constexpr Duration UnknownRetry = std::chrono::seconds(1);
constexpr std::size_t FoldAtBills = 256;
constexpr Duration PressureTime = std::chrono::seconds(5);

bool isOver(const BudgetAgent &agent)
{
    return agent.life == AgentLife::Closed || agent.life == AgentLife::Drained;
}

// Bills that can't be released soon must not pile up: their number and age are bounded.
std::optional<Error> tailRefusal(const Turn &turn)
{
    const BudgetAgent &agent = turn.agent;
    if (agent.bills.size() + agent.calls.size() >= agent.options.maxTailBills) {
        return platformAway(std::chrono::seconds(1), "too many bills wait for the platform");
    }
    if (!agent.unreleased.empty()) {
        const PendingBill &oldest = agent.bills.at(*agent.unreleased.begin());
        if (turn.now > oldest.settledAt + agent.options.maxReleaseWait) {
            return platformAway(std::chrono::seconds(1), "bills can be recorded nowhere at the moment");
        }
    }
    return std::nullopt;
}

// What is known already about a call that the slice can't meet.
std::optional<Error> knownRefusal(Turn &turn, const BudgetId &budget, const BudgetSlice &slice, Tokens worstCase)
{
    const BudgetAgent &agent = turn.agent;
    if (platformIsAway(agent)) {
        return platformAway(agent.platform.retryAt - turn.now, "no draw from the budget is possible now");
    }
    if (!slice.seen) {
        return std::nullopt;
    }
    if (!slice.exists) {
        return turn.now < slice.seenAt + UnknownRetry ? std::optional<Error>(unknownBudget(budget)) : std::nullopt;
    }
    // Each look finds a top-up or a return at once; only when reads run short does an older look have to do.
    const Tokens reachable = slice.free + std::max<Tokens>(0, spendable(agent, slice));
    const bool fresh = turn.now < slice.seenAt + agent.options.recordFreshFor;
    if (!fresh || worstCase <= reachable || mayRead(turn)) {
        return std::nullopt;
    }
    const Tokens left = slice.unbilled - slice.unfolded;
    return worstCase > left ? exhausted(budget, worstCase, left) : busy(budget);
}

Tokens lowWater(const Turn &turn, const BudgetId &budget, const BudgetSlice &slice)
{
    SliceSituation situation = situationOf(turn, budget, slice);
    situation.cover = turn.agent.options.outageCover;
    return sliceTarget(situation).spendable / LowWaterDivisor;
}

// Draws ahead when the slice runs low, so that callers seldom wait for a draw.
void drawAhead(Turn &turn, const BudgetId &budget, const BudgetSlice &slice)
{
    const ShardSync &sync = turn.agent.shards[slice.shard];
    const bool asked = sync.phase != ShardPhase::Idle || sync.dirty.count(budget) > 0;
    if (!asked && slice.free > 0 && spendable(turn.agent, slice) < lowWater(turn, budget, slice)) {
        wantShard(turn, slice.shard, budget, turn.now);
    }
}

// Brings what a call left over back to the others while the budget runs low.
void returnSoon(Turn &turn, const BudgetId &budget, const BudgetSlice &slice)
{
    if (turn.now < slice.pressureUntil) {
        wantShard(turn, slice.shard, budget, turn.now + PressedFold);
    } else if (slice.scarce) {
        wantShard(turn, slice.shard, budget, turn.now + ScarceFold);
    }
}

void removeWaiting(BudgetSlice &slice, CallId call)
{
    const auto found = std::find(slice.waiting.begin(), slice.waiting.end(), call);
    if (found != slice.waiting.end()) {
        slice.waiting.erase(found);
    }
}

void giveUp(Turn &turn, CallId call)
{
    const auto found = turn.agent.calls.find(call);
    if (found == turn.agent.calls.end() || found->second.granted) {
        return;
    }
    removeWaiting(turn.agent.slices.at(found->second.budget), call);
    refuse(turn, call, platformAway(std::chrono::seconds(1), "the draw from the budget took too long"));
}

// Looks after one slice from time to time: idle ones go back, unused ones are forgotten.
void reviewSlice(Turn &turn, const BudgetId &budget)
{
    BudgetAgent &agent = turn.agent;
    const auto found = agent.slices.find(budget);
    if (found == agent.slices.end()) {
        return;
    }
    const BudgetSlice &slice = found->second;
    const bool idle = turn.now >= slice.lastUsed + agent.options.idleReturnAfter;
    const ShardSync &sync = agent.shards[slice.shard];
    const bool touched = sync.phase != ShardPhase::Idle || sync.dirty.count(budget) + sync.atRisk.count(budget) > 0;
    const bool empty = slice.held == 0 && slice.reserved == 0 && slice.unfolded == 0 && slice.waiting.empty();
    if (idle && empty && !touched) {
        agent.slices.erase(found);
        return;
    }
    const Tokens unused = spendable(agent, slice);
    if ((idle && unused > 0) || unused > 2 * LowWaterDivisor * lowWater(turn, budget, slice)) {
        wantShard(turn, slice.shard, budget, turn.now);
    }
    schedule(agent.reviews, budget, turn.now + agent.options.idleReturnAfter / ReviewsPerIdleTime);
}

// The last call of a drain has ended: every shard can be left.
void leaveShards(Turn &turn)
{
    BudgetAgent &agent = turn.agent;
    if (agent.life != AgentLife::Draining || !agent.calls.empty()) {
        return;
    }
    for (const auto &[shard, sync] : agent.shards) {
        if (readyToLeave(agent, sync) || !sync.bills.empty()) {
            scheduleEarlier(agent.shardDue, shard, turn.now);
        }
    }
}

void keepEarliest(std::optional<TimePoint> &wake, std::optional<TimePoint> at)
{
    if (at && (!wake || *at < *wake)) {
        wake = at;
    }
}

std::optional<TimePoint> wakeTime(Turn &turn)
{
    const BudgetAgent &agent = turn.agent;
    std::optional<TimePoint> wake = earliest(agent.timeouts);
    keepEarliest(wake, earliest(agent.giveUps));
    if (isOver(agent)) {
        return std::nullopt;
    }
    keepEarliest(wake, earliest(agent.reviews));
    keepEarliest(wake, earliest(agent.shardDue));
    keepEarliest(wake, nextCopyAt(agent));
    keepEarliest(wake, nextLedgerAt(turn));
    keepEarliest(wake, nextClosingAt(turn));
    return wake;
}

void runTimers(Turn &turn)
{
    BudgetAgent &agent = turn.agent;
    while (const auto tag = popDue(agent.timeouts, turn.now)) {
        KvReply reply;
        reply.tag = *tag;
        reply.status = KvStatus::Unknown;
        onKvReply(agent, reply, turn.now, turn.out);
    }
    while (const auto call = popDue(agent.giveUps, turn.now)) {
        giveUp(turn, *call);
    }
    if (isOver(agent)) {
        return;
    }
    while (const auto budget = popDue(agent.reviews, turn.now)) {
        reviewSlice(turn, *budget);
    }
    leaveShards(turn);
    pumpCopies(turn);
    runLedger(turn);
    while (const auto shard = popDue(agent.shardDue, turn.now)) {
        runShard(turn, *shard);
    }
    runClosings(turn);
}

void runDue(Turn &turn)
{
    runTimers(turn);
    turn.agent.wakeAt = wakeTime(turn);
}

void recordBill(Turn &turn, CallId call, const BudgetCall &settled, BudgetSlice &slice, Tokens actual)
{
    BudgetAgent &agent = turn.agent;
    const std::uint64_t sequence = ++agent.lastSequence;
    PendingBill bill;
    bill.call = call;
    bill.budget = settled.budget;
    bill.shard = slice.shard;
    bill.keyHash = settled.keyHash;
    bill.amount = actual;
    bill.settledAt = turn.now;
    agent.bills.emplace_hint(agent.bills.end(), sequence, std::move(bill));
    agent.unreleased.insert(agent.unreleased.end(), sequence);
    agent.shards[slice.shard].bills.insert(sequence);
    slice.unfolded += actual;
    // Each append to the ledger writes all unfolded bills again, so many of them are folded before their time.
    const bool many = agent.shards[slice.shard].bills.size() % FoldAtBills == 0;
    scheduleEarlier(agent.shardDue, slice.shard, turn.now + (many ? Duration(0) : agent.options.foldInterval));
}

void onNeed(Turn &turn, const NeedBudget &need)
{
    const auto slice = turn.agent.slices.find(need.budget);
    if (slice == turn.agent.slices.end()) {
        return;
    }
    slice->second.pressureUntil = turn.now + PressureTime;
    if (spendable(turn.agent, slice->second) > 0) {
        wantShard(turn, slice->second.shard, need.budget, turn.now);
    }
}

void answerSeal(Turn &turn, const Incarnation &closer, const SealRequest &request)
{
    if (const auto tail = sealTail(turn.agent, request)) {
        turn.out.emplace_back(PeerSend{closer, encodeBudgetMessage(*tail)});
    }
}

struct MessageHandler
{
    Turn &turn;
    const Incarnation &from;

    void operator()(const BillCopy &copy) const
    {
        onBillCopy(turn, from, copy);
    }
    void operator()(const CopyAck &ack) const
    {
        onCopyAck(turn, from, ack);
    }
    void operator()(const SealRequest &request) const
    {
        answerSeal(turn, from, request);
    }
    void operator()(const SealedTail &tail) const
    {
        onSealedTail(turn, from, tail);
    }
    void operator()(const ForgetTail &forget) const
    {
        forgetTail(turn.agent, forget.about);
    }
    void operator()(const NeedBudget &need) const
    {
        onNeed(turn, need);
    }
};

} // namespace

BudgetAgent makeBudgetAgent(const Incarnation &self, BudgetOptions options)
{
    BudgetAgent agent;
    agent.self = self;
    agent.options = std::move(options);
    agent.random = agent.options.seed ^ stableHash(self.value);
    return agent;
}

void setBudgetRule(BudgetAgent &agent, const BudgetId &budget, const BudgetRule &rule)
{
    agent.rules[budget] = rule;
}

void reserve(BudgetAgent &agent, const Reservation &reservation, TimePoint now, std::vector<BudgetAction> &out)
{
    Turn turn{agent, now, out};
    if (agent.life != AgentLife::Open) {
        refuse(turn, reservation.call, stopped());
        return;
    }
    const Tokens worstCase = std::clamp<Tokens>(reservation.worstCase, 0, MaxTokens);
    BudgetSlice &slice = sliceOf(agent, reservation.budget);
    slice.lastUsed = now;
    scheduleEarlier(agent.reviews, reservation.budget, now + agent.options.idleReturnAfter / ReviewsPerIdleTime);
    agent.calls[reservation.call] = {reservation.budget, requestKeyHash(reservation.key), worstCase, false, now};
    if (auto error = tailRefusal(turn)) {
        refuse(turn, reservation.call, std::move(*error));
        return;
    }
    noteDemand(slice.demand, worstCase, now);
    if (slice.exists && worstCase <= spendable(agent, slice)) {
        grant(turn, reservation.call, slice);
        drawAhead(turn, reservation.budget, slice);
    } else if (auto known = knownRefusal(turn, reservation.budget, slice, worstCase)) {
        refuse(turn, reservation.call, std::move(*known));
    } else {
        slice.waiting.push_back(reservation.call);
        schedule(agent.giveUps, reservation.call, reservation.giveUpAt);
        wantShard(turn, slice.shard, reservation.budget, now);
    }
    runDue(turn);
}

void settle(BudgetAgent &agent, CallId call, Tokens actual, TimePoint now, std::vector<BudgetAction> &out)
{
    Turn turn{agent, now, out};
    const auto found = agent.calls.find(call);
    if (found == agent.calls.end() || !found->second.granted) {
        return;
    }
    const BudgetCall settled = found->second;
    agent.calls.erase(found);
    if (isOver(agent)) {
        Error error = stopped();
        error.kind = ErrorKind::AnswerIncomplete;
        error.execution = Execution::Run;
        out.emplace_back(BillLost{call, std::move(error)});
        return;
    }
    BudgetSlice &slice = agent.slices.at(settled.budget);
    slice.reserved -= settled.worstCase;
    slice.lastUsed = now;
    const Tokens billed = std::clamp<Tokens>(actual, 0, settled.worstCase);
    noteSettled(slice.demand, settled.worstCase, billed);
    if (agent.releasedKeys.hashes.count(settled.keyHash) > 0 && !agent.options.faults.skipDuplicateKeys) {
        out.emplace_back(BillDurable{call, 0, true});
    } else {
        recordBill(turn, call, settled, slice, billed);
    }
    returnSoon(turn, settled.budget, slice);
    serveWaiting(turn, slice);
    releaseBills(turn);
    runDue(turn);
}

void cancelReservation(BudgetAgent &agent, CallId call, TimePoint now, std::vector<BudgetAction> &out)
{
    Turn turn{agent, now, out};
    const auto found = agent.calls.find(call);
    if (found == agent.calls.end()) {
        return;
    }
    const BudgetCall cancelled = found->second;
    agent.calls.erase(found);
    unschedule(agent.giveUps, call);
    const auto slice = agent.slices.find(cancelled.budget);
    if (slice == agent.slices.end()) {
        return;
    }
    if (cancelled.granted) {
        slice->second.reserved -= cancelled.worstCase;
        returnSoon(turn, cancelled.budget, slice->second);
        serveWaiting(turn, slice->second);
    } else {
        removeWaiting(slice->second, call);
    }
    runDue(turn);
}

void onKvReply(BudgetAgent &agent, const KvReply &reply, TimePoint now, std::vector<BudgetAction> &out)
{
    Turn turn{agent, now, out};
    const auto found = agent.commands.find(reply.tag);
    if (found == agent.commands.end()) {
        return;
    }
    const OpenCommand command = found->second;
    agent.commands.erase(found);
    unschedule(agent.timeouts, reply.tag);
    if (isOver(agent)) {
        return;
    }
    noteReply(turn, reply.status);
    switch (command.owner) {
    case CommandOwner::Shard:
        onShardReply(turn, command.shard, reply);
        break;
    case CommandOwner::Ledger:
        onLedgerReply(turn, reply);
        break;
    case CommandOwner::Closing:
        onClosingReply(turn, command.closing, reply);
        break;
    }
    if (platformIsAway(agent)) {
        refuseForOutage(turn);
    }
    runDue(turn);
}

void onPeerMessage(
    BudgetAgent &agent, const Incarnation &from, const std::string &cbor, TimePoint now, std::vector<BudgetAction> &out)
{
    Turn turn{agent, now, out};
    LastReason reason;
    const auto message = decodeBudgetMessage(cbor, reason);
    if (!message) {
        return;
    }
    std::visit(MessageHandler{turn, from}, *message);
    runDue(turn);
}

void setPeers(BudgetAgent &agent, std::vector<BudgetPeer> peers, TimePoint now, std::vector<BudgetAction> &out)
{
    Turn turn{agent, now, out};
    agent.peers.clear();
    for (BudgetPeer &peer : peers) {
        agent.peers.emplace(std::move(peer.incarnation), std::move(peer.dataCentre));
    }
    agent.peers.emplace(agent.self, agent.options.dataCentre);
    reviewWitnesses(turn);
    reviewClosings(turn);
    runDue(turn);
}

void onRouterGone(BudgetAgent &agent, const Incarnation &gone, TimePoint now, std::vector<BudgetAction> &out)
{
    Turn turn{agent, now, out};
    agent.peers.erase(gone);
    if (gone == agent.self) {
        return;
    }
    startClosing(turn, gone);
    reviewWitnesses(turn);
    runDue(turn);
}

void drainBudgets(BudgetAgent &agent, TimePoint now, std::vector<BudgetAction> &out)
{
    Turn turn{agent, now, out};
    if (agent.life != AgentLife::Open) {
        return;
    }
    agent.life = AgentLife::Draining;
    for (auto &[budget, slice] : agent.slices) {
        refuseWaiting(turn, slice, stopped());
        wantShard(turn, slice.shard, budget, now);
    }
    runDue(turn);
}

bool budgetsDrained(const BudgetAgent &agent)
{
    return agent.life == AgentLife::Drained || (agent.life == AgentLife::Closed && agent.calls.empty());
}

void onTick(BudgetAgent &agent, TimePoint now, std::vector<BudgetAction> &out)
{
    Turn turn{agent, now, out};
    runDue(turn);
}

std::optional<TimePoint> nextWake(const BudgetAgent &agent)
{
    return agent.wakeAt;
}

} // namespace Godwit
