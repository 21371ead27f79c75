#include "godwit/routing/routing.h"

#include "godwit/routing/attempt_failure.h"
#include "godwit/routing/call_dispatch.h"
#include "godwit/routing/endpoint_choice.h"
#include "godwit/routing/endpoint_load.h"

#include <algorithm>
#include <utility>

namespace Godwit
{

using namespace internal;

namespace
{

constexpr Duration HousekeepingInterval = std::chrono::seconds(60);
constexpr Duration NoEndpointRetryAfter = std::chrono::seconds(1);
constexpr double AverageSmoothing = 0.1;
// A gap of this many lost cache events halves the confidence in the cache contents known for the endpoint.
constexpr double LostEventsToHalveConfidence = 500;
constexpr double MinCacheConfidence = 0.3;
constexpr double EventsToRestoreConfidence = 1000;

using Actions = std::vector<RoutingAction>;

void updateAverage(double &known, double seen)
{
    known = known == 0 ? seen : known + AverageSmoothing * (seen - known);
}

RoutedEndpoint *findEndpoint(RoutingState &state, const EndpointId &id)
{
    const auto found = state.endpointIndex.find(id);
    return found == state.endpointIndex.end() ? nullptr : &state.endpoints[found->second];
}

// Calls `act` for the endpoint with the given id, or for each endpoint of the process with that id.
template<typename Act>
void forEndpoints(RoutingState &state, const EndpointId &id, Act act)
{
    if (auto *endpoint = findEndpoint(state, id)) {
        act(*endpoint);
        return;
    }
    const auto process = state.endpointsOfProcess.find(id);
    if (process == state.endpointsOfProcess.end()) {
        return;
    }
    for (const auto index : process->second) {
        act(state.endpoints[index]);
    }
}

void indexProcesses(RoutingState &state)
{
    state.endpointsOfProcess.clear();
    for (std::uint32_t index = 0; index < state.endpoints.size(); ++index) {
        const auto &endpoint = state.endpoints[index];
        if (endpoint.inUse && !endpoint.spec.process.value.empty()) {
            state.endpointsOfProcess[endpoint.spec.process].push_back(index);
        }
    }
}

std::uint32_t routeFor(RoutingState &state, const RouteId &id)
{
    const auto found = state.routeIndex.find(id);
    if (found != state.routeIndex.end()) {
        return found->second;
    }
    const auto index = static_cast<std::uint32_t>(state.routes.size());
    state.routes.emplace_back();
    state.routes.back().id = id;
    state.routes.back().prefixes = makePrefixIndex(state.options.prefixCapacity);
    state.routeIndex[id] = index;
    return index;
}

std::uint32_t claimFreePlace(std::vector<std::uint32_t> &places, std::uint32_t value)
{
    const auto free = std::find(places.begin(), places.end(), NoEndpointIndex);
    if (free != places.end()) {
        *free = value;
        return static_cast<std::uint32_t>(free - places.begin());
    }
    places.push_back(value);
    return static_cast<std::uint32_t>(places.size() - 1);
}

void addEndpoint(RoutingState &state, EndpointSpec spec)
{
    const auto free = std::find_if(state.endpoints.begin(), state.endpoints.end(), [](const RoutedEndpoint &endpoint) {
        return !endpoint.inUse;
    });
    const auto index = static_cast<std::uint32_t>(free - state.endpoints.begin());
    if (free == state.endpoints.end()) {
        state.endpoints.emplace_back();
    }
    auto &endpoint = state.endpoints[index];
    endpoint = RoutedEndpoint{};
    endpoint.inUse = true;
    endpoint.listed = true;
    endpoint.equalPartRounding = nextRandom(state);
    endpoint.route = routeFor(state, spec.route);
    endpoint.indexInRoute = claimFreePlace(state.routes[endpoint.route].endpoints, index);
    state.endpointIndex[spec.id] = index;
    endpoint.spec = std::move(spec);
}

// Frees the elements of endpoints that are not listed any more and have no calls in flight.
void releaseUnlistedEndpoints(RoutingState &state)
{
    for (std::size_t index = 0; index < state.endpoints.size(); ++index) {
        auto &endpoint = state.endpoints[index];
        if (!endpoint.inUse || endpoint.listed || !endpoint.inFlight.empty()) {
            continue;
        }
        auto &route = state.routes[endpoint.route];
        route.endpoints[endpoint.indexInRoute] = NoEndpointIndex;
        route.otherRoutersLoad -= endpoint.otherRoutersLoad;
        route.reporting -= endpoint.reported ? 1 : 0;
        removeEndpoint(route.prefixes, endpoint.indexInRoute);
        const auto known = state.endpointIndex.find(endpoint.spec.id);
        if (known != state.endpointIndex.end() && known->second == index) {
            state.endpointIndex.erase(known);
        }
        endpoint = RoutedEndpoint{};
    }
}

// Updates a known endpoint. Returns false when it is unknown or has moved to another route; it is then added as a new
// one.
bool updateEndpoint(RoutingState &state, const EndpointSpec &spec)
{
    auto *endpoint = findEndpoint(state, spec.id);
    if (!endpoint || endpoint->spec.route != spec.route) {
        return false;
    }
    endpoint->spec = spec;
    endpoint->listed = true;
    return true;
}

void countSlots(RoutingState &state, TimePoint now)
{
    for (auto &route : state.routes) {
        route.slots = 0;
        for (const auto index : route.endpoints) {
            const bool open = index != NoEndpointIndex
                && availabilityOf(state, state.endpoints[index], now) != Availability::Unavailable;
            route.slots += open ? state.endpoints[index].spec.slots : 0;
        }
    }
}

void dispatchAllRoutes(EventContext &context)
{
    for (std::uint32_t index = 0; index < context.state.routes.size(); ++index) {
        dispatchRoute(context, index);
    }
}

void onTimer(EventContext &context, TimerKind kind, std::uint64_t id)
{
    switch (kind) {
    case TimerKind::QueueDeadline:
        expireCall(context, CallId(id));
        return;
    case TimerKind::QuarantineEnd:
        onQuarantineEnd(context, CallId(id));
        return;
    case TimerKind::DispatchRoute:
        dispatchRoute(context, static_cast<std::uint32_t>(id));
        return;
    case TimerKind::ConfirmDeath:
        confirmEndpointDeath(context, static_cast<std::uint32_t>(id));
        return;
    case TimerKind::Housekeeping:
        for (auto &route : context.state.routes) {
            removeIdleCustomers(route.queue);
        }
        removeExpiredSuspects(context.state.suspects, context.now);
        addTimer(context, context.now + HousekeepingInterval, TimerKind::Housekeeping, 0);
        return;
    }
}

void onCompleted(EventContext &context, CallId id)
{
    auto &state = context.state;
    auto &call = state.calls.at(id);
    auto &endpoint = state.endpoints[call.endpoint];
    auto &route = state.routes[call.route];
    const double held = toSeconds(context.now - call.dispatchedAt);
    updateAverage(route.slotSeconds, held);
    if (!call.firstToken) {
        updateAverage(route.firstTokenSeconds, held);
        updateSlowness(endpoint, state.options, call.expectedSeconds, held, context.now);
    }
    closeBreaker(endpoint);
    recordCompletion(context, route);
    clearByCompletion(context, call);
}

// Sets `skip` to the number of events in the batch that were already applied. Returns how many events were lost before
// the batch, or nothing when the whole batch was already applied.
std::optional<std::uint64_t> advanceCacheSequence(RoutedEndpoint &endpoint,
                                                  const CacheEventBatch &batch,
                                                  std::size_t &skip)
{
    const auto end = batch.firstSequence + batch.events.size();
    if (end <= endpoint.nextCacheSequence) {
        return std::nullopt;
    }
    skip = batch.firstSequence < endpoint.nextCacheSequence ? endpoint.nextCacheSequence - batch.firstSequence : 0;
    const auto lost =
        batch.firstSequence > endpoint.nextCacheSequence ? batch.firstSequence - endpoint.nextCacheSequence : 0;
    endpoint.nextCacheSequence = end;
    return lost;
}

void applyCacheEvents(RoutingState &state, RoutedEndpoint &endpoint, const CacheEventBatch &batch)
{
    auto &index = state.routes[endpoint.route].prefixes;
    if (!endpoint.cacheKnown || endpoint.cacheEpoch != batch.epoch) {
        if (endpoint.cacheKnown) {
            removeEndpoint(index, endpoint.indexInRoute);
        }
        endpoint.cacheKnown = true;
        endpoint.cacheEpoch = batch.epoch;
        endpoint.nextCacheSequence = batch.firstSequence;
        endpoint.cacheConfidence = 1;
    }
    std::size_t skip = 0;
    const auto lost = advanceCacheSequence(endpoint, batch, skip);
    if (!lost) {
        return;
    }
    // Lost removals leave entries for prefixes that are not cached any more. The index has less weight until newer
    // events have replaced them.
    const double belief = LostEventsToHalveConfidence / (LostEventsToHalveConfidence + static_cast<double>(*lost));
    endpoint.cacheConfidence = std::max(MinCacheConfidence, endpoint.cacheConfidence * belief);
    for (std::size_t i = skip; i < batch.events.size(); ++i) {
        applyCacheEvent(index, endpoint.indexInRoute, batch.events[i]);
    }
    const auto applied = static_cast<double>(batch.events.size() - skip);
    endpoint.cacheConfidence = std::min(1.0, endpoint.cacheConfidence + applied / EventsToRestoreConfidence);
}

} // namespace

RoutingState makeRoutingState(RoutingOptions options)
{
    RoutingState state;
    state.randomState = options.seed * 0x9E3779B97F4A7C15ULL + 1;
    state.retryBudget = options.retryBurst;
    state.suspects.options = options.suspects;
    if (options.faults.ignoreHostFailures) {
        state.suspects.options.unrelatedDeathsThreshold = SIZE_MAX - 1;
    }
    state.options = std::move(options);
    return state;
}

void setEndpoints(RoutingState &state, std::vector<EndpointSpec> endpoints, TimePoint now, Actions &out)
{
    EventContext context{state, now, out};
    if (state.endpoints.empty()) {
        addTimer(context, now + HousekeepingInterval, TimerKind::Housekeeping, 0);
    }
    for (auto &endpoint : state.endpoints) {
        endpoint.listed = false;
    }
    for (auto &spec : endpoints) {
        if (!updateEndpoint(state, spec)) {
            addEndpoint(state, std::move(spec));
        }
    }
    releaseUnlistedEndpoints(state);
    indexProcesses(state);
    countSlots(state, now);
    dispatchAllRoutes(context);
}

void setRouterCount(RoutingState &state, int routers)
{
    state.routerCount = std::max(1, routers);
}

void enqueue(RoutingState &state, PendingCall pending, TimePoint now, Actions &out)
{
    EventContext context{state, now, out};
    state.retryBudget = std::min(state.options.retryBurst, state.retryBudget + state.options.retryFraction);
    const auto id = pending.call;
    const auto route = state.routeIndex.find(pending.route);
    if (route == state.routeIndex.end() || !hasUsableEndpoint(state, state.routes[route->second], now)) {
        refuseCall(
            context,
            id,
            {ErrorKind::NoEndpoint, "no endpoint of the route is live", Execution::NotRun, NoEndpointRetryAfter});
        return;
    }
    if (pending.deadline <= now) {
        refuseCall(context,
                   id,
                   {ErrorKind::DeadlineTooShort,
                    "the deadline has passed",
                    Execution::NotRun,
                    drainTime(context, state.routes[route->second])});
        return;
    }
    RoutedCall call;
    call.route = route->second;
    call.queuedUntil = std::min(pending.deadline, now + state.options.maxQueueWait);
    call.pending = std::move(pending);
    if (const auto refused = remainingRefusal(state.suspects, call.pending.fingerprint, now);
        refused > Duration::zero()) {
        ++state.counters.refusedSuspects;
        refuseCall(context,
                   id,
                   {ErrorKind::SuspectRequest,
                    "endpoints crashed each time they ran this request",
                    Execution::NotRun,
                    refused});
        return;
    }
    if (const auto trial = suspectTrialAt(context, call)) {
        admitSuspect(context, std::move(call), *trial);
        return;
    }
    admit(context, std::move(call));
}

void onAttemptEnded(RoutingState &state, CallId id, AttemptEnd end, TimePoint now, Actions &out)
{
    const auto found = state.calls.find(id);
    if (found == state.calls.end() || found->second.phase != CallPhase::InFlight) {
        return;
    }
    EventContext context{state, now, out};
    const auto route = found->second.route;
    switch (end) {
    case AttemptEnd::Completed:
        onCompleted(context, id);
        break;
    case AttemptEnd::ConnectFailed:
        onConnectFailure(context, id);
        return;
    case AttemptEnd::RejectedNotRun:
        onRejection(context, id);
        return;
    case AttemptEnd::EndpointCrashed:
        onCrash(context, id);
        return;
    case AttemptEnd::TimedOut:
        onTimeout(context, id);
        return;
    case AttemptEnd::Cancelled:
        break;
    }
    discardCall(context, id);
    dispatchRoute(context, route);
}

void onFirstToken(RoutingState &state, CallId id, TimePoint now, Actions &)
{
    const auto found = state.calls.find(id);
    if (found == state.calls.end() || found->second.phase != CallPhase::InFlight || found->second.firstToken) {
        return;
    }
    auto &call = found->second;
    auto &endpoint = state.endpoints[call.endpoint];
    const double seconds = toSeconds(now - call.dispatchedAt);
    call.firstToken = true;
    endpoint.pendingPrefill = std::max(0.0, endpoint.pendingPrefill - call.uncachedTokens);
    updateAverage(state.routes[call.route].firstTokenSeconds, seconds);
    updateSlowness(endpoint, state.options, call.expectedSeconds, seconds, now);
    closeBreaker(endpoint);
}

void onLoadReport(RoutingState &state, const EndpointId &id, const LoadReport &report, TimePoint now, Actions &out)
{
    EventContext context{state, now, out};
    forEndpoints(state, id, [&](RoutedEndpoint &endpoint) {
        recordLoadReport(state, endpoint, report, now);
        const auto &route = state.routes[endpoint.route];
        if (route.queue.size > 0 || !route.retries.empty()) {
            dispatchRoute(context, endpoint.route);
        }
    });
}

void onCacheEvents(RoutingState &state, const EndpointId &id, const CacheEventBatch &batch, TimePoint, Actions &)
{
    forEndpoints(state, id, [&](RoutedEndpoint &endpoint) {
        applyCacheEvents(state, endpoint, batch);
    });
}

void onSuspectNotice(RoutingState &state, const SuspectNotice &notice, TimePoint now, Actions &)
{
    if (state.options.faults.noSuspects) {
        return;
    }
    const EndpointDeath death{notice.endpoint, notice.host, notice.dataCentre, now - notice.age, {}};
    switch (notice.status) {
    case SuspectStatus::Suspected:
        recordSuspect(state.suspects, death, notice.fingerprint);
        return;
    case SuspectStatus::Cleared:
        clearEvidenceAt(state.suspects, notice.endpoint, notice.fingerprint);
        return;
    case SuspectStatus::Convicted:
        recordConviction(
            state.suspects, notice.fingerprint, now + std::min(notice.refuseFor, state.options.suspects.refuseFor));
        return;
    }
}

void cancelCall(RoutingState &state, CallId id, TimePoint now, Actions &out)
{
    const auto found = state.calls.find(id);
    if (found == state.calls.end()) {
        return;
    }
    EventContext context{state, now, out};
    const auto route = found->second.route;
    discardCall(context, id);
    dispatchRoute(context, route);
}

void markEndpointLeaving(RoutingState &state, const EndpointId &id, TimePoint now)
{
    forEndpoints(state, id, [&](RoutedEndpoint &endpoint) {
        endpoint.leavingNotified = true;
        endpoint.leavingNotifiedAt = now;
    });
}

void onTick(RoutingState &state, TimePoint now, Actions &out)
{
    EventContext context{state, now, out};
    while (!state.timers.empty() && std::get<TimePoint>(*state.timers.begin()) <= now) {
        const auto [at, kind, id] = *state.timers.begin();
        state.timers.erase(state.timers.begin());
        onTimer(context, kind, id);
    }
}

std::optional<TimePoint> nextWake(const RoutingState &state)
{
    if (state.timers.empty()) {
        return std::nullopt;
    }
    return std::get<TimePoint>(*state.timers.begin());
}

std::size_t queuedCalls(const RoutingState &state)
{
    return state.queued;
}

std::size_t callsInFlight(const RoutingState &state)
{
    return state.inFlight;
}

} // namespace Godwit
