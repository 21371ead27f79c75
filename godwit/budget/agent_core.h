#pragma once

// What the parts of the budget agent share: calls, bills, commands and the write allowance.
//
// Example:
//   Turn turn{agent, now, out};
//   serveWaiting(turn, budget, slice);

#include "godwit/budget/budget_state.h"
#include "godwit/budget/budget_types.h"
#include "godwit/budget/shard_record.h"

#include <cstdint>
#include <vector>

namespace Godwit::internal
{

// One call into an agent.
struct Turn
{
    BudgetAgent &agent;
    TimePoint now;
    std::vector<BudgetAction> &out;
};

// How much a write may run ahead of the allowance.
enum class WritePriority {
    Normal,
    Urgent, // A caller waits for it.
};

// What a slice can still set aside for a new call.
Tokens spendable(const BudgetAgent &agent, const BudgetSlice &slice);

FoldRules foldRules(const BudgetOptions &options);

BudgetRule ruleOf(const BudgetAgent &agent, const BudgetId &budget);

// What the slice policy needs to know, from the record as last seen; without waiting calls and cover.
SliceSituation situationOf(const Turn &turn, const BudgetId &budget, const BudgetSlice &slice);

// Returns the slice, a new one when this router has none.
BudgetSlice &sliceOf(BudgetAgent &agent, const BudgetId &budget);

// Grants the waiting calls that the slice can meet, first come first.
void serveWaiting(Turn &turn, BudgetSlice &slice);

void grant(Turn &turn, CallId call, BudgetSlice &slice);

// Refuses and forgets a waiting call.
void refuse(Turn &turn, CallId call, Error error);

// Refuses all waiting calls of a slice.
void refuseWaiting(Turn &turn, BudgetSlice &slice, const Error &error);

// Live routers that held a part of the budget when it was last seen, most first.
std::vector<Incarnation> liveHolders(const BudgetAgent &agent, const BudgetSlice &slice);

Error exhausted(const BudgetId &budget, Tokens worstCase, Tokens left);
Error busy(const BudgetId &budget);
Error platformAway(Duration retryAfter, const char *why);
Error unknownBudget(const BudgetId &budget);
Error stopped();

// Asks for a look at the shard at `at` or before.
void wantShard(Turn &turn, std::uint32_t shard, const BudgetId &budget, TimePoint at);

// Emits `command` under a new tag, which it returns.
std::uint64_t startCommand(Turn &turn, const OpenCommand &owner, KvCommand command);

// When the next command may go out: now, or later while the platform is away.
TimePoint platformFreeAt(const Turn &turn);

// When a write of this priority is within the allowance: now or later. Refills the allowance.
TimePoint allowedAt(Turn &turn, WritePriority priority);
void chargeWrite(Turn &turn);

// Whether a read is within the allowance.
bool mayRead(Turn &turn);
void chargeRead(Turn &turn);

// Writes a second that are this router's part.
double writeRate(const BudgetAgent &agent);

// Learns from a reply whether the platform answers.
void noteReply(Turn &turn, KvStatus status);
bool platformIsAway(const BudgetAgent &agent);

// A pseudo-random duration in [0, range).
Duration jitter(BudgetAgent &agent, Duration range);

// Reports the bills durable that the ledger or the witnesses have.
void releaseBills(Turn &turn);

// Reports one bill durable if it was not yet.
void releaseBill(Turn &turn, std::uint64_t sequence, bool duplicate);

// Takes a folded bill out of the memory.
void finishBill(Turn &turn, std::uint64_t sequence, bool duplicate);

// Ends this incarnation: others have closed it.
void becomeClosed(Turn &turn);

} // namespace Godwit::internal
