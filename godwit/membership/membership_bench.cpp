// Prints what membership and shard ownership cost a node and how fast news travels, by size of the fleet.
//
//   membership_bench

#include "godwit/membership/shard_ownership.h"
#include "godwit/membership/simulated_platform.h"
#include "godwit/membership/simulated_routers.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <memory>

using namespace Godwit;
using namespace Godwit::Simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t Seed = 20261202;
constexpr int SteadySeconds = 30;
constexpr int FalseMinutes = 5;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values.empty() ? -1.0 : values[at];
}

RoutersOptions fleetOf(std::size_t nodes)
{
    RoutersOptions options;
    options.nodes = nodes;
    options.seed = Seed;
    options.dataCentres = 5;
    options.delay = milliseconds(15);
    return options;
}

std::size_t bytesOfState(const MembershipState &state)
{
    const std::size_t before = mallinfo2().uordblks;
    const auto copy = std::make_unique<MembershipState>(state);
    return mallinfo2().uordblks - before;
}

void printSteady(std::size_t nodes)
{
    SimulatedRouters routers(fleetOf(nodes));
    routers.run(seconds(40));
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    for (const RouterNode &node : routers.nodes) {
        messages -= node.messagesSent;
        bytes -= node.bytesSent;
    }
    const double begin = processorSeconds();
    routers.run(seconds(SteadySeconds));
    const double processor = processorSeconds() - begin;
    std::uint64_t most = 0;
    for (const RouterNode &node : routers.nodes) {
        messages += node.messagesSent;
        bytes += node.bytesSent;
        most = std::max<std::uint64_t>(most, node.state.links.size());
    }
    const double nodeSeconds = static_cast<double>(nodes) * SteadySeconds;
    std::printf("| %4zu | %5.1f | %3llu | %7.0f | %8.3f | %8zu | %s |\n",
                nodes,
                static_cast<double>(messages) / nodeSeconds,
                static_cast<unsigned long long>(most),
                static_cast<double>(bytes) / nodeSeconds,
                processor / nodeSeconds * 100.0,
                bytesOfState(routers.nodes[0].state),
                routers.converged() ? "yes" : "no");
}

void printNews(std::size_t nodes)
{
    SimulatedRouters routers(fleetOf(nodes));
    routers.run(seconds(40));
    const Incarnation dead = routers.nameOf(3);
    const TimePoint killed = routers.now();
    routers.kill(3);
    routers.run(seconds(60));
    std::vector<double> gone;
    for (const RouterNode &node : routers.nodes) {
        if (const auto told = node.goneAt.find(dead); told != node.goneAt.end()) {
            gone.push_back(toSeconds(told->second - killed));
        }
    }
    const TimePoint started = routers.now();
    routers.start(3);
    const Incarnation fresh = routers.nameOf(3);
    routers.run(seconds(60));
    std::vector<double> live;
    for (const RouterNode &node : routers.nodes) {
        if (const auto told = node.liveAt.find(fresh); told != node.liveAt.end()) {
            live.push_back(toSeconds(told->second - started));
        }
    }
    std::printf("| %4zu | %zu of %zu | %5.1f | %5.1f | %zu of %zu | %5.1f | %5.1f |\n",
                nodes,
                gone.size(),
                nodes - 1,
                percentile(gone, 0.5),
                percentile(gone, 1.0),
                live.size(),
                nodes - 1,
                percentile(live, 0.5),
                percentile(live, 1.0));
}

void printFalse(std::size_t nodes, double lost)
{
    RoutersOptions options = fleetOf(nodes);
    options.lostHeartbeats = lost;
    SimulatedRouters routers(options);
    routers.run(std::chrono::minutes(FalseMinutes));
    std::size_t gone = 0;
    std::uint64_t suspicions = 0;
    for (const RouterNode &node : routers.nodes) {
        gone += node.falseGone;
        suspicions += node.state.counters.suspicions;
    }
    std::printf("| %4zu | %3.0f%% | %8.4f | %zu |\n",
                nodes,
                lost * 100.0,
                static_cast<double>(suspicions) / static_cast<double>(nodes) / (FalseMinutes * 60.0),
                gone);
}

void printShards(std::size_t nodes, std::size_t shards)
{
    SimulatedPlatform platform;
    std::vector<ShardOwnership> owners;
    std::vector<Incarnation> live;
    for (std::size_t i = 0; i < nodes; ++i) {
        ShardOwnershipOptions options;
        options.self = Incarnation("node-" + std::to_string(i));
        options.shards = shards;
        live.push_back(options.self);
        owners.push_back(makeShardOwnership(options));
    }
    TimePoint now{seconds(1000)};
    std::vector<std::vector<KvReply>> inbox(nodes);
    const auto perform = [&](std::size_t node, const ShardActions &actions) {
        for (const ShardAction &action : actions) {
            if (const auto *command = std::get_if<KvCommand>(&action)) {
                inbox[node].push_back(platform.apply(*command, now));
            }
        }
    };
    const auto run = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            now += milliseconds(500);
            for (std::size_t node = 0; node < nodes; ++node) {
                for (const KvReply &reply : std::exchange(inbox[node], {})) {
                    perform(node, onKvReply(owners[node], reply, now));
                }
                perform(node, onTick(owners[node], now));
            }
        }
    };
    for (std::size_t node = 0; node < nodes; ++node) {
        perform(node, onLiveRouters(owners[node], live, false, now));
    }
    run(60);
    const std::uint64_t before = platform.calls;
    run(120);
    std::size_t owned = 0;
    for (std::size_t shard = 0; shard < shards; ++shard) {
        for (const ShardOwnership &owner : owners) {
            owned += ownsShard(owner, shard, now) ? 1 : 0;
        }
    }
    std::printf(
        "| %4zu | %4zu | %4zu | %6.1f |\n", nodes, shards, owned, static_cast<double>(platform.calls - before) / 60.0);
}

} // namespace

int main()
{
    std::printf("Steady state (simulated time, seed %llu; processor time includes the simulation)\n\n",
                static_cast<unsigned long long>(Seed));
    std::printf("| nodes | messages/s a node | most links | bytes/s a node | %% of a core a node | bytes of state | "
                "all agree |\n|---|---|---|---|---|---|---|\n");
    for (const std::size_t nodes : {8U, 50U, 100U, 400U}) {
        printSteady(nodes);
    }
    std::printf("\nSeconds until a death and a start are known\n\n");
    std::printf(
        "| nodes | gone told by | median | last | live told by | median | last |\n|---|---|---|---|---|---|---|\n");
    for (const std::size_t nodes : {8U, 50U, 100U, 400U}) {
        printNews(nodes);
    }
    std::printf("\nWrong suspicions and wrong gones in five minutes, none dead\n\n");
    std::printf("| nodes | heartbeats lost | suspicions a node and second | wrong gones |\n|---|---|---|---|\n");
    for (const std::size_t nodes : {8U, 100U}) {
        for (const double lost : {0.01, 0.1, 0.3}) {
            printFalse(nodes, lost);
        }
    }
    std::printf(
        "\nPlatform calls of leases and shards, steady\n\n| nodes | shards | owned | calls/s |\n|---|---|---|---|\n");
    for (const std::size_t nodes : {8U, 50U, 400U}) {
        printShards(nodes, 64);
    }
    return 0;
}
