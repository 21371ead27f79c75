#include "godwit/budget/witness_copies.h"

#include "godwit/base/hash.h"

#include <algorithm>
#include <limits>
#include <set>

namespace Godwit::internal
{
namespace
{

constexpr std::size_t WitnessesPerGroup = 2;
constexpr std::size_t BillsPerCopy = 512;
// A witness that does not answer gets little until it does.
constexpr std::size_t BillsPerProbe = 16;
constexpr unsigned LongestResendShift = 4;

bool contains(const std::vector<Incarnation> &group, const Incarnation &peer)
{
    return std::find(group.begin(), group.end(), peer) != group.end();
}

bool anyFarSuspect(const BudgetAgent &agent)
{
    for (const auto &[witness, link] : agent.links) {
        const bool near = contains(agent.ledger.stored.witnesses.near, witness);
        if (!near && (link.suspect || link.sealed)) {
            return true;
        }
    }
    return false;
}

// Witnesses in the same data centre are lost together with the router when the data centre is, so they only count
// while the others don't answer.
bool nearCounts(const BudgetAgent &agent)
{
    return agent.ledger.stored.witnesses.far.empty() || anyFarSuspect(agent);
}

// Acknowledged by every member; 0 for an empty group.
std::uint64_t groupThrough(const BudgetAgent &agent, const std::vector<Incarnation> &group)
{
    if (group.empty()) {
        return 0;
    }
    std::uint64_t least = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t most = 0;
    for (const Incarnation &witness : group) {
        const auto link = agent.links.find(witness);
        const std::uint64_t through = link == agent.links.end() ? 0 : link->second.acknowledged;
        least = std::min(least, through);
        most = std::max(most, through);
    }
    // A closer that finds one member dead asks another one. If a single member's word sufficed, that other one
    // would not have the bill: it would be lost although the caller saw the answer.
    return agent.options.faults.releaseOnOneWitness ? most : least;
}

std::uint64_t termsThrough(const BudgetAgent &agent, const LedgerTerms &terms)
{
    std::uint64_t through = terms.recordedThrough;
    if (terms.epoch == agent.ledger.stored.epoch) {
        through = std::max(through, groupThrough(agent, terms.witnesses.far));
        if (nearCounts(agent)) {
            through = std::max(through, groupThrough(agent, terms.witnesses.near));
        }
    }
    return through;
}

// Peers in the order of their rendezvous weight for this router.
std::vector<BudgetPeer> rankedPeers(const BudgetAgent &agent)
{
    std::vector<BudgetPeer> ranked;
    for (const auto &[incarnation, dataCentre] : agent.peers) {
        if (incarnation != agent.self) {
            ranked.push_back({incarnation, dataCentre});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [&](const BudgetPeer &a, const BudgetPeer &b) {
        return rendezvousWeight(agent.self.value, a.incarnation.value)
            > rendezvousWeight(agent.self.value, b.incarnation.value);
    });
    return ranked;
}

void keepLive(const BudgetAgent &agent,
              const std::vector<Incarnation> &current,
              bool far,
              std::vector<Incarnation> &out)
{
    for (const Incarnation &witness : current) {
        const auto peer = agent.peers.find(witness);
        const bool live = peer != agent.peers.end() && (peer->second != agent.options.dataCentre) == far;
        if (live && out.size() < WitnessesPerGroup) {
            out.push_back(witness);
        }
    }
}

// Fills a group up; in the first round only with peers of data centres that it lacks.
void fillGroup(const BudgetAgent &agent, const std::vector<BudgetPeer> &ranked, bool far, std::vector<Incarnation> &out)
{
    std::set<DataCentreId> used;
    for (const Incarnation &witness : out) {
        used.insert(agent.peers.at(witness));
    }
    for (const bool spread : {true, false}) {
        for (const BudgetPeer &peer : ranked) {
            const bool eligible = (peer.dataCentre != agent.options.dataCentre) == far
                && !contains(out, peer.incarnation) && (!spread || used.count(peer.dataCentre) == 0);
            if (eligible && out.size() < WitnessesPerGroup) {
                out.push_back(peer.incarnation);
                used.insert(peer.dataCentre);
            }
        }
    }
}

void collect(const LedgerTerms &terms, std::set<Incarnation> &witnesses)
{
    witnesses.insert(terms.witnesses.far.begin(), terms.witnesses.far.end());
    witnesses.insert(terms.witnesses.near.begin(), terms.witnesses.near.end());
}

Duration resendAfter(const BudgetAgent &agent, const WitnessLink &link)
{
    return agent.options.copyResend * (1 << std::min(link.resends, LongestResendShift));
}

void sendCopy(Turn &turn, const Incarnation &witness, WitnessLink &link)
{
    BudgetAgent &agent = turn.agent;
    BillCopy copy;
    copy.epoch = agent.ledger.stored.epoch;
    copy.base = agent.ledger.stored.recordedThrough;
    copy.after = std::max(link.acknowledged, copy.base);
    copy.through = copy.after;
    const std::size_t limit = link.suspect ? BillsPerProbe : BillsPerCopy;
    auto bill = agent.bills.upper_bound(copy.after);
    for (; bill != agent.bills.end() && copy.bills.size() < limit; ++bill) {
        copy.bills.push_back({bill->first, bill->second.budget, bill->second.keyHash, bill->second.amount});
        copy.through = bill->first;
    }
    if (bill == agent.bills.end()) {
        copy.through = std::max(copy.through, agent.lastSequence);
    }
    if (!link.inFlight) {
        link.firstSentAt = turn.now;
        link.resends = 0;
    }
    link.inFlight = true;
    link.sentAt = turn.now;
    link.sentThrough = copy.through;
    turn.out.emplace_back(PeerSend{witness, encodeBudgetMessage(copy)});
}

void pumpLink(Turn &turn, const Incarnation &witness, WitnessLink &link)
{
    const BudgetAgent &agent = turn.agent;
    if (link.sealed) {
        return;
    }
    if (!link.inFlight) {
        const std::uint64_t known = std::max(link.acknowledged, agent.ledger.stored.recordedThrough);
        if (known < agent.lastSequence) {
            sendCopy(turn, witness, link);
        }
        return;
    }
    if (turn.now >= link.firstSentAt + agent.options.farPatience) {
        link.suspect = true;
    }
    if (turn.now >= link.sentAt + resendAfter(agent, link)) {
        ++link.resends;
        sendCopy(turn, witness, link);
    }
}

} // namespace

std::uint64_t durableThrough(const BudgetAgent &agent)
{
    const OwnLedger &ledger = agent.ledger;
    const bool writing = ledger.tag != 0 && ledger.verb == KvVerb::CompareAndSwap;
    if (agent.options.faults.keepOldWitnesses && (writing || !ledger.uncertain.empty())) {
        return termsThrough(agent, writing ? ledger.proposed : ledger.uncertain.back());
    }
    // While a write has no answer, the platform may hold its terms or the older ones, and a closer goes by what it
    // reads there. Only what is safe under each of them is safe.
    std::uint64_t through = termsThrough(agent, ledger.stored);
    if (writing) {
        through = std::min(through, termsThrough(agent, ledger.proposed));
    }
    for (const LedgerTerms &terms : ledger.uncertain) {
        through = std::min(through, termsThrough(agent, terms));
    }
    return through;
}

WitnessGroups chooseWitnesses(const BudgetAgent &agent, const WitnessGroups &current)
{
    const auto ranked = rankedPeers(agent);
    WitnessGroups chosen;
    keepLive(agent, current.far, true, chosen.far);
    keepLive(agent, current.near, false, chosen.near);
    fillGroup(agent, ranked, true, chosen.far);
    fillGroup(agent, ranked, false, chosen.near);
    return chosen;
}

void updateLinks(BudgetAgent &agent)
{
    std::set<Incarnation> wanted;
    collect(agent.ledger.stored, wanted);
    collect(agent.ledger.proposed, wanted);
    for (const LedgerTerms &terms : agent.ledger.uncertain) {
        collect(terms, wanted);
    }
    for (auto link = agent.links.begin(); link != agent.links.end();) {
        link = wanted.count(link->first) > 0 ? std::next(link) : agent.links.erase(link);
    }
    for (const Incarnation &witness : wanted) {
        agent.links.try_emplace(witness);
    }
}

void pumpCopies(Turn &turn)
{
    BudgetAgent &agent = turn.agent;
    if (agent.life == AgentLife::Closed || agent.ledger.version == 0) {
        return;
    }
    // Far links first: whether they are suspect decides if the near ones are needed.
    for (const bool far : {true, false}) {
        for (auto &[witness, link] : agent.links) {
            const bool near = contains(agent.ledger.stored.witnesses.near, witness);
            if (near != far && (far || nearCounts(agent) || link.inFlight)) {
                pumpLink(turn, witness, link);
            }
        }
    }
    releaseBills(turn);
}

std::optional<TimePoint> nextCopyAt(const BudgetAgent &agent)
{
    std::optional<TimePoint> next;
    for (const auto &[witness, link] : agent.links) {
        if (!link.inFlight || link.sealed) {
            continue;
        }
        TimePoint at = link.sentAt + resendAfter(agent, link);
        if (!link.suspect) {
            at = std::min(at, link.firstSentAt + agent.options.farPatience);
        }
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

void onCopyAck(Turn &turn, const Incarnation &witness, const CopyAck &ack)
{
    BudgetAgent &agent = turn.agent;
    const auto found = agent.links.find(witness);
    if (found == agent.links.end() || ack.epoch != agent.ledger.stored.epoch) {
        return;
    }
    WitnessLink &link = found->second;
    if (ack.sealed) {
        // A closer is at work on this router: look at the ledger, and reopen it if it is not too late.
        link.sealed = true;
        agent.ledger.needsRead = true;
        return;
    }
    link.acknowledged = std::max(link.acknowledged, std::min(ack.through, agent.lastSequence));
    link.suspect = false;
    if (ack.through >= link.sentThrough) {
        link.inFlight = false;
    }
    pumpCopies(turn);
}

void onBillCopy(Turn &turn, const Incarnation &writer, const BillCopy &copy)
{
    WitnessedTail &tail = turn.agent.tails[writer];
    // A closer already took this tail to be complete. A bill accepted now would be released by its router and be in
    // no record.
    if (copy.epoch <= tail.sealedEpoch && !turn.agent.options.faults.ignoreSeal) {
        turn.out.emplace_back(PeerSend{writer, encodeBudgetMessage(CopyAck{copy.epoch, 0, true})});
        return;
    }
    if (copy.epoch < tail.epoch) {
        return;
    }
    if (copy.epoch > tail.epoch) {
        tail.epoch = copy.epoch;
        tail.through = 0;
        tail.bills.clear();
    }
    tail.bills.erase(tail.bills.begin(), tail.bills.upper_bound(copy.base));
    const bool gap = copy.after > std::max(tail.through, copy.base);
    const bool tooLong = tail.bills.size() + copy.bills.size() > 2 * turn.agent.options.maxTailBills;
    if (!gap && !tooLong) {
        for (const LedgerBill &bill : copy.bills) {
            if (bill.sequence > copy.base) {
                tail.bills.emplace(bill.sequence, bill);
            }
        }
        tail.through = std::max(tail.through, copy.through);
    }
    turn.out.emplace_back(PeerSend{writer, encodeBudgetMessage(CopyAck{copy.epoch, tail.through, false})});
}

std::optional<SealedTail> sealTail(BudgetAgent &agent, const SealRequest &request)
{
    WitnessedTail &tail = agent.tails[request.about];
    if (tail.epoch > request.epoch) {
        return std::nullopt;
    }
    tail.sealedEpoch = std::max(tail.sealedEpoch, request.epoch);
    SealedTail sealed;
    sealed.about = request.about;
    sealed.epoch = request.epoch;
    if (tail.epoch == request.epoch) {
        for (const auto &[sequence, bill] : tail.bills) {
            sealed.bills.push_back(bill);
        }
    }
    return sealed;
}

void forgetTail(BudgetAgent &agent, const Incarnation &about)
{
    const auto tail = agent.tails.find(about);
    if (tail != agent.tails.end()) {
        tail->second.bills.clear();
    }
}

} // namespace Godwit::internal
