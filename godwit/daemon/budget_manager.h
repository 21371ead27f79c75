#pragma once

// Synchronises this router's share of the prepaid totals, and its entry in the list of
// live routers, with the platform's store.
//
// Performs the writes that PrepaidShare plans and reports their outcomes to it. Owns the lease that the live entry and
// the limit shares are attached to, and detects whether the store is reachable. Not thread-safe.

#include "godwit/base/time.h"
#include "godwit/relay/relay.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Godwit
{

struct BudgetManagerOptions
{
    std::string ledgerKey = "godwit/ledger";
    std::string markKey; // Written by this host only.
    std::string liveKey;
    std::string liveValue;
    // Time to live of the lease. Longer than a typical outage of the store, so that the live entry survives one; the
    // links between routers detect failures sooner.
    Duration leaseTime = std::chrono::seconds(12);
    Duration renewInterval = std::chrono::milliseconds(3500);
    // Average interval between probes of the whole fleet while the store is unreachable.
    Duration fleetProbeInterval = std::chrono::milliseconds(120);
    // Lower bound of the mean interval of one router, even if only a few routers have lost the store.
    Duration minOwnProbeInterval = std::chrono::milliseconds(800);
    Duration initialProbeDelay = std::chrono::milliseconds(500);
    Duration tickInterval = std::chrono::milliseconds(100);
};

class BudgetManager
{
public:
    BudgetManager(boost::asio::io_context &io,
                  Relay &relay,
                  StoreClient &store,
                  BudgetManagerOptions options,
                  std::function<HostTime()> hostTime);

    void start();

    // Checks from the event loop, without waiting for the next tick, whether a write is due.
    // For requests that wait for tokens.
    void writeSoon();

    // Removes the live entry, so that callers are directed to other routers.
    void removeLiveEntry();

    // Returns all unused tokens to the ledger and revokes the lease. Retries on each tick while the store is
    // unreachable; the caller bounds the wait. `done` is called at most once, after the attempt to revoke the lease.
    void returnAll(std::function<void()> done);

    // Reports whether a call to the store was answered.
    void onStoreReachability(bool reachable);

    // Called when the store becomes reachable again.
    std::function<void()> onStoreRegained;

    // Called after this router's live entry was written.
    std::function<void()> onLiveEntryWritten;

    // Called when a probe of this router finds the store reachable again, so that peers can be notified.
    std::function<void()> onStoreFoundByProbe;

    // Called after this router wrote the ledger, with the stored value and its revision, so that peers can be notified.
    std::function<void(std::uint64_t revision, const std::string &ledger)> onLedgerWritten;

    // A peer has reported that the store is reachable again.
    void onStoreFoundByPeer();

    // Fraction of the peers that recently reported the store as unreachable. All of them if unset.
    std::function<double()> peerFractionWithoutStore;

private:
    void scheduleTick();
    void onTick();
    void maintainLease(TimePoint now);
    void onLeaseRenewed(TimePoint requestedAt, Duration uptime, Duration timeToLive);
    void forgetLease();
    void probe(TimePoint now);
    void probeNow();
    Duration nextProbeDelay();
    void renewLease(TimePoint now);
    void grantLease();
    void onLeaseLost();
    void writeLiveEntry();
    void readRecords();
    void onLedgerRead(const StoreItemReply &reply);
    void logLedger();
    void onMarkRead(const StoreItemReply &ledger, const StoreItemReply &mark);
    void writeIfDue();
    void write(const ShareWrite &write);
    void onWritten(const StoreWriteReply &reply);
    void onConditionFailed(const StoreWriteReply &reply);
    void finishReturn();

    boost::asio::io_context &m_io;
    Relay &m_relay;
    StoreClient &m_store;
    BudgetManagerOptions m_options;
    std::function<HostTime()> m_hostTime;
    boost::asio::steady_timer m_tickTimer;
    std::uint64_t m_lease = 0;
    TimePoint m_lastRenewalSentAt; // Of the last renewal that the store confirmed.
    TimePoint m_nextRenewal;
    bool m_leaseCallInFlight = false; // The call with id m_lastLeaseCallId.
    std::uint64_t m_lastLeaseCallId = 0;
    bool m_recordsReadInFlight = false;
    bool m_liveEntryWritten = false;
    bool m_liveWriteInFlight = false;
    bool m_liveEntryRemoved = false;
    std::optional<std::string> m_writtenLedger; // The ledger in the write in flight, or else in the last one.
    bool m_writePosted = false;
    TimePoint m_nextRecords;
    TimePoint m_nextProbe;
    bool m_probeInFlight = false;
    std::function<void()> m_onReturned;
};

} // namespace Godwit
