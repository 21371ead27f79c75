#include "godwit/prepaid/home_settling.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

const HomeSettlingOptions Options;
const Duration MaxTimeOf20 = Options.settleTime + 20 * Options.settleTimePerRouter;

std::vector<SettlingPeer> peers(int count, double capacity, int heard, std::vector<SettlingPeer> result = {})
{
    for (int i = 0; i < count; ++i) {
        result.push_back({"host-" + std::to_string(result.size()), capacity, true, true, i < heard, i < heard});
    }
    return result;
}

Duration settledAfter(const std::vector<SettlingPeer> &others)
{
    Duration time{};
    while (!isSettled(settlingView(500, others, 0.5), time, Options)) {
        time += std::chrono::milliseconds(10);
    }
    return time;
}

} // namespace

TEST_CASE("only reports of hosts that could be homes count after a restart of all routers")
{
    // Guards against 1.2 s without homes: 81 routers waited for heartbeats of small hosts, which send them four times
    // as seldom.
    CHECK(settledAfter(peers(13, 60, 0, peers(7, 500, 7))) == Options.settleTimeOfFew);
    CHECK(settledAfter(peers(13, 60, 13, peers(7, 500, 6))) == MaxTimeOf20);
    // Guards against each large host acting as the only home while the list still lacks the others.
    CHECK(settledAfter(peers(20, 60, 20)) == Options.settleTime);
}

TEST_CASE("candidates that are still starting are waited for")
{
    // Guards against the first large host that is ready drawing tokens as the only home of all customers.
    auto starting = peers(13, 60, 13, peers(7, 500, 7));
    for (SettlingPeer &peer : starting) {
        peer.ready = false;
    }
    CHECK(settledAfter(starting) == MaxTimeOf20);
}

TEST_CASE("a fleet of equal hosts settles as before")
{
    CHECK(settledAfter(peers(20, 500, 18)) == Options.settleTime);
    CHECK(settledAfter(peers(20, 500, 17)) == MaxTimeOf20);
    CHECK(settledAfter({}) == Options.settleTime);
}
