#pragma once

// Load and availability of one endpoint, estimated from late load reports and from the calls of this router.
//
// Example:
//   recordDispatch(endpoint, call, now);
//   if (availabilityOf(state, endpoint, now) == Availability::Ready) { estimatedLoad(state, endpoint, now); }

#include "godwit/routing/routing_state.h"

namespace Godwit::internal
{

enum class Availability {
    Ready,
    Paused, // Temporarily: its circuit breaker is open or it rejected a call.
    Unavailable, // Leaving, or not in the host list any more.
};

Availability availabilityOf(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now);

// Returns the id of the process behind the endpoint.
const EndpointId &processOf(const EndpointSpec &spec);

// Time at which a paused endpoint can be tried again.
TimePoint availableAt(const RoutedEndpoint &endpoint);

// Estimates the calls that the endpoint runs or queues now: those of this router, and those of other routers according
// to the last report. A report is compared with the calls of this router at the time when it was taken, so that none is
// counted twice.
double estimatedLoad(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now);

// Returns whether the endpoint has no free slot for a new call of this router.
bool isFull(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now);

// Returns a pseudo-random number in [0, 1).
double nextRandom(RoutingState &state);

void recordDispatch(RoutedEndpoint &endpoint, const RoutedCall &call, TimePoint now);

// Removes a call from the endpoint, whatever its outcome.
void recordRelease(RoutedEndpoint &endpoint, const RoutedCall &call, TimePoint now);

void recordLoadReport(RoutingState &state, RoutedEndpoint &endpoint, const LoadReport &report, TimePoint now);

// Updates the slowness of the endpoint from a first token that took `seconds`, compared with the estimate made when the
// endpoint was chosen.
void updateSlowness(
    RoutedEndpoint &endpoint, const RoutingOptions &options, double expectedSeconds, double seconds, TimePoint now);

// Returns the ratio of observed to expected time, decayed to `now`.
double slownessAt(const RoutingOptions &options, const RoutedEndpoint &endpoint, TimePoint now);

// Records a failure to connect. Returns whether the circuit breaker opened, or opened again after a failed probe.
bool recordConnectFailure(RoutedEndpoint &endpoint, const RoutingOptions &options, TimePoint now);

void openBreaker(RoutedEndpoint &endpoint, const RoutingOptions &options, TimePoint now);

// Closes the circuit breaker after the endpoint has answered.
void closeBreaker(RoutedEndpoint &endpoint);

} // namespace Godwit::internal
