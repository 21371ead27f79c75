#pragma once

// Handling of failed attempts: retries, the end of the call, and the detection of requests that crash endpoints. Used
// by the event functions of routing.h.

#include "godwit/routing/call_dispatch.h"

#include <cstdint>
#include <optional>

namespace Godwit::internal
{

// The connection broke after bytes of the request were sent.
void onCrash(EventContext &context, CallId call);

// No byte of the request was sent.
void onConnectFailure(EventContext &context, CallId call);

// The endpoint declared that it did not run the call.
void onRejection(EventContext &context, CallId call);

void onTimeout(EventContext &context, CallId call);

// Clears the fingerprint of a call that completed, if it was suspect.
void clearByCompletion(EventContext &context, const RoutedCall &call);

// Ends a waiting call whose fingerprint has been convicted. Returns whether it did so.
bool refuseIfConvicted(EventContext &context, const RoutedCall &call);

// Handles the end of a quarantine: evaluates the evidence, then refuses the call or queues it for its trial.
void onQuarantineEnd(EventContext &context, CallId call);

// Decides whether a crash was the death of the endpoint, once the other calls in flight there should have failed too.
void confirmEndpointDeath(EventContext &context, std::uint32_t endpoint);

// Returns the time from which a suspect may be tried, or nothing when the call is not suspect.
std::optional<TimePoint> suspectTrialAt(EventContext &context, const RoutedCall &call);

} // namespace Godwit::internal
