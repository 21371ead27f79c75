// Links between two routers in one process, each on a loop of its own, so that one can be held up.

#include "godwit/daemon/fleet_links.h"

#include "godwit/http/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace Godwit;

namespace
{

std::string freeAddress()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return formatAddress(acceptor.local_endpoint());
}

struct Router
{
    explicit Router(const std::string &name, double capacity = 100)
        : log(io, {})
        , relay(io, {}, log)
        , self{HostId{name}, Incarnation{name + ".1"}, DataCentreId{"north"}, freeAddress(), freeAddress(), capacity}
        , links(io, relay, options())
    {
        relay.state().stage = RelayStage::Serving;
        links.snapshotFor = [this](const SnapshotRequest &request) {
            ++requestsReceived;
            itemRequests += request.stateOnly ? 0 : 1;
            PrefixSnapshot snapshot;
            snapshot.state = {request.prefix, 7, request.digest};
            if (itemBytes > 0) {
                snapshot.items = {StoreItem{"op/a", std::string(itemBytes, 'x'), 7, false}};
            }
            return std::optional(snapshot);
        };
        links.onUpdate = [this](const Incarnation &, const PrefixUpdate &update) {
            updates += update.changes.empty() ? 0 : 1;
        };
        links.onSnapshot = [this](const PrefixSnapshot &snapshot) {
            ++snapshots;
            snapshotsWithItems += snapshot.items ? 1 : 0;
        };
        LastReason reason;
        REQUIRE(links.start(reason));
    }

    FleetLinksOptions options() const
    {
        FleetLinksOptions options;
        options.own.host = self.host;
        options.own.incarnation = self.incarnation;
        options.own.dataCentre = self.dataCentre;
        options.own.peerAddress = self.peerAddress;
        options.own.callerAddress = self.callerAddress;
        options.listenAddress = self.peerAddress;
        options.ownCapacity = self.capacity;
        // What goes out at once, and next to nothing afterwards.
        options.snapshotRate.perSecond = 1;
        // Hosts of all sizes are listed, and so linked.
        options.advertisedHosts.targetUtilization = -1;
        return options;
    }

    void run(std::chrono::milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    boost::asio::io_context io;
    DecisionLog log;
    Relay relay;
    FleetMember self;
    FleetLinks links;
    std::size_t itemBytes = 0; // Of the entries in this router's snapshots.
    int snapshots = 0;
    int snapshotsWithItems = 0; // Of these.
    int updates = 0;
    int requestsReceived = 0;
    int itemRequests = 0;
};

struct Routers
{
    explicit Routers(const std::vector<std::string> &names, const std::vector<double> &capacities = {})
    {
        std::vector<FleetMember> members;
        for (const std::string &name : names) {
            const std::size_t number = all.size();
            all.push_back(std::make_unique<Router>(name, number < capacities.size() ? capacities[number] : 100));
            members.push_back(all.back()->self);
        }
        for (const auto &router : all) {
            router->links.setListed(members);
        }
        run(std::chrono::milliseconds(900));
    }

    Router &operator[](std::size_t number)
    {
        return *all[number];
    }

    void run(std::chrono::milliseconds time, const std::vector<const Router *> &paused = {})
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            for (const auto &router : all) {
                if (std::find(paused.begin(), paused.end(), router.get()) == paused.end()) {
                    router->run(std::chrono::milliseconds(4));
                }
            }
        }
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            run(std::chrono::milliseconds(10));
        }
    }

    std::vector<std::unique_ptr<Router>> all;
};

} // namespace

TEST_CASE("answers that come late tell a router that it is behind")
{
    // A host whose callers fill its link had tokens enough and asked nobody. It took requests 4 s after they were sent,
    // and passed one on to an endpoint that had left 3 s before.
    Routers routers({"a", "b"});
    REQUIRE(routers[0].links.liveCount() == 2);
    routers[0].links.compareCopies({{"servers/", 0, 9}});
    routers.run(std::chrono::milliseconds(100));
    REQUIRE(routers[0].snapshots == 1);
    CHECK(routers[1].itemRequests == 0);
    CHECK_FALSE(routers[0].relay.mayBeStale(Relay::now()));
    routers[0].links.compareCopies({{"servers/", 0, 9}});
    routers.run(std::chrono::milliseconds(600), {&routers[1]});
    CHECK_FALSE(routers[0].relay.mayBeStale(Relay::now()));
    routers.run(std::chrono::milliseconds(100));
    CHECK(routers[0].snapshots == 2);
    CHECK(routers[0].relay.mayBeStale(Relay::now()));
}

TEST_CASE("answers that come after the next question still tell a router that it is behind")
{
    // A host whose full link held each answer up past the next question took none for late. It passed requests on to
    // endpoints that had left, and refused by routes that had changed.
    Routers routers({"a", "b"});
    for (int i = 0; i < 3; ++i) {
        routers[0].links.compareCopies({{"servers/", 0, 9}});
        routers.run(std::chrono::milliseconds(400), {&routers[1]});
    }
    CHECK_FALSE(routers[0].relay.mayBeStale(Relay::now()));
    routers.run(std::chrono::milliseconds(60));
    CHECK(routers[0].snapshots == 3);
    CHECK(routers[0].relay.mayBeStale(Relay::now()));
}

TEST_CASE("a peer that is slow to answer makes nobody else behind")
{
    // One host with a full link made each router that asked it refuse all its callers for a second.
    Routers routers({"a", "b", "c"});
    routers[0].links.compareCopies({{"servers/", 0, 9}});
    routers.run(std::chrono::milliseconds(600), {&routers[1]});
    routers.run(std::chrono::milliseconds(100));
    CHECK(routers[0].snapshots == 2);
    CHECK_FALSE(routers[0].relay.mayBeStale(Relay::now()));
}

TEST_CASE("an answer that comes after one to a later question makes nobody behind")
{
    // Hosts that had asked two frozen peers refused all their callers once these went on.
    Routers routers({"a", "b", "c", "d"});
    const std::vector<const Router *> frozen{&routers[1], &routers[2]};
    const auto probe = [&] {
        const int before = routers[3].requestsReceived;
        routers[0].links.compareCopies({{"servers/", 0, 9}});
        routers.run(std::chrono::milliseconds(20), frozen);
        return routers[3].requestsReceived > before;
    };
    while (probe()) {
        routers.run(std::chrono::milliseconds(20));
    }
    while (!probe()) { }
    routers.run(std::chrono::milliseconds(600), frozen);
    routers.run(std::chrono::milliseconds(100));
    CHECK_FALSE(routers[0].relay.mayBeStale(Relay::now()));
}

TEST_CASE("a frozen router keeps no update from the others")
{
    // Updates of some KB went over a few large hosts. While one of these was frozen its share of the fleet heard of no
    // change, and of no reading, for two seconds.
    Routers routers({"a", "b", "c", "d", "e", "f"});
    PrefixUpdate update;
    update.state.prefix = "servers/";
    update.changes = {StoreItem{"servers/a", std::string(3000, 'x'), 7, false}};
    for (std::size_t frozen = 1; frozen < routers.all.size(); ++frozen) {
        routers[0].links.sendUpdate(update);
        routers.run(std::chrono::milliseconds(100), {&routers[frozen]});
        for (std::size_t other = 1; other < routers.all.size(); ++other) {
            CHECK(routers[other].updates == (other == frozen ? 0 : 1));
            routers[other].updates = 0;
        }
        routers.run(std::chrono::milliseconds(50));
        routers[frozen].updates = 0;
    }
}

TEST_CASE("an update that is too large to be sent to each goes over some of them to all")
{
    Routers routers({"a", "b", "c", "d", "e", "f"});
    PrefixUpdate update;
    update.state.prefix = "servers/";
    update.changes = {StoreItem{"servers/a", std::string(300000, 'x'), 7, false}};
    routers[0].links.sendUpdate(update);
    routers.run(std::chrono::milliseconds(200));
    for (std::size_t other = 1; other < routers.all.size(); ++other) {
        CHECK(routers[other].updates == 1);
    }
}

TEST_CASE("routers that have heard of each other agree on readers and addresses")
{
    Routers routers({"a", "b"});
    CHECK(routers[0].links.callerAddresses().size() == 1);
    // Both, as two are wanted, and not in the same place.
    routers[0].relay.state().platformInReach = true;
    routers[1].relay.state().platformInReach = true;
    routers.run(std::chrono::milliseconds(600));
    const auto first = routers[0].links.readerRankOf("servers/");
    const auto second = routers[1].links.readerRankOf("servers/");
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(*first != *second);
}

TEST_CASE("a router that many ask for a large snapshot sends it to a few at a time")
{
    // Guards against a full link, and an old document behind it, at the only host that reaches the store.
    Routers routers({"a", "b"});
    Router &requester = routers[0];
    Router &responder = routers[1];
    responder.itemBytes = 200UL * 1024;
    for (int i = 0; i < 20; ++i) {
        CHECK(requester.links.requestSnapshot(responder.self.incarnation, {"op/", 0, 9}));
    }
    routers.runUntil([&] {
        return requester.snapshots == 20;
    });
    CHECK(requester.snapshots == 20);
    CHECK(requester.snapshotsWithItems == 2);
}

TEST_CASE("a small host sends a large snapshot to the largest hosts alone")
{
    // Guards against documents that reach the fleet late because a small host's link carries them to its like first.
    Routers routers({"small", "alike", "large"}, {10, 10, 100});
    Router &small = routers[0];
    small.itemBytes = 100UL * 1024;
    for (std::size_t requester : {1, 2}) {
        CHECK(routers[requester].links.requestSnapshot(small.self.incarnation, {"op/", 0, 9}));
        routers.runUntil([&] {
            return routers[requester].snapshots == 1;
        });
    }
    CHECK(routers[1].snapshotsWithItems == 0);
    CHECK(routers[2].snapshotsWithItems == 1);
}

TEST_CASE("near the end of a budget a router tells the others what sizes it is asked for")
{
    // Guards against large requests that take the last tokens at routers that know of no smaller ones.
    const CustomerId desk{"desk"};
    constexpr Tokens total = 100'000;
    Routers routers({"teller", "listener"});
    PrepaidShare &share = routers[0].relay.state().prepaid;
    applyTotals(share, 1, {{desk, total}});
    share.accounts.at(desk).granted = 4000;
    share.ledger.accounts[desk].total = total;
    noteRequest(share, desk, 500, Relay::now());
    const auto &received = routers[1].relay.state().prepaid.peerHoldings;
    const auto latest = [&] {
        const auto found = received.find(desk);
        return found == received.end() || found->second.empty() ? std::nullopt
                                                                : std::optional(found->second.begin()->second);
    };
    routers.runUntil([&] {
        return latest().has_value();
    });
    REQUIRE(latest().has_value());
    CHECK(latest()->remaining == total + 4000);
    CHECK(latest()->demandBySize.empty());

    share.ledger.accounts[desk].spent = total - 2000;
    routers.runUntil([&] {
        return !latest()->demandBySize.empty();
    });
    CHECK(latest()->remaining == 6000);
    CHECK(latest()->demandBySize.size() == 1);
}
