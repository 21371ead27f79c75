#include "godwit/daemon/budget_manager.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Godwit
{
namespace
{

using boost::system::error_code;

} // namespace

BudgetManager::BudgetManager(boost::asio::io_context &io,
                             Relay &relay,
                             StoreClient &store,
                             BudgetManagerOptions options,
                             std::function<HostTime()> hostTime)
    : m_io(io)
    , m_relay(relay)
    , m_store(store)
    , m_options(std::move(options))
    , m_hostTime(std::move(hostTime))
    , m_tickTimer(io)
{
}

void BudgetManager::start()
{
    // The initial reads of the other components show whether the store answers, so no probe is needed at first.
    m_nextProbe = Relay::now() + m_options.initialProbeDelay;
    onTick();
}

void BudgetManager::scheduleTick()
{
    m_tickTimer.expires_after(m_options.tickInterval);
    m_tickTimer.async_wait([this](const error_code &error) {
        if (!error) {
            onTick();
        }
    });
}

void BudgetManager::onTick()
{
    const TimePoint now = Relay::now();
    const bool limitsWereFixed = m_relay.state().prepaid.markLimitsFixed;
    if (updateMarkAge(m_relay.state().prepaid, m_hostTime())) {
        if (limitsWereFixed) {
            m_relay.log().write("marks_bind_no_more", {});
        }
        // The limits that derive from the marks increase with the marks' age.
        m_relay.retryReservations();
    }
    maintainLease(now);
    probe(now);
    auto &share = m_relay.state().prepaid;
    if (!share.ledgerKnown && !share.writing && now >= m_nextRecords && m_relay.state().platformInReach) {
        m_nextRecords = now + m_options.fleetProbeInterval;
        readRecords();
    }
    if (!m_liveEntryWritten && m_lease != 0 && !m_liveEntryRemoved) {
        writeLiveEntry();
    }
    if (m_onReturned && !share.writing) {
        finishReturn();
    }
    writeIfDue();
    scheduleTick();
}

void BudgetManager::onStoreReachability(bool reachable)
{
    bool &inReach = m_relay.state().platformInReach;
    if (reachable == inReach) {
        return;
    }
    inReach = reachable;
    const TimePoint now = Relay::now();
    if (reachable) {
        m_nextRenewal = now;
        m_nextRecords = now;
        if (now >= m_lastRenewalSentAt + m_options.leaseTime) {
            // The lease has most likely expired; requesting a new one is faster than finding out.
            forgetLease();
        }
    } else {
        m_nextProbe = now + nextProbeDelay();
    }
    // Other routers may have written the ledger in the meantime.
    m_relay.state().prepaid.ledgerKnown = false;
    m_relay.log().write(reachable ? "platform_regained" : "platform_lost", {});
    if (reachable && onStoreRegained) {
        onStoreRegained();
    }
}

// Random from the first probe on: routers that lost the store at the same time would otherwise all probe at once, and
// then none would for a whole interval. Only routers without the store count: a router that alone lost it would
// otherwise wait for the turns of routers that don't probe.
Duration BudgetManager::nextProbeDelay()
{
    const int routers = std::max(1, m_relay.state().liveRouters);
    const double routersWithoutStore = peerFractionWithoutStore ? peerFractionWithoutStore() * routers : routers;
    const Duration minMeanDelay =
        std::min<Duration>(m_options.fleetProbeInterval * routers, m_options.minOwnProbeInterval);
    const Duration meanDelay = std::max(
        minMeanDelay, std::chrono::duration_cast<Duration>(m_options.fleetProbeInterval * routersWithoutStore));
    const double fraction = static_cast<double>(m_relay.random() % 1024) / 1024.0;
    return std::chrono::duration_cast<Duration>(meanDelay * 2 * fraction);
}

// Probes are spread over the routers; the one that reaches the store notifies the others.
void BudgetManager::probe(TimePoint now)
{
    if (m_relay.state().platformInReach || m_probeInFlight || now < m_nextProbe) {
        return;
    }
    m_nextProbe = now + nextProbeDelay();
    probeNow();
}

void BudgetManager::probeNow()
{
    if (m_probeInFlight || m_relay.state().platformInReach) {
        return;
    }
    m_probeInFlight = true;
    m_store.probe(m_options.ledgerKey, [this](StoreStatus status) {
        m_probeInFlight = false;
        const bool reachable = status == StoreStatus::Ok || status == StoreStatus::NotFound;
        const bool regained = reachable && !m_relay.state().platformInReach;
        onStoreReachability(reachable);
        if (regained && onStoreFoundByProbe) {
            onStoreFoundByProbe();
        }
    });
}

void BudgetManager::maintainLease(TimePoint now)
{
    if (m_leaseCallInFlight || now < m_nextRenewal || m_onReturned || !m_relay.state().platformInReach) {
        return;
    }
    if (m_lease == 0) {
        m_nextRenewal = now + m_options.renewInterval;
        grantLease();
        return;
    }
    renewLease(now);
}

// A lease renewal shows as well whether the store is reachable, at a tenth of the cost of a probe.
void BudgetManager::onStoreFoundByPeer()
{
    if (m_lease == 0 || m_leaseCallInFlight) {
        probeNow();
    } else if (!m_relay.state().platformInReach) {
        renewLease(Relay::now());
    }
}

void BudgetManager::renewLease(TimePoint now)
{
    m_nextRenewal = now + m_options.renewInterval;
    m_leaseCallInFlight = true;
    m_store.renewLease(m_lease, [this, now, uptime = Relay::uptime(), call = ++m_lastLeaseCallId](StoreStatus status) {
        // An answer about a previous lease is irrelevant for the current one.
        if (call != m_lastLeaseCallId) {
            return;
        }
        m_leaseCallInFlight = false;
        onStoreReachability(status == StoreStatus::Ok || status == StoreStatus::NotFound);
        if (status == StoreStatus::Ok) {
            onLeaseRenewed(now, uptime, m_options.leaseTime);
        } else if (status == StoreStatus::NotFound) {
            onLeaseLost();
        }
    });
}

void BudgetManager::grantLease()
{
    m_leaseCallInFlight = true;
    ++m_lastLeaseCallId;
    const TimePoint requestedAt = Relay::now();
    m_store.grantLease(m_options.leaseTime,
                       [this, requestedAt, uptime = Relay::uptime()](const StoreLeaseReply &reply) {
                           m_leaseCallInFlight = false;
                           onStoreReachability(reply.status == StoreStatus::Ok);
                           if (reply.status == StoreStatus::Ok) {
                               m_lease = reply.lease;
                               onLeaseRenewed(requestedAt, uptime, std::min(reply.timeToLive, m_options.leaseTime));
                               m_nextRenewal = requestedAt + m_options.renewInterval;
                               m_liveEntryWritten = false;
                           }
                       });
}

// `requestedAt` and `uptime` (of the host) are times at which the call was made: the lease
// runs from then at the earliest.
void BudgetManager::onLeaseRenewed(TimePoint requestedAt, Duration uptime, Duration timeToLive)
{
    m_lastRenewalSentAt = requestedAt;
    renewShareLease(m_relay.state().limitShares, m_lease, uptime + timeToLive);
}

void BudgetManager::forgetLease()
{
    m_lease = 0;
    m_liveEntryWritten = false;
    dropShareLease(m_relay.state().limitShares);
}

void BudgetManager::onLeaseLost()
{
    m_relay.log().write("lease_lost", {{"lease", static_cast<std::int64_t>(m_lease)}});
    forgetLease();
    m_nextRenewal = TimePoint{};
    m_nextRecords = TimePoint{};
    grantLease();
}

void BudgetManager::writeLiveEntry()
{
    if (m_liveWriteInFlight) {
        return;
    }
    m_liveWriteInFlight = true;
    StoreTransaction transaction;
    transaction.puts.push_back({m_options.liveKey, m_options.liveValue, m_lease});
    m_store.transact(transaction, [this, lease = m_lease](const StoreWriteReply &reply) {
        m_liveWriteInFlight = false;
        // The entry was written under a previous lease and expired with it.
        if (lease != m_lease) {
            return;
        }
        m_liveEntryWritten = reply.status == StoreStatus::Ok;
        if (m_liveEntryWritten && onLiveEntryWritten) {
            onLiveEntryWritten();
        }
        if (reply.status == StoreStatus::NotFound) {
            onLeaseLost();
        }
    });
}

void BudgetManager::removeLiveEntry()
{
    m_liveEntryRemoved = true;
    StoreTransaction transaction;
    transaction.removals.push_back(m_options.liveKey);
    m_store.transact(transaction, [](const StoreWriteReply &) {
        // Best effort: the entry also expires with the lease, and peers learn of the stop over their links.
    });
}

void BudgetManager::readRecords()
{
    if (m_recordsReadInFlight) {
        return;
    }
    m_recordsReadInFlight = true;
    m_store.get(m_options.ledgerKey, [this](const StoreItemReply &ledger) {
        onLedgerRead(ledger);
    });
}

void BudgetManager::onLedgerRead(const StoreItemReply &ledger)
{
    const bool answered = ledger.status == StoreStatus::Ok || ledger.status == StoreStatus::NotFound;
    onStoreReachability(answered);
    if (!answered) {
        m_recordsReadInFlight = false;
        return;
    }
    m_store.get(m_options.markKey, [this, ledger](const StoreItemReply &mark) {
        m_recordsReadInFlight = false;
        onMarkRead(ledger, mark);
    });
}

void BudgetManager::onMarkRead(const StoreItemReply &ledger, const StoreItemReply &mark)
{
    auto &share = m_relay.state().prepaid;
    if ((mark.status != StoreStatus::Ok && mark.status != StoreStatus::NotFound) || share.writing) {
        return;
    }
    LastReason reason;
    std::optional<PrepaidLedger> record = PrepaidLedger{};
    if (ledger.status == StoreStatus::Ok) {
        record = decodePrepaidLedger(ledger.item.value, reason);
    }
    std::optional<MarkRecord> marks;
    if (mark.status == StoreStatus::Ok) {
        marks = decodeMark(mark.item.value, reason);
    }
    if (!record || (mark.status == StoreStatus::Ok && !marks)) {
        m_relay.log().write("records_unreadable", {{"cause", std::string_view(reason->message)}});
        return;
    }
    const bool first = !share.predecessorSettled;
    onRecordsRead(share, std::move(*record), ledger.item.revision, marks, mark.item.revision);
    m_relay.log().write(
        "budgets_read",
        {{"ledger_revision", static_cast<std::int64_t>(ledger.item.revision)},
         {"first", first},
         {"mark_found", marks.has_value()},
         {"mark_age_ms", first && share.predecessorMarkAge ? share.predecessorMarkAge->count() : std::int64_t{-1}}});
    if (first) {
        logLedger();
    }
    writeIfDue();
    m_relay.retryReservations();
}

// Logs the ledger as found at start, so that the tokens lost with a crash can be determined afterwards.
void BudgetManager::logLedger()
{
    for (const auto &[customer, account] : m_relay.state().prepaid.ledger.accounts) {
        m_relay.log().write("ledger_found",
                            {{"customer", std::string_view(customer.value)},
                             {"total", account.total},
                             {"spent", account.spent},
                             {"unsure", account.unsure},
                             {"room", unallocatedTokens(account)}});
    }
}

void BudgetManager::writeSoon()
{
    if (m_writePosted) {
        return;
    }
    // Coalesces the demand of requests that arrive together into one write.
    m_writePosted = true;
    boost::asio::post(m_io, [this] {
        m_writePosted = false;
        writeIfDue();
    });
}

void BudgetManager::writeIfDue()
{
    auto &share = m_relay.state().prepaid;
    if (!m_relay.state().platformInReach || m_relay.state().stage == RelayStage::Starting || m_onReturned) {
        return;
    }
    m_relay.updateTokenDemand();
    if (const auto due = planWrite(share, Relay::now(), m_hostTime())) {
        write(*due);
    }
}

void BudgetManager::write(const ShareWrite &write)
{
    StoreTransaction transaction;
    transaction.conditions.push_back({m_options.markKey, write.markRevision});
    transaction.puts.push_back({m_options.markKey, write.mark, 0});
    m_writtenLedger = write.ledger;
    if (write.ledger) {
        transaction.conditions.push_back({m_options.ledgerKey, write.ledgerRevision});
        transaction.puts.push_back({m_options.ledgerKey, *write.ledger, 0});
    }
    m_store.transact(transaction, [this](const StoreWriteReply &reply) {
        onWritten(reply);
    });
}

void BudgetManager::onWritten(const StoreWriteReply &reply)
{
    auto &share = m_relay.state().prepaid;
    switch (reply.status) {
    case StoreStatus::Ok:
        onWriteDone(share, reply.revision);
        if (m_writtenLedger && onLedgerWritten) {
            onLedgerWritten(reply.revision, *m_writtenLedger);
        }
        break;
    case StoreStatus::ConditionFailed:
        onWriteRefused(share, true);
        onConditionFailed(reply);
        break;
    case StoreStatus::NotFound:
    case StoreStatus::Refused:
        onWriteRefused(share, false);
        onStoreReachability(false);
        break;
    case StoreStatus::HistoryCompacted:
    case StoreStatus::Unknown:
        onWriteUnknown(share);
        onStoreReachability(false);
        break;
    }
    if (m_onReturned) {
        finishReturn();
        return;
    }
    m_relay.retryReservations();
}

// The reply contains the current items, which saves two reads in the frequent case
// that another router's write came first.
void BudgetManager::onConditionFailed(const StoreWriteReply &reply)
{
    if (!reply.currentItems || !m_writtenLedger) {
        m_nextRecords = TimePoint{};
        readRecords();
        return;
    }
    StoreItemReply ledger{StoreStatus::NotFound, {}};
    StoreItemReply mark{StoreStatus::NotFound, {}};
    for (const StoreItem &item : *reply.currentItems) {
        if (item.key == m_options.ledgerKey) {
            ledger = {StoreStatus::Ok, item};
        } else if (item.key == m_options.markKey) {
            mark = {StoreStatus::Ok, item};
        }
    }
    onMarkRead(ledger, mark);
}

void BudgetManager::returnAll(std::function<void()> done)
{
    m_onReturned = std::move(done);
    if (!m_relay.state().prepaid.writing) {
        finishReturn();
    }
}

void BudgetManager::finishReturn()
{
    auto &share = m_relay.state().prepaid;
    if (!share.returned && m_relay.state().platformInReach) {
        if (const auto due = planReturn(share, Relay::now())) {
            write(*due);
            return;
        }
        if (!share.ledgerKnown && !m_recordsReadInFlight) {
            readRecords();
        }
    }
    // onTick() retries until the return has succeeded; the owner bounds the total time.
    if (share.returned && m_lease != 0) {
        dropShareLease(m_relay.state().limitShares);
        m_store.revokeLease(m_lease, [done = std::exchange(m_onReturned, [] {})](StoreStatus) {
            done();
        });
    }
}

} // namespace Godwit
