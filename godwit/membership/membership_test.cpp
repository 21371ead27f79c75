#include "godwit/membership/membership.h"

#include "godwit/membership/simulated_routers.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace Godwit;
using namespace Godwit::Simulation;
using std::chrono::seconds;

namespace
{

RoutersOptions fleetOf(std::size_t nodes, std::uint64_t seed)
{
    RoutersOptions options;
    options.nodes = nodes;
    options.seed = seed;
    return options;
}

std::size_t falseGones(const SimulatedRouters &routers)
{
    std::size_t count = 0;
    for (const RouterNode &node : routers.nodes) {
        count += node.falseGone;
    }
    return count;
}

std::size_t tellGone(const SimulatedRouters &routers, const Incarnation &incarnation)
{
    std::size_t count = 0;
    for (const RouterNode &node : routers.nodes) {
        count += node.up && node.goneAt.count(incarnation) > 0 ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("routers find each other from the host list alone")
{
    for (const std::size_t size : {2U, 8U, 40U}) {
        SimulatedRouters routers(fleetOf(size, 1));
        routers.run(seconds(30));
        INFO(size << " routers");
        CHECK(routers.converged());
        CHECK(falseGones(routers) == 0);
    }
}

TEST_CASE("a dead router is gone everywhere after a time, and its successor is a new member")
{
    SimulatedRouters routers(fleetOf(40, 2));
    routers.run(seconds(30));
    const Incarnation dead = routers.nameOf(7);
    routers.kill(7);
    routers.run(seconds(2));
    CHECK(tellGone(routers, dead) == 0);
    routers.run(seconds(38));
    CHECK(tellGone(routers, dead) == 39);
    routers.start(7);
    routers.run(seconds(30));
    CHECK(routers.converged());
    CHECK(falseGones(routers) == 0);
}

TEST_CASE("a router that some can't reach is not gone while others reach it")
{
    // Router 0 and router 1 lose each other; both are heard by the rest. Each suspects the other, the suspicion
    // travels through the rest, and the suspected one denies it the same way before its time is up.
    const auto run = [](bool faultNoDenial, bool faultGoneAtOnce) {
        RoutersOptions options = fleetOf(8, 3);
        options.membership.faultNoDenial = faultNoDenial;
        options.membership.faultGoneAtOnce = faultGoneAtOnce;
        SimulatedRouters routers(options);
        routers.run(seconds(20));
        routers.cut([](std::size_t a, std::size_t b) {
            return a == 0 && b == 1;
        });
        routers.run(seconds(120));
        return falseGones(routers);
    };
    CHECK(run(false, false) == 0);
    CHECK(run(true, false) > 0);
    CHECK(run(false, true) > 0);
}

TEST_CASE("halves that lost each other find each other again")
{
    // Five minutes without any message between the halves: each holds the other for gone. After the cut ends they
    // must become one again without help, or every router would serve half a fleet for ever.
    const auto heals = [](bool faultNoReconnect) {
        RoutersOptions options = fleetOf(30, 4);
        options.membership.faultNoReconnect = faultNoReconnect;
        SimulatedRouters routers(options);
        routers.run(seconds(30));
        routers.cut([](std::size_t a, std::size_t b) {
            return a < 10 && b >= 10;
        });
        routers.run(seconds(300));
        CHECK(routers.seesAlive(0) == 9);
        routers.kill(20); // Links of the cut halves break too; one death must not be overlooked meanwhile.
        routers.cut(nullptr);
        routers.run(seconds(60));
        return routers.converged();
    };
    CHECK(heals(false));
    CHECK_FALSE(heals(true));
}

TEST_CASE("a paused router does not declare the others gone when it wakes")
{
    // Router 2 stands still for a minute; heartbeats wait in its sockets. Its overdue tick comes first: by the
    // clock, all others were silent for a minute, yet none of them may be declared gone.
    const auto falseAfterPause = [](bool fault) {
        RoutersOptions options = fleetOf(8, 5);
        options.membership.faultTrustOwnClockGaps = fault;
        // A suspicion is open at the moment of the pause.
        SimulatedRouters routers(options);
        routers.run(seconds(20));
        routers.cut([](std::size_t a, std::size_t b) {
            return a == 2 && b == 3;
        });
        routers.run(seconds(4));
        routers.pause(2);
        routers.cut(nullptr);
        routers.run(seconds(60));
        routers.resume(2);
        routers.run(seconds(30));
        CHECK(routers.converged());
        return routers.nodes[2].falseGone;
    };
    CHECK(falseAfterPause(false) == 0);
    CHECK(falseAfterPause(true) > 0);
}

TEST_CASE("lost heartbeats make no router gone")
{
    RoutersOptions options = fleetOf(40, 6);
    options.lostHeartbeats = 0.2;
    SimulatedRouters routers(options);
    routers.run(seconds(600));
    CHECK(falseGones(routers) == 0);
    routers.options.lostHeartbeats = 0.0;
    routers.run(seconds(20));
    CHECK(routers.converged());
}

TEST_CASE("an entry that missed its news is repaired in turn")
{
    // Router 0 misses the news of a death (its heartbeats were lost just then). No link of its own tells it; only
    // the members that ride along in turn do.
    const auto repaired = [](bool fault) {
        RoutersOptions options = fleetOf(40, 7);
        options.membership.faultNoRotation = fault;
        SimulatedRouters routers(options);
        routers.run(seconds(30));
        MembershipState &state = routers.nodes[0].state;
        std::size_t dead = 1;
        while (std::count(state.chosen.begin(), state.chosen.end(), HostId("host-" + std::to_string(dead))) > 0) {
            ++dead;
        }
        routers.kill(dead);
        routers.run(seconds(60));
        Member &entry = state.members.at(routers.nameOf(dead));
        entry.update.status = MemberStatus::Alive;
        entry.sendsLeft = 0;
        routers.run(seconds(60));
        return entry.update.status != MemberStatus::Alive;
    };
    CHECK(repaired(false));
    CHECK_FALSE(repaired(true));
}

TEST_CASE("a router that ended long ago does not come back to life")
{
    // Router 0 is cut off while router X dies and all others forget it. When the cut ends, router 0 still tells X as
    // alive, and the others take it for new. Nobody has a link to X that could fall silent.
    RoutersOptions options = fleetOf(30, 11);
    options.membership.forgetAfter = seconds(20);
    SimulatedRouters routers(options);
    routers.run(seconds(30));
    std::size_t dead = 1;
    while (routers.nodes[0].state.links.count(routers.nameOf(dead)) > 0) {
        ++dead;
    }
    routers.cut([](std::size_t a, std::size_t b) {
        return a == 0 && b != 0;
    });
    const Incarnation ended = routers.nameOf(dead);
    routers.kill(dead);
    routers.run(seconds(60));
    REQUIRE(routers.nodes[dead == 1 ? 2 : 1].state.members.count(ended) == 0);
    REQUIRE(routers.nodes[0].state.members.at(ended).update.status == MemberStatus::Alive);
    routers.cut(nullptr);
    routers.run(seconds(60));
    for (std::size_t node = 0; node < routers.nodes.size(); ++node) {
        const auto known = routers.nodes[node].state.members.find(ended);
        const bool alive =
            known != routers.nodes[node].state.members.end() && known->second.update.status == MemberStatus::Alive;
        CHECK_FALSE((routers.nodes[node].up && alive));
    }
}

TEST_CASE("a death is told in time while much other news waits")
{
    // Sixty routers start at once and heartbeats have room for two items: arrivals alone take minutes. A death
    // must not queue behind them.
    RoutersOptions options = fleetOf(60, 12);
    options.membership.maxUpdates = 2;
    SimulatedRouters routers(options);
    routers.run(seconds(6));
    const Incarnation dead = routers.nameOf(59);
    routers.kill(59);
    routers.run(seconds(16));
    CHECK(tellGone(routers, dead) == 59);
}

TEST_CASE("a link that its peer said it closes is not taken for a failure")
{
    MembershipOptions options;
    options.self = Incarnation("a.1");
    options.host = HostId("a");
    const TimePoint now{seconds(100)};
    const auto actionsAfterDown = [&](bool closing) {
        MembershipState state = makeMembership(options, now);
        const Incarnation peer("b.1");
        onPeerLinkUp(state, peer, false, now);
        HeartbeatBody body;
        body.sender = {peer, HostId("b"), DataCentreId("x"), "127.0.0.1:1", MemberStatus::Alive, 1, false};
        body.closing = closing;
        onHeartbeat(state, peer, body, now);
        return onPeerLinkDown(state, peer, now).size();
    };
    CHECK(actionsAfterDown(true) == 0);
    CHECK(actionsAfterDown(false) == 1);
}

TEST_CASE("draining reaches everyone within seconds")
{
    SimulatedRouters routers(fleetOf(40, 8));
    routers.run(seconds(30));
    routers.drain(5);
    routers.run(seconds(6));
    for (std::size_t node = 0; node < 40; ++node) {
        if (node != 5) {
            CHECK(routers.nodes[node].state.members.at(routers.nameOf(5)).update.draining);
        }
    }
}

TEST_CASE("a leaving host is told as draining before its router says so")
{
    SimulatedRouters routers(fleetOf(3, 9));
    routers.run(seconds(10));
    const std::vector<HostEntry> hosts = {{HostId("host-1"), DataCentreId("dc-1"), "1", true}};
    bool told = false;
    for (const auto &action : onHostList(routers.nodes[0].state, hosts, routers.now())) {
        const auto *live = std::get_if<RouterLive>(&action);
        told = told || (live != nullptr && live->member.host == HostId("host-1") && live->member.draining);
    }
    CHECK(told);
}

TEST_CASE("the messages of a node stay bounded as the fleet grows")
{
    const auto perSecond = [](std::size_t size) {
        SimulatedRouters routers(fleetOf(size, 10));
        routers.run(seconds(30));
        const std::uint64_t before = routers.nodes[0].messagesSent;
        routers.run(seconds(10));
        return static_cast<double>(routers.nodes[0].messagesSent - before) / 10.0;
    };
    CHECK(perSecond(8) < 8.0);
    CHECK(perSecond(100) < 20.0);
}

TEST_CASE("heartbeats survive the wire, and hostile bytes are refused")
{
    HeartbeatBody body;
    body.sender = {Incarnation("a.1"), HostId("a"), DataCentreId("x"), "127.0.0.1:1", MemberStatus::Alive, 3, true};
    body.configRevision = 12;
    body.updates = {{Incarnation("b.1"), HostId("b"), DataCentreId("y"), "", MemberStatus::Suspect, 1, false}};
    body.closing = true;
    const std::string bytes = encodeHeartbeat(body);
    const auto back = decodeHeartbeat(bytes);
    REQUIRE(back);
    CHECK(encodeHeartbeat(*back) == bytes);
    CHECK(back->closing);
    CHECK(back->updates.at(0).status == MemberStatus::Suspect);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(decodeHeartbeat(std::string_view(bytes).substr(0, length)));
    }
    body.sender.number = ~0ULL;
    CHECK_FALSE(decodeHeartbeat(encodeHeartbeat(body)));
    body.sender.number = 1;
    body.updates.resize(MaxUpdatesInHeartbeat + 1, body.updates[0]);
    CHECK_FALSE(decodeHeartbeat(encodeHeartbeat(body)));
}
