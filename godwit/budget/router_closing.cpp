#include "godwit/budget/router_closing.h"

#include "godwit/base/hash.h"
#include "godwit/budget/budget_records.h"
#include "godwit/budget/witness_copies.h"

#include <algorithm>

namespace Godwit::internal
{
namespace
{

constexpr Duration SealRetry = std::chrono::seconds(1);
// After a time in doubt the router may be back itself, behind a partition that just ended. It gets this time to reopen
// its ledger: closing it would cut all its calls.
constexpr Duration ReopenGrace = std::chrono::seconds(3);
constexpr Duration FailureRetry = std::chrono::milliseconds(200);
// A closing in doubt looks at the ledger again after so many attempts: someone else may have closed it.
constexpr unsigned SealsPerRead = 10;
constexpr unsigned AttemptsUntilDoubt = 3;

OpenCommand closingCommand(const Incarnation &gone)
{
    OpenCommand owner;
    owner.owner = CommandOwner::Closing;
    owner.closing = gone;
    return owner;
}

bool isLive(const BudgetAgent &agent, const Incarnation &router)
{
    return router == agent.self || agent.peers.count(router) > 0;
}

// Whether one member of `group` has sealed, or the group is empty.
bool groupSealed(const RouterClosing &closing, const std::vector<Incarnation> &group)
{
    return group.empty() || std::any_of(group.begin(), group.end(), [&](const Incarnation &witness) {
               return closing.tails.count(witness) > 0;
           });
}

bool allSealed(const RouterClosing &closing)
{
    return groupSealed(closing, closing.ledger.witnesses.far) && groupSealed(closing, closing.ledger.witnesses.near);
}

std::vector<Incarnation> witnessesOf(const LedgerRecord &ledger)
{
    std::vector<Incarnation> all = ledger.witnesses.far;
    all.insert(all.end(), ledger.witnesses.near.begin(), ledger.witnesses.near.end());
    return all;
}

void mergeTails(RouterClosing &closing)
{
    std::map<std::uint64_t, LedgerBill> merged;
    for (const LedgerBill &bill : closing.ledger.bills) {
        merged.emplace(bill.sequence, bill);
    }
    for (const auto &[witness, tail] : closing.tails) {
        for (const LedgerBill &bill : tail) {
            if (bill.sequence > closing.ledger.recordedThrough) {
                merged.emplace(bill.sequence, bill);
            }
        }
    }
    closing.ledger.bills.clear();
    for (auto &[sequence, bill] : merged) {
        closing.ledger.bills.push_back(std::move(bill));
    }
    if (!closing.ledger.bills.empty()) {
        const std::uint64_t last = closing.ledger.bills.back().sequence;
        closing.ledger.recordedThrough = std::max(closing.ledger.recordedThrough, last);
    }
}

void command(Turn &turn, const Incarnation &gone, RouterClosing &closing, KvCommand sent)
{
    if (sent.verb != KvVerb::Get) {
        chargeWrite(turn);
    }
    closing.tag = startCommand(turn, closingCommand(gone), std::move(sent));
}

void sendGet(Turn &turn, const Incarnation &gone, RouterClosing &closing, const std::string &key)
{
    KvCommand get;
    get.verb = KvVerb::Get;
    get.key = key;
    command(turn, gone, closing, std::move(get));
}

void sendLedger(Turn &turn, const Incarnation &gone, RouterClosing &closing, LedgerState state)
{
    LedgerRecord record = closing.ledger;
    record.state = state;
    KvCommand swap;
    swap.verb = KvVerb::CompareAndSwap;
    swap.key = ledgerKey(gone);
    swap.expectedVersion = closing.version;
    swap.value = encodeLedger(record);
    command(turn, gone, closing, std::move(swap));
}

void enter(RouterClosing &closing, ClosingPhase phase, TimePoint at)
{
    closing.phase = phase;
    closing.nextAt = at;
}

// Shards where its mark was seen though the ledger does not list them any more: writes that arrived late.
void addSeenShards(const BudgetAgent &agent, const Incarnation &gone, RouterClosing &closing)
{
    const auto missing = agent.missing.find(gone);
    if (missing != agent.missing.end()) {
        closing.shardsLeft.insert(missing->second.shards.begin(), missing->second.shards.end());
    }
}

void afterClosed(Turn &turn, const Incarnation &gone, RouterClosing &closing)
{
    closing.shardsLeft.insert(closing.ledger.shards.begin(), closing.ledger.shards.end());
    addSeenShards(turn.agent, gone, closing);
    enter(closing, ClosingPhase::ReadShard, turn.now);
}

void askForSeals(Turn &turn, const Incarnation &gone, RouterClosing &closing)
{
    const SealRequest request{gone, closing.ledger.epoch};
    for (const Incarnation &witness : witnessesOf(closing.ledger)) {
        if (closing.tails.count(witness) > 0) {
            continue;
        }
        if (witness == turn.agent.self) {
            const auto tail = sealTail(turn.agent, request);
            if (tail) {
                closing.tails[witness] = tail->bills;
            }
        } else if (isLive(turn.agent, witness)) {
            turn.out.emplace_back(PeerSend{witness, encodeBudgetMessage(request)});
        }
    }
    ++closing.attempts;
    const bool inDoubt = closing.attempts > AttemptsUntilDoubt;
    if (allSealed(closing) && inDoubt && !closing.graceGiven) {
        closing.graceGiven = true;
        enter(closing, ClosingPhase::ReadLedger, turn.now + ReopenGrace);
    } else if (allSealed(closing) || turn.agent.options.faults.closeWithoutSeal) {
        mergeTails(closing);
        enter(closing, ClosingPhase::MarkClosed, turn.now);
    } else if (closing.attempts % SealsPerRead == 0) {
        enter(closing, ClosingPhase::ReadLedger, turn.now + SealRetry);
    } else {
        closing.nextAt = turn.now + SealRetry;
    }
}

void forgetEverywhere(Turn &turn, const Incarnation &gone, const RouterClosing &closing)
{
    for (const Incarnation &witness : witnessesOf(closing.ledger)) {
        if (witness == turn.agent.self) {
            forgetTail(turn.agent, gone);
        } else if (isLive(turn.agent, witness)) {
            turn.out.emplace_back(PeerSend{witness, encodeBudgetMessage(ForgetTail{gone})});
        }
    }
}

// Returns whether the closing is over.
bool step(Turn &turn, const Incarnation &gone, RouterClosing &closing)
{
    switch (closing.phase) {
    case ClosingPhase::ReadLedger:
        sendGet(turn, gone, closing, ledgerKey(gone));
        return false;
    case ClosingPhase::MarkClosing:
        sendLedger(turn, gone, closing, LedgerState::Closing);
        return false;
    case ClosingPhase::Seal:
        askForSeals(turn, gone, closing);
        return false;
    case ClosingPhase::MarkClosed:
        sendLedger(turn, gone, closing, LedgerState::Closed);
        return false;
    case ClosingPhase::ReadShard:
    case ClosingPhase::WriteShard:
        if (closing.shardsLeft.empty()) {
            enter(closing, ClosingPhase::ClearLedger, turn.now);
            return closing.version == 0 || closing.ledger.shards.empty();
        }
        closing.phase = ClosingPhase::ReadShard;
        sendGet(turn, gone, closing, budgetShardKey(*closing.shardsLeft.begin()));
        return false;
    case ClosingPhase::ClearLedger:
        // The closed ledger stays, empty: if its key were free again, a write that created it and was held up in the
        // network could bring it back to life, and its router would release answers into it.
        forgetEverywhere(turn, gone, closing);
        closing.ledger.bills.clear();
        closing.ledger.shards.clear();
        closing.ledger.witnesses = WitnessGroups();
        sendLedger(turn, gone, closing, LedgerState::Closed);
        return false;
    }
    return false;
}

void takeAbsentLedger(Turn &turn, const Incarnation &gone, RouterClosing &closing)
{
    // A router creates its ledger before its first draw and deletes it when it has drained. A mark without a ledger
    // comes from a write that arrived after that: nobody can spend that slice.
    closing.version = 0;
    closing.ledger = LedgerRecord();
    addSeenShards(turn.agent, gone, closing);
    enter(closing, ClosingPhase::ReadShard, turn.now);
}

// Returns whether the closing is over.
bool takeLedger(Turn &turn, const Incarnation &gone, RouterClosing &closing, const KvReply &reply)
{
    LastReason reason;
    auto record = decodeLedger(reply.value, reason);
    if (!record) {
        closing.nextAt = turn.now + SealRetry;
        return false;
    }
    const bool reopened = closing.ledger.epoch != record->epoch;
    closing.version = reply.version;
    closing.ledger = std::move(*record);
    if (reopened) {
        closing.tails.clear();
    }
    switch (closing.ledger.state) {
    case LedgerState::Open:
        if (turn.agent.peers.count(gone) > 0) {
            return true;
        }
        enter(closing, ClosingPhase::MarkClosing, turn.now);
        break;
    case LedgerState::Closing:
        enter(closing, ClosingPhase::Seal, turn.now);
        break;
    case LedgerState::Closed:
        afterClosed(turn, gone, closing);
        break;
    }
    return false;
}

void takeShard(Turn &turn, const Incarnation &gone, RouterClosing &closing, const KvReply &reply)
{
    LastReason reason;
    auto shard = decodeShard(reply.value, reason);
    if (!shard) {
        closing.nextAt = turn.now + SealRetry;
        return;
    }
    if (shard->marks.count(gone) == 0) {
        closing.shardsLeft.erase(closing.shardsLeft.begin());
        enter(closing, ClosingPhase::ReadShard, turn.now);
        return;
    }
    const BudgetOptions &options = turn.agent.options;
    const std::uint32_t number = *closing.shardsLeft.begin();
    std::deque<LedgerBill> bills;
    for (const LedgerBill &bill : closing.ledger.bills) {
        if (budgetShard(bill.budget, options.shardCount) == number) {
            bills.push_back(bill);
        }
    }
    closeWriter(*shard, gone, bills, foldRules(options));
    KvCommand swap;
    swap.verb = KvVerb::CompareAndSwap;
    swap.key = budgetShardKey(number);
    swap.expectedVersion = reply.version;
    swap.value = encodeShard(*shard);
    closing.phase = ClosingPhase::WriteShard;
    command(turn, gone, closing, std::move(swap));
}

// Returns whether the closing is over.
bool onReply(Turn &turn, const Incarnation &gone, RouterClosing &closing, const KvReply &reply)
{
    const bool ok = reply.status == KvStatus::Ok;
    const bool absent = reply.status == KvStatus::NotFound || (ok && reply.version == 0);
    // After anything but success the record is read again: each step finds out there what is left to do.
    const TimePoint later = turn.now + FailureRetry + jitter(turn.agent, FailureRetry);
    switch (closing.phase) {
    case ClosingPhase::ReadLedger:
        if (absent) {
            takeAbsentLedger(turn, gone, closing);
        } else if (ok) {
            return takeLedger(turn, gone, closing, reply);
        } else {
            closing.nextAt = later;
        }
        return false;
    case ClosingPhase::MarkClosing:
    case ClosingPhase::MarkClosed:
        if (!ok) {
            enter(closing, ClosingPhase::ReadLedger, later);
            return false;
        }
        closing.version = reply.version;
        if (closing.phase == ClosingPhase::MarkClosing) {
            enter(closing, ClosingPhase::Seal, turn.now);
        } else {
            afterClosed(turn, gone, closing);
        }
        return false;
    case ClosingPhase::ReadShard:
        if (ok) {
            takeShard(turn, gone, closing, reply);
        } else if (absent) {
            closing.shardsLeft.erase(closing.shardsLeft.begin());
            closing.nextAt = turn.now;
        } else {
            closing.nextAt = later;
        }
        return false;
    case ClosingPhase::WriteShard:
        if (ok) {
            closing.shardsLeft.erase(closing.shardsLeft.begin());
        }
        enter(closing, ClosingPhase::ReadShard, ok ? turn.now : later);
        return false;
    case ClosingPhase::ClearLedger:
        if (ok) {
            return true;
        }
        enter(closing, ClosingPhase::ReadLedger, later);
        return false;
    case ClosingPhase::Seal:
        return false;
    }
    return false;
}

bool needsWrite(ClosingPhase phase)
{
    return phase == ClosingPhase::MarkClosing || phase == ClosingPhase::MarkClosed || phase == ClosingPhase::ReadShard
        || phase == ClosingPhase::ClearLedger;
}

void finish(BudgetAgent &agent, const Incarnation &gone)
{
    agent.closings.erase(gone);
    agent.missing.erase(gone);
}

std::vector<Incarnation> orphans(const BudgetAgent &agent, TimePoint now)
{
    std::vector<Incarnation> found;
    for (const auto &[writer, missing] : agent.missing) {
        const bool due = now >= missing.since + agent.options.orphanGrace;
        if (due && agent.closings.count(writer) == 0) {
            found.push_back(writer);
        }
    }
    return found;
}

} // namespace

void startClosing(Turn &turn, const Incarnation &gone)
{
    BudgetAgent &agent = turn.agent;
    if (gone == agent.self || agent.closings.count(gone) > 0) {
        return;
    }
    const std::uint64_t own = rendezvousWeight(gone.value, agent.self.value);
    int rank = 0;
    for (const auto &[peer, dataCentre] : agent.peers) {
        const bool before = peer != gone && peer != agent.self && rendezvousWeight(gone.value, peer.value) > own;
        rank += before ? 1 : 0;
    }
    RouterClosing closing;
    closing.nextAt = turn.now + rank * agent.options.closeStagger;
    agent.closings.emplace(gone, std::move(closing));
}

void reviewClosings(Turn &turn)
{
    BudgetAgent &agent = turn.agent;
    for (const auto &[peer, dataCentre] : agent.peers) {
        agent.missing.erase(peer);
    }
    for (auto closing = agent.closings.begin(); closing != agent.closings.end();) {
        RouterClosing &open = closing->second;
        const bool closable = open.phase == ClosingPhase::ReadLedger || open.phase == ClosingPhase::Seal;
        if (closable && open.tag == 0 && agent.peers.count(closing->first) > 0) {
            closing = agent.closings.erase(closing);
            continue;
        }
        if (open.phase == ClosingPhase::Seal && open.tag == 0) {
            open.nextAt = std::min(open.nextAt, turn.now);
        }
        ++closing;
    }
}

void runClosings(Turn &turn)
{
    BudgetAgent &agent = turn.agent;
    for (const Incarnation &orphan : orphans(agent, turn.now)) {
        startClosing(turn, orphan);
    }
    std::vector<Incarnation> due;
    for (const auto &[gone, closing] : agent.closings) {
        if (closing.tag == 0 && closing.nextAt <= turn.now) {
            due.push_back(gone);
        }
    }
    for (const Incarnation &gone : due) {
        RouterClosing &closing = agent.closings.at(gone);
        while (closing.tag == 0 && closing.nextAt <= turn.now) {
            TimePoint at = platformFreeAt(turn);
            if (needsWrite(closing.phase)) {
                at = std::max(at, allowedAt(turn, WritePriority::Normal));
            }
            if (at > turn.now) {
                closing.nextAt = at;
            } else if (step(turn, gone, closing)) {
                finish(agent, gone);
                break;
            }
        }
    }
}

std::optional<TimePoint> nextClosingAt(const Turn &turn)
{
    std::optional<TimePoint> next;
    for (const auto &[gone, closing] : turn.agent.closings) {
        if (closing.tag == 0) {
            next = next ? std::min(*next, closing.nextAt) : closing.nextAt;
        }
    }
    for (const auto &[writer, missing] : turn.agent.missing) {
        if (turn.agent.closings.count(writer) == 0) {
            const TimePoint at = missing.since + turn.agent.options.orphanGrace;
            next = next ? std::min(*next, at) : at;
        }
    }
    return next;
}

void onClosingReply(Turn &turn, const Incarnation &gone, const KvReply &reply)
{
    const auto found = turn.agent.closings.find(gone);
    if (found == turn.agent.closings.end() || found->second.tag != reply.tag) {
        return;
    }
    found->second.tag = 0;
    if (onReply(turn, gone, found->second, reply)) {
        finish(turn.agent, gone);
    }
}

void onSealedTail(Turn &turn, const Incarnation &witness, const SealedTail &tail)
{
    const auto found = turn.agent.closings.find(tail.about);
    if (found == turn.agent.closings.end()) {
        return;
    }
    RouterClosing &closing = found->second;
    const auto witnesses = witnessesOf(closing.ledger);
    const bool expected = std::find(witnesses.begin(), witnesses.end(), witness) != witnesses.end();
    if (closing.phase != ClosingPhase::Seal || tail.epoch != closing.ledger.epoch || !expected) {
        return;
    }
    closing.tails[witness] = tail.bills;
    if (allSealed(closing)) {
        closing.nextAt = turn.now;
    }
}

} // namespace Godwit::internal
