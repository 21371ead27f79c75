#pragma once

// What follows when an attempt fails: another attempt, the call's end, and the search for requests that crash
// endpoints. Used by the event functions of routing.h.

#include "godwit/routing/call_flow.h"

#include <cstdint>
#include <optional>

namespace Godwit::internal
{

// The connection broke after bytes were sent.
void onCrash(Step &step, CallId call);

// No byte was sent.
void onConnectFailure(Step &step, CallId call);

// The endpoint said that it did not run the call.
void onRejection(Step &step, CallId call);

void onTimeout(Step &step, CallId call);

// A call of a suspect fingerprint ended well: it is innocent.
void clearByCompletion(Step &step, const RoutedCall &call);

// Ends a waiting call whose fingerprint has been convicted. Returns whether it did.
bool refuseIfConvicted(Step &step, const RoutedCall &call);

// The time of a held call has come: judge it, or send it again.
void onHeldCall(Step &step, CallId call);

// The other calls of an endpoint that seemed to die must have failed by now.
void judgeEndpointDeath(Step &step, std::uint32_t endpoint);

// For a new call: when a suspect may be tried, nothing for those that are not suspected.
std::optional<TimePoint> suspectTrialAt(Step &step, const RoutedCall &call);

} // namespace Godwit::internal
