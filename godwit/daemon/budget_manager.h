#pragma once

// Keeps this router's share of the prepaid totals, and its place among the live routers, in the platform's store.
//
// Carries out what PrepaidShare plans and reports how it ended; holds the lease on which the live entry depends.
// Not thread-safe.

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
    std::string markKey; // This host's own.
    std::string liveKey;
    std::string liveValue;
    // Of the entry among the live routers. Links tell sooner who is gone, and it outlasts a usual loss of the store.
    Duration leaseTime = std::chrono::seconds(12);
    Duration renewInterval = std::chrono::milliseconds(3500);
    // While the store is away, the fleet as a whole asks this often whether it is back.
    Duration fleetProbeInterval = std::chrono::milliseconds(120);
    // One router asks no more often than this, however few have lost the store.
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

    // Looks at once whether a write is due: a request waits for tokens.
    void writeSoon();

    // Takes the live entry away: callers are to be sent elsewhere.
    void removeLiveEntry();

    // Gives everything back and ends the lease; `done` is called once, also when the store is out of reach.
    void returnAll(std::function<void()> done);

    // Called when the store was heard, or not.
    void onStoreReachability(bool reachable);

    // The store is within reach again.
    std::function<void()> onStoreRegained;

    // This router's entry stands among the live ones.
    std::function<void()> onLiveEntryWritten;

    // This router has found the store again by a probe: others may be told.
    std::function<void()> onStoreFoundByProbe;

    // This router has written the ledger, as it now stands at that revision: others may be told.
    std::function<void(std::uint64_t revision, const std::string &ledger)> onLedgerWritten;

    // Another router has found that the store is back.
    void onStoreFoundByPeer();

    // Which part of the other routers lately had the store out of reach; unset: all.
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
    TimePoint m_lastRenewalSentAt; // When the last renewal that the store confirmed was sent.
    TimePoint m_nextRenewal;
    bool m_leaseCallInFlight = false; // The last of them.
    std::uint64_t m_lastLeaseCallId = 0;
    bool m_recordsReadInFlight = false;
    bool m_liveEntryWritten = false;
    bool m_liveWriteInFlight = false;
    bool m_liveEntryRemoved = false;
    std::optional<std::string> m_writtenLedger; // What the open write, or the last one, makes of the ledger.
    bool m_writePosted = false;
    TimePoint m_nextRecords;
    TimePoint m_nextProbe;
    bool m_probeInFlight = false;
    std::function<void()> m_onReturned;
};

} // namespace Godwit
