#pragma once

// The load tool's report, as JSON and as text for people.

#include "standins/loadtool/tally.h"
#include "standins/loadtool/verify.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace Godwit::Standins
{

// One phase of load against one target.
struct PhaseResult
{
    std::string name;
    double seconds = 0;
    Tally tally;
};

nlohmann::json phaseToJson(const PhaseResult &phase, const LoadSpec &spec);
nlohmann::json checksToJson(const std::vector<Check> &checks);

void printPhase(std::ostream &out, const PhaseResult &phase, const LoadSpec &spec);
void printChecks(std::ostream &out, const std::vector<Check> &checks);

// What each budget has left. A refusal for want of budget is false when this covers the call's worst case.
nlohmann::json budgetsToJson(const std::vector<BudgetFigures> &budgets);
void printBudgets(std::ostream &out, const std::vector<BudgetFigures> &budgets);

// Compares the same load against a relay and a router: throughput of whole answers and added latency.
nlohmann::json comparisonToJson(const PhaseResult &relay, const PhaseResult &router);
void printComparison(std::ostream &out, const PhaseResult &relay, const PhaseResult &router);

} // namespace Godwit::Standins
