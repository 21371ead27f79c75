#pragma once

// Lifecycle of a call in the router: admission, queue, dispatch and end. Used by the event functions of routing.h.

#include "godwit/routing/routing.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Godwit::internal
{

// State, time and output of the event being handled.
struct EventContext
{
    RoutingState &state;
    TimePoint now;
    std::vector<RoutingAction> &out;
};

void addTimer(EventContext &context, TimePoint at, TimerKind kind, std::uint64_t id);

// Refuses a call that was not accepted.
void refuseCall(EventContext &context, CallId call, Error error);

// Removes an accepted call from its queue or endpoint and answers it with FailCall.
void failCall(EventContext &context, CallId call, ErrorKind kind, std::string message);

// Removes a call without an answer.
void discardCall(EventContext &context, CallId call);

// Removes the call from its endpoint. The caller then has to queue it for a retry or end it.
void releaseFromEndpoint(EventContext &context, RoutedCall &call);

// Dispatches a new call or adds it to the queue of its route; refuses it when its expected wait is too long or the
// queue is full.
void admit(EventContext &context, RoutedCall call);

// Accepts a call with a suspect fingerprint. It is tried on an endpoint without other suspects, not before `trialAt`.
void admitSuspect(EventContext &context, RoutedCall call, TimePoint trialAt);

// Ends a call that has reached its maximum waiting time.
void expireCall(EventContext &context, CallId call);

// Adds the call to the retry list of its route, which goes before all new calls.
void queueRetry(EventContext &context, RoutedCall &call);

// Delays the trial of a suspect until the notices of the other routers should have arrived.
void quarantineSuspect(EventContext &context, RoutedCall &call, TimePoint until);

// Dispatches waiting calls of the route while endpoints have free slots.
void dispatchRoute(EventContext &context, std::uint32_t route);

// Estimates how long the route takes to serve its waiting calls, for Retry-After.
Duration drainTime(const EventContext &context, const RoutedRoute &route);

// Counts a completed call in the completion rate of the route.
void recordCompletion(EventContext &context, RoutedRoute &route);

} // namespace Godwit::internal
