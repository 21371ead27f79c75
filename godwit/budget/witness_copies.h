#pragma once

// Copies of bills that the platform does not have yet, at both ends.
//
// A router copies its unrecorded bills to a few others, the witnesses that its ledger names, and releases answers
// on their word; so a platform outage does not stop releases. A witness keeps the copies in memory and gives them
// to whoever closes the router. Nothing reads them otherwise.
//
// Example:
//   pumpCopies(turn);
//   const bool safe = sequence <= durableThrough(turn.agent);

#include "godwit/budget/agent_core.h"
#include "godwit/budget/budget_messages.h"

#include <optional>

namespace Godwit::internal
{

// Every bill up to the returned sequence number outlives this router, under each version of the ledger that the
// platform may hold now.
std::uint64_t durableThrough(const BudgetAgent &agent);

// Chooses witnesses among the peers; those of `current` that still live stay.
WitnessGroups chooseWitnesses(const BudgetAgent &agent, const WitnessGroups &current);

// Links to the witnesses of all possible ledger versions; drops the others.
void updateLinks(BudgetAgent &agent);

// Sends and resends what is due.
void pumpCopies(Turn &turn);
std::optional<TimePoint> nextCopyAt(const BudgetAgent &agent);

// As the router whose bills they are.
void onCopyAck(Turn &turn, const Incarnation &witness, const CopyAck &ack);

// As the witness.
void onBillCopy(Turn &turn, const Incarnation &writer, const BillCopy &copy);
// Seals and returns the tail; nullopt when `request` is older than what the witness knows.
std::optional<SealedTail> sealTail(BudgetAgent &agent, const SealRequest &request);
void forgetTail(BudgetAgent &agent, const Incarnation &about);

} // namespace Godwit::internal
