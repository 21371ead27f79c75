#pragma once

// The choice of one endpoint for one call: the one with the lowest expected time to the first token.
//
// Example:
//   const Choice choice = chooseEndpoint(state, route, call, now);
//   if (choice.endpoint) { ...dispatch... }

#include "godwit/routing/routing_state.h"

#include <cstdint>
#include <optional>

namespace Godwit::internal
{

constexpr std::uint32_t NoEndpointIndex = UINT32_MAX;

struct Choice
{
    std::optional<std::uint32_t> endpoint;
    // Prompt tokens that the endpoint has to process, and expected seconds to the first token there.
    double uncachedTokens = 0;
    double expectedSeconds = 0;
    // Without an endpoint: when one that rests comes back, if any does.
    std::optional<TimePoint> retryAt;
};

// Chooses among the endpoints of the call's route. Cost: the endpoints of the route and the call's prefix hashes.
Choice chooseEndpoint(RoutingState &state, const RoutedCall &call, TimePoint now);

// Chooses for a suspect: an endpoint that runs no other suspect and shares no host with one that died of it. Routers
// that know of the same deaths give each suspect an endpoint of its own.
Choice chooseForSuspect(RoutingState &state, const RoutedCall &call, TimePoint now);

// Whether some endpoint of the route takes new calls now or after a rest.
bool hasUsableEndpoint(const RoutingState &state, const RoutedRoute &route, TimePoint now);

// How many endpoints a suspect may be tried at.
std::size_t suspectCandidateCount(const RoutingState &state, const RoutedCall &call, TimePoint now);

} // namespace Godwit::internal
