#pragma once

// Which model each engine of a group should serve: what demand needs, without flapping.
//
// Demand is smoothed, and a model gets or gives an engine only when the need has lasted for a time and differs by
// more than a margin; a freshly moved engine stays for a minimum. The number of engines that load at once is
// bounded, since an engine that loads serves nobody.
//
// Example:
//   PlacementState state;
//   for (const EngineMove &move : planMoves(state, options, demand, engines, now)) { setTarget(...); }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

struct PlacementOptions
{
    double headroom = 1.15; // Engines for so many times the smoothed demand.
    Duration smoothing = std::chrono::seconds(20); // Time constant.
    Duration lackFor = std::chrono::seconds(10); // How long a model must lack before it gets an engine.
    Duration surplusFor = std::chrono::seconds(60); // How long a model must have too many before it gives one.
    Duration stayFor = std::chrono::seconds(180); // How long an engine keeps a model at least.
    double surplusMargin = 0.5; // Engines above the need that are no surplus yet.
    double movingShare = 0.1; // Of the engines that may load at once; at least one.
    std::size_t leastPerModel = 1;
    // Fault switch for tests: no smoothing, no waiting, no minimum stay.
    bool faultNoHysteresis = false;
};

// What a model is asked for, in the unit of EngineOfGroup::capacity, such as tokens a second.
struct ModelDemand
{
    std::string model;
    double demand = 0.0; // Served and waiting together.
};

struct EngineOfGroup
{
    EndpointId id;
    std::string model; // What it serves, or loads.
    double capacity = 1.0;
    bool loading = false;
    bool usable = true;
};

struct EngineMove
{
    EndpointId engine;
    std::string from;
    std::string to;
};

struct ModelRecord
{
    double smoothed = 0.0;
    std::optional<TimePoint> lackSince;
    std::optional<TimePoint> surplusSince;
};

struct PlacementState
{
    std::map<std::string, ModelRecord> models;
    std::map<EndpointId, TimePoint> movedAt;
    std::optional<TimePoint> lastPlan;
};

// Returns the moves to order now. Every model named in `demand` is known from then on.
std::vector<EngineMove> planMoves(PlacementState &state,
                                  const PlacementOptions &options,
                                  const std::vector<ModelDemand> &demand,
                                  const std::vector<EngineOfGroup> &engines,
                                  TimePoint now);

} // namespace Godwit
