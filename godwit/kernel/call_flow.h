#pragma once

// What callers and endpoints did, step by step; see step() in kernel.h, which calls this.

#include "godwit/kernel/kernel.h"

#include <vector>

namespace Godwit::internal
{

void onCallEvent(Kernel &kernel, const CallEvent &event, const Moment &moment, std::vector<KernelAction> &out);

} // namespace Godwit::internal
