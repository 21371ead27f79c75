// Prints how long a change takes from its acceptance to the last router, and what configurations of a size cost.
//
//   config_bench            all tables
//   config_bench spread     propagation, simulated
//   config_bench cost       processor time of documents, measured on this machine

#include "godwit/config/simulated_fleet.h"
#include "godwit/config/site_config.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>

using namespace Godwit;
using namespace Godwit::Simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t Seed = 20261202;
constexpr int Changes = 60;
constexpr int CostRuns = 5;

struct Scenario
{
    const char *name;
    bool watches = true;
    Duration platformDelay = milliseconds(2);
    Duration watchDelay = milliseconds(5);
    double lostPeerMessages = 0.0;
    double lostAnswers = 0.0;
    bool acceptorMute = false; // The accepting router's messages to peers are all lost.
};

const Scenario Scenarios[] = {
    {"all well"},
    {"platform slow (0.5 s a way)", true, milliseconds(500), milliseconds(1000)},
    {"watches dead", false},
    {"watches dead, platform slow", false, milliseconds(500)},
    {"half of peer messages lost", true, milliseconds(2), milliseconds(5), 0.5},
    {"30% of platform answers lost", true, milliseconds(2), milliseconds(5), 0.0, 0.3},
    {"accepting router mute", true, milliseconds(2), milliseconds(5), 0.0, 0.0, true},
    {"mute, platform slow", true, milliseconds(500), milliseconds(1000), 0.0, 0.0, true},
    {"mute, watches dead", false, milliseconds(2), milliseconds(5), 0.0, 0.0, true},
};

ConfigPatch changeOf(int number)
{
    ConfigPatch patch;
    patch.path = "customers.c" + std::to_string(number) + ".share";
    patch.value = "2.0";
    patch.id = "change-" + std::to_string(number);
    patch.author = "bench";
    return patch;
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values.empty() ? 0.0 : values[at];
}

// Seconds from the first accepted word of a change to its adoption by the last router.
std::vector<double> spreadTimes(const SimulatedFleet &fleet)
{
    std::vector<double> times;
    for (const ChangeOutcome &outcome : fleet.outcomes) {
        if (!outcome.accepted) {
            continue;
        }
        TimePoint last = outcome.at;
        for (const Node &node : fleet.nodes) {
            const auto reached = node.adoptedAt.lower_bound(outcome.revision);
            last = reached == node.adoptedAt.end() ? TimePoint::max() : std::max(last, reached->second);
        }
        times.push_back(toSeconds(last - outcome.at));
    }
    return times;
}

void printSpread(std::size_t nodes, const Scenario &scenario)
{
    FleetOptions options;
    options.nodes = nodes;
    options.dataCentres = nodes >= 50 ? 5 : 3;
    options.links = nodes > 12 ? 5 : 0;
    options.seed = Seed;
    options.farDelay = nodes >= 50 ? milliseconds(30) : milliseconds(1);
    options.agent.changeTimeout = seconds(30);
    SimulatedFleet fleet(options);
    fleet.start();
    fleet.run(seconds(5));
    fleet.submit(0, changeOf(0));
    fleet.run(seconds(10));
    fleet.outcomes.clear();
    fleet.options.platformDelay = scenario.platformDelay;
    fleet.options.watchDelay = scenario.watchDelay;
    fleet.options.watches = scenario.watches;
    fleet.options.lostPeerMessages = scenario.lostPeerMessages;
    fleet.options.lostAnswers = scenario.lostAnswers;
    fleet.options.platformTimeout = seconds(3);
    std::uint64_t bytes = 0;
    const std::uint64_t callsBefore = fleet.platformCalls;
    const TimePoint begin = fleet.now();
    for (const Node &node : fleet.nodes) {
        bytes -= node.bytesReceived;
    }
    for (int change = 1; change <= Changes; ++change) {
        const std::size_t acceptor = static_cast<std::size_t>(change) * 7 % nodes;
        if (scenario.acceptorMute) {
            fleet.options.mute = acceptor;
        }
        fleet.submit(acceptor, changeOf(change));
        fleet.run(seconds(8));
    }
    for (const Node &node : fleet.nodes) {
        bytes += node.bytesReceived;
    }
    const std::vector<double> times = spreadTimes(fleet);
    const double perNodeAndChange = static_cast<double>(bytes) / static_cast<double>(nodes) / Changes;
    const double calls = static_cast<double>(fleet.platformCalls - callsBefore) / toSeconds(fleet.now() - begin);
    std::printf("| %4zu | %-30s | %zu of %d | %6.3f | %6.3f | %6.3f | %7.0f | %6.1f |\n",
                nodes,
                scenario.name,
                times.size(),
                Changes,
                percentile(times, 0.5),
                percentile(times, 0.99),
                percentile(times, 1.0),
                perNodeAndChange,
                calls);
}

void printSpreads()
{
    std::printf("Seconds from acceptance to the last router (simulated time, seed %llu)\n\n",
                static_cast<unsigned long long>(Seed));
    std::printf("| nodes | case | accepted | median | 99%% | most | bytes a node and change | platform calls/s |\n");
    std::printf("|---|---|---|---|---|---|---|---|\n");
    for (const std::size_t nodes : {8U, 50U, 400U}) {
        for (const Scenario &scenario : Scenarios) {
            printSpread(nodes, scenario);
        }
    }
}

std::string baseOf(int customers)
{
    std::string text = "[routes.r]\nkind = \"model\"\nmodel = \"m\"\n";
    for (int i = 0; i < customers; ++i) {
        char digest[65];
        std::snprintf(digest, sizeof digest, "%064x", i);
        text += "[customers.c" + std::to_string(i) + "]\nshare = 1.0\ndefault_budget = \"b" + std::to_string(i)
            + "\"\n[customers.c" + std::to_string(i) + ".keys.k]\ndigest = \"" + digest + "\"\n";
    }
    return text;
}

template<typename Work>
double millisecondsOf(Work work)
{
    std::vector<double> times;
    for (int run = 0; run < CostRuns; ++run) {
        const auto begin = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double, std::milli> passed = std::chrono::steady_clock::now() - begin;
        times.push_back(passed.count());
    }
    return percentile(times, 0.5);
}

// Megabytes that a value takes which `make` returns.
template<typename Make>
double megabytesOf(Make make)
{
    const std::size_t before = mallinfo2().uordblks;
    const auto value = make();
    return static_cast<double>(mallinfo2().uordblks - before) / 1e6;
}

void printCost(int customers)
{
    LastReason reason;
    ConfigPatch first = changeOf(0);
    first.path.clear();
    first.value = baseOf(customers);
    const auto document = applyPatch(ConfigDocument{}, first, reason);
    if (!document) {
        std::printf("%s\n", reason->message.c_str());
        return;
    }
    ConfigPatch patch = changeOf(1);
    patch.expectedRevision = 1;
    const DataCentreId site("salt-lake");
    const double accept = millisecondsOf([&] {
        applyPatch(*document, patch, reason);
    });
    ConfigValidator validator;
    applyPatch(*document, patch, reason, &validator);
    const double acceptNext = millisecondsOf([&] {
        applyPatch(*document, patch, reason, &validator);
    });
    const double replay = millisecondsOf([&] {
        replayPatch(*document, {2, patch});
    });
    const double resolve = millisecondsOf([&] {
        resolveAcceptedSite(*document, site, reason);
    });
    const auto before = resolveAcceptedSite(*document, site, reason);
    const auto changed = applyPatch(*document, patch, reason);
    const double resolveNext = millisecondsOf([&] {
        resolveAcceptedSite(*changed, site, reason, &*before);
    });
    const double documentSize = megabytesOf([&] {
        return decodeDocument(encodeDocument(*document), reason);
    });
    const double siteSize = megabytesOf([&] {
        return resolveAcceptedSite(*document, site, reason);
    });
    const double digest = millisecondsOf([&] {
        documentDigest(*document);
    });
    std::printf("| %6d | %8zu | %8.2f | %8.2f | %8.2f | %8.2f | %8.2f | %6.2f | %5.1f | %5.1f |\n",
                customers,
                first.value->size(),
                accept,
                acceptNext,
                replay,
                resolve,
                resolveNext,
                digest,
                documentSize,
                siteSize);
}

void printCosts()
{
    std::printf("\nMilliseconds of one core for one change (median of 5 runs)\n\n");
    std::printf(
        "| customers | bytes | accept the first | accept the next | replay | resolve a site | resolve the next | "
        "digest | document, MB | site, MB |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for (const int customers : {10, 100, 1000, 17000}) {
        printCost(customers);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string table = argc > 1 ? argv[1] : "";
    if (table.empty() || table == "spread") {
        printSpreads();
    }
    if (table.empty() || table == "cost") {
        printCosts();
    }
    return 0;
}
