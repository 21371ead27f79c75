#pragma once

// The way of a call through the router: queue, dispatch, end. Used by the event functions of routing.h.

#include "godwit/routing/routing.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Godwit::internal
{

// The state and the event that is handled; passed through the steps.
struct Step
{
    RoutingState &state;
    TimePoint now;
    std::vector<RoutingAction> &out;
};

void addTimer(Step &step, TimePoint at, TimerKind kind, std::uint64_t id);

// Refuses a call that was not taken in.
void refuseCall(Step &step, CallId call, Error error);

// Ends a call that was taken in: leaves its queue or endpoint and answers it by GiveUp.
void giveUp(Step &step, CallId call, ErrorKind kind, std::string message);

// Ends a call without an answer.
void forgetCall(Step &step, CallId call);

// Takes the call off its endpoint; it is Retrying or ended next.
void leaveEndpoint(Step &step, RoutedCall &call);

// Puts a new call into its route's queue, or refuses it when it would wait too long there.
void admit(Step &step, RoutedCall call);

// Takes a suspect in: it is tried by itself, at `trialAt` at the earliest.
void takeSuspectIn(Step &step, RoutedCall call, TimePoint trialAt);

// The call has waited for as long as it may.
void expireCall(Step &step, CallId call);

// Lets the call join those that are sent again, before all new ones.
void sendAgain(Step &step, RoutedCall &call);

// Sends a suspect again, by itself, once the other routers' notices must have come.
void holdSuspect(Step &step, RoutedCall &call, TimePoint until);

// Sends out calls of the route while endpoints have room.
void pumpRoute(Step &step, std::uint32_t route);

// How long the route needs for the calls that wait, for Retry-After.
Duration drainTime(const Step &step, const RoutedRoute &route);

// Adds one to the route's rate of completed calls.
void countCompletion(Step &step, RoutedRoute &route);

} // namespace Godwit::internal
