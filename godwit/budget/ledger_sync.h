#pragma once

// The router's own ledger: group commits of bills, and the names of witnesses and shards.
//
// Example:
//   if (!shardListed(turn, shard)) {
//       runLedger(turn);
//   }

#include "godwit/budget/agent_core.h"

#include <optional>

namespace Godwit::internal
{

// Chooses witnesses anew after a change of peers.
void reviewWitnesses(Turn &turn);

// Asks for `shard` to be listed. Returns whether the stored ledger lists it already.
bool shardListed(Turn &turn, std::uint32_t shard);

// Reads or writes the ledger if that is due.
void runLedger(Turn &turn);
std::optional<TimePoint> nextLedgerAt(Turn &turn);

void onLedgerReply(Turn &turn, const KvReply &reply);

// Whether a drain has nothing left but the ledger itself.
bool readyToDeleteLedger(const BudgetAgent &agent);

} // namespace Godwit::internal
