#pragma once

// Finds out which endpoints have died under which requests, and keeps the fleet's knowledge of such requests: over
// links at once, and in the platform's store where it has to last. Lets one router at a time try a request that may be
// to blame. What is believed of a request is decided in godwit/suspects. Not thread-safe.
//
// Example:
//   SuspectKeeper suspects(io, relay, store, options);
//   suspects.tell = [&](const std::vector<SuspectNotice> &notices) { ...to all other routers... };

#include "godwit/base/time.h"
#include "godwit/daemon/first_death_store.h"
#include "godwit/gateway/crash_detector.h"
#include "godwit/gateway/store_item.h"
#include "godwit/relay/relay.h"
#include "godwit/suspects/suspect_notice.h"
#include "godwit/suspects/suspect_record.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

struct SuspectCoordinatorOptions
{
    Incarnation self;
    std::string prefix; // Of the records' keys.
    SuspectOptions suspects;
    // A first opening packet that is lost is repeated after a second.
    Duration probeTimeout = std::chrono::milliseconds(1300);
    // A request whose connection has ended waits no longer than this to learn whether its endpoint has died.
    Duration crashCheckTimeout = std::chrono::milliseconds(60);
    // A request that was answered whole so shortly before an endpoint died is not to blame.
    Duration recentAnswerWindow = std::chrono::seconds(3);
    // A router that has answered a suspect says so within this time, before it is judged.
    Duration maxClearanceDelay = std::chrono::milliseconds(150);
    // The copy of what the store keeps is no older than this.
    Duration maxCopyLag = std::chrono::seconds(3);
    // A trial that its router has not ended by then is over if its endpoint lives.
    Duration trialTimeout = std::chrono::seconds(15);
    // A request does not wait longer for the store to grant its trial.
    Duration trialGrantTimeout = std::chrono::milliseconds(250);
    std::size_t maxLoggedRequests = 8; // Requests in one line.
    std::size_t maxNoticesPerDeath = 64;
    std::size_t maxRecords = 256;
    std::size_t maxRecordsPerCustomer = 32;
    std::size_t maxLabels = 2048;
};

class SuspectCoordinator
{
public:
    SuspectCoordinator(boost::asio::io_context &io,
                       Relay &relay,
                       StoreClient &store,
                       SuspectCoordinatorOptions options);

    // The list of endpoints has changed.
    void onEndpointsChanged();

    // The copy of what the store keeps has changed; only entries below the prefix.
    void onRecords(const std::map<std::string, StoreItem> &items);

    // Another router has told.
    void onNotices(const std::vector<SuspectNotice> &notices);

    // To be called twice a second. Tells who was answered, writes what could not be written, and forgets what is too
    // old.
    void step();

    FirstDeathStore &firstDeaths()
    {
        return m_firstDeaths;
    }

    // Whether this router hears the others; unset: it does.
    std::function<bool()> isConnectedToFleet;

    // All other routers that callers are told of are to be told.
    std::function<void(const std::vector<SuspectNotice> &)> broadcast;

private:
    struct KnownRecord
    {
        SuspectRecord record;
        std::uint64_t revision = 0; // 0: the store has none.
        TimePoint firstSeenAt; // When this revision was first seen.
        bool inCopy = false; // The copy of the store has had this revision.
        bool writeInFlight = false;
        bool writtenHere = false; // This router wrote this revision.
    };

    void onInterrupted(const InterruptedRequest &interrupted, std::function<void()> resolved);
    void probePort(const EndpointInterruptions &interruptions);
    void releaseWaiters(const EndpointId &endpoint);
    void onDeath(const EndpointInterruptions &death, std::string_view sign);
    void logDeath(const EndpointInterruptions &death, std::string_view sign) const;
    void updateConnectivity();
    void onCleared(std::uint64_t fingerprint);
    void recordReportedDeath(const SuspectNotice &notice);
    void scheduleEvaluation(std::set<std::uint64_t> fingerprints);
    // This router has answered them lately.
    void scheduleClearance(std::set<std::uint64_t> fingerprints);
    void evaluate(std::uint64_t fingerprint);
    void noteConviction(std::uint64_t fingerprint);
    void onTrialRequested(const TrialRequest &request, std::function<void(bool)> done);
    void claimTrial(const TrialRequest &request, std::function<void(bool)> done);
    bool mayClaim(std::uint64_t fingerprint, const KnownRecord &known);
    void onTrialEnded(std::uint64_t fingerprint);
    void clearAnsweredRequest(std::uint64_t fingerprint);
    // An answer that may be a part is whole if its endpoint is alive after it.
    void onAnswerWithoutDeclaredEnd(std::uint64_t fingerprint, const EndpointId &endpoint);
    void broadcastClearances();
    // Brings the store's record to what is believed here, where it is worth a record.
    void updateRecord(std::uint64_t fingerprint);
    bool hasRoomFor(const SuspectLabel &label) const;
    SuspectRecord recordOf(std::uint64_t fingerprint);
    void write(std::uint64_t fingerprint, const SuspectRecord &record, std::function<void(StoreStatus)> done);
    void remove(std::uint64_t fingerprint);
    void adoptCurrentRecord(std::uint64_t fingerprint, const StoreWriteReply &reply);
    void adoptRecord(std::uint64_t fingerprint, const StoreItem &item);
    bool wasRecentlyCleared(std::uint64_t fingerprint) const;
    void forgetRecord(std::uint64_t fingerprint, std::uint64_t revision);
    void updateTrialEndpoints();
    std::string keyOf(std::uint64_t fingerprint) const;
    void logSuspect(std::string_view event, std::uint64_t fingerprint);

    boost::asio::io_context &m_io;
    Relay &m_relay;
    StoreClient &m_store;
    SuspectCoordinatorOptions m_options;
    FirstDeathStore m_firstDeaths;
    std::map<EndpointId, std::vector<std::function<void()>>> m_waiters; // For the answer of an endpoint's port.
    std::map<std::uint64_t, SuspectLabel> m_labels; // Of requests that were cut here.
    std::map<std::uint64_t, EndpointId> m_ownTrials;
    std::map<std::uint64_t, KnownRecord> m_records;
    std::map<std::uint64_t, std::size_t> m_deathsAtConviction; // With how many deaths a request was last convicted.
    std::map<std::uint64_t, std::uint64_t> m_removedRevisions; // Revisions up to which a record no longer counts.
    std::map<std::uint64_t, TimePoint> m_clearedByPeerAt; // By other routers, lately.
    std::set<std::uint64_t> m_unsentClearances; // Not told yet: after a death there are many.
    std::set<std::uint64_t> m_pendingWrites;
    std::set<std::uint64_t> m_pendingRemovals;
};

} // namespace Godwit
