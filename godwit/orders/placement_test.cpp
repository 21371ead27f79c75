#include "godwit/orders/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace Godwit;
using std::chrono::seconds;

namespace
{

std::vector<EngineOfGroup> enginesOf(std::size_t a, std::size_t b)
{
    std::vector<EngineOfGroup> engines;
    for (std::size_t i = 0; i < a + b; ++i) {
        engines.push_back({EndpointId("e" + std::to_string(i)), i < a ? "a" : "b", 100.0, false, true});
    }
    return engines;
}

void carryOut(std::vector<EngineOfGroup> &engines, const std::vector<EngineMove> &moves)
{
    for (const EngineMove &move : moves) {
        for (EngineOfGroup &engine : engines) {
            engine.model = engine.id == move.engine ? move.to : engine.model;
        }
    }
}

std::size_t movesUnderNoise(bool faultNoHysteresis)
{
    PlacementOptions options;
    options.faultNoHysteresis = faultNoHysteresis;
    PlacementState state;
    std::mt19937_64 random(5);
    auto engines = enginesOf(10, 10);
    std::size_t count = 0;
    for (int second = 0; second < 1800; ++second) {
        const double swing = static_cast<double>(random() % 400) - 200.0;
        const auto moves = planMoves(
            state, options, {{"a", 800.0 + swing}, {"b", 800.0 - swing}}, engines, TimePoint(seconds(1000 + second)));
        carryOut(engines, moves);
        count += moves.size();
    }
    return count;
}

} // namespace

TEST_CASE("engines follow a lasting change of demand")
{
    PlacementState state;
    auto engines = enginesOf(10, 10);
    for (int second = 0; second < 600; ++second) {
        carryOut(engines,
                 planMoves(state, {}, {{"a", 1400.0}, {"b", 200.0}}, engines, TimePoint(seconds(1000 + second))));
    }
    const auto serving = std::count_if(engines.begin(), engines.end(), [](const auto &engine) {
        return engine.model == "a";
    });
    CHECK(serving >= 16);
    CHECK(serving <= 17);
}

TEST_CASE("demand that swings moves nothing")
{
    // Noise of a quarter of the demand each second; without hysteresis engines load all the time and serve nobody.
    CHECK(movesUnderNoise(false) == 0);
    CHECK(movesUnderNoise(true) > 100);
}

TEST_CASE("few engines load at once, and each model keeps its least")
{
    PlacementOptions options;
    PlacementState state;
    auto engines = enginesOf(19, 1);
    std::vector<EngineMove> moves;
    for (int second = 0; second < 200 && moves.empty(); ++second) {
        moves = planMoves(state, options, {{"a", 0.0}, {"b", 5000.0}}, engines, TimePoint(seconds(1000 + second)));
    }
    CHECK(moves.size() == 2);
    for (int second = 200; second < 3000; ++second) {
        carryOut(engines,
                 planMoves(state, options, {{"a", 0.0}, {"b", 5000.0}}, engines, TimePoint(seconds(1000 + second))));
    }
    const auto left = std::count_if(engines.begin(), engines.end(), [](const auto &engine) {
        return engine.model == "a";
    });
    CHECK(left == 1);
}

TEST_CASE("a moved engine stays for a minimum")
{
    // Demand jumps to one model and back each two minutes, longer than any smoothing. An engine that has just
    // loaded must not load again at once.
    PlacementOptions options;
    PlacementState state;
    auto engines = enginesOf(10, 10);
    std::map<EndpointId, int> movedAt;
    int shortest = 100000;
    for (int second = 0; second < 3600; ++second) {
        const bool high = second / 120 % 2 == 0;
        const std::vector<ModelDemand> demand = {{"a", high ? 1500.0 : 200.0}, {"b", high ? 200.0 : 1500.0}};
        const auto moves = planMoves(state, options, demand, engines, TimePoint(seconds(1000 + second)));
        for (const EngineMove &move : moves) {
            const auto [last, fresh] = movedAt.emplace(move.engine, second);
            shortest = fresh ? shortest : std::min(shortest, second - last->second);
            last->second = second;
        }
        carryOut(engines, moves);
    }
    CHECK(shortest >= 180);
    CHECK(shortest < 100000);
}
