#pragma once

// What follows when an attempt fails: another attempt, the call's end, and the search for requests that crash
// endpoints. Used by the event functions of routing.h.

#include "godwit/routing/call_dispatch.h"

#include <cstdint>
#include <optional>

namespace Godwit::internal
{

// The connection broke after bytes were sent.
void onCrash(EventContext &context, CallId call);

// No byte was sent.
void onConnectFailure(EventContext &context, CallId call);

// The endpoint said that it did not run the call.
void onRejection(EventContext &context, CallId call);

void onTimeout(EventContext &context, CallId call);

// A call of a suspect fingerprint ended well: it is innocent.
void clearByCompletion(EventContext &context, const RoutedCall &call);

// Ends a waiting call whose fingerprint has been convicted. Returns whether it did.
bool refuseIfConvicted(EventContext &context, const RoutedCall &call);

// The time of a held call has come: judge it, or send it again.
void onQuarantineEnd(EventContext &context, CallId call);

// The other calls of an endpoint that seemed to die must have failed by now.
void confirmEndpointDeath(EventContext &context, std::uint32_t endpoint);

// For a new call: when a suspect may be tried, nothing for those that are not suspected.
std::optional<TimePoint> suspectTrialAt(EventContext &context, const RoutedCall &call);

} // namespace Godwit::internal
