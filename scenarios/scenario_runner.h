#pragma once

// Runs one scenario, whole and without each of the safeguards that it names.

#include "scenarios/scenario_language.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace Godwit::Scenarios
{

// One run of a script: which of its faults strike, and which safeguards are missing.
struct Variant
{
    std::vector<std::size_t> faults; // Indexes into Scenario::faults.
    std::vector<std::string> withoutSafeguards;
};

struct ScenarioResult
{
    // One line each, with the line of the script at which it showed.
    std::vector<std::string> failures;
    // The events of the run, oldest first; bounded.
    std::deque<std::string> trace;
};

// The runs that a script asks for: one, or one for each fault and each pair of its faults.
std::vector<Variant> variantsOf(const Scenario &scenario);

// "killed + outage", or an empty text for a script without faults.
std::string variantName(const Scenario &scenario, const Variant &variant);

// Runs `variant`; stops at the first statement after which something is wrong.
ScenarioResult runScenario(const Scenario &scenario, const Variant &variant);

} // namespace Godwit::Scenarios
