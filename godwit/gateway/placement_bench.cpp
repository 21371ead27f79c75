// Compares policies for placing requests on model engines under the same load: late short and long requests, and shared
// prefixes that are prefilled again. Also measures the processor time of one selection by the number of engines.

#include "godwit/gateway/testing_engines.h"

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace Godwit;
using namespace Godwit::Testing;

namespace
{

struct Named
{
    Placement placement;
    const char *name;
};

constexpr Named Placements[] = {{Placement::ByPrefillTime, "by reading time"},
                                {Placement::BoundedAffinity, "shared part, bound by requests"},
                                {Placement::LeastInFlight, "least in flight"},
                                {Placement::TwoChoices, "two choices"},
                                {Placement::RoundRobin, "round robin"}};

void compare(const char *title, const PlacementLoad &load)
{
    std::printf("%s\n", title);
    for (const Named &entry : Placements) {
        const PlacementResult result = simulatePlacement(load, entry.placement);
        std::printf("  %-32s late short %5.2f%%  late long %5.2f%%  read again %8lld tokens\n",
                    entry.name,
                    100.0 * result.shortLate / result.shorts,
                    100.0 * result.longLate / (result.requests - result.shorts),
                    static_cast<long long>(result.recomputedTokens));
    }
}

// A third of the engines is 2.4 times as slow as the others.
void learnSpeeds(EndpointTable &table, TimePoint now)
{
    table.shareSpeeds = true;
    for (int i = 0; i < 60; ++i) {
        recordServiceTime(
            table.speeds["engine"].times, 800 + 8000 * (i % 2), std::chrono::milliseconds(75 + 60 * (i % 2)));
    }
    int number = 0;
    for (auto &[id, endpoint] : table.endpoints) {
        recordPeerSpeed(endpoint.speed, ++number % 3 == 0 ? 2.4 : 1, 9, now);
    }
}

// Returns the microseconds per selection among `engines`, of which every third is cold if `cold` is set. There are 500
// selections a second, so that the rates of engines are updated with every 50th.
double choiceCost(int engines, bool cold, bool shareSpeeds = false)
{
    TimePoint now{std::chrono::seconds(100)};
    std::vector<ListedEndpoint> listed;
    for (int i = 0; i < engines; ++i) {
        ListedEndpoint endpoint;
        endpoint.id = EndpointId{"i-" + std::to_string(i * 7919)};
        endpoint.service = "engine";
        endpoint.slots = 128;
        endpoint.coldUntil = cold && i % 3 == 0 ? now + std::chrono::seconds(3) : TimePoint();
        listed.push_back(std::move(endpoint));
    }
    EndpointTable table;
    replaceEndpoints(table, listed);
    table.coldPlans["engine"] = planColdStart({17, std::chrono::seconds(3)}, {1.5, 5});
    table.usableShares.set(0).set(1);
    if (shareSpeeds) {
        learnSpeeds(table, now);
    }
    ChoiceQuery query;
    query.service = "engine";
    query.affinity = "5c1e07a2";
    query.promptTokens = 9000;
    query.sharedTokens = 6300;
    query.latencyTarget = std::chrono::milliseconds(500);
    const int choices = 200'000 / engines;
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < choices; ++i) {
        chooseEndpoint(table, query, {}, static_cast<std::uint64_t>(i), now);
        now += shareSpeeds ? std::chrono::milliseconds(2) : std::chrono::milliseconds(0);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
    return took.count() / choices;
}

} // namespace

int main()
{
    PlacementLoad load;
    compare("7 routers, 12 engines", load);
    load.longPerSecond *= 2.5;
    load.shortPerSecond *= 2.5;
    compare("the same, 2.5 times the load", load);
    load = PlacementLoad{};
    load.slowFraction = 0.25;
    compare("the same, a quarter of the engines four times as slow", load);
    for (const int engines : {60, 600, 3000}) {
        std::printf("%4d engines: %6.1f us a choice, %6.1f us with a third of them cold\n",
                    engines,
                    choiceCost(engines, false),
                    choiceCost(engines, true));
    }
    std::printf(" 140 engines: %6.1f us a choice, %6.1f us with shared speeds\n",
                choiceCost(140, false),
                choiceCost(140, false, true));
    return 0;
}
