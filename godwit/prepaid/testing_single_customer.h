#pragma once

// Common setup for tests of PrepaidShare: a simulation with the one customer TestCustomer.
//
// Example:
//   PrepaidSimulation sim = startedSimulation(2);
//   serve(sim, 0, 40, 1000);
//   CHECK(accountAt(sim, 0).netUsed == 40'000);

#include "godwit/prepaid/testing_simulation.h"

namespace Godwit::Testing
{

inline const CustomerId TestCustomer{"desk"};
constexpr Tokens Total = 1'000'000;
// Slightly longer than a router's usual interval between two writes.
constexpr auto WriteInterval = std::chrono::milliseconds(500);

// TestCustomer has `total` tokens, and each router in turn has performed one write.
PrepaidSimulation startedSimulation(std::size_t routers, Tokens total = Total);

// One router that has served 40 requests of 1000 tokens and has just written a mark based on that demand.
PrepaidSimulation simulationWithMark();

// Serves requests of one size at one router, each settled in full, with writes where needed. Returns how many were
// served.
int serve(PrepaidSimulation &sim, std::size_t router, int requests, Tokens size);

// Serves requests of one size until the router refuses one, without a write.
void spendAll(PrepaidSimulation &sim, std::size_t router, Tokens size);

ShareAccount &accountAt(PrepaidSimulation &sim, std::size_t router);

} // namespace Godwit::Testing
