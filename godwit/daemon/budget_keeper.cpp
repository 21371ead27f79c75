#include "godwit/daemon/budget_keeper.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Godwit
{
namespace
{

using boost::system::error_code;

} // namespace

BudgetKeeper::BudgetKeeper(boost::asio::io_context &io,
                           Relay &relay,
                           StoreClient &store,
                           BudgetKeeperOptions options,
                           std::function<HostTime()> hostTime)
    : m_io(io)
    , m_relay(relay)
    , m_store(store)
    , m_options(std::move(options))
    , m_hostTime(std::move(hostTime))
    , m_tick(io)
{
}

void BudgetKeeper::start()
{
    // The first readings show whether the store answers.
    m_nextProbe = Relay::now() + m_options.firstProbeAfter;
    onTick();
}

void BudgetKeeper::armTick()
{
    m_tick.expires_after(m_options.tick);
    m_tick.async_wait([this](const error_code &error) {
        if (!error) {
            onTick();
        }
    });
}

void BudgetKeeper::onTick()
{
    const TimePoint now = Relay::now();
    const bool bound = m_relay.state().prepaid.markLimitsFixed;
    if (updateMarkAge(m_relay.state().prepaid, m_hostTime())) {
        if (bound) {
            m_relay.log().write("marks_bind_no_more", {});
        }
        // Their limits grow with the time.
        m_relay.retryReservations();
    }
    keepLease(now);
    probe(now);
    auto &share = m_relay.state().prepaid;
    if (!share.ledgerKnown && !share.writing && now >= m_nextRecords && m_relay.state().platformInReach) {
        m_nextRecords = now + m_options.probeInterval;
        readRecords();
    }
    if (!m_liveEntryWritten && m_lease != 0 && !m_leaving) {
        writeLiveEntry();
    }
    if (m_returned && !share.writing) {
        finishReturn();
    }
    writeIfDue();
    armTick();
}

void BudgetKeeper::onReached(bool reached)
{
    bool &inReach = m_relay.state().platformInReach;
    if (reached == inReach) {
        return;
    }
    inReach = reached;
    const TimePoint now = Relay::now();
    if (reached) {
        m_nextKeep = now;
        m_nextRecords = now;
        if (now >= m_renewedAt + m_options.leaseTime) {
            // It has most likely ended; a new one costs less time than finding out.
            forgetLease();
        }
    } else {
        m_nextProbe = now + probeTurn();
    }
    // What others wrote meanwhile is not known.
    m_relay.state().prepaid.ledgerKnown = false;
    m_relay.log().write(reached ? "platform_regained" : "platform_lost", {});
    if (reached && onRegained) {
        onRegained();
    }
}

// By lot from the first probe on: routers that all lost the store at once would else all ask at once, and then none for
// as long as a whole turn takes. Those that reach the store take no turns: a router that has lost it alone would wait
// for all of theirs.
Duration BudgetKeeper::probeTurn()
{
    const int routers = std::max(1, m_relay.state().liveRouters);
    const double lost = lostElsewhere ? lostElsewhere() * routers : routers;
    const Duration least = std::min<Duration>(m_options.probeInterval * routers, m_options.ownProbeInterval);
    const Duration turn = std::max(least, std::chrono::duration_cast<Duration>(m_options.probeInterval * lost));
    const double lot = static_cast<double>(m_relay.random() % 1024) / 1024.0;
    return std::chrono::duration_cast<Duration>(turn * 2 * lot);
}

// Routers take turns at asking whether the store is back, and tell each other.
void BudgetKeeper::probe(TimePoint now)
{
    if (m_relay.state().platformInReach || m_probeOpen || now < m_nextProbe) {
        return;
    }
    m_nextProbe = now + probeTurn();
    probeNow();
}

void BudgetKeeper::probeNow()
{
    if (m_probeOpen || m_relay.state().platformInReach) {
        return;
    }
    m_probeOpen = true;
    m_store.probe(m_options.ledgerKey, [this](StoreStatus status) {
        m_probeOpen = false;
        const bool reached = status == StoreStatus::Ok || status == StoreStatus::NotFound;
        const bool news = reached && !m_relay.state().platformInReach;
        onReached(reached);
        if (news && onFoundAgain) {
            onFoundAgain();
        }
    });
}

void BudgetKeeper::keepLease(TimePoint now)
{
    if (m_leaseCallOpen || now < m_nextKeep || m_returned || !m_relay.state().platformInReach) {
        return;
    }
    if (m_lease == 0) {
        m_nextKeep = now + m_options.keepInterval;
        grantLease();
        return;
    }
    renewLease(now);
}

// A renewal costs a tenth of a probe, and shows as well whether the store is back.
void BudgetKeeper::onFoundElsewhere()
{
    if (m_lease == 0 || m_leaseCallOpen) {
        probeNow();
    } else if (!m_relay.state().platformInReach) {
        renewLease(Relay::now());
    }
}

void BudgetKeeper::renewLease(TimePoint now)
{
    m_nextKeep = now + m_options.keepInterval;
    m_leaseCallOpen = true;
    m_store.renewLease(m_lease, [this, now, uptime = Relay::uptime(), call = ++m_leaseCalls](StoreStatus status) {
        // News of a former lease says nothing of its successor.
        if (call != m_leaseCalls) {
            return;
        }
        m_leaseCallOpen = false;
        onReached(status == StoreStatus::Ok || status == StoreStatus::NotFound);
        if (status == StoreStatus::Ok) {
            onLeaseKept(now, uptime, m_options.leaseTime);
        } else if (status == StoreStatus::NotFound) {
            onLeaseLost();
        }
    });
}

void BudgetKeeper::grantLease()
{
    m_leaseCallOpen = true;
    ++m_leaseCalls;
    const TimePoint asked = Relay::now();
    m_store.grantLease(m_options.leaseTime, [this, asked, uptime = Relay::uptime()](const StoreLeaseReply &reply) {
        m_leaseCallOpen = false;
        onReached(reply.status == StoreStatus::Ok);
        if (reply.status == StoreStatus::Ok) {
            m_lease = reply.lease;
            onLeaseKept(asked, uptime, std::min(reply.timeToLive, m_options.leaseTime));
            m_nextKeep = asked + m_options.keepInterval;
            m_liveEntryWritten = false;
        }
    });
}

// `uptime`: of the host, when the call was made.
void BudgetKeeper::onLeaseKept(TimePoint asked, Duration uptime, Duration timeToLive)
{
    m_renewedAt = asked;
    renewShareLease(m_relay.state().limitShares, m_lease, uptime + timeToLive);
}

void BudgetKeeper::forgetLease()
{
    m_lease = 0;
    m_liveEntryWritten = false;
    dropShareLease(m_relay.state().limitShares);
}

void BudgetKeeper::onLeaseLost()
{
    m_relay.log().write("lease_lost", {{"lease", static_cast<std::int64_t>(m_lease)}});
    forgetLease();
    m_nextKeep = TimePoint{};
    m_nextRecords = TimePoint{};
    grantLease();
}

void BudgetKeeper::writeLiveEntry()
{
    if (m_liveCallOpen) {
        return;
    }
    m_liveCallOpen = true;
    StoreTransaction transaction;
    transaction.puts.push_back({m_options.liveKey, m_options.liveValue, m_lease});
    m_store.transact(transaction, [this, lease = m_lease](const StoreWriteReply &reply) {
        m_liveCallOpen = false;
        // What was written under a former lease went with it.
        if (lease != m_lease) {
            return;
        }
        m_liveEntryWritten = reply.status == StoreStatus::Ok;
        if (m_liveEntryWritten && onLiveWritten) {
            onLiveWritten();
        }
        if (reply.status == StoreStatus::NotFound) {
            onLeaseLost();
        }
    });
}

void BudgetKeeper::leave()
{
    m_leaving = true;
    StoreTransaction transaction;
    transaction.removals.push_back(m_options.liveKey);
    m_store.transact(transaction, [](const StoreWriteReply &) {
        // The lease's end removes the entry too, and routers hear of the stop over their links.
    });
}

void BudgetKeeper::readRecords()
{
    if (m_recordsCallOpen) {
        return;
    }
    m_recordsCallOpen = true;
    m_store.get(m_options.ledgerKey, [this](const StoreItemReply &ledger) {
        onLedgerRead(ledger);
    });
}

void BudgetKeeper::onLedgerRead(const StoreItemReply &ledger)
{
    const bool answered = ledger.status == StoreStatus::Ok || ledger.status == StoreStatus::NotFound;
    onReached(answered);
    if (!answered) {
        m_recordsCallOpen = false;
        return;
    }
    m_store.get(m_options.markKey, [this, ledger](const StoreItemReply &mark) {
        m_recordsCallOpen = false;
        onMarkRead(ledger, mark);
    });
}

void BudgetKeeper::onMarkRead(const StoreItemReply &ledger, const StoreItemReply &mark)
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

// What a process found when it came: the first question after a death is what it has cost.
void BudgetKeeper::logLedger()
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

void BudgetKeeper::hurry()
{
    if (m_hurryPosted) {
        return;
    }
    // Several requests that come together make one write.
    m_hurryPosted = true;
    boost::asio::post(m_io, [this] {
        m_hurryPosted = false;
        writeIfDue();
    });
}

void BudgetKeeper::writeIfDue()
{
    auto &share = m_relay.state().prepaid;
    if (!m_relay.state().platformInReach || m_relay.state().stage == RelayStage::Starting || m_returned) {
        return;
    }
    m_relay.updateTokenDemand();
    if (const auto due = planWrite(share, Relay::now(), m_hostTime())) {
        write(*due);
    }
}

void BudgetKeeper::write(const ShareWrite &write)
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

void BudgetKeeper::onWritten(const StoreWriteReply &reply)
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
        onReached(false);
        break;
    case StoreStatus::HistoryCompacted:
    case StoreStatus::Unknown:
        onWriteUnknown(share);
        onReached(false);
        break;
    }
    if (m_returned) {
        finishReturn();
        return;
    }
    m_relay.retryReservations();
}

// The answer says what stands, which saves two reads in the frequent case that another router was faster.
void BudgetKeeper::onConditionFailed(const StoreWriteReply &reply)
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

void BudgetKeeper::returnAll(std::function<void()> done)
{
    m_returned = std::move(done);
    if (!m_relay.state().prepaid.writing) {
        finishReturn();
    }
}

void BudgetKeeper::finishReturn()
{
    auto &share = m_relay.state().prepaid;
    if (!share.returned && m_relay.state().platformInReach) {
        if (const auto due = planReturn(share, Relay::now())) {
            write(*due);
            return;
        }
        if (!share.ledgerKnown && !m_recordsCallOpen) {
            readRecords();
        }
    }
    // Until it has worked the tick tries again; the owner bounds how long.
    if (share.returned && m_lease != 0) {
        dropShareLease(m_relay.state().limitShares);
        m_store.revokeLease(m_lease, [done = std::exchange(m_returned, [] {})](StoreStatus) {
            done();
        });
    }
}

} // namespace Godwit
