#pragma once

// The way of a call through the router: queue, dispatch, end. Used by the event functions of routing.h.

#include "godwit/routing/routing.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Godwit::internal
{

// The state and the event that is handled; passed through the steps.
struct EventContext
{
    RoutingState &state;
    TimePoint now;
    std::vector<RoutingAction> &out;
};

void addTimer(EventContext &context, TimePoint at, TimerKind kind, std::uint64_t id);

// Refuses a call that was not taken in.
void refuseCall(EventContext &context, CallId call, Error error);

// Ends a call that was taken in: leaves its queue or endpoint and answers it by FailCall.
void failCall(EventContext &context, CallId call, ErrorKind kind, std::string message);

// Ends a call without an answer.
void discardCall(EventContext &context, CallId call);

// Takes the call off its endpoint; it is Retrying or ended next.
void releaseFromEndpoint(EventContext &context, RoutedCall &call);

// Puts a new call into its route's queue, or refuses it when it would wait too long there.
void admit(EventContext &context, RoutedCall call);

// Takes a suspect in: it is tried by itself, at `trialAt` at the earliest.
void admitSuspect(EventContext &context, RoutedCall call, TimePoint trialAt);

// The call has waited for as long as it may.
void expireCall(EventContext &context, CallId call);

// Lets the call join those that are sent again, before all new ones.
void queueRetry(EventContext &context, RoutedCall &call);

// Sends a suspect again, by itself, once the other routers' notices must have come.
void quarantineSuspect(EventContext &context, RoutedCall &call, TimePoint until);

// Sends out calls of the route while endpoints have room.
void dispatchRoute(EventContext &context, std::uint32_t route);

// How long the route needs for the calls that wait, for Retry-After.
Duration drainTime(const EventContext &context, const RoutedRoute &route);

// Adds one to the route's rate of completed calls.
void recordCompletion(EventContext &context, RoutedRoute &route);

} // namespace Godwit::internal
