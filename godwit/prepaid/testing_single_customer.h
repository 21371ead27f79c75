#pragma once

// The steps that many tests of PrepaidShare start with: a world whose one customer is Desk.
//
// Example:
//   World world = openedWorld(2);
//   serve(world, 0, 40, 1000);
//   CHECK(deskAt(world, 0).net == 40'000);

#include "godwit/prepaid/testing_simulation.h"

namespace Godwit::Testing
{

inline const CustomerId TestCustomer{"desk"};
constexpr Tokens Total = 1'000'000;
// A router's usual time between two writes, and some more.
constexpr auto WriteInterval = std::chrono::milliseconds(500);

// Desk has `total` tokens, and each router in turn has written once.
PrepaidSimulation startedSimulation(std::size_t routers, Tokens total = Total);

// One router that has served 40 requests of 1000 tokens and has just written a mark that goes by them.
PrepaidSimulation simulationWithMark();

// Requests of one size at one router, each settled in full, with writes in between. Returns how many were served.
int serve(PrepaidSimulation &sim, std::size_t router, int requests, Tokens size);

// Serves requests of one size until the router refuses one; without a write.
void spendAll(PrepaidSimulation &sim, std::size_t router, Tokens size);

ShareAccount &accountAt(PrepaidSimulation &sim, std::size_t router);

} // namespace Godwit::Testing
