// Links between two routers in one process, each on a loop of its own, so that one can be held up.

#include "godwit/daemon/fleet_links.h"

#include "godwit/http/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <thread>

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
    explicit Router(const std::string &name)
        : log(io, {})
        , relay(io, {}, log)
        , self{HostId{name}, Incarnation{name + ".1"}, DataCentreId{"north"}, freeAddress(), freeAddress(), 100}
        , links(io, relay, options())
    {
        relay.state().stage = RelayStage::Serving;
        links.snapshotFor = [](const SnapshotRequest &request) {
            PrefixSnapshot snapshot;
            snapshot.state = {request.prefix, 7, request.digest};
            return std::optional(snapshot);
        };
        links.onSnapshot = [this](const PrefixSnapshot &) {
            ++snapshots;
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
    int snapshots = 0;
};

struct Pair
{
    Pair()
        : a("a")
        , b("b")
    {
        a.links.setListed({a.self, b.self});
        b.links.setListed({a.self, b.self});
        runBoth(std::chrono::milliseconds(800));
    }

    void runBoth(std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            a.run(std::chrono::milliseconds(5));
            b.run(std::chrono::milliseconds(5));
        }
    }

    Router a;
    Router b;
};

} // namespace

TEST_CASE("an answer that comes late tells a router that it is behind")
{
    // A host whose callers fill its link had tokens enough and asked nobody. It took requests 4 s after they were sent, and
    // passed one on to an endpoint that had left 3 s before.
    Pair pair;
    REQUIRE(pair.a.links.liveCount() == 2);
    REQUIRE(pair.a.links.askAnySnapshot({"servers/", 5, 9}));
    pair.runBoth(std::chrono::milliseconds(100));
    REQUIRE(pair.a.snapshots == 1);
    CHECK_FALSE(pair.a.relay.isBehind(Relay::now()));
    REQUIRE(pair.a.links.askAnySnapshot({"servers/", 5, 9}));
    pair.a.run(std::chrono::milliseconds(600));
    CHECK_FALSE(pair.a.relay.isBehind(Relay::now()));
    pair.runBoth(std::chrono::milliseconds(100));
    CHECK(pair.a.snapshots == 2);
    CHECK(pair.a.relay.isBehind(Relay::now()));
}

TEST_CASE("routers that have heard of each other agree on readers and addresses")
{
    Pair pair;
    CHECK(pair.a.links.callerAddresses().size() == 1);
    // Both, as two are wanted, and not in the same place.
    pair.a.relay.state().platformInReach = true;
    pair.b.relay.state().platformInReach = true;
    pair.runBoth(std::chrono::milliseconds(600));
    const auto first = pair.a.links.readerRankOf("servers/");
    const auto second = pair.b.links.readerRankOf("servers/");
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(*first != *second);
}
