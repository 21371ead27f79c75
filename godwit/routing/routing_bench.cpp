// Measures the routing decisions in simulated fleets and on one core: see docs/REQUESTS.md for what the tables mean.
//
//   routing_bench                  all tables
//   routing_bench choice           first-token times against three baselines

#include "godwit/routing/routing.h"
#include "godwit/routing/sim_fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

using namespace Godwit;
using namespace Godwit::Sim;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Seed = 20261202;

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto place = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values[place];
}

const char *policyName(Policy policy)
{
    switch (policy) {
    case Policy::Godwit:
        return "godwit";
    case Policy::RoundRobin:
        return "round robin";
    case Policy::LeastConnections:
        return "least connections";
    case Policy::LeastConnectionsBounded:
        return "least conn., bounded";
    case Policy::TwoChoices:
        return "two random choices";
    }
    return "";
}

void printChoiceHeader(const char *title)
{
    std::printf("\n%s\n", title);
    std::printf("%-20s %8s %8s %8s %8s %9s %9s %8s %8s\n",
                "policy",
                "p50 s",
                "p95 s",
                "p99 s",
                "saved %",
                "in time %",
                "others %",
                "refused",
                "offered");
}

void printChoice(Policy policy, const FleetResult &result)
{
    std::uint64_t inTime = 0;
    std::uint64_t othersOffered = 0;
    std::uint64_t othersInTime = 0;
    for (std::size_t i = 0; i < result.customers.size(); ++i) {
        inTime += result.customers[i].inTime;
        if (i > 0) {
            othersOffered += result.customers[i].offered;
            othersInTime += result.customers[i].inTime;
        }
    }
    std::printf("%-20s %8.3f %8.3f %8.3f %8.1f %9.2f %9.2f %8llu %8llu\n",
                policyName(policy),
                quantile(result.firstToken, 0.50),
                quantile(result.firstToken, 0.95),
                quantile(result.firstToken, 0.99),
                100 * (1 - result.processedTokens / result.promptTokens),
                100.0 * static_cast<double>(inTime) / static_cast<double>(result.offered),
                100.0 * static_cast<double>(othersInTime) / static_cast<double>(othersOffered),
                static_cast<unsigned long long>(result.refused),
                static_cast<unsigned long long>(result.offered));
}

void compare(const char *title, const FleetOptions &options)
{
    printChoiceHeader(title);
    for (const auto policy : {Policy::Godwit,
                              Policy::RoundRobin,
                              Policy::LeastConnections,
                              Policy::LeastConnectionsBounded,
                              Policy::TwoChoices}) {
        auto run = options;
        run.policy = policy;
        Fleet fleet(run);
        fleet.run(120s);
        printChoice(policy, fleet.result());
    }
}

// Requests a second at which the engines' batches are full.
double capacity(const FleetOptions &options)
{
    const auto &engine = options.engine;
    const double hold = (engine.tokenSeconds + engine.tokenSecondsPerRequest * engine.slots) * options.outputTokens;
    return static_cast<double>(options.engines) * engine.slots / hold;
}

void choiceTables()
{
    FleetOptions options;
    options.seed = Seed;
    const double full = capacity(options);
    std::printf("%zu routers, %zu engines of %d slots, capacity %.1f requests/s, 120 s simulated\n",
                options.routers,
                options.engines,
                options.engine.slots,
                full);
    options.rate = 0.5 * full;
    compare("calm: 50% of capacity", options);
    options.rate = 0.9 * full;
    compare("90% of capacity", options);
    options.rate = 1.3 * full;
    compare("130% of capacity", options);
    options.rate = 0.6 * full;
    options.slowEngines = 1;
    compare("60% of capacity, one engine four times slower", options);
    options.slowEngines = 0;
    options.rate = 0.5 * full;
    options.floodRate = 1.0 * full;
    compare("50% of capacity, and customer 0 floods with 100% more", options);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
    if (only.empty() || only == "choice") {
        choiceTables();
    }
    return 0;
}
