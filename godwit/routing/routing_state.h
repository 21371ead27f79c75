#pragma once

// The values that the routing decisions work on: options, endpoints, calls. See routing.h for the functions.

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

// Takes safeguards out, so that a test can show that they are needed. All off in production.
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
    // This router's own data centre; its endpoints are preferred.
    DataCentreId dataCentre;
    // How much longer the wait for a first token must be here before an endpoint elsewhere is taken.
    Duration remotePenalty = std::chrono::milliseconds(20);
    // The work of an endpoint's prompt processing, before it is learned from first-token times.
    double prefillTokensPerSecond = 8000;
    // Each call that an endpoint runs slows the others' first token by about this.
    Duration costPerRunningCall = std::chrono::milliseconds(2);
    // Endpoints take so many calls beyond their slots, as a part of these, so that they don't run dry.
    double queueAheadFraction = 0;
    // A report tells half as much of its endpoint after each such time.
    Duration reportHalfLife = std::chrono::milliseconds(300);
    // Part of an endpoint's slots that one router leaves to the others between two reports.
    double slotReserveFraction = 0.25;
    // Differs from router to router, so that routers with the same reports don't round their parts alike.
    std::uint64_t seed = 1;

    // Bounds of a route's queue: calls, and the time that one may wait.
    std::size_t maxQueued = 2000;
    Duration maxQueueWait = std::chrono::milliseconds(500);
    // The cost of a call in the customers' turns: 1 and these parts.
    double promptTokensPerCostUnit = 2048;
    double outputTokensPerCostUnit = 256;

    // How long a call that has failed may wait for another try: what it is worth to its caller has grown.
    Duration maxRetryWait = std::chrono::seconds(5);
    // Attempts that reach an endpoint, and attempts in all: failures to connect are cheap, and when a data centre goes
    // a call may meet many before the breakers know.
    int maxDeliveredAttempts = 4;
    int maxAttempts = 16;
    // Retries after crashes and timeouts: this part of the calls taken in, and how many may be saved up.
    double retryFraction = 0.2;
    double retryBurst = 100;
    // An endpoint that said "not run" gets nothing for so long.
    Duration rejectionBackoff = std::chrono::milliseconds(100);
    // The breaker opens after so many failures to connect in a row, and at a crash at once. Then one call at a time is
    // let through after this time, doubled with each failure up to the bound.
    int breakerFailures = 2;
    Duration breakerOpenTime = std::chrono::milliseconds(500);
    Duration maxBreakerOpenTime = std::chrono::seconds(15);
    // How fast a learned slowness is forgotten.
    Duration slownessHalfLife = std::chrono::seconds(10);
    // How long a leaving notice outweighs a host list that still shows the endpoint as live.
    Duration leavingNoticeTtl = std::chrono::minutes(2);

    SuspectOptions suspects;
    // How long a suspect waits for the other routers' notices before it is tried alone.
    Duration suspectNoticeWait = std::chrono::milliseconds(100);
    // After waiting so long for an endpoint of its own a suspect is tried beside others.
    Duration suspectIsolationTimeout = std::chrono::seconds(3);
    // Between two rounds, when there are more suspects than endpoints.
    Duration suspectTrialInterval = std::chrono::seconds(1);
    // What an endpoint that runs a suspect costs a call that can't be repeated.
    Duration suspectPenalty = std::chrono::seconds(1);
    // Bound of the notices told about one death.
    std::size_t maxNoticesPerDeath = 64;

    // Blocks known for each route; about 100 bytes each.
    std::size_t prefixCapacity = 50'000;
    RoutingFaults faults;
};

struct EndpointSpec
{
    EndpointId id;
    RouteId route;
    DataCentreId dataCentre;
    // Calls that it runs at the same time.
    int slots = 1;
    bool modelEngine = false;
    bool leaving = false;
    // Empty when unknown. Endpoints of one host may die together.
    HostId host;
    // What the process behind it is called, when several routes list it under ids of their own; empty: as `id`. Load
    // reports, cache events and leaving notices may name either; deaths are those of the process.
    EndpointId process;
};

struct PendingCall
{
    CallId call;
    RouteId route;
    CustomerId customer;
    // Weight in the customers' turns; positive.
    double customerShare = 1;
    // Higher goes first within the customer.
    int priority = 0;
    bool repeatable = false;
    Tokens promptTokens = 0;
    Tokens maxOutput = 0;
    // Of customer, route and body: the same each time that the caller sends the request.
    std::uint64_t fingerprint = 0;
    // Hashes of the prompt's beginnings, each one block longer.
    std::vector<std::uint64_t> prefixHashes;
    TimePoint arrivedAt;
    // When an answer that has not begun is of no use any more.
    TimePoint deadline;
};

namespace internal
{

enum class CallPhase {
    Queued, // In its route's fair queue.
    Retrying, // In its route's list of calls to send again.
    Quarantined, // Suspect: waits for notices or for judgement.
    InFlight,
};

struct RoutedCall
{
    PendingCall pending;
    CallPhase phase = CallPhase::Queued;
    std::uint32_t route = 0;
    std::uint32_t endpoint = 0;
    int attempts = 0;
    // How long a call that has failed may wait for another try: what it is worth to its caller has grown.
    Duration maxRetryWait = std::chrono::seconds(5);
    // Attempts that reached an endpoint.
    int deliveredAttempts = 0;
    // The worst that is known of the attempts so far.
    Execution execution = Execution::NotRun;
    // Endpoints that failed it.
    std::vector<std::uint32_t> failedEndpoints;
    TimePoint queuedUntil;
    TimePoint quarantinedUntil;
    TimePoint dispatchedAt;
    bool firstToken = false;
    bool suspect = false;
    // What the choice expected: prompt tokens to process, and seconds to the first token.
    double uncachedTokens = 0;
    double expectedSeconds = 0;
};

// The own calls in flight at an endpoint after a change, to compare with a report that was taken earlier.
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
    // Its place in the route, as the prefix index counts.
    std::uint32_t indexInRoute = 0;
    // False for a free place in RoutingState::endpoints.
    bool inUse = false;
    bool listed = false;
    bool leavingNotified = false;
    TimePoint leavingNotifiedAt;

    std::vector<CallId> inFlight;
    double pendingPrefill = 0;
    std::array<InFlightChange, InFlightHistorySize> history{};
    std::size_t historyNext = 0;

    bool reported = false;
    // From the last report, without the own calls.
    double otherRoutersLoad = 0;
    double otherRoutersQueued = 0;
    double kvUsed = 0;
    TimePoint reportTakenAt;
    // So many own calls may be there until the next report; see computeOwnLimit().
    int ownLimit = 0;
    // From 0 to 1: rounds this router's equal part of the slots up at some endpoints and down at others. Fixed, because
    // drawn anew with each report it would let the part creep upwards.
    double equalPartRounding = 0;

    // Observed over expected time to the first token; fades to 1, so that it is tried again.
    double slowness = 1;
    TimePoint slownessAt;

    int connectFailures = 0;
    bool breakerOpen = false;
    TimePoint breakerUntil;
    Duration breakerTime{};
    TimePoint pausedUntil;
    int suspectsInFlight = 0;
    // A crash whose other calls are being gathered.
    bool deathPending = false;
    TimePoint diedAt;
    std::size_t noticesSent = 0;

    std::uint64_t cacheEpoch = 0;
    std::uint64_t nextCacheSequence = 0;
    bool cacheKnown = false;
    // How far the prefix index can be believed after gaps, from 0 to 1.
    double cacheConfidence = 1;
};

// A count that fades with time, to tell a present rate.
struct DecayingCounter
{
    double count = 0;
    TimePoint at;
};

struct RoutedRoute
{
    RouteId id;
    // Places of endpoints; freed places hold NoEndpointIndex.
    std::vector<std::uint32_t> endpoints;
    FairQueue queue;
    // Calls to send again, before all others.
    std::vector<CallId> retries;
    PrefixIndex prefixes;
    DecayingCounter completions;
    // Learned: seconds that a call occupies a slot, seconds from dispatch to first token, prompt tokens to process.
    double slotSeconds = 0;
    double firstTokenSeconds = 0;
    double uncachedTokens = 0;
    // Slots of all endpoints that take new calls.
    int slots = 0;
    // Sum of RoutedEndpoint::otherRoutersLoad, and how many endpoints have reported.
    double otherRoutersLoad = 0;
    int reporting = 0;
    // Own calls at its endpoints.
    int inFlight = 0;
};

enum class TimerKind {
    QueueDeadline, // of the call `id`
    QuarantineEnd, // of the call `id`
    DispatchRoute, // of the route `id`
    ConfirmDeath, // of the endpoint `id`
    Housekeeping,
};

using Timer = std::tuple<TimePoint, TimerKind, std::uint64_t>;

} // namespace internal

// Figures since the start, for metrics.
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

// The state of one router's choices. A plain value; its fields are the component's own.
struct RoutingState
{
    RoutingOptions options;
    int routerCount = 1;
    std::uint64_t randomState = 0;
    std::vector<internal::RoutedEndpoint> endpoints;
    std::unordered_map<EndpointId, std::uint32_t> endpointIndex;
    // Endpoints in use whose process has an id of its own.
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
