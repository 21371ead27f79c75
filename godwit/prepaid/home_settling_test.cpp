#include "godwit/prepaid/home_settling.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

constexpr double LargeCapacity = 500;
constexpr double SmallCapacity = 60;
constexpr double SameClassRatio = 0.5;
const HomeSettlingOptions Options;

void addPeers(std::vector<SettlingPeer> &peers, int count, double capacity, int heard)
{
    for (int i = 0; i < count; ++i) {
        peers.push_back({"host-" + std::to_string(peers.size()), capacity, true, true, i < heard});
    }
}

Duration settledAfter(double ownCapacity, const std::vector<SettlingPeer> &peers)
{
    constexpr Duration step = std::chrono::milliseconds(10);
    Duration time{};
    while (!isSettled(settlingView(ownCapacity, peers, SameClassRatio), time, Options)) {
        time += step;
    }
    return time;
}

} // namespace

TEST_CASE("small hosts that have not reported do not delay the homes after a restart of all routers")
{
    // Guards against 1.2 s without homes after a restart of 81 routers: homes waited for heartbeats of 73 hosts that
    // send them four times as seldom.
    std::vector<SettlingPeer> peers;
    addPeers(peers, 7, LargeCapacity, 7);
    addPeers(peers, 73, SmallCapacity, 0);
    CHECK(settledAfter(LargeCapacity, peers) == Options.settleTimeOfFew);
}

TEST_CASE("reports of small hosts do not stand in for those of hosts that could be homes")
{
    std::vector<SettlingPeer> peers;
    addPeers(peers, 7, LargeCapacity, 6);
    addPeers(peers, 73, SmallCapacity, 73);
    CHECK(settledAfter(LargeCapacity, peers) == Options.settleTime + 80 * Options.settleTimePerRouter);
}

TEST_CASE("a fleet of equal hosts settles as before")
{
    // Guards against more conflicting writes at deployments whose hosts are all of one size.
    std::vector<SettlingPeer> peers;
    addPeers(peers, 20, LargeCapacity, 18);
    CHECK(settledAfter(LargeCapacity, peers) == Options.settleTime);
    peers[0].heard = false;
    CHECK(settledAfter(LargeCapacity, peers) == Options.settleTime + 20 * Options.settleTimePerRouter);
    // A router that is heard before it is listed counts.
    peers.push_back({"new", LargeCapacity, false, false, true});
    CHECK(settledAfter(LargeCapacity, peers) == Options.settleTime);
    CHECK(settledAfter(LargeCapacity, {}) == Options.settleTime);
}

TEST_CASE("the only listed host that could be a home waits for others to be listed, but not for small hosts")
{
    // Guards against each of the large hosts acting as the only home while the list still lacks the others.
    std::vector<SettlingPeer> peers;
    addPeers(peers, 5, SmallCapacity, 0);
    CHECK(settledAfter(LargeCapacity, peers) == Options.settleTime);
}
