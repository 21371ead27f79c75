#pragma once

// Draws, returns and folds: the router's exchange with the shard records.
//
// Example:
//   wantShard(turn, slice.shard, budget, now);
//   runShard(turn, slice.shard);

#include "godwit/budget/agent_core.h"

#include <cstdint>

namespace Godwit::internal
{

// Starts the exchange with `shard` if it is due and nothing is in flight.
void runShard(Turn &turn, std::uint32_t shard);

void onShardReply(Turn &turn, std::uint32_t shard, const KvReply &reply);

// Refuses the calls that wait for a draw: the platform does not answer.
void refuseForOutage(Turn &turn);

// Whether a drain can take this router's slices and mark out of the shard.
bool readyToLeave(const BudgetAgent &agent, const ShardSync &sync);

} // namespace Godwit::internal
