#pragma once

// Data types of the routing decisions: options, endpoints, calls and the state of one router. routing.h declares the
// functions that work on them.

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/routing/fair_queue.h"
#include "godwit/routing/load_report.h"
#include "godwit/routing/prefix_index.h"
#include "godwit/suspects/suspect_tracker.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Godwit
{

// Disables single safeguards, so that tests can show that each of them is needed. All false in production.
struct RoutingFaults
{
    bool noSuspects = false;
    bool noIsolation = false;
    bool convictOnFirstDeath = false;
    bool ignoreHostFailures = false;
    bool retryNotRepeatable = false;
    bool noRetryBudget = false;
    bool noBreaker = false;
    bool firstComeFirstServed = false;
    bool noEarlyRefusal = false;
    bool ignoreLeaving = false;
};

struct RoutingOptions
{
    // The data centre of this router. Its endpoints are preferred.
    DataCentreId dataCentre;
    // Added to the cost of endpoints in other data centres: one is chosen only when it is expected to deliver the first
    // token sooner by more than this.
    Duration remotePenalty = std::chrono::milliseconds(20);
    // Assumed speed of prompt processing. The slowness learned from first-token times corrects it for each endpoint.
    double prefillTokensPerSecond = 8000;
    // Added to the expected time to first token for each call that the endpoint runs.
    Duration costPerRunningCall = std::chrono::milliseconds(2);
    // Calls that an endpoint may be sent beyond its slots, as a fraction of them, so that the next call is already
    // there when a slot becomes free.
    double queueAheadFraction = 0;
    // Half-life of the weight given to the last load report of an endpoint.
    Duration reportHalfLife = std::chrono::milliseconds(300);
    // Fraction of an endpoint's slots that a router leaves free for the other routers between two load reports.
    double slotReserveFraction = 0.25;
    // Must differ between routers, so that routers with the same reports do not all round their shares the same way.
    std::uint64_t seed = 1;

    // Limits of the queue of a route: number of calls, and time that one call may wait.
    std::size_t maxQueued = 2000;
    Duration maxQueueWait = std::chrono::milliseconds(500);
    // The cost of a call in fair queueing is 1 + promptTokens / promptTokensPerCostUnit + maxOutput /
    // outputTokensPerCostUnit.
    double promptTokensPerCostUnit = 2048;
    double outputTokensPerCostUnit = 256;

    // Limit on the wait for a retry. Longer than maxQueueWait: the call is worth more after an attempt.
    Duration maxRetryWait = std::chrono::seconds(5);
    // Limits on the attempts that reach an endpoint and on all attempts of a call. Failures to connect are cheap, and
    // when a data centre fails a call may meet many of them before the circuit breakers open.
    int maxDeliveredAttempts = 4;
    int maxAttempts = 16;
    // Retry budget for crashes and timeouts: each new call adds retryFraction, up to retryBurst.
    double retryFraction = 0.2;
    double retryBurst = 100;
    // An endpoint that rejected a call without running it gets no calls for this time.
    Duration rejectionBackoff = std::chrono::milliseconds(100);
    // The circuit breaker of an endpoint opens after this many consecutive failures to connect, and after one crash.
    // After breakerOpenTime, which doubles with each further failure up to maxBreakerOpenTime, one call at a time is
    // sent as a probe.
    int breakerFailures = 2;
    Duration breakerOpenTime = std::chrono::milliseconds(500);
    Duration maxBreakerOpenTime = std::chrono::seconds(15);
    // Half-life of the observed slowness of an endpoint.
    Duration slownessHalfLife = std::chrono::seconds(10);
    // For this time after an endpoint has announced that it is leaving, it gets no calls even though the host list
    // still shows it as live.
    Duration leavingNoticeTtl = std::chrono::minutes(2);

    SuspectOptions suspects;
    // How long a suspect waits for the notices of the other routers before it is tried on an endpoint without other
    // suspects.
    Duration suspectNoticeWait = std::chrono::milliseconds(100);
    // After this wait for an endpoint of its own, a suspect may also use the endpoints assigned to other suspects.
    Duration suspectIsolationTimeout = std::chrono::seconds(3);
    // Time between two rounds of trials when there are more suspects than endpoints.
    Duration suspectTrialInterval = std::chrono::seconds(1);
    // Added to the cost of an endpoint that runs a suspect, for calls that are not repeatable.
    Duration suspectPenalty = std::chrono::seconds(1);
    // Limit on the notices sent for the death of one endpoint.
    std::size_t maxNoticesPerDeath = 64;

    // Capacity of the prefix index of each route in blocks of about 100 bytes.
    std::size_t prefixCapacity = 50'000;
    RoutingFaults faults;
};

struct EndpointSpec
{
    EndpointId id;
    RouteId route;
    DataCentreId dataCentre;
    // Number of calls that the endpoint runs concurrently.
    int slots = 1;
    bool modelEngine = false;
    bool leaving = false;
    // Empty when unknown. Endpoints of the same host can die together.
    HostId host;
    // Id of the process behind the endpoint when several routes list that process under endpoint ids of their own;
    // empty when it is the same as `id`. Load reports, cache events and leaving notices may name either; deaths are
    // recorded for the process.
    EndpointId process;
};

struct PendingCall
{
    CallId call;
    RouteId route;
    CustomerId customer;
    // Weight in fair queueing; positive.
    double customerShare = 1;
    // Calls of higher priority go first among those of the same customer.
    int priority = 0;
    bool repeatable = false;
    Tokens promptTokens = 0;
    Tokens maxOutput = 0;
    // Hash of customer, route and body, so that it is the same when the caller sends the request again.
    std::uint64_t fingerprint = 0;
    // Hashes of the prefixes of the prompt, each one block longer than the one before.
    std::vector<std::uint64_t> prefixHashes;
    TimePoint arrivedAt;
    // Latest time at which the answer may begin.
    TimePoint deadline;
};

namespace internal
{

enum class CallPhase {
    Queued, // In the fair queue of its route.
    Retrying, // In the retry list of its route.
    Quarantined, // A suspect that waits for notices or its trial; also between two states after an attempt has ended.
    InFlight,
};

struct RoutedCall
{
    PendingCall pending;
    CallPhase phase = CallPhase::Queued;
    std::uint32_t route = 0;
    std::uint32_t endpoint = 0;
    int attempts = 0;
    // Not used; RoutingOptions::maxRetryWait applies.
    Duration maxRetryWait = std::chrono::seconds(5);
    // Attempts that reached an endpoint. Failures to connect do not count.
    int deliveredAttempts = 0;
    // The worst outcome of the attempts so far: NotRun until one of them may have run.
    Execution execution = Execution::NotRun;
    // Endpoints on which attempts of this call failed.
    std::vector<std::uint32_t> failedEndpoints;
    TimePoint queuedUntil;
    TimePoint quarantinedUntil;
    TimePoint dispatchedAt;
    bool firstToken = false;
    bool suspect = false;
    // Estimates made when the endpoint was chosen: prompt tokens that it has to process, and seconds to the first
    // token.
    double uncachedTokens = 0;
    double expectedSeconds = 0;
};

// This router's calls in flight at an endpoint after a change, kept to compare with load reports that were taken
// earlier.
struct InFlightChange
{
    TimePoint at;
    int inFlight = 0;
};

constexpr std::size_t InFlightHistorySize = 32;

struct RoutedEndpoint
{
    EndpointSpec spec;
    std::uint32_t route = 0;
    // Index into RoutedRoute::endpoints; also the slot number in the prefix index of the route.
    std::uint32_t indexInRoute = 0;
    // False for a free element of RoutingState::endpoints.
    bool inUse = false;
    bool listed = false;
    bool leavingNotified = false;
    TimePoint leavingNotifiedAt;

    std::vector<CallId> inFlight;
    double pendingPrefill = 0;
    std::array<InFlightChange, InFlightHistorySize> history{};
    std::size_t historyNext = 0;

    bool reported = false;
    // From the last load report, without the calls of this router.
    double otherRoutersLoad = 0;
    double otherRoutersQueued = 0;
    double kvUsed = 0;
    TimePoint reportTakenAt;
    // Limit on the calls of this router at the endpoint until the next report; see computeOwnLimit().
    int ownLimit = 0;
    // From 0 to 1. Added to the equal share of the slots before rounding down, so that it is rounded up at some
    // endpoints and down at others. Drawn once for each endpoint: drawn anew with each report, it would let the share
    // creep upwards.
    double equalPartRounding = 0;

    // Ratio of observed to expected time to the first token. Decays towards 1, so that a slow endpoint is tried again.
    double slowness = 1;
    TimePoint slownessAt;

    int connectFailures = 0;
    bool breakerOpen = false;
    TimePoint breakerUntil;
    Duration breakerTime{};
    TimePoint pausedUntil;
    int suspectsInFlight = 0;
    // Set after a crash, until the time to collect the other calls that fail in it is over.
    bool deathPending = false;
    TimePoint diedAt;
    std::size_t noticesSent = 0;

    std::uint64_t cacheEpoch = 0;
    std::uint64_t nextCacheSequence = 0;
    bool cacheKnown = false;
    // Weight of the prefix index for this endpoint, from 0 to 1. Lowered by gaps in the cache events.
    double cacheConfidence = 1;
};

// Counter with exponential decay, used to estimate a current rate.
struct DecayingCounter
{
    double count = 0;
    TimePoint at;
};

struct RoutedRoute
{
    RouteId id;
    // Indexes into RoutingState::endpoints. Free elements hold NoEndpointIndex.
    std::vector<std::uint32_t> endpoints;
    FairQueue queue;
    // Calls that wait for a retry. They go before all queued calls.
    std::vector<CallId> retries;
    PrefixIndex prefixes;
    DecayingCounter completions;
    // Moving averages: seconds that a call occupies a slot, seconds from dispatch to first token, and prompt tokens
    // that the chosen endpoint had to process.
    double slotSeconds = 0;
    double firstTokenSeconds = 0;
    double uncachedTokens = 0;
    // Total number of slots of the endpoints that accept new calls.
    int slots = 0;
    // Sum of RoutedEndpoint::otherRoutersLoad, and number of endpoints that have reported.
    double otherRoutersLoad = 0;
    int reporting = 0;
    // Calls of this router in flight at the endpoints of the route.
    int inFlight = 0;
};

enum class TimerKind {
    QueueDeadline, // of the call `id`
    QuarantineEnd, // of the call `id`
    DispatchRoute, // of the route with index `id`
    ConfirmDeath, // of the endpoint with index `id`
    Housekeeping,
};

using Timer = std::tuple<TimePoint, TimerKind, std::uint64_t>;

} // namespace internal

// Totals since the start, for metrics.
struct RoutingCounters
{
    std::uint64_t dispatched = 0;
    std::uint64_t retried = 0;
    std::uint64_t refusedEarly = 0;
    std::uint64_t expired = 0;
    std::uint64_t crashes = 0;
    std::uint64_t convicted = 0;
    std::uint64_t refusedSuspects = 0;
};

// The routing state of one router. A plain value; the fields are private to this component.
struct RoutingState
{
    RoutingOptions options;
    int routerCount = 1;
    std::uint64_t randomState = 0;
    std::vector<internal::RoutedEndpoint> endpoints;
    std::unordered_map<EndpointId, std::uint32_t> endpointIndex;
    // Endpoints in use that name a process, by the id of that process.
    std::unordered_map<EndpointId, std::vector<std::uint32_t>> endpointsOfProcess;
    std::vector<internal::RoutedRoute> routes;
    std::unordered_map<RouteId, std::uint32_t> routeIndex;
    std::unordered_map<CallId, internal::RoutedCall> calls;
    std::set<internal::Timer> timers;
    SuspectTracker suspects;
    double retryBudget = 0;
    std::size_t queued = 0;
    std::size_t inFlight = 0;
    RoutingCounters counters;
};

} // namespace Godwit
