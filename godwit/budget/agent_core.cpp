#include "godwit/budget/agent_core.h"

#include "godwit/budget/budget_records.h"
#include "godwit/budget/witness_copies.h"

#include <algorithm>

namespace Godwit::internal
{
namespace
{

constexpr Duration FirstBackoff = std::chrono::milliseconds(50);
constexpr Duration LongestBackoff = std::chrono::seconds(1);
constexpr unsigned FailuresUntilAway = 2;
constexpr std::size_t ReleasedKeysKept = 4096;
// The allowance saves up for bursts of so many seconds, and of so many writes at least.
constexpr double BurstSeconds = 0.5;
constexpr double LeastBurst = 2;
constexpr double LeastRate = 0.001;

// SplitMix64: small, and the same on every host.
std::uint64_t nextRandom(BudgetAgent &agent)
{
    agent.random += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = agent.random;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

void rememberReleased(ReleasedKeys &keys, std::uint64_t hash)
{
    if (!keys.hashes.insert(hash).second) {
        return;
    }
    keys.order.push_back(hash);
    if (keys.order.size() > ReleasedKeysKept) {
        keys.hashes.erase(keys.order.front());
        keys.order.pop_front();
    }
}

double burst(const BudgetAgent &agent)
{
    return std::max(LeastBurst, writeRate(agent) * BurstSeconds);
}

void refill(CallAllowance &allowance, double rate, TimePoint now)
{
    const double most = std::max(LeastBurst, rate * BurstSeconds);
    allowance.credit = std::min(most, allowance.credit + toSeconds(now - allowance.refilledAt) * rate);
    allowance.refilledAt = now;
}

double share(const BudgetAgent &agent, double fleetRate)
{
    const auto routers = static_cast<double>(std::max<std::size_t>(1, agent.peers.size()));
    return std::max(LeastRate, fleetRate / routers);
}

Error makeError(ErrorKind kind, std::string message, std::optional<Duration> retryAfter)
{
    Error error;
    error.kind = kind;
    error.message = std::move(message);
    error.execution = Execution::NotRun;
    error.retryAfter = retryAfter;
    return error;
}

} // namespace

Tokens spendable(const BudgetAgent &agent, const BudgetSlice &slice)
{
    // A return whose answer is missing may yet take effect. Spending the amount meanwhile would spend it twice once
    // another router has drawn it.
    const Tokens returning = agent.options.faults.spendWhileReturning ? 0 : slice.returning;
    return slice.held - returning - slice.reserved - slice.unfolded;
}

FoldRules foldRules(const BudgetOptions &options)
{
    return {options.billedKeysKept, options.faults.skipDuplicateKeys, options.faults.skipFoldMark};
}

BudgetRule ruleOf(const BudgetAgent &agent, const BudgetId &budget)
{
    const auto found = agent.rules.find(budget);
    return found == agent.rules.end() ? BudgetRule() : found->second;
}

SliceSituation situationOf(const Turn &turn, const BudgetId &budget, const BudgetSlice &slice)
{
    SliceSituation situation;
    situation.free = slice.free;
    situation.spendable = spendable(turn.agent, slice);
    situation.rest = slice.unbilled - slice.unfolded - slice.reserved;
    situation.ownDemand = demandRate(slice.demand, turn.now);
    situation.otherDemand = static_cast<double>(slice.otherDemand);
    situation.typicalCall = typicalCall(slice.demand);
    situation.reserveShare = ruleOf(turn.agent, budget).reserveShare;
    situation.claimants = slice.claimants;
    situation.home = slice.home;
    return situation;
}

BudgetSlice &sliceOf(BudgetAgent &agent, const BudgetId &budget)
{
    const auto [found, added] = agent.slices.try_emplace(budget);
    if (added) {
        found->second.shard = budgetShard(budget, agent.options.shardCount);
    }
    return found->second;
}

void grant(Turn &turn, CallId call, BudgetSlice &slice)
{
    BudgetCall &granted = turn.agent.calls.at(call);
    granted.granted = true;
    slice.reserved += granted.worstCase;
    unschedule(turn.agent.giveUps, call);
    turn.out.emplace_back(ReservationGranted{call});
}

void serveWaiting(Turn &turn, BudgetSlice &slice)
{
    std::vector<CallId> waiting;
    waiting.swap(slice.waiting);
    for (const CallId call : waiting) {
        if (turn.agent.calls.at(call).worstCase <= spendable(turn.agent, slice)) {
            grant(turn, call, slice);
        } else {
            slice.waiting.push_back(call);
        }
    }
}

void refuse(Turn &turn, CallId call, Error error)
{
    const auto found = turn.agent.calls.find(call);
    ReservationRefused refusal{call, std::move(error), {}};
    if (found != turn.agent.calls.end()) {
        const auto slice = turn.agent.slices.find(found->second.budget);
        if (slice != turn.agent.slices.end()) {
            refusal.holders = liveHolders(turn.agent, slice->second);
        }
        turn.agent.calls.erase(found);
    }
    unschedule(turn.agent.giveUps, call);
    turn.out.emplace_back(std::move(refusal));
}

void refuseWaiting(Turn &turn, BudgetSlice &slice, const Error &error)
{
    std::vector<CallId> waiting;
    waiting.swap(slice.waiting);
    for (const CallId call : waiting) {
        refuse(turn, call, error);
    }
}

std::vector<Incarnation> liveHolders(const BudgetAgent &agent, const BudgetSlice &slice)
{
    std::vector<Incarnation> live;
    for (const Incarnation &holder : slice.holders) {
        if (agent.peers.count(holder) > 0 && holder != agent.self) {
            live.push_back(holder);
        }
    }
    return live;
}

Error exhausted(const BudgetId &budget, Tokens worstCase, Tokens left)
{
    return makeError(ErrorKind::BudgetExhausted,
                     "budget \"" + budget.value + "\" has " + std::to_string(std::max<Tokens>(0, left))
                         + " tokens left and the call may cost " + std::to_string(worstCase),
                     std::nullopt);
}

Error busy(const BudgetId &budget)
{
    return makeError(ErrorKind::BudgetBusy,
                     "the rest of budget \"" + budget.value + "\" is set aside for other calls",
                     std::chrono::seconds(1));
}

Error platformAway(Duration retryAfter, const char *why)
{
    return makeError(ErrorKind::PlatformAway, why, std::max<Duration>(retryAfter, std::chrono::milliseconds(100)));
}

Error unknownBudget(const BudgetId &budget)
{
    return makeError(ErrorKind::UnknownBudget, "there is no budget \"" + budget.value + "\"", std::nullopt);
}

Error stopped()
{
    return makeError(ErrorKind::Draining, "this router gives its budgets back", std::chrono::seconds(1));
}

void wantShard(Turn &turn, std::uint32_t shard, const BudgetId &budget, TimePoint at)
{
    ShardSync &sync = turn.agent.shards[shard];
    sync.dirty.insert(budget);
    sync.again = sync.again || at <= turn.now;
    scheduleEarlier(turn.agent.shardDue, shard, at);
}

std::uint64_t startCommand(Turn &turn, const OpenCommand &owner, KvCommand command)
{
    command.tag = ++turn.agent.lastTag;
    turn.agent.commands.emplace(command.tag, owner);
    schedule(turn.agent.timeouts, command.tag, turn.now + turn.agent.options.commandTimeout);
    const std::uint64_t tag = command.tag;
    turn.out.emplace_back(std::move(command));
    return tag;
}

TimePoint platformFreeAt(const Turn &turn)
{
    const PlatformHealth &platform = turn.agent.platform;
    if (platform.failures == 0) {
        return turn.now;
    }
    // One command at a time probes a platform that fails.
    if (!turn.agent.commands.empty()) {
        return turn.now + FirstBackoff;
    }
    return std::max(turn.now, platform.retryAt);
}

TimePoint allowedAt(Turn &turn, WritePriority priority)
{
    refill(turn.agent.writes, writeRate(turn.agent), turn.now);
    const double wanted = priority == WritePriority::Urgent ? 1 - burst(turn.agent) : 1;
    const double missing = wanted - turn.agent.writes.credit;
    if (missing <= 0) {
        return turn.now;
    }
    const auto wait = std::chrono::duration<double>(missing / writeRate(turn.agent));
    return turn.now + std::chrono::duration_cast<Duration>(wait) + Duration(1);
}

void chargeWrite(Turn &turn)
{
    refill(turn.agent.writes, writeRate(turn.agent), turn.now);
    turn.agent.writes.credit -= 1;
}

bool mayRead(Turn &turn)
{
    refill(turn.agent.reads, share(turn.agent, turn.agent.options.fleetReadsPerSecond), turn.now);
    return turn.agent.reads.credit >= 1;
}

void chargeRead(Turn &turn)
{
    refill(turn.agent.reads, share(turn.agent, turn.agent.options.fleetReadsPerSecond), turn.now);
    turn.agent.reads.credit -= 1;
}

double writeRate(const BudgetAgent &agent)
{
    return share(agent, agent.options.fleetWritesPerSecond);
}

void noteReply(Turn &turn, KvStatus status)
{
    PlatformHealth &platform = turn.agent.platform;
    if (status != KvStatus::Rejected && status != KvStatus::Unknown) {
        platform.failures = 0;
        return;
    }
    const Duration backoff = std::min<Duration>(LongestBackoff, FirstBackoff * (1 << std::min(platform.failures, 5U)));
    ++platform.failures;
    platform.retryAt = turn.now + backoff / 2 + jitter(turn.agent, backoff);
}

bool platformIsAway(const BudgetAgent &agent)
{
    return agent.platform.failures >= FailuresUntilAway;
}

Duration jitter(BudgetAgent &agent, Duration range)
{
    const auto ticks = static_cast<std::uint64_t>(std::max<Duration::rep>(1, range.count()));
    return Duration(static_cast<Duration::rep>(nextRandom(agent) % ticks));
}

void releaseBills(Turn &turn)
{
    if (turn.agent.life == AgentLife::Closed) {
        return;
    }
    const std::uint64_t through =
        turn.agent.options.faults.releaseBeforeRecord ? turn.agent.lastSequence : durableThrough(turn.agent);
    while (!turn.agent.unreleased.empty() && *turn.agent.unreleased.begin() <= through) {
        releaseBill(turn, *turn.agent.unreleased.begin(), false);
    }
}

void releaseBill(Turn &turn, std::uint64_t sequence, bool duplicate)
{
    if (turn.agent.unreleased.erase(sequence) == 0) {
        return;
    }
    const PendingBill &bill = turn.agent.bills.at(sequence);
    rememberReleased(turn.agent.releasedKeys, bill.keyHash);
    turn.out.emplace_back(BillDurable{bill.call, duplicate ? 0 : bill.amount, duplicate});
}

void finishBill(Turn &turn, std::uint64_t sequence, bool duplicate)
{
    const auto found = turn.agent.bills.find(sequence);
    if (found == turn.agent.bills.end()) {
        return;
    }
    releaseBill(turn, sequence, duplicate);
    turn.agent.shards[found->second.shard].bills.erase(sequence);
    const auto slice = turn.agent.slices.find(found->second.budget);
    if (slice != turn.agent.slices.end()) {
        slice->second.unfolded -= found->second.amount;
    }
    turn.agent.bills.erase(found);
}

void becomeClosed(Turn &turn)
{
    BudgetAgent &agent = turn.agent;
    if (agent.life == AgentLife::Closed || agent.options.faults.ignoreClosing) {
        return;
    }
    agent.life = AgentLife::Closed;
    for (auto &[budget, slice] : agent.slices) {
        refuseWaiting(turn, slice, stopped());
    }
    for (const std::uint64_t sequence : agent.unreleased) {
        Error error = makeError(ErrorKind::AnswerIncomplete,
                                "other routers closed this one before the call was billed",
                                std::chrono::seconds(1));
        error.execution = Execution::Run;
        turn.out.emplace_back(BillLost{agent.bills.at(sequence).call, std::move(error)});
    }
    agent.unreleased.clear();
    agent.bills.clear();
    agent.shardDue = {};
    agent.reviews = {};
    agent.links.clear();
    turn.out.emplace_back(IncarnationClosed{});
}

} // namespace Godwit::internal
