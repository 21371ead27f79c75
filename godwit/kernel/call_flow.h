#pragma once

// A call's way through the decisions; see step() in kernel.h, which calls these.

#include "godwit/kernel/kernel.h"

#include <vector>

namespace Godwit::internal
{

void onCallEvent(Kernel &kernel, const CallEvent &event, const Moment &moment, std::vector<KernelAction> &out);

// Carry out what the decision packages asked for.
void perform(Kernel &kernel, std::vector<BudgetAction> &actions, const Moment &moment, std::vector<KernelAction> &out);
void perform(Kernel &kernel, std::vector<ClaimAction> &actions, const Moment &moment, std::vector<KernelAction> &out);
void perform(Kernel &kernel, std::vector<RoutingAction> &actions, const Moment &moment, std::vector<KernelAction> &out);

// Ends every call with an error: this incarnation may bill nothing more.
void abortAllCalls(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out);

} // namespace Godwit::internal
