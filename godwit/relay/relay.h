#pragma once

// State shared by all calls of one router: configuration document, endpoints, token budgets and connections.
//
// Owned by a single thread: on hosts with a fraction of a core a second thread would cost a wake-up per message without
// a gain. Code that changes `state()` does so on that thread and then calls the matching function of this class.
//
// Example:
//   Relay relay(io, options, log);
//   relay.state().routes = makeRouteTable(document);
//   relay.retryReservations();

#include "godwit/base/time.h"
#include "godwit/gateway/announced_versions.h"
#include "godwit/gateway/caller_admission.h"
#include "godwit/gateway/connection_limits.h"
#include "godwit/gateway/copy_freshness.h"
#include "godwit/gateway/crash_detector.h"
#include "godwit/gateway/endpoint_reach.h"
#include "godwit/gateway/endpoint_table.h"
#include "godwit/gateway/hedge_policy.h"
#include "godwit/gateway/held_bytes.h"
#include "godwit/gateway/limit_shares.h"
#include "godwit/gateway/place_queue.h"
#include "godwit/gateway/request_durations.h"
#include "godwit/gateway/response_ending.h"
#include "godwit/gateway/retry_budget.h"
#include "godwit/gateway/route_table.h"
#include "godwit/gateway/stream_versions.h"
#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/token_prefetch.h"
#include "godwit/prepaid/token_wait.h"
#include "godwit/relay/call_metrics.h"
#include "godwit/relay/connection_pool.h"
#include "godwit/relay/decision_log.h"
#include "godwit/relay/endpoint_exchange.h"
#include "godwit/relay/lending_protocol.h"
#include "godwit/relay/liveness_check.h"
#include "godwit/relay/reach_monitor.h"
#include "godwit/relay/send_record.h"
#include "godwit/suspects/recent_answers.h"
#include "godwit/suspects/suspect_record.h"
#include "godwit/suspects/suspect_tracker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace Godwit
{

class RelayCall;

enum class RelayStage {
    Starting, // No configuration document or no endpoints yet: nothing can be served.
    Serving,
    Leaving, // No longer advertised to callers; still serves, and closes connections after their responses.
    Stopping, // Refuses new requests and finishes those in flight.
};

struct RelayOptions
{
    HostId host;
    DataCentreId dataCentre;
    std::map<DataCentreId, RegionId> regions; // Region of each data centre.
    ColdStartBounds coldStart;
    // When connecting to a cold endpoint takes longer than this, the endpoint is chosen again: requests that wait for a
    // connection would otherwise reach it in one burst.
    Duration coldChoiceMaxAge = std::chrono::milliseconds(250);
    PrepaidOptions prepaid;
    ChoiceOptions choice;
    bool shareSpeeds = false; // Copied to EndpointTable::shareSpeeds.
    ExchangeOptions exchange;
    LivenessOptions liveness;
    RetryBudgetOptions retryRules;
    LimitShareOptions limitShares;
    TokenWaitOptions tokenWait;
    HedgeOptions hedging;
    BrittleOptions brittle; // Copied to EndpointTable::brittleOptions.
    StreamVersionOptions streamVersions;
    AnnouncedVersionOptions announcedVersions;
    // Retry-After of a refusal when no better estimate is available.
    Duration defaultRetryAfter = std::chrono::milliseconds(700);
    // After link congestion all requests are refused for this long, by which time the link's queue has drained. After
    // that, requests are refused until a new endpoint list and a new document have been read, but for no longer than
    // `copyRefreshTimeout` after the congestion, since the store may be unreachable.
    Duration congestionHoldOff = std::chrono::milliseconds(1200);
    Duration copyRefreshTimeout = std::chrono::seconds(10);
    FreshnessOptions agreement;
    CallerAdmissionOptions callerAdmission;
    // How long the trial of a suspect request is put off while its service has no endpoint to spare. Crashed endpoints
    // are back within seconds.
    Duration trialWaitLimit = std::chrono::seconds(10);
    // Subtracted from the caller's timeout, so that the final response still arrives in time.
    Duration answerMargin = std::chrono::milliseconds(15);
    // How long an endpoint has to close the connection of a withdrawn request. Shorter than the time within which work
    // for disconnected callers must stop.
    Duration withdrawalTimeout = std::chrono::milliseconds(200);
    // An endpoint that has sent nothing for this long when a request is abandoned counts as slow. Requests to plain
    // services take up to about 0.5 s, and callers abandon a stream after a gap of 2 s.
    Duration slowEndpointThreshold = std::chrono::seconds(1);
    HeldBytesOptions held; // See setHeldBytes().
    RequestDurationOptions requestDurations;
};

struct RelayState
{
    std::shared_ptr<const RouteTable> routes; // Null until the first document has been read.
    EndpointTable endpoints;
    EndpointReach reach; // Maintained by ReachMonitor.
    PrepaidShare prepaid;
    ExchangeTime tokenExchange; // Of token requests to homes; maintained by FleetLinks.
    std::map<std::string, RetryBudget> retryBudgets; // Keyed by service.
    LimitShares limitShares;
    AdvertisedRouters senders;
    RelayStage stage = RelayStage::Starting;
    std::optional<TimePoint> endsAt; // When the process ends whatever is still open; unset while it isn't stopping.
    RequestDurations requestDurations;
    int liveRouters = 1;
    bool platformInReach = false;
    // When congestion was last seen on this host's link: its state was stale then, and its messages arrive late.
    TimePoint congestedAt;
    TimePoint endpointsAsOf; // The endpoint list is at least as new as this.
    TimePoint documentAsOf; // The document is at least as new as this.
    std::uint64_t documentRevision = 0; // Store revision of the latest document received.
    bool closeAfterAnswer = false; // Connections are closed after their responses, so that callers reconnect.
    CopyFreshness endpointsFreshness; // Whether the endpoint list is as new as those of other routers.
    CopyFreshness documentFreshness; // Likewise for the document.
    CallerAdmissionState callerAdmission;
    CrashDetector crashDetector;
    RecentAnswers recentAnswers;
    SuspectTracker suspects; // Requests during which endpoints crashed.
    std::set<EndpointId> trialEndpoints; // Endpoints where any router has a trial of a suspect request in flight.
    HedgeState hedges;
    std::map<std::string, PlaceQueue> placeQueues; // By service.
    StreamVersions streamVersions;
    AnnouncedVersions announcedVersions; // Times from bootTimeNow().
    std::shared_ptr<HeldBytes> held = std::make_shared<HeldBytes>(); // Shared with connections, which outlive this.
};

struct InterruptedSuspect
{
    InterruptedAttempt run;
    SuspectLabel label;
};

// A request that was in flight at an endpoint when its connection ended.
struct InterruptedRequest
{
    EndpointId endpoint;
    EndpointIncarnation start = 0;
    InterruptedAttempt run;
    SuspectLabel label;
    std::vector<InterruptedSuspect> parts; // The shared parts of its prompt.
};

// A request for permission to run a suspect request as a trial: only one trial of it runs in the fleet at a time.
struct TrialRequest
{
    std::uint64_t fingerprint = 0;
    EndpointId endpoint;
    SuspectLabel label;
};

// A rejection by an endpoint of a brittle service, as announced to the other routers.
struct EndpointRejection
{
    std::string service;
    EndpointId endpoint;
    int maxRejections = 0;
};

// What became of a request for which a brittle service had no free place.
enum class PlaceWaitOutcome {
    Served, // It got a place.
    Refused, // At once, or when more urgent requests took its turn.
    Expired,
};

std::string_view placeWaitOutcomeName(PlaceWaitOutcome outcome);

// Outcome of a retry decision.
enum class RetryOutcome {
    Taken, // Counted against the retry allowance.
    Denied, // The retry allowance was exhausted.
    Free, // No byte of the previous attempt was sent, so nothing is counted against the allowance.
};

std::string_view retryOutcomeName(RetryOutcome outcome);

struct RetryKey
{
    std::string service;
    std::string cause;
    RetryOutcome outcome = RetryOutcome::Taken;

    bool operator<(const RetryKey &other) const
    {
        return std::tie(service, cause, outcome) < std::tie(other.service, other.cause, other.outcome);
    }
};

struct RelayCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t callerDisconnects = 0;
    // For lack of descriptors, by phase. Busy: new ones, since all others were.
    std::array<std::uint64_t, ConnectionPhaseCount> connectionsClosed{};
    std::uint64_t connectionPauses = 0; // Pauses during which the router accepted no connections.
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumedStreams = 0;
    std::uint64_t truncatedAnswers = 0;
    std::map<ResumptionOutcome, std::uint64_t> resumptions; // Of streams that callers take up again.
    std::uint64_t connectionsOpened = 0;
    std::map<ErrorKind, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> deferred; // Requests deferred by caller admission, keyed by route.
    std::map<std::string, std::uint64_t> attemptsFailed; // Keyed by cause.
    std::map<RetryKey, std::uint64_t> retryDecisions;
    SendCounters sends;
    std::map<ResponseEnding, std::uint64_t> answersEnded; // Responses of endpoints, complete or not.
    // Of endpoints after a response that ended with its connection, by what showed it.
    std::map<std::pair<EndpointLiveness, LivenessEvidence>, std::uint64_t> livenessChecks;
    std::uint64_t partitions = 0; // Times that a group of endpoints became partitioned from this router.
    std::uint64_t reachProbes = 0;
    std::uint64_t borrowedConnections = 0; // Requests sent over connections of other routers.
    std::map<LendingReply, std::uint64_t> lendingReplies; // To other routers that asked for connections.
    std::uint64_t convictions = 0; // Requests that this router convicted of crashing endpoints.
    std::uint64_t suspectsCleared = 0;
    std::uint64_t suspectsUnrecorded = 0; // Not recorded because the record was full.
    std::uint64_t trials = 0;
    std::uint64_t trialsDenied = 0;
    std::map<std::string, std::uint64_t> endpointDeaths; // Crashes with requests in flight, keyed by service.
    std::map<std::string, std::uint64_t> rejections; // By endpoints for lack of room, keyed by service.
    std::map<std::pair<std::string, PlaceWaitOutcome>, std::uint64_t> placeWaits; // Keyed by service and outcome.
    std::uint64_t answersWithoutDeclaredEnd = 0; // Responses delimited by closing the caller's connection.
    std::map<std::pair<std::string, HedgeOutcome>, std::uint64_t> hedges; // Keyed by service and outcome.
    std::map<std::string, std::uint64_t> entriesRefused; // Items of the store, keyed by kind.
    std::map<ReaderCut, std::uint64_t> readersCut; // Callers and endpoints disconnected because they don't read.
    CallMetrics calls;
};

class Relay
{
public:
    Relay(boost::asio::io_context &io, RelayOptions options, DecisionLog &log);

    boost::asio::io_context &io()
    {
        return m_io;
    }
    const RelayOptions &options() const
    {
        return m_options;
    }
    void setRetryRules(double ratio, double slack, Duration window)
    {
        m_options.retryRules.ratio = ratio;
        m_options.retryRules.slack = slack;
        m_options.retryRules.window = window;
    }
    void setHedging(double ratio, double quantile, Duration window)
    {
        m_options.hedging.ratio = ratio;
        m_options.hedging.quantile = quantile;
        m_options.hedging.window = window;
    }
    void setColdStartBounds(const ColdStartBounds &bounds)
    {
        m_options.coldStart = bounds;
    }
    void setCallerAdmission(bool enabled)
    {
        m_options.callerAdmission.enabled = enabled;
    }
    void setHeldBytes(std::uint64_t limitBytes, Duration stalledReaderTimeout)
    {
        m_options.held.limitBytes = limitBytes;
        m_options.held.stalledReaderTimeout = stalledReaderTimeout;
        m_options.exchange.stalledReaderTimeout = stalledReaderTimeout;
    }
    RelayState &state()
    {
        return m_state;
    }
    RelayCounters &counters()
    {
        return m_counters;
    }
    ConnectionPool &pool()
    {
        return m_pool;
    }
    ReachMonitor &reachMonitor()
    {
        return m_reachMonitor;
    }
    DecisionLog &log()
    {
        return m_log;
    }

    // Whether this router may be advertised to callers.
    bool isReady() const;

    // Whether this router must refuse requests because its document or endpoint list may be stale: its link was
    // recently congested and they have not been read anew since, or another router has a newer copy of one of them.
    bool mayBeStale(TimePoint now) const;

    // Whether caller admission may defer requests: it is enabled, and the document has deferrable routes.
    bool defersRequests() const;

    // Whether another router is known to have a newer document or endpoint list.
    bool hasOutdatedCopy(TimePoint now) const;

    // Whether the document is confirmed as current, so that routes and keys missing from it can be refused for good.
    bool hasConfirmedDocument() const;

    // Called when requests wait for tokens of a customer, with the sum that they need.
    std::function<void(const CustomerId &, Tokens needed)> onTokensNeeded;

    // Called by retryReservations() after this router's waiting requests have been served.
    std::function<void()> onTokensAdded;

    // Called when a prompt is sent to an engine; `prefillTime` is the estimated time to process its uncached part.
    std::function<void(const PromptSent &, Duration prefillTime)> onPromptSent;

    // Returns routers that lend connections to endpoints of the group, best first. Optional.
    std::function<std::vector<Lender>(const EndpointGroup &)> lendersFor;

    // Called with recorded streams that other routers may be asked for.
    std::function<void(const std::vector<RecordedStream> &)> onStreamsRecorded;

    // Called to find out at which version a stream of the service began. `done` is called once, possibly immediately:
    // when the record has been added to this router's, when the announced versions have been read, or after a short
    // timeout.
    std::function<void(const std::string &attempt, const std::string &service, std::function<void()> done)>
        onStreamSought;

    // Called when an endpoint of a brittle service has rejected a request.
    std::function<void(const EndpointRejection &)> onEndpointRejected;

    // Called when an endpoint's connection ended before its response did. `known` is called once, possibly immediately:
    // when it is known whether the endpoint has crashed, or after a short timeout.
    std::function<void(const InterruptedRequest &, std::function<void()> known)> onInterrupted;

    // Called for a request that may only be sent as a trial; `done` is called with whether it may be sent now.
    std::function<void(const TrialRequest &, std::function<void(bool)> done)> onTrialRequested;

    // Called when a trial has ended without its endpoint crashing.
    std::function<void(std::uint64_t fingerprint)> onTrialEnded;

    // Called when a request got a complete response while there are suspects or recently interrupted requests.
    std::function<void(std::uint64_t fingerprint)> onCompleteAnswer;

    // Likewise for a response that its endpoint delimited only by closing the connection.
    std::function<void(std::uint64_t fingerprint, const EndpointId &endpoint)> onAnswerWithoutDeclaredEnd;

    // Disconnects callers for which bytes are queued, as disconnectCallersAtLimit() does.
    std::function<void()> onHeldLimit;

    // Calls onHeldLimit if the limit of held bytes is reached. Not to be called while a request is being handled, since
    // it may end any request.
    void enforceHeldLimit();

    // Logs and counts a caller or an endpoint that is disconnected because it doesn't read.
    void recordReaderCut(const ReaderCut &cut, std::string_view requestId, const ReaderProgress &reader);

    // Returns the routers to ask for a connection to an endpoint of the group, best first.
    std::vector<Lender> lendersToAsk(const EndpointGroup &group) const;

    // Returns the data centres whose endpoints of the service can be reached neither directly nor through another
    // router.
    std::vector<DataCentreId> unreachableDataCentres(const std::string &service) const;

    // Records a response of an endpoint of the service.
    void recordResponse(const std::string &service, const ResponseMetadata &response);

    // Sets the versions of the listed endpoints, by service.
    void setListedVersions(std::map<std::string, std::set<std::string>> listed);

    // Returns the version at which each stream of the service must have begun; nullopt if that is not known.
    std::optional<std::string> soleVersion(const std::string &service) const;

    // Returns the versions at which streams that callers may take up may begin; nullopt stands for all.
    std::optional<std::set<std::string>> usableVersions(const std::string &service) const;

    // Whether other routers may depend on copies of this router's records of streams of the service.
    bool sharesStreamRecords(const std::string &service) const;

    // Passes all recorded streams to onStreamsRecorded, for when the store can't be reached any more.
    void shareStreamRecords();

    // Logs and counts an item of the store that can't be used, once for each of its revisions. `kind` is a word such as
    // "endpoint".
    void recordRefusedEntry(std::string_view kind,
                            const std::string &key,
                            std::uint64_t revision,
                            std::string_view cause);

    // Applies another router's report that a service is brittle.
    void applyBrittleReport(const BrittleReport &report);

    // Adds a request that waits for a free place at an endpoint of a brittle service. Returns false if its turn would
    // come too late.
    bool waitForPlace(const std::shared_ptr<RelayCall> &call, const std::string &service, const PlaceWaiter &waiter);
    // Removes a request added by waitForPlace().
    void stopWaitingForPlace(const std::string &service, std::uint64_t waiter);
    // Serves waiting requests soon: a place has become free.
    void onPlaceFreed();
    std::uint64_t nextWaiterId()
    {
        return ++m_lastWaiterId;
    }

    void waitForTokens(const std::shared_ptr<RelayCall> &call);
    // Removes a call added by waitForTokens().
    void stopWaiting(const std::shared_ptr<RelayCall> &call);

    // Refuses the waiting requests that are not expected to end before the process does.
    void refuseRequestsEndingLate();

    // Retries the reservations of waiting requests, oldest first. To be called whenever tokens may have become
    // available.
    void retryReservations();

    // Calls onTokensNeeded again for each customer with waiting requests.
    void requestNeededTokens();

    // Records in the budgets how many tokens waiting requests need, on this router and on others.
    void updateTokenDemand();

    std::uint64_t random()
    {
        return m_random();
    }

    // Calls in flight; shutdown waits for them.
    int callsOpen = 0;

    // Uptime of the host, including time that it was suspended.
    static Duration uptime();

    // As a time point. Unlike now(), advances while the host is suspended.
    static TimePoint bootTimeNow()
    {
        return TimePoint(uptime());
    }

    static TimePoint now()
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }

private:
    void servePlaceQueuesIn(Duration delay);
    void servePlaceQueues();
    void servePlaceQueue(const std::string &service, PlaceQueue &queue);
    void logBrittle(const std::string &service, std::string_view source, bool malformed);

    // Tokens needed by the requests that wait on this router.
    std::map<CustomerId, Tokens> localTokenDemand() const;

    boost::asio::io_context &m_io;
    RelayOptions m_options;
    DecisionLog &m_log;
    RelayState m_state;
    RelayCounters m_counters;
    ConnectionPool m_pool;
    ReachMonitor m_reachMonitor;
    std::vector<std::shared_ptr<RelayCall>> m_waiting;
    std::map<std::uint64_t, std::shared_ptr<RelayCall>> m_waitingForPlace; // By PlaceWaiter::id.
    std::uint64_t m_lastWaiterId = 0;
    boost::asio::steady_timer m_placeTimer;
    bool m_servesPlacesSoon = false;
    std::mt19937_64 m_random;
    std::map<std::string, std::uint64_t> m_refusedEntries; // Latest refused revision by key.
};

} // namespace Godwit
