#pragma once

// The prepaid budgets of one router incarnation, as pure decisions.
//
// A router spends only from slices that it holds in the platform's records, so no partition can overspend. A call
// reserves its worst case, runs, and settles at its actual cost; its last chunk waits for BillDurable.
//
// Every function appends actions to `out`, which the caller carries out in order. Each KvCommand wants its KvReply
// in onKvReply(), KvStatus::Unknown when no answer came. After each call, ask nextWake() when to call onTick().
// Not thread-safe: one thread owns an agent. `now` must not run backwards.
//
// Example:
//   BudgetAgent agent = makeBudgetAgent(self, options);
//   setPeers(agent, peers, now, out);
//   reserve(agent, {call, key, budget, 2000, now + std::chrono::seconds(1)}, now, out);
//   // ... ReservationGranted{call} comes; the endpoint's answer costs 1200 ...
//   settle(agent, call, 1200, now, out);
//   // ... BillDurable{call, 1200} comes; release the last chunk.

#include "godwit/budget/budget_state.h"
#include "godwit/budget/budget_types.h"

#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

// Returns the state of a router that holds nothing yet. `self` must never have been used before.
BudgetAgent makeBudgetAgent(const Incarnation &self, BudgetOptions options);

// Sets the trade of one budget; it applies from the next draw on.
void setBudgetRule(BudgetAgent &agent, const BudgetId &budget, const BudgetRule &rule);

// Asks for `reservation.worstCase`. Exactly one ReservationGranted or ReservationRefused follows, at the latest with
// the first onTick() after `reservation.giveUpAt`. `reservation.call` must not be in use.
void reserve(BudgetAgent &agent, const Reservation &reservation, TimePoint now, std::vector<BudgetAction> &out);

// Bills a granted call whose answer is whole. `actual` is clamped to 0 and the worst case. Exactly one BillDurable or
// BillLost follows. A call that is not granted is ignored.
void settle(BudgetAgent &agent, CallId call, Tokens actual, TimePoint now, std::vector<BudgetAction> &out);

// Gives a reservation back, granted or waiting: the call did not run, or was cut before its answer was whole.
// Nothing is billed and nothing follows. A settled call is left alone.
void cancelReservation(BudgetAgent &agent, CallId call, TimePoint now, std::vector<BudgetAction> &out);

// Takes the reply to a command of this agent. Replies to other tags are ignored.
void onKvReply(BudgetAgent &agent, const KvReply &reply, TimePoint now, std::vector<BudgetAction> &out);

// Takes a PeerSend of another router's agent. Bytes that are no such message are ignored.
void onPeerMessage(BudgetAgent &agent,
                   const Incarnation &from,
                   const std::string &cbor,
                   TimePoint now,
                   std::vector<BudgetAction> &out);

// Names the live routers; `self` may be among them. They become witnesses, holders and closers.
void setPeers(BudgetAgent &agent, std::vector<BudgetPeer> peers, TimePoint now, std::vector<BudgetAction> &out);

// Closes a router that the membership believes dead, so that its slices come back. A live router that is closed
// by mistake loses its unreleased answers, never an amount.
void onRouterGone(BudgetAgent &agent, const Incarnation &gone, TimePoint now, std::vector<BudgetAction> &out);

// Starts to give all slices back, to record all bills and to close the own ledger. New reservations are refused;
// granted ones may still settle, and the drain waits for them.
void drainBudgets(BudgetAgent &agent, TimePoint now, std::vector<BudgetAction> &out);

// Returns whether nothing of this incarnation is left in the platform or in its memory.
bool budgetsDrained(const BudgetAgent &agent);

// Does what is due at `now`.
void onTick(BudgetAgent &agent, TimePoint now, std::vector<BudgetAction> &out);

// Returns when onTick() is next needed, if at all.
std::optional<TimePoint> nextWake(const BudgetAgent &agent);

} // namespace Godwit
