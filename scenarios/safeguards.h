#pragma once

// The safeguards of the decisions by name, so that a scenario can show what happens without one.

#include "godwit/kernel/kernel.h"

#include <string>
#include <string_view>
#include <vector>

namespace Godwit::Scenarios
{

// Takes the safeguard called `name` out. Returns false when there is none of that name.
bool takeOut(std::string_view name, KernelOptions &options);

std::vector<std::string> safeguardNames();

} // namespace Godwit::Scenarios
