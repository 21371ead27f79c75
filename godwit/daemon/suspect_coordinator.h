#pragma once

// Detects which endpoints died while they ran which requests, and shares this evidence with the fleet: immediately over
// the links between routers, and durably in the platform's store. Grants trials, so that only one router at a time runs
// a request that may crash endpoints. The verdict on a request is computed in godwit/suspects. Not thread-safe.
//
// Example:
//   SuspectCoordinator suspects(io, relay, store, options);
//   suspects.broadcast = [&](const std::vector<SuspectNotice> &notices) { ...send to all other routers... };

#include "godwit/base/time.h"
#include "godwit/daemon/first_death_store.h"
#include "godwit/gateway/crash_detector.h"
#include "godwit/gateway/store_item.h"
#include "godwit/relay/endpoint_probe.h"
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
    std::string prefix; // Prefix of the records' keys in the store.
    SuspectOptions suspects;
    // Longer than one second, after which TCP retransmits a lost SYN.
    Duration probeTimeout = std::chrono::milliseconds(1300);
    // A request whose connection was closed waits no longer than this for the check whether its endpoint has died.
    Duration crashCheckTimeout = std::chrono::milliseconds(60);
    // A death is not attributed to a request that was answered completely within this time before it.
    Duration recentAnswerWindow = std::chrono::seconds(3);
    // A router that has recently answered a suspect clears it within this time, before the suspect is evaluated.
    Duration maxClearanceDelay = std::chrono::milliseconds(150);
    // Maximum age of this router's copy of the store.
    Duration maxCopyLag = std::chrono::seconds(3);
    // A trial that its router has not ended by then is considered over if its endpoint is still running.
    Duration trialTimeout = std::chrono::seconds(15);
    // A request waits no longer than this for the store write that grants its trial; then the trial is denied.
    Duration trialGrantTimeout = std::chrono::milliseconds(250);
    std::size_t maxLoggedRequests = 8; // Requests in one log line.
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

    // The list of endpoints has changed. Detects deaths of endpoints whose address was taken over by another one.
    void onEndpointsChanged();

    // This router's copy of the store has changed. `items` are all entries below the prefix; a record that has
    // disappeared since lifts the verdict.
    void onRecords(const std::map<std::string, StoreItem> &items);

    // Processes notices from another router.
    void onNotices(const std::vector<SuspectNotice> &notices);

    // Periodic work, to be called twice a second: broadcasts clearances, retries failed writes
    // and removes expired evidence and records.
    void step();

    FirstDeathStore &firstDeaths()
    {
        return m_firstDeaths;
    }

    // Whether this router is connected to enough of its peers; true if unset.
    std::function<bool()> isConnectedToFleet;

    // Sends notices to all other routers that are advertised to callers.
    std::function<void(const std::vector<SuspectNotice> &)> broadcast;

private:
    struct KnownRecord
    {
        SuspectRecord record;
        std::uint64_t revision = 0; // 0 if the store has no record.
        TimePoint firstSeenAt; // When this revision was first seen.
        bool inCopy = false; // Whether the copy of the store has contained this revision.
        bool writeInFlight = false;
        bool writtenHere = false; // Whether this router wrote this revision.
    };

    void onInterrupted(const InterruptedRequest &interrupted, std::function<void()> resolved);
    void probePort(const EndpointInterruptions &interruptions);
    // Routers that can tell whether an endpoint of the group accepts connections.
    std::vector<Lender> witnessesFor(const EndpointGroup &group) const;
    // Asks other routers in turn whether the endpoint accepts connections. `otherwise` is the outcome if none can tell.
    void probeThroughOthers(const EndpointInterruptions &interruptions,
                            std::vector<Lender> lenders,
                            ProbeOutcome otherwise);
    void onProbed(const EndpointId &endpoint, ProbeOutcome outcome);
    void releaseWaiters(const EndpointId &endpoint);
    void onDeath(const EndpointInterruptions &death, std::string_view sign);
    void logDeath(const EndpointInterruptions &death, std::string_view sign) const;
    void updateConnectivity();
    void onCleared(std::uint64_t fingerprint);
    void recordReportedDeath(const SuspectNotice &notice);
    void scheduleEvaluation(std::set<std::uint64_t> fingerprints);
    // For requests that this router has answered recently.
    void scheduleClearance(std::set<std::uint64_t> fingerprints);
    void evaluate(std::uint64_t fingerprint);
    void noteConviction(std::uint64_t fingerprint);
    void onTrialRequested(const TrialRequest &request, std::function<void(bool)> done);
    void claimTrial(const TrialRequest &request, std::function<void(bool)> done);
    bool mayClaim(std::uint64_t fingerprint, const KnownRecord &known);
    void onTrialEnded(std::uint64_t fingerprint);
    void clearAnsweredRequest(std::uint64_t fingerprint);
    // An answer without a declared end counts as complete if the endpoint still accepts connections afterwards.
    void onAnswerWithoutDeclaredEnd(std::uint64_t fingerprint, const EndpointId &endpoint);
    void broadcastClearances();
    // Writes the current evidence to the store if there is a record already, or enough deaths for one.
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
    std::map<EndpointId, std::vector<std::function<void()>>> m_waiters; // For the result of probing an endpoint's port.
    std::map<std::uint64_t, SuspectLabel> m_labels; // Of requests that were interrupted at this router.
    std::map<std::uint64_t, EndpointId> m_ownTrials;
    std::map<std::uint64_t, KnownRecord> m_records;
    std::map<std::uint64_t, std::size_t> m_deathsAtConviction; // Number of attributable deaths at the last conviction.
    std::map<std::uint64_t, std::uint64_t> m_removedRevisions; // Records up to this revision are ignored.
    std::map<std::uint64_t, TimePoint> m_clearedByPeerAt; // Recent clearances by other routers.
    std::set<std::uint64_t> m_unsentClearances; // Not broadcast yet; batched, since there are many after a death.
    std::set<std::uint64_t> m_pendingWrites;
    std::set<std::uint64_t> m_pendingRemovals;
};

} // namespace Godwit
