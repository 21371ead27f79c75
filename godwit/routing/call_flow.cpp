#include "godwit/routing/call_flow.h"

#include "godwit/routing/crash_flow.h"
#include "godwit/routing/endpoint_choice.h"
#include "godwit/routing/endpoint_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwit::internal
{
namespace
{

// Completions fade out of the rate over this time.
constexpr Duration RateMemory = std::chrono::seconds(2);
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MostRetryAfter = std::chrono::seconds(30);
constexpr Duration NoEndpointRetryAfter = std::chrono::seconds(1);
// Suspects that find no endpoint of their own are tried again after this.
constexpr Duration SuspectRetry = std::chrono::milliseconds(50);
// Calls to send again that one event looks at in vain.
constexpr int MaxFailedRetries = 16;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void removeTimer(Step &step, TimePoint at, TimerKind kind, std::uint64_t id)
{
    step.state.timers.erase({at, kind, id});
}

QueuePlace placeOf(const RoutingState &state, const RoutedCall &call)
{
    const auto &pending = call.pending;
    const auto &options = state.options;
    QueuePlace place;
    place.priority = options.faults.firstComeFirstServed ? 0 : pending.priority;
    place.arrivedAt = pending.arrivedAt;
    place.call = pending.call;
    place.cost = 1 + static_cast<double>(pending.promptTokens) / options.tokensPerCostPrompt
        + static_cast<double>(pending.maxOutput) / options.tokensPerCostOutput;
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

double faded(const RateMeter &meter, TimePoint now)
{
    return meter.count * std::exp(-toSeconds(now - meter.at) / toSeconds(RateMemory));
}

// Calls a second that the route takes from this router's queue: what it has completed lately, or this router's part of
// what its endpoints can do; after a calm time the former says little. Zero when nothing is known.
double drainRate(const Step &step, const RoutedRoute &route)
{
    const double measured = faded(route.completions, step.now) / toSeconds(RateMemory);
    if (route.holdSeconds <= 0) {
        return 0;
    }
    const double possible = route.slots / route.holdSeconds / std::max(1, step.state.routers);
    return std::max(measured, possible);
}

// Takes the call out of whatever holds it.
void leaveQueues(Step &step, RoutedCall &call)
{
    auto &route = step.state.routes[call.route];
    switch (call.phase) {
    case CallPhase::Queued:
        removeCall(route.queue, queueOwner(step.state, call), placeOf(step.state, call));
        break;
    case CallPhase::Retrying:
        route.retries.erase(std::find(route.retries.begin(), route.retries.end(), call.pending.call));
        break;
    case CallPhase::Held:
        removeTimer(step, call.heldUntil, TimerKind::HeldCall, call.pending.call.value);
        break;
    case CallPhase::InFlight:
        return;
    }
    --step.state.queued;
    removeTimer(step, call.queuedUntil, TimerKind::QueueDeadline, call.pending.call.value);
}

void joinQueues(Step &step, RoutedCall &call, CallPhase phase)
{
    call.phase = phase;
    ++step.state.queued;
    addTimer(step, call.queuedUntil, TimerKind::QueueDeadline, call.pending.call.value);
}

void releaseEndpoint(Step &step, const RoutedCall &call)
{
    noteRelease(step.state.endpoints[call.endpoint], call, step.now);
    --step.state.inFlight;
    --step.state.routes[call.route].inFlight;
}

void dispatch(Step &step, RoutedCall &call, const Choice &choice)
{
    auto &state = step.state;
    auto &endpoint = state.endpoints[*choice.endpoint];
    auto &route = state.routes[call.route];
    call.phase = CallPhase::InFlight;
    call.endpoint = *choice.endpoint;
    ++call.attempts;
    call.dispatchedAt = step.now;
    call.firstToken = false;
    call.missTokens = choice.missTokens;
    call.expectedSeconds = choice.expectedSeconds;
    noteDispatch(endpoint, call, step.now);
    if (!call.pending.prefixHashes.empty()) {
        rememberPrefix(route.prefixes, endpoint.slot, call.pending.prefixHashes);
    }
    constexpr double gain = 0.05;
    route.missTokens += gain * (call.missTokens - route.missTokens);
    ++state.inFlight;
    ++route.inFlight;
    ++state.counters.dispatched;
    step.out.emplace_back(Dispatch{call.pending.call, endpoint.spec.id, call.attempts});
}

// Sends one waiting call out, or ends it when it has been convicted meanwhile. Returns whether it left its queue.
bool tryDispatch(Step &step, RoutedCall &call, Choice &choice)
{
    if (refuseIfConvicted(step, call)) {
        return true;
    }
    choice = call.suspect ? chooseForSuspect(step.state, call, step.now) : chooseEndpoint(step.state, call, step.now);
    if (!choice.endpoint) {
        return false;
    }
    leaveQueues(step, call);
    dispatch(step, call, choice);
    return true;
}

void pumpRetries(Step &step, std::uint32_t index)
{
    const auto waiting = step.state.routes[index].retries;
    int failed = 0;
    for (const auto id : waiting) {
        auto &call = step.state.calls.at(id);
        Choice choice;
        if (tryDispatch(step, call, choice)) {
            continue;
        }
        ++failed;
        const auto suspectRetry = call.suspect ? std::optional(step.now + SuspectRetry) : std::nullopt;
        if (const auto at = choice.retryAt ? choice.retryAt : suspectRetry) {
            addTimer(step, *at, TimerKind::PumpRoute, index);
        }
        if (failed >= MaxFailedRetries) {
            return;
        }
    }
}

// A call whose turn it is stays the customer's charge even when it leaves by another way than an endpoint.
void pumpQueue(Step &step, std::uint32_t index)
{
    auto &queue = step.state.routes[index].queue;
    while (const auto front = frontCall(queue)) {
        auto &call = step.state.calls.at(*front);
        if (refuseIfConvicted(step, call)) {
            continue;
        }
        if (const auto trial = suspectTrialAt(step, call)) {
            holdSuspect(step, call, *trial);
            continue;
        }
        const auto choice = chooseEndpoint(step.state, call, step.now);
        if (!choice.endpoint) {
            if (choice.retryAt) {
                addTimer(step, *choice.retryAt, TimerKind::PumpRoute, index);
            }
            return;
        }
        popCall(queue);
        --step.state.queued;
        removeTimer(step, call.queuedUntil, TimerKind::QueueDeadline, call.pending.call.value);
        dispatch(step, call, choice);
    }
}

// A call that would only be refused after waiting is refused at once: its caller can still go elsewhere, and the
// calls behind it wait less.
std::optional<Error> earlyRefusal(const Step &step, const RoutedCall &call)
{
    const auto &state = step.state;
    const auto &route = state.routes[call.route];
    const double rate = drainRate(step, route);
    if (state.options.faults.noEarlyRefusal || rate <= 0) {
        return std::nullopt;
    }
    const double ahead =
        callsAhead(route.queue, queueOwner(state, call), shareOf(state, call), placeOf(state, call).priority);
    const auto wait = fromSeconds((ahead + 1) / rate);
    const auto retryAfter = std::clamp(wait, LeastRetryAfter, MostRetryAfter);
    if (step.now + wait + fromSeconds(route.firstTokenSeconds) > call.pending.deadline) {
        return Error{ErrorKind::DeadlineTooShort,
                     "the wait for an endpoint is longer than the deadline allows",
                     Execution::NotRun,
                     retryAfter};
    }
    if (step.now + wait > call.queuedUntil) {
        return Error{ErrorKind::Overloaded, "the wait for an endpoint is too long", Execution::NotRun, retryAfter};
    }
    return std::nullopt;
}

// Makes room in a full queue at the expense of the customer that takes the most of it. Returns whether there is room.
bool makeRoom(Step &step, const RoutedCall &call)
{
    auto &queue = step.state.routes[call.route].queue;
    if (queue.size < step.state.options.maxQueued) {
        return true;
    }
    const auto longest = longerQueue(queue, queueOwner(step.state, call), shareOf(step.state, call));
    if (!longest) {
        return false;
    }
    ++step.state.counters.refusedEarly;
    giveUp(step, *lastCall(queue, *longest), ErrorKind::Overloaded, "the route's queue is full");
    return true;
}

std::string expiryMessage(const RoutedCall &call)
{
    return call.attempts == 0 ? "no endpoint had room in time" : "no other endpoint had room in time for another try";
}

} // namespace

void addTimer(Step &step, TimePoint at, TimerKind kind, std::uint64_t id)
{
    step.state.timers.insert({at, kind, id});
}

Duration drainTime(const Step &step, const RoutedRoute &route)
{
    const double rate = drainRate(step, route);
    if (rate <= 0) {
        return NoEndpointRetryAfter;
    }
    const auto time = fromSeconds(static_cast<double>(route.queue.size) / rate);
    return std::clamp(time, LeastRetryAfter, MostRetryAfter);
}

void countCompletion(Step &step, RoutedRoute &route)
{
    route.completions.count = faded(route.completions, step.now) + 1;
    route.completions.at = step.now;
}

void refuseCall(Step &step, CallId call, Error error)
{
    step.out.emplace_back(GiveUp{call, std::move(error)});
}

void forgetCall(Step &step, CallId id)
{
    const auto found = step.state.calls.find(id);
    if (found == step.state.calls.end()) {
        return;
    }
    if (found->second.phase == CallPhase::InFlight) {
        releaseEndpoint(step, found->second);
    } else {
        leaveQueues(step, found->second);
    }
    step.state.calls.erase(found);
}

void leaveEndpoint(Step &step, RoutedCall &call)
{
    releaseEndpoint(step, call);
    call.queuedUntil = std::min(call.pending.deadline, step.now + step.state.options.maxRetryWait);
    call.heldUntil = step.now;
    joinQueues(step, call, CallPhase::Held);
}

void giveUp(Step &step, CallId id, ErrorKind kind, std::string message)
{
    const auto &call = step.state.calls.at(id);
    Error error{kind, std::move(message), call.execution, std::nullopt};
    if (kind == ErrorKind::Overloaded || kind == ErrorKind::DeadlineTooShort || kind == ErrorKind::EndpointFailed) {
        error.retryAfter = drainTime(step, step.state.routes[call.route]);
    } else if (kind == ErrorKind::NoEndpoint) {
        error.retryAfter = NoEndpointRetryAfter;
    } else if (kind == ErrorKind::SuspectRequest) {
        error.retryAfter = remainingRefusal(step.state.suspects, call.pending.fingerprint, step.now);
    }
    forgetCall(step, id);
    refuseCall(step, id, std::move(error));
}

void sendAgain(Step &step, RoutedCall &call)
{
    leaveQueues(step, call);
    joinQueues(step, call, CallPhase::Retrying);
    step.state.routes[call.route].retries.push_back(call.pending.call);
}

void holdSuspect(Step &step, RoutedCall &call, TimePoint until)
{
    leaveQueues(step, call);
    joinQueues(step, call, CallPhase::Held);
    call.suspect = true;
    call.heldUntil = std::max(until, step.now);
    addTimer(step, call.heldUntil, TimerKind::HeldCall, call.pending.call.value);
}

void admit(Step &step, RoutedCall call)
{
    auto &state = step.state;
    auto &route = state.routes[call.route];
    const auto id = call.pending.call;
    if (route.queue.size == 0) {
        const auto choice = chooseEndpoint(state, call, step.now);
        if (choice.endpoint) {
            dispatch(step, state.calls[id] = std::move(call), choice);
            return;
        }
    }
    if (auto error = earlyRefusal(step, call)) {
        ++state.counters.refusedEarly;
        refuseCall(step, id, std::move(*error));
        return;
    }
    if (!makeRoom(step, call)) {
        ++state.counters.refusedEarly;
        Error error{ErrorKind::Overloaded, "the route's queue is full", Execution::NotRun, drainTime(step, route)};
        refuseCall(step, id, std::move(error));
        return;
    }
    const auto index = call.route;
    auto &stored = state.calls[id] = std::move(call);
    pushCall(route.queue, queueOwner(state, stored), shareOf(state, stored), placeOf(state, stored));
    joinQueues(step, stored, CallPhase::Queued);
    pumpRoute(step, index);
}

void takeSuspectIn(Step &step, RoutedCall call, TimePoint trialAt)
{
    const auto id = call.pending.call;
    auto &stored = step.state.calls[id] = std::move(call);
    joinQueues(step, stored, CallPhase::Held);
    stored.heldUntil = step.now;
    holdSuspect(step, stored, trialAt);
    onHeldCall(step, id);
}

void pumpRoute(Step &step, std::uint32_t index)
{
    pumpRetries(step, index);
    pumpQueue(step, index);
}

void expireCall(Step &step, CallId id)
{
    const auto found = step.state.calls.find(id);
    if (found == step.state.calls.end() || found->second.phase == CallPhase::InFlight) {
        return;
    }
    ++step.state.counters.expired;
    const auto &call = found->second;
    const bool tooLate = step.now >= call.pending.deadline;
    const auto kind = tooLate ? ErrorKind::DeadlineTooShort : ErrorKind::Overloaded;
    giveUp(step, id, call.attempts == 0 ? kind : ErrorKind::EndpointFailed, expiryMessage(call));
}

} // namespace Godwit::internal
