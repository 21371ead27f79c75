#include "godwit/routing/endpoint_choice.h"

#include "godwit/routing/endpoint_load.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace Godwit::internal
{
namespace
{

// An engine whose KV cache is nearly full preempts requests to make room. The penalty grows linearly from zero at the
// threshold to its maximum at a full cache.
constexpr double KvPressureThreshold = 0.92;
constexpr double KvPressureMaxPenaltySeconds = 2.0;
// Time that a call occupies a slot, before any call of the route has completed.
constexpr double DefaultSlotSeconds = 1.0;

struct Estimate
{
    double uncachedTokens = 0;
    // Expected seconds to the first token.
    double seconds = 0;
    // Used for the comparison: the seconds multiplied by the slowness of the endpoint, plus penalties.
    double cost = 0;
};

struct ChoiceContext
{
    const RoutingState &state;
    const RoutedRoute &route;
    const RoutedCall &call;
    const PrefixMatches *matches = nullptr;
    TimePoint now;
};

double uncachedTokensAt(const ChoiceContext &context, const RoutedEndpoint &endpoint)
{
    const auto &pending = context.call.pending;
    const auto prompt = static_cast<double>(pending.promptTokens);
    if (!context.matches || endpoint.indexInRoute >= MaxTrackedEndpoints) {
        return prompt;
    }
    const double held = context.matches->blocks[endpoint.indexInRoute];
    const auto blocks = static_cast<double>(pending.prefixHashes.size());
    return prompt * (1 - endpoint.cacheConfidence * held / blocks);
}

double slotSeconds(const RoutedRoute &route)
{
    return route.slotSeconds > 0 ? route.slotSeconds : DefaultSlotSeconds;
}

// Expected seconds until a slot is free; zero when one is free now.
double slotWait(const ChoiceContext &context, const RoutedEndpoint &endpoint, double load)
{
    const double slots = std::max(1, endpoint.spec.slots);
    return std::max(0.0, load + 1 - slots) * slotSeconds(context.route) / slots;
}

double engineSeconds(const ChoiceContext &context, const RoutedEndpoint &endpoint, double load, double miss)
{
    const auto &options = context.state.options;
    const double ahead = endpoint.pendingPrefill + endpoint.otherRoutersQueued * context.route.uncachedTokens;
    const double prefill = (ahead + miss) / options.prefillTokensPerSecond;
    return prefill + slotWait(context, endpoint, load) + load * toSeconds(options.costPerRunningCall);
}

double serviceSeconds(const ChoiceContext &context, const RoutedEndpoint &endpoint, double load)
{
    const double slots = std::max(1, endpoint.spec.slots);
    const double hold = slotSeconds(context.route);
    return hold + hold * load / slots + slotWait(context, endpoint, load);
}

Estimate estimateAt(const ChoiceContext &context, const RoutedEndpoint &endpoint, double load)
{
    const auto &options = context.state.options;
    Estimate estimate;
    if (endpoint.spec.modelEngine) {
        estimate.uncachedTokens = uncachedTokensAt(context, endpoint);
        estimate.seconds = engineSeconds(context, endpoint, load, estimate.uncachedTokens);
    } else {
        estimate.seconds = serviceSeconds(context, endpoint, load);
    }
    estimate.cost = estimate.seconds * slownessAt(options, endpoint, context.now);
    if (endpoint.spec.dataCentre != options.dataCentre) {
        estimate.cost += toSeconds(options.remotePenalty);
    }
    if (endpoint.kvUsed > KvPressureThreshold) {
        estimate.cost +=
            (endpoint.kvUsed - KvPressureThreshold) * KvPressureMaxPenaltySeconds / (1 - KvPressureThreshold);
    }
    // A call that is not repeatable has an unknown outcome if a suspect crashes the endpoint while it runs there.
    if (endpoint.suspectsInFlight > 0 && !context.call.pending.repeatable) {
        estimate.cost += toSeconds(options.suspectPenalty);
    }
    return estimate;
}

bool hasFailedCall(const RoutedCall &call, std::uint32_t index)
{
    return std::find(call.failedEndpoints.begin(), call.failedEndpoints.end(), index) != call.failedEndpoints.end();
}

// Whether the endpoint must have a free slot. The endpoint assigned to a suspect takes it even when it is full: this is
// only one call.
enum class CapacityCheck {
    Required,
    Skipped,
};

struct SearchResult
{
    Choice choice;
    double cost = std::numeric_limits<double>::max();
    bool sawReady = false;
};

void considerRetryTime(Choice &choice, TimePoint until)
{
    choice.retryAt = choice.retryAt ? std::min(*choice.retryAt, until) : until;
}

void consider(const ChoiceContext &context, std::uint32_t index, CapacityCheck room, SearchResult &result)
{
    const auto &endpoint = context.state.endpoints[index];
    switch (availabilityOf(context.state, endpoint, context.now)) {
    case Availability::Unavailable:
        return;
    case Availability::Paused:
        // An endpoint that is being probed has no such time: the end of the probe decides.
        if (availableAt(endpoint) > context.now) {
            considerRetryTime(result.choice, availableAt(endpoint));
        }
        return;
    case Availability::Ready:
        break;
    }
    result.sawReady = true;
    const double load = estimatedLoad(context.state, endpoint, context.now);
    if (room == CapacityCheck::Required && isFull(context.state, endpoint, context.now)) {
        return;
    }
    const auto estimate = estimateAt(context, endpoint, load);
    if (estimate.cost < result.cost) {
        result.cost = estimate.cost;
        result.choice.endpoint = index;
        result.choice.uncachedTokens = estimate.uncachedTokens;
        result.choice.expectedSeconds = estimate.seconds;
    }
}

enum class Scope {
    ExcludeFailed, // Only endpoints on which the call has not failed.
    All,
};

SearchResult searchRoute(const ChoiceContext &context, Scope scope)
{
    SearchResult result;
    for (const auto index : context.route.endpoints) {
        if (index != NoEndpointIndex && (scope == Scope::All || !hasFailedCall(context.call, index))) {
            consider(context, index, CapacityCheck::Required, result);
        }
    }
    return result;
}

// Returns the endpoints at which the suspect may be tried, in an order that is the same on all routers.
std::vector<std::uint32_t> trialCandidates(const RoutingState &state, const RoutedCall &call, TimePoint now)
{
    std::vector<std::uint32_t> candidates;
    for (const auto index : state.routes[call.route].endpoints) {
        if (index == NoEndpointIndex) {
            continue;
        }
        const auto &endpoint = state.endpoints[index];
        const bool open = availabilityOf(state, endpoint, now) != Availability::Unavailable;
        const auto &spec = endpoint.spec;
        if (open && !wasInFlightAtDeathOf(state.suspects, call.pending.fingerprint, processOf(spec), spec.host)) {
            candidates.push_back(index);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&](std::uint32_t a, std::uint32_t b) {
        return state.endpoints[a].spec.id < state.endpoints[b].spec.id;
    });
    return candidates;
}

// Returns the endpoint assigned to the suspect by its rank, then those assigned to no other suspect. If a router took
// the next best endpoint instead, suspects of two routers could share one, and neither the second nor the third crash
// would tell them apart. A suspect that has waited for suspectIsolationTimeout may use any candidate.
std::vector<std::uint32_t> trialOrder(const RoutingState &state,
                                      const RoutedCall &call,
                                      const std::vector<std::uint32_t> &candidates,
                                      TimePoint now)
{
    const auto fingerprint = call.pending.fingerprint;
    const auto *death = lastDeathInvolving(state.suspects, fingerprint);
    const auto suspects = death ? death->fingerprints.size() : 0;
    const auto rank = suspectRank(state.suspects, fingerprint);
    std::vector<std::uint32_t> order = {candidates[rank % candidates.size()]};
    const bool waitedLong = now >= call.quarantinedUntil + state.options.suspectIsolationTimeout;
    const auto firstSpare = waitedLong ? 0 : std::min(suspects, candidates.size());
    const auto spares = candidates.size() - firstSpare;
    for (std::size_t i = 0; i < spares; ++i) {
        order.push_back(candidates[firstSpare + (rank + i) % spares]);
    }
    return order;
}

} // namespace

Choice chooseEndpoint(RoutingState &state, const RoutedCall &call, TimePoint now)
{
    auto &route = state.routes[call.route];
    PrefixMatches matches;
    const bool hasPrefix = !call.pending.prefixHashes.empty();
    if (hasPrefix) {
        matchPrefixes(route.prefixes, call.pending.prefixHashes, matches);
    }
    const ChoiceContext context{state, route, call, hasPrefix ? &matches : nullptr, now};
    auto result = searchRoute(context, Scope::ExcludeFailed);
    if (result.choice.endpoint || result.sawReady || call.failedEndpoints.empty()) {
        return result.choice;
    }
    // Only endpoints that failed this call are left; their circuit breakers and pauses determine when to try again.
    return searchRoute(context, Scope::All).choice;
}

Choice chooseForSuspect(RoutingState &state, const RoutedCall &call, TimePoint now)
{
    const auto candidates = trialCandidates(state, call, now);
    if (candidates.empty()) {
        return chooseEndpoint(state, call, now);
    }
    const ChoiceContext context{state, state.routes[call.route], call, nullptr, now};
    Choice none;
    const auto order = trialOrder(state, call, candidates, now);
    for (const auto index : order) {
        if (state.endpoints[index].suspectsInFlight > 0) {
            continue;
        }
        SearchResult result;
        consider(context, index, index == order.front() ? CapacityCheck::Skipped : CapacityCheck::Required, result);
        if (result.choice.endpoint) {
            return result.choice;
        }
        if (result.choice.retryAt) {
            considerRetryTime(none, *result.choice.retryAt);
        }
    }
    return none;
}

bool hasUsableEndpoint(const RoutingState &state, const RoutedRoute &route, TimePoint now)
{
    return std::any_of(route.endpoints.begin(), route.endpoints.end(), [&](std::uint32_t index) {
        return index != NoEndpointIndex
            && availabilityOf(state, state.endpoints[index], now) != Availability::Unavailable;
    });
}

std::size_t suspectCandidateCount(const RoutingState &state, const RoutedCall &call, TimePoint now)
{
    return trialCandidates(state, call, now).size();
}

} // namespace Godwit::internal
