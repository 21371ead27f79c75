#include "godwit/prepaid/testing_simulation.h"

#include <algorithm>

namespace Godwit::Testing
{
namespace
{

PrepaidOptions optionsOf(std::size_t router, int starts, const HostTime &now)
{
    PrepaidOptions options;
    options.self = HolderId{"host-" + std::to_string(router)};
    options.incarnation = Incarnation{options.self.value + '.' + std::to_string(starts)};
    options.startedAt = now;
    return options;
}

} // namespace

PrepaidSimulation::PrepaidSimulation(std::size_t routers, std::map<CustomerId, Tokens> totals)
    : m_totals(std::move(totals))
    , m_routers(routers)
    , m_marks(routers)
{
    for (std::size_t i = 0; i < routers; ++i) {
        start(i);
    }
}

void PrepaidSimulation::advance(Duration time)
{
    m_now += time;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (m_routers[i].share) {
            updateMarkAge(*m_routers[i].share, hostTime(i));
        }
    }
}

void PrepaidSimulation::stepClock(std::chrono::milliseconds by)
{
    m_wallOffset += by;
}

void PrepaidSimulation::start(std::size_t index)
{
    Router &router = m_routers[index];
    if (router.share) {
        return;
    }
    ++router.starts;
    router.share = makePrepaidShare(optionsOf(index, router.starts, hostTime(index)));
    router.share->markWriters = static_cast<int>(m_routers.size());
    applyTotals(*router.share, m_documentVersion, documentTotals());
}

void PrepaidSimulation::kill(std::size_t index)
{
    Router &router = m_routers[index];
    for (const Reservation &reservation : router.open) {
        m_spent[reservation.customer] += reservation.reserved;
    }
    router.open.clear();
    router.share.reset();
}

void PrepaidSimulation::losePower(std::size_t index)
{
    kill(index);
    m_routers[index].uptimeOffset += std::chrono::hours(1);
}

void PrepaidSimulation::sync(std::size_t index, WriteOutcome outcome)
{
    Router &router = m_routers[index];
    if (!router.share) {
        return;
    }
    if (!router.share->ledgerKnown) {
        readRecords(index);
    }
    const auto write = planWrite(*router.share, m_now, hostTime(index));
    if (write) {
        performWrite(index, *write, outcome);
    }
}

void PrepaidSimulation::performWrite(std::size_t index, const ShareWrite &write, WriteOutcome outcome)
{
    PrepaidShare &share = *m_routers[index].share;
    if (outcome == WriteOutcome::Refused) {
        onWriteRefused(share, false);
        return;
    }
    if (outcome == WriteOutcome::Late) {
        m_late.push_back({index, write});
        onWriteUnknown(share);
        return;
    }
    const auto revision = apply(index, write);
    if (outcome == WriteOutcome::AnswerLost) {
        onWriteUnknown(share);
    } else if (revision) {
        onWriteDone(share, *revision);
        broadcastLedger(index, write, *revision);
    } else {
        onWriteRefused(share, true);
    }
}

// As if over links without losses.
void PrepaidSimulation::broadcastLedger(std::size_t writer, const ShareWrite &write, std::uint64_t revision)
{
    LastReason reason;
    for (std::size_t i = 0; write.ledger && m_ledgerBroadcast && i < m_routers.size(); ++i) {
        if (i != writer && m_routers[i].share) {
            onLedgerUpdate(*m_routers[i].share, decodePrepaidLedger(*write.ledger, reason).value(), revision);
        }
    }
}

void PrepaidSimulation::applyLateWrites()
{
    for (const LateWrite &late : std::exchange(m_late, {})) {
        apply(late.router, late.write);
    }
}

bool PrepaidSimulation::returnGrants(std::size_t index, WriteOutcome outcome)
{
    Router &router = m_routers[index];
    while (router.share && !router.open.empty()) {
        finish(index, router.open.front().reserved);
    }
    if (!router.share) {
        return false;
    }
    if (!router.share->ledgerKnown) {
        readRecords(index);
    }
    if (const auto write = planReturn(*router.share, m_now)) {
        performWrite(index, *write, outcome);
    }
    return router.share->returned;
}

bool PrepaidSimulation::request(std::size_t index, const CustomerId &customer, Tokens tokens)
{
    Router &router = m_routers[index];
    if (!router.share) {
        return false;
    }
    noteRequest(*router.share, customer, tokens, m_now);
    if (!reserve(*router.share, customer, tokens)) {
        noteShortfall(*router.share, customer, tokens);
        return false;
    }
    router.open.push_back({customer, tokens});
    return true;
}

void PrepaidSimulation::finish(std::size_t index, Tokens used)
{
    Router &router = m_routers[index];
    if (!router.share || router.open.empty()) {
        return;
    }
    const Reservation reservation = router.open.front();
    router.open.erase(router.open.begin());
    const Tokens counted = std::min(used, reservation.reserved);
    settle(*router.share, reservation.customer, reservation.reserved, counted);
    m_spent[reservation.customer] += counted;
}

void PrepaidSimulation::moveTokens(
    std::size_t from, std::size_t to, const CustomerId &customer, Tokens wanted, bool lost, Tokens shortfall)
{
    if (from == to || !m_routers[from].share || !m_routers[to].share) {
        return;
    }
    const TokenDemand demand{shortfall, wanted};
    const Tokens amount = sendTokens(*m_routers[from].share, customer, demand, m_now);
    if (!lost) {
        receiveTokens(*m_routers[to].share, customer, amount);
    }
}

void PrepaidSimulation::requestTokens(
    std::size_t from, std::size_t to, const CustomerId &customer, Tokens needed, bool lost)
{
    if (from == to || !m_routers[from].share || !m_routers[to].share) {
        return;
    }
    TransferRequest transferRequest{
        m_routers[to].share->options.self, customer, needed, m_now + std::chrono::milliseconds(150)};
    const auto transfer = requestTransfer(*m_routers[from].share, std::move(transferRequest));
    if (transfer && !lost) {
        deliver(*transfer);
    }
}

void PrepaidSimulation::serveTransferRequests(std::size_t from, bool lost)
{
    if (!m_routers[from].share) {
        return;
    }
    for (const TokenTransfer &transfer : Godwit::serveTransferRequests(*m_routers[from].share, m_now)) {
        if (!lost) {
            deliver(transfer);
        }
    }
}

void PrepaidSimulation::deliver(const TokenTransfer &transfer)
{
    for (Router &router : m_routers) {
        if (router.share && router.share->options.self == transfer.to) {
            receiveTokens(*router.share, transfer.customer, transfer.amount);
        }
    }
}

void PrepaidSimulation::setTotal(const CustomerId &customer, Tokens total)
{
    m_totals[customer] = total;
    ++m_documentVersion;
    for (Router &router : m_routers) {
        if (router.share) {
            applyTotals(*router.share, m_documentVersion, documentTotals());
        }
    }
}

Tokens PrepaidSimulation::spent(const CustomerId &customer) const
{
    const auto found = m_spent.find(customer);
    Tokens sum = found == m_spent.end() ? 0 : found->second;
    for (const Router &router : m_routers) {
        for (const Reservation &reservation : router.open) {
            sum += reservation.customer == customer ? reservation.reserved : 0;
        }
    }
    return sum;
}

PrepaidShare &PrepaidSimulation::share(std::size_t router)
{
    return *m_routers[router].share;
}

bool PrepaidSimulation::isAlive(std::size_t router) const
{
    return m_routers[router].share.has_value();
}

HostTime PrepaidSimulation::hostTime(std::size_t index) const
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
    const std::chrono::milliseconds uptime = time + m_routers[index].uptimeOffset;
    return HostTime{uptime, time + m_wallOffset, "boot"};
}

std::map<CustomerId, std::optional<Tokens>> PrepaidSimulation::documentTotals() const
{
    std::map<CustomerId, std::optional<Tokens>> totals;
    for (const auto &[customer, total] : m_totals) {
        totals[customer] = total;
    }
    return totals;
}

void PrepaidSimulation::readRecords(std::size_t index)
{
    LastReason reason;
    PrepaidLedger ledger;
    if (m_ledger.revision > 0) {
        ledger = decodePrepaidLedger(m_ledger.bytes, reason).value();
    }
    std::optional<MarkRecord> mark;
    if (m_marks[index].revision > 0) {
        mark = decodeMark(m_marks[index].bytes, reason);
    }
    onRecordsRead(*m_routers[index].share, std::move(ledger), m_ledger.revision, mark, m_marks[index].revision);
}

std::optional<std::uint64_t> PrepaidSimulation::apply(std::size_t index, const ShareWrite &write)
{
    const bool ledgerHolds = !write.ledger || write.ledgerRevision == m_ledger.revision;
    if (!ledgerHolds || write.markRevision != m_marks[index].revision) {
        return std::nullopt;
    }
    ++m_revision;
    m_marks[index] = StoredValue{write.mark, m_revision};
    if (write.ledger) {
        m_ledger = StoredValue{*write.ledger, m_revision};
    }
    return m_revision;
}

} // namespace Godwit::Testing
