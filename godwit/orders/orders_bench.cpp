// Prints how placement that follows demand compares with a fixed one, and what orders cost the platform.
//
//   orders_bench

#include "godwit/membership/simulated_platform.h"
#include "godwit/orders/orders.h"
#include "godwit/orders/placement.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <random>

using namespace Godwit;
using namespace Godwit::Simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t Seed = 20261202;
constexpr double Capacity = 100.0; // Of one engine, in tokens a second.
constexpr int LoadSeconds = 60;
constexpr int DaySeconds = 6 * 3600;
constexpr double Pi = 3.14159265358979;

enum class Policy {
    Fixed,
    Following,
    WithoutHysteresis,
};

constexpr EnumName<Policy> PolicyNames[] = {
    {Policy::Fixed, "fixed, by mean demand"},
    {Policy::Following, "follows demand"},
    {Policy::WithoutHysteresis, "follows, no hysteresis"},
};

struct Pattern
{
    const char *name;
    double swing; // Of the slow wave, as a share of the mean.
    double noise; // Of each second.
    double burst; // Demand of one model is multiplied by this for ten minutes of each hour.
};

constexpr Pattern Patterns[] = {
    {"steady with noise", 0.0, 0.25, 1.0},
    {"slow waves", 0.7, 0.25, 1.0},
    {"hourly bursts of one model", 0.0, 0.25, 2.5},
};

struct Fleet
{
    std::vector<EngineOfGroup> engines;
    std::vector<int> readyAt;
    std::vector<std::string> models;
    std::vector<double> means;
};

// Engines by mean demand, the best fixed placement that doesn't know the future.
Fleet makeFleet(std::size_t engines, std::size_t models)
{
    Fleet fleet;
    double weights = 0.0;
    for (std::size_t m = 0; m < models; ++m) {
        weights += 1.0 / static_cast<double>(m + 1);
    }
    std::size_t placed = 0;
    for (std::size_t m = 0; m < models; ++m) {
        const double share = 1.0 / static_cast<double>(m + 1) / weights;
        fleet.models.push_back("model-" + std::to_string(m));
        fleet.means.push_back(share * static_cast<double>(engines) * Capacity * 0.7);
        const auto count = static_cast<std::size_t>(std::lround(share * static_cast<double>(engines)));
        for (std::size_t i = 0; i < count && placed < engines; ++i, ++placed) {
            fleet.engines.push_back({EndpointId("e" + std::to_string(placed)), fleet.models[m], Capacity, false, true});
        }
    }
    for (; placed < engines; ++placed) {
        fleet.engines.push_back({EndpointId("e" + std::to_string(placed)), fleet.models[0], Capacity, false, true});
    }
    fleet.readyAt.resize(engines, 0);
    return fleet;
}

double demandAt(const Fleet &fleet, const Pattern &pattern, std::size_t model, int second, std::mt19937_64 &random)
{
    const double phase = 2.0 * Pi * static_cast<double>(model) / static_cast<double>(fleet.models.size());
    const double wave = 1.0 + pattern.swing * std::sin(2.0 * Pi * second / DaySeconds + phase);
    const double noise = 1.0 + pattern.noise * std::uniform_real_distribution<double>(-1.0, 1.0)(random);
    const bool bursts = model == static_cast<std::size_t>(second / 3600) % fleet.models.size() && second % 3600 < 600;
    return fleet.means[model] * wave * noise * (bursts ? pattern.burst : 1.0);
}

struct Result
{
    double unservedShare = 0.0;
    std::size_t loads = 0;
};

Result simulate(std::size_t engineCount, std::size_t models, const Pattern &pattern, Policy policy)
{
    Fleet fleet = makeFleet(engineCount, models);
    PlacementOptions options;
    options.faultNoHysteresis = policy == Policy::WithoutHysteresis;
    PlacementState state;
    std::mt19937_64 random(Seed);
    double asked = 0.0;
    double unserved = 0.0;
    Result result;
    for (int second = 0; second < DaySeconds; ++second) {
        std::vector<ModelDemand> demand;
        std::vector<double> capacity(models, 0.0);
        for (std::size_t e = 0; e < fleet.engines.size(); ++e) {
            EngineOfGroup &engine = fleet.engines[e];
            engine.loading = second < fleet.readyAt[e];
            const std::size_t model = std::stoul(engine.model.substr(6));
            capacity[model] += engine.loading ? 0.0 : engine.capacity;
        }
        for (std::size_t m = 0; m < models; ++m) {
            const double wanted = demandAt(fleet, pattern, m, second, random);
            asked += wanted;
            unserved += std::max(0.0, wanted - capacity[m]);
            demand.push_back({fleet.models[m], wanted});
        }
        if (policy == Policy::Fixed) {
            continue;
        }
        for (const EngineMove &move : planMoves(state, options, demand, fleet.engines, TimePoint(seconds(second)))) {
            const std::size_t e = std::stoul(move.engine.value.substr(1));
            fleet.engines[e].model = move.to;
            fleet.readyAt[e] = second + LoadSeconds;
            ++result.loads;
        }
    }
    result.unservedShare = unserved / asked;
    return result;
}

void printPlacement()
{
    std::printf("Placement over six hours, load %d s, mean load 70%% (simulated, seed %llu)\n\n",
                LoadSeconds,
                static_cast<unsigned long long>(Seed));
    std::printf(
        "| engines | models | demand | policy | unserved | loads an engine and hour |\n|---|---|---|---|---|---|\n");
    for (const auto &[engines, models] : {std::pair<std::size_t, std::size_t>(18, 3), {600, 6}}) {
        for (const Pattern &pattern : Patterns) {
            for (const auto &policy : PolicyNames) {
                const Result result = simulate(engines, models, pattern, policy.value);
                const double hours = static_cast<double>(DaySeconds) / 3600.0;
                std::printf("| %3zu | %zu | %-26s | %-22s | %6.2f%% | %6.2f |\n",
                            engines,
                            models,
                            pattern.name,
                            std::string(policy.name).c_str(),
                            result.unservedShare * 100.0,
                            static_cast<double>(result.loads) / static_cast<double>(engines) / hours);
            }
        }
    }
}

// One holder with `count` engines that all stand at their targets: what looking after them costs.
void printHolder(std::size_t count)
{
    SimulatedPlatform platform;
    OrdersOptions options;
    options.self = Incarnation("router");
    OrdersAgent agent = makeOrdersAgent(options);
    std::vector<EngineSpec> engines;
    for (std::size_t i = 0; i < count; ++i) {
        engines.push_back({EndpointId("e" + std::to_string(i)), "group", i % 2 == 0});
    }
    setEngines(agent, engines);
    const EngineState target{"model", "v1", "decode", {}, false};
    for (const EngineSpec &engine : engines) {
        setTarget(agent, engine.id, target, 0);
    }
    onLiveRouters(agent, {options.self}, false);
    TimePoint now{seconds(1000)};
    std::size_t reads = 0;
    std::vector<KvReply> replies;
    const auto perform = [&](const OrdersActions &actions) {
        for (const OrdersAction &action : actions) {
            if (const auto *command = std::get_if<KvCommand>(&action)) {
                replies.push_back(platform.apply(*command, now));
            } else if (const auto *read = std::get_if<ReadEngine>(&action)) {
                ++reads;
                onEngineReport(agent, read->engine, read->number, target, now);
            }
        }
    };
    const auto run = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            now += milliseconds(250);
            const WallTime wall(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()));
            for (const KvReply &reply : std::exchange(replies, {})) {
                perform(onKvReply(agent, reply, now, wall));
            }
            perform(onTick(agent, now, wall));
        }
    };
    run(240);
    reads = 0;
    const std::uint64_t calls = platform.calls;
    const double begin = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
    run(1200);
    const double processor = static_cast<double>(std::clock()) / CLOCKS_PER_SEC - begin;
    std::printf("| %4zu | %6.2f | %6.2f | %6.4f |\n",
                count,
                static_cast<double>(platform.calls - calls) / 300.0,
                static_cast<double>(reads) / 300.0,
                processor / 300.0 * 100.0);
}

} // namespace

int main()
{
    printPlacement();
    std::printf("\nThe holder of one group, engines at their targets\n\n");
    std::printf("| engines | platform calls/s | engine reads/s | %% of a core |\n|---|---|---|---|\n");
    for (const std::size_t count : {18U, 100U, 600U}) {
        printHolder(count);
    }
    return 0;
}
