#pragma once

// Simulated model engines under a mixed load, for tests and the benchmark of placement: each engine reads prompts one
// after the other and keeps the shared parts that it has read.
//
// Several routers place requests, each with its own table; they tell each other of long prompts as the real ones do.
//
// Example:
//   const PlacementResult result = simulatePlacement(PlacementLoad{}, Placement::ByPrefillTime);

#include "godwit/gateway/endpoint_table.h"

#include <cstddef>
#include <cstdint>

namespace Godwit::Testing
{

enum class Placement {
    ByPrefillTime, // chooseEndpoint().
    BoundedAffinity, // The usual place of the shared part, unless it has over 1.25 times the mean requests: as before.
    LeastInFlight, // Of this router's own requests.
    TwoChoices, // The less loaded of two by lot.
    RoundRobin,
};

struct PlacementLoad
{
    std::size_t routers = 7;
    std::size_t engines = 12;
    double tokensPerMillisecond = 62;
    double longPerSecond = 17; // 12,000 tokens in the mean, up to 60,000; nearly half is shared.
    double shortPerSecond = 77; // 1,000 tokens in the mean.
    Duration target = std::chrono::milliseconds(400);
    Duration length = std::chrono::seconds(30);
    double slowFraction = 0; // Part of the engines that take four times as long.
    std::uint64_t seed = 1;
};

struct PlacementResult
{
    int requests = 0;
    int shortLate = 0; // Short requests whose first event came after the target.
    int longLate = 0; // Long ones after twice the target.
    int shorts = 0;
    Tokens recomputedTokens = 0; // Shared parts that another engine kept.
};

PlacementResult simulatePlacement(const PlacementLoad &load, Placement placement);

} // namespace Godwit::Testing
