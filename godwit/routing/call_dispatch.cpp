#include "godwit/routing/call_dispatch.h"

#include "godwit/routing/attempt_failure.h"
#include "godwit/routing/endpoint_choice.h"
#include "godwit/routing/endpoint_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwit::internal
{
namespace
{

// Time constant of the decay of the completion rate.
constexpr Duration RateTimeConstant = std::chrono::seconds(2);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(30);
constexpr Duration NoEndpointRetryAfter = std::chrono::seconds(1);
// Interval between the attempts to find an endpoint for a suspect.
constexpr Duration SuspectRetryInterval = std::chrono::milliseconds(50);
// Retries that may fail to find an endpoint before the rest of the list is left for a later event.
constexpr int MaxUndispatchedRetries = 16;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void removeTimer(EventContext &context, TimePoint at, TimerKind kind, std::uint64_t id)
{
    context.state.timers.erase({at, kind, id});
}

QueueEntry queueEntryOf(const RoutingState &state, const RoutedCall &call)
{
    const auto &pending = call.pending;
    const auto &options = state.options;
    QueueEntry place;
    place.priority = options.faults.firstComeFirstServed ? 0 : pending.priority;
    place.arrivedAt = pending.arrivedAt;
    place.call = pending.call;
    place.cost = 1 + static_cast<double>(pending.promptTokens) / options.promptTokensPerCostUnit
        + static_cast<double>(pending.maxOutput) / options.outputTokensPerCostUnit;
    return place;
}

CustomerId queueOwner(const RoutingState &state, const RoutedCall &call)
{
    return state.options.faults.firstComeFirstServed ? CustomerId() : call.pending.customer;
}

double shareOf(const RoutingState &state, const RoutedCall &call)
{
    return state.options.faults.firstComeFirstServed ? 1.0 : call.pending.customerShare;
}

double decayedCount(const DecayingCounter &meter, TimePoint now)
{
    return meter.count * std::exp(-toSeconds(now - meter.at) / toSeconds(RateTimeConstant));
}

// Estimates how many calls per second the route serves from this router's queue: its recent completions, or this
// router's share of the capacity of its endpoints, whichever is more, because after a quiet period the completions say
// little. Zero when nothing is known.
double drainRate(const EventContext &context, const RoutedRoute &route)
{
    const double measured = decayedCount(route.completions, context.now) / toSeconds(RateTimeConstant);
    if (route.slotSeconds <= 0) {
        return 0;
    }
    const double possible = route.slots / route.slotSeconds / std::max(1, context.state.routerCount);
    return std::max(measured, possible);
}

// Removes the call from its queue, retry list or quarantine; does nothing for a call in flight.
void removeFromQueues(EventContext &context, RoutedCall &call)
{
    auto &route = context.state.routes[call.route];
    switch (call.phase) {
    case CallPhase::Queued:
        removeCall(route.queue, queueOwner(context.state, call), queueEntryOf(context.state, call));
        break;
    case CallPhase::Retrying:
        route.retries.erase(std::find(route.retries.begin(), route.retries.end(), call.pending.call));
        break;
    case CallPhase::Quarantined:
        removeTimer(context, call.quarantinedUntil, TimerKind::QuarantineEnd, call.pending.call.value);
        break;
    case CallPhase::InFlight:
        return;
    }
    --context.state.queued;
    removeTimer(context, call.queuedUntil, TimerKind::QueueDeadline, call.pending.call.value);
}

void addToQueues(EventContext &context, RoutedCall &call, CallPhase phase)
{
    call.phase = phase;
    ++context.state.queued;
    addTimer(context, call.queuedUntil, TimerKind::QueueDeadline, call.pending.call.value);
}

void detachFromEndpoint(EventContext &context, const RoutedCall &call)
{
    recordRelease(context.state.endpoints[call.endpoint], call, context.now);
    --context.state.inFlight;
    --context.state.routes[call.route].inFlight;
}

void dispatch(EventContext &context, RoutedCall &call, const Choice &choice)
{
    auto &state = context.state;
    auto &endpoint = state.endpoints[*choice.endpoint];
    auto &route = state.routes[call.route];
    call.phase = CallPhase::InFlight;
    call.endpoint = *choice.endpoint;
    ++call.attempts;
    call.dispatchedAt = context.now;
    call.firstToken = false;
    call.uncachedTokens = choice.uncachedTokens;
    call.expectedSeconds = choice.expectedSeconds;
    recordDispatch(endpoint, call, context.now);
    if (!call.pending.prefixHashes.empty()) {
        recordPrefix(route.prefixes, endpoint.indexInRoute, call.pending.prefixHashes);
    }
    constexpr double gain = 0.05;
    route.uncachedTokens += gain * (call.uncachedTokens - route.uncachedTokens);
    ++state.inFlight;
    ++route.inFlight;
    ++state.counters.dispatched;
    context.out.emplace_back(Dispatch{call.pending.call, endpoint.spec.id, call.attempts});
}

// Dispatches a waiting call, or ends it when its fingerprint has been convicted. Returns whether it left its queue.
bool tryDispatch(EventContext &context, RoutedCall &call, Choice &choice)
{
    if (refuseIfConvicted(context, call)) {
        return true;
    }
    choice = call.suspect ? chooseForSuspect(context.state, call, context.now)
                          : chooseEndpoint(context.state, call, context.now);
    if (!choice.endpoint) {
        return false;
    }
    removeFromQueues(context, call);
    dispatch(context, call, choice);
    return true;
}

void dispatchRetries(EventContext &context, std::uint32_t index)
{
    const auto waiting = context.state.routes[index].retries;
    int failed = 0;
    for (const auto id : waiting) {
        auto &call = context.state.calls.at(id);
        Choice choice;
        if (tryDispatch(context, call, choice)) {
            continue;
        }
        ++failed;
        const auto suspectRetry = call.suspect ? std::optional(context.now + SuspectRetryInterval) : std::nullopt;
        if (const auto at = choice.retryAt ? choice.retryAt : suspectRetry) {
            addTimer(context, *at, TimerKind::DispatchRoute, index);
        }
        if (failed >= MaxUndispatchedRetries) {
            return;
        }
    }
}

// A call that leaves the front of the queue by conviction or quarantine is removed without charging its customer.
void dispatchQueue(EventContext &context, std::uint32_t index)
{
    auto &queue = context.state.routes[index].queue;
    while (const auto front = frontCall(queue)) {
        auto &call = context.state.calls.at(*front);
        if (refuseIfConvicted(context, call)) {
            continue;
        }
        if (const auto trial = suspectTrialAt(context, call)) {
            quarantineSuspect(context, call, *trial);
            continue;
        }
        const auto choice = chooseEndpoint(context.state, call, context.now);
        if (!choice.endpoint) {
            if (choice.retryAt) {
                addTimer(context, *choice.retryAt, TimerKind::DispatchRoute, index);
            }
            return;
        }
        popCall(queue);
        --context.state.queued;
        removeTimer(context, call.queuedUntil, TimerKind::QueueDeadline, call.pending.call.value);
        dispatch(context, call, choice);
    }
}

// Refuses a call at once when it would otherwise be refused after waiting: its caller can still go elsewhere, and the
// calls behind it wait less.
std::optional<Error> earlyRefusal(const EventContext &context, const RoutedCall &call)
{
    const auto &state = context.state;
    const auto &route = state.routes[call.route];
    const double rate = drainRate(context, route);
    if (state.options.faults.noEarlyRefusal || rate <= 0) {
        return std::nullopt;
    }
    const double ahead =
        callsAhead(route.queue, queueOwner(state, call), shareOf(state, call), queueEntryOf(state, call).priority);
    const auto wait = fromSeconds((ahead + 1) / rate);
    const auto retryAfter = std::clamp(wait, MinRetryAfter, MaxRetryAfter);
    if (context.now + wait + fromSeconds(route.firstTokenSeconds) > call.pending.deadline) {
        return Error{ErrorKind::DeadlineTooShort,
                     "the expected wait for an endpoint exceeds the deadline of the request",
                     Execution::NotRun,
                     retryAfter};
    }
    if (context.now + wait > call.queuedUntil) {
        return Error{ErrorKind::Overloaded,
                     "the expected wait for an endpoint exceeds the limit of the queue",
                     Execution::NotRun,
                     retryAfter};
    }
    return std::nullopt;
}

// Makes room in a full queue by refusing a call of the customer with the longest queue for its share. Returns whether
// there is room.
bool evictIfFull(EventContext &context, const RoutedCall &call)
{
    auto &queue = context.state.routes[call.route].queue;
    if (queue.size < context.state.options.maxQueued) {
        return true;
    }
    const auto longest = customerWithLongerQueue(queue, queueOwner(context.state, call), shareOf(context.state, call));
    if (!longest) {
        return false;
    }
    ++context.state.counters.refusedEarly;
    failCall(context, *lastCall(queue, *longest), ErrorKind::Overloaded, "the route's queue is full");
    return true;
}

std::string expiryMessage(const RoutedCall &call)
{
    return call.attempts == 0 ? "no endpoint had a free slot in time"
                              : "no endpoint had a free slot in time for a retry";
}

} // namespace

void addTimer(EventContext &context, TimePoint at, TimerKind kind, std::uint64_t id)
{
    context.state.timers.insert({at, kind, id});
}

Duration drainTime(const EventContext &context, const RoutedRoute &route)
{
    const double rate = drainRate(context, route);
    if (rate <= 0) {
        return NoEndpointRetryAfter;
    }
    const auto time = fromSeconds(static_cast<double>(route.queue.size) / rate);
    return std::clamp(time, MinRetryAfter, MaxRetryAfter);
}

void recordCompletion(EventContext &context, RoutedRoute &route)
{
    route.completions.count = decayedCount(route.completions, context.now) + 1;
    route.completions.at = context.now;
}

void refuseCall(EventContext &context, CallId call, Error error)
{
    context.out.emplace_back(FailCall{call, std::move(error)});
}

void discardCall(EventContext &context, CallId id)
{
    const auto found = context.state.calls.find(id);
    if (found == context.state.calls.end()) {
        return;
    }
    if (found->second.phase == CallPhase::InFlight) {
        detachFromEndpoint(context, found->second);
    } else {
        removeFromQueues(context, found->second);
    }
    context.state.calls.erase(found);
}

void releaseFromEndpoint(EventContext &context, RoutedCall &call)
{
    detachFromEndpoint(context, call);
    call.queuedUntil = std::min(call.pending.deadline, context.now + context.state.options.maxRetryWait);
    call.quarantinedUntil = context.now;
    addToQueues(context, call, CallPhase::Quarantined);
}

void failCall(EventContext &context, CallId id, ErrorKind kind, std::string message)
{
    const auto &call = context.state.calls.at(id);
    Error error{kind, std::move(message), call.execution, std::nullopt};
    if (kind == ErrorKind::Overloaded || kind == ErrorKind::DeadlineTooShort || kind == ErrorKind::EndpointFailed) {
        error.retryAfter = drainTime(context, context.state.routes[call.route]);
    } else if (kind == ErrorKind::NoEndpoint) {
        error.retryAfter = NoEndpointRetryAfter;
    } else if (kind == ErrorKind::SuspectRequest) {
        error.retryAfter = remainingRefusal(context.state.suspects, call.pending.fingerprint, context.now);
    }
    discardCall(context, id);
    refuseCall(context, id, std::move(error));
}

void queueRetry(EventContext &context, RoutedCall &call)
{
    removeFromQueues(context, call);
    addToQueues(context, call, CallPhase::Retrying);
    context.state.routes[call.route].retries.push_back(call.pending.call);
}

void quarantineSuspect(EventContext &context, RoutedCall &call, TimePoint until)
{
    removeFromQueues(context, call);
    addToQueues(context, call, CallPhase::Quarantined);
    call.suspect = true;
    call.quarantinedUntil = std::max(until, context.now);
    addTimer(context, call.quarantinedUntil, TimerKind::QuarantineEnd, call.pending.call.value);
}

void admit(EventContext &context, RoutedCall call)
{
    auto &state = context.state;
    auto &route = state.routes[call.route];
    const auto id = call.pending.call;
    if (route.queue.size == 0) {
        const auto choice = chooseEndpoint(state, call, context.now);
        if (choice.endpoint) {
            dispatch(context, state.calls[id] = std::move(call), choice);
            return;
        }
    }
    if (auto error = earlyRefusal(context, call)) {
        ++state.counters.refusedEarly;
        refuseCall(context, id, std::move(*error));
        return;
    }
    if (!evictIfFull(context, call)) {
        ++state.counters.refusedEarly;
        Error error{ErrorKind::Overloaded, "the route's queue is full", Execution::NotRun, drainTime(context, route)};
        refuseCall(context, id, std::move(error));
        return;
    }
    const auto index = call.route;
    auto &stored = state.calls[id] = std::move(call);
    pushCall(route.queue, queueOwner(state, stored), shareOf(state, stored), queueEntryOf(state, stored));
    addToQueues(context, stored, CallPhase::Queued);
    dispatchRoute(context, index);
}

void admitSuspect(EventContext &context, RoutedCall call, TimePoint trialAt)
{
    const auto id = call.pending.call;
    auto &stored = context.state.calls[id] = std::move(call);
    addToQueues(context, stored, CallPhase::Quarantined);
    stored.quarantinedUntil = context.now;
    quarantineSuspect(context, stored, trialAt);
    onQuarantineEnd(context, id);
}

void dispatchRoute(EventContext &context, std::uint32_t index)
{
    dispatchRetries(context, index);
    dispatchQueue(context, index);
}

void expireCall(EventContext &context, CallId id)
{
    const auto found = context.state.calls.find(id);
    if (found == context.state.calls.end() || found->second.phase == CallPhase::InFlight) {
        return;
    }
    ++context.state.counters.expired;
    const auto &call = found->second;
    const bool tooLate = context.now >= call.pending.deadline;
    const auto kind = tooLate ? ErrorKind::DeadlineTooShort : ErrorKind::Overloaded;
    failCall(context, id, call.attempts == 0 ? kind : ErrorKind::EndpointFailed, expiryMessage(call));
}

} // namespace Godwit::internal
