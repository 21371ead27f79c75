#pragma once

// What one endpoint carries and whether it takes new calls, from late reports and from this router's own calls.
//
// Example:
//   recordDispatch(endpoint, call, now);
//   if (availabilityOf(state, endpoint, now) == Availability::Ready) { estimatedLoad(state, endpoint, now); }

#include "godwit/routing/routing_state.h"

namespace Godwit::internal
{

enum class Availability {
    Ready,
    Paused, // Comes back by itself: its breaker is open or it turned a call away.
    Unavailable, // Leaving, or no longer listed.
};

Availability availabilityOf(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now);

// The id of the process behind the endpoint.
const EndpointId &processOf(const EndpointSpec &spec);

// When a resting endpoint is to be tried again.
TimePoint availableAt(const RoutedEndpoint &endpoint);

// Calls that the endpoint runs or queues now: those of other routers as last reported, and the own ones. A report is
// compared with the own calls at the time that it was taken, so that none is counted twice.
double estimatedLoad(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now);

// Whether it is full for new calls of this router.
bool isFull(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now);

// A number from 0 to 1.
double nextRandom(RoutingState &state);

void recordDispatch(RoutedEndpoint &endpoint, const RoutedCall &call, TimePoint now);

// Takes a call off the endpoint, however it ended.
void recordRelease(RoutedEndpoint &endpoint, const RoutedCall &call, TimePoint now);

void recordLoadReport(RoutingState &state, RoutedEndpoint &endpoint, const LoadReport &report, TimePoint now);

// Learns from a first token that took `seconds`, against what the choice expected.
void updateSlowness(
    RoutedEndpoint &endpoint, const RoutingOptions &options, double expectedSeconds, double seconds, TimePoint now);

// Observed over expected time by now: what was learned fades.
double slownessAt(const RoutingOptions &options, const RoutedEndpoint &endpoint, TimePoint now);

// A failure to connect. Returns whether the breaker opened or opened again.
bool recordConnectFailure(RoutedEndpoint &endpoint, const RoutingOptions &options, TimePoint now);

void openBreaker(RoutedEndpoint &endpoint, const RoutingOptions &options, TimePoint now);

// The endpoint answered: it lives.
void closeBreaker(RoutedEndpoint &endpoint);

} // namespace Godwit::internal
