#pragma once

// Simulates model engines under a mixed load, for tests and the placement benchmark. Each engine prefills prompts
// sequentially and caches their shared prefixes.
//
// Several routers place requests, each with its own endpoint table. As in production, they announce long prompts to
// each other.
//
// Example:
//   const PlacementResult result = simulatePlacement(PlacementLoad{}, Placement::ByPrefillTime);

#include "godwit/gateway/endpoint_table.h"

#include <cstddef>
#include <cstdint>

namespace Godwit::Testing
{

enum class Placement {
    ByPrefillTime, // By chooseEndpoint().
    BoundedAffinity, // The preferred engine of the shared prefix, unless it has more than 1.25 times the mean number of
                     // requests.
    LeastInFlight, // Counts only requests of this router.
    TwoChoices, // Power of two choices: the less loaded of two random engines.
    RoundRobin,
};

enum class SpeedSharing {
    Off,
    Own, // Each router uses its own samples only, as when it reaches no peer.
    Shared,
};

struct PlacementLoad
{
    std::size_t routers = 7;
    std::size_t engines = 12;
    double tokensPerMillisecond = 62;
    double longPerSecond = 17; // Long prompts; 12,000 tokens on average, up to 60,000; nearly half is shared.
    double shortPerSecond = 77; // Short prompts; 1,000 tokens on average.
    Duration target = std::chrono::milliseconds(400);
    Duration length = std::chrono::seconds(30);
    double slowFraction = 0; // Fraction of the engines that are slow.
    double slowFactor = 4; // Service time of these engines as a multiple of the usual one.
    double usualFactor = 1; // Likewise of the other engines.
    double brieflySlowFraction = 0; // Fraction of the engines that is 2.5 times as slow, others every 0.6 s.
    Duration fixedTime{}; // From the end of a prefill to the first event, at an engine of the usual speed.
    // Long prompts of 9,190 tokens and short ones of 826, instead of the distributions above; one long prompt in twenty
    // has up to 39,600 tokens.
    bool fixedSizes = false;
    SpeedSharing speeds = SpeedSharing::Off;
    std::uint64_t seed = 1;
};

struct PlacementResult
{
    int requests = 0;
    int shortLate = 0; // Short requests whose first event missed the target.
    int longLate = 0; // Long requests whose first event missed twice the target.
    int shorts = 0; // Total of short requests.
    int late = 0; // Requests of any length whose first event missed the target.
    std::vector<EndpointId> chosen; // The endpoint of each request, in order of arrival.
    Tokens recomputedTokens = 0; // Tokens of shared prefixes prefilled although another engine had them cached.
};

PlacementResult simulatePlacement(const PlacementLoad &load, Placement placement);

} // namespace Godwit::Testing
