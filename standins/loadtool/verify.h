#pragma once

// Compares what the callers saw with what the stand-ins executed and what the budgets were billed.
//
// Pure: the counts are passed in.
//
// Example:
//   const std::vector<Check> checks = verify(tally, truth);
//   const bool held = allHold(checks);

#include "standins/loadtool/tally.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Godwit::Standins
{

struct EngineExecutions
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::int64_t tokens = 0;
};

// A budget as the operators' interface shows it, before and after the run.
struct BudgetFigures
{
    std::string id;
    std::int64_t prepaid = 0;
    std::int64_t billedBefore = 0;
    std::int64_t billed = 0;
};

// What the stand-ins and the operators' interface say. A part that was not asked for is absent, and not checked.
struct GroundTruth
{
    std::optional<std::unordered_map<std::string, EngineExecutions>> engines; // By request id.
    std::optional<std::unordered_map<std::string, std::uint64_t>> services; // By request id.
    std::optional<std::vector<BudgetFigures>> budgets;
    std::int64_t bookingCost = 1; // What one booking is billed.
    bool lookups = false; // The service's calls may be repeated.
    Duration settledAfter{}; // How long after the run the budgets were read.
};

struct Check
{
    std::string name;
    std::int64_t found = 0;
    bool holds = true;
    std::string detail;
};

// Adds the counts of one engine's or service's /control/executions. Throws nlohmann::json::exception on other JSON.
void addEngineExecutions(GroundTruth &truth, const nlohmann::json &answer);
void addServiceExecutions(GroundTruth &truth, const nlohmann::json &answer);

std::vector<Check> verify(const Tally &tally, const GroundTruth &truth);

bool allHold(const std::vector<Check> &checks);

// What all budgets were billed since the run's start.
std::int64_t billedInRun(const std::vector<BudgetFigures> &budgets);

// What the callers' whole answers cost.
std::int64_t spentByCallers(const Tally &tally, std::int64_t bookingCost);

} // namespace Godwit::Standins
