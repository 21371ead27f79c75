#pragma once

// Closing a router that is gone: its bills are completed from a witness, its slices go back.
//
// Each step is a compare-and-swap that any number of closers may repeat. A router whose witnesses can't be reached
// stays in doubt: its slices stay charged, since it may be alive behind a partition and spending them.
//
// Example:
//   startClosing(turn, gone);
//   runClosings(turn);

#include "godwit/budget/agent_core.h"
#include "godwit/budget/budget_messages.h"

#include <optional>

namespace Godwit::internal
{

// Starts to close `gone`, after the delay that this router's rank among the closers gives.
void startClosing(Turn &turn, const Incarnation &gone);

// Forgets closings of routers that are peers again, and wakes those that wait for a witness.
void reviewClosings(Turn &turn);

void runClosings(Turn &turn);
std::optional<TimePoint> nextClosingAt(const Turn &turn);

void onClosingReply(Turn &turn, const Incarnation &gone, const KvReply &reply);
void onSealedTail(Turn &turn, const Incarnation &witness, const SealedTail &tail);

} // namespace Godwit::internal
