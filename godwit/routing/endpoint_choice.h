#pragma once

// Chooses an endpoint for a call: the one with the lowest expected time to the first token, plus penalties.
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
    // Prompt tokens that are not in the cache of the endpoint, and expected seconds to the first token.
    double uncachedTokens = 0;
    double expectedSeconds = 0;
    // When no endpoint was chosen: earliest time at which a paused endpoint becomes available, if any does.
    std::optional<TimePoint> retryAt;
};

// Chooses among the endpoints of the call's route. Linear in the number of endpoints of the route and in the number of
// prefix hashes.
Choice chooseEndpoint(RoutingState &state, const RoutedCall &call, TimePoint now);

// Chooses for a suspect: an endpoint that runs no other suspect, and that neither died of this request nor shares a
// host with an endpoint that did. Routers that know the same deaths assign each suspect an endpoint of its own.
Choice chooseForSuspect(RoutingState &state, const RoutedCall &call, TimePoint now);

// Returns whether any endpoint of the route accepts new calls, now or after a pause.
bool hasUsableEndpoint(const RoutingState &state, const RoutedRoute &route, TimePoint now);

// Returns the number of endpoints at which the suspect may be tried.
std::size_t suspectCandidateCount(const RoutingState &state, const RoutedCall &call, TimePoint now);

} // namespace Godwit::internal
