#pragma once

// Fetches the stand-ins' counts and the budgets for the checks after a run.

#include "standins/loadtool/verify.h"

#include <string>
#include <vector>

namespace Godwit::Standins
{

struct TruthSources
{
    std::vector<std::string> engines; // "IP:PORT" of each engine stand-in.
    std::vector<std::string> services;
    std::string operators; // A router's operators' listener; empty: budgets are not checked.
    std::string token; // For it.
    std::vector<std::string> budgets; // Their ids.
    std::int64_t bookingCost = 1;
    // Routers fold their bills into a budget's total from time to time: how long to wait until the total has caught up
    // with what the callers' whole answers cost.
    Duration settleTime = std::chrono::seconds(10);
};

// What the budgets stand at. Throws std::runtime_error when one can't be read.
std::vector<BudgetFigures> fetchBudgets(const TruthSources &sources);

// The counts after a run. `before` are the budgets at its start; `spent` is what the whole answers cost.
GroundTruth fetchTruth(const TruthSources &sources, const std::vector<BudgetFigures> &before, std::int64_t spent);

} // namespace Godwit::Standins
