#pragma once

// The calls in the kernel's state, and what every part of the call's way does with them.
//
// Example:
//   Call *call = findCall(kernel, id);
//   if (call != nullptr && tryAdvance(kernel, *call, CallStep::Answered)) { ... }

#include "godwit/kernel/kernel.h"

#include <vector>

namespace Godwit::internal
{

// When a caller should come back to a router that can't serve it yet.
constexpr Duration NotConfiguredRetry = std::chrono::seconds(1);

// Carry out what the decision packages asked for.
void perform(Kernel &kernel, std::vector<BudgetAction> &actions, const Moment &moment, std::vector<KernelAction> &out);
void perform(Kernel &kernel, std::vector<ClaimAction> &actions, const Moment &moment, std::vector<KernelAction> &out);
void perform(Kernel &kernel, std::vector<RoutingAction> &actions, const Moment &moment, std::vector<KernelAction> &out);

// Each lets `act` append a package's actions and carries them out.
template<typename Act>
void withBudget(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out, Act act)
{
    std::vector<BudgetAction> actions;
    act(actions);
    perform(kernel, actions, moment, out);
}

template<typename Act>
void withClaims(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out, Act act)
{
    std::vector<ClaimAction> actions;
    act(actions);
    perform(kernel, actions, moment, out);
}

template<typename Act>
void withRouting(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out, Act act)
{
    std::vector<RoutingAction> actions;
    act(actions);
    perform(kernel, actions, moment, out);
}

// Returns the call, or null when it has ended; such an event is counted as late.
Call *findCall(Kernel &kernel, CallId id);

// Moves the call on; an event that its stage does not allow is late and is dropped.
bool tryAdvance(Kernel &kernel, Call &call, CallStep step);

// What the metrics are told of a call that ends now, without its error.
CallFinished describeEnd(const Call &call, const Moment &moment);

// Forgets the call. Nothing that comes for it later finds it.
void endCall(Kernel &kernel, CallId id, CallFinished finished, std::vector<KernelAction> &out);

// Ends the call with an error, whose execution is first made true of the request and not of this call alone. The
// call is gone afterwards; what it reserved and claimed must have been given back.
void refuse(Kernel &kernel, const Call &call, Error error, const Moment &moment, std::vector<KernelAction> &out);

// Refuses a call that never entered the state.
void refuseAtOnce(Kernel &kernel, const CallArrived &arrived, Error error, std::vector<KernelAction> &out);

// Ends a call whose claim, if any, has to be told how it went.
void finishClaimOf(Kernel &kernel,
                   const Call &call,
                   ClaimOutcome outcome,
                   std::string answer,
                   const Moment &moment,
                   std::vector<KernelAction> &out);

// Gives back what the call reserved; nothing is billed.
void returnReservation(Kernel &kernel, CallId id, const Moment &moment, std::vector<KernelAction> &out);

// Tells the routing that an attempt never went out, or that its call has ended otherwise.
void cancelRouting(Kernel &kernel, CallId id, const Moment &moment, std::vector<KernelAction> &out);

// Bills a whole answer, or a kept one that is given again. BillDurable or BillLost ends the call.
void settleCall(Kernel &kernel, Call &call, Tokens used, const Moment &moment, std::vector<KernelAction> &out);

// Offers the call to the next holder of its budget; refuses it when there is none.
void forwardOrRefuse(Kernel &kernel, CallId id, const Moment &moment, std::vector<KernelAction> &out);

// Ends every call with an error: this incarnation may bill nothing more.
void abortAllCalls(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out);

} // namespace Godwit::internal
