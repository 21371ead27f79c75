#include "godwit/relay/liveness_check.h"

#include "godwit/http/address.h"
#include "godwit/relay/relay.h"
#include "platform/testing/consumed_reset.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace Godwit;
using namespace Godwit::Testing;
using boost::asio::ip::tcp;

namespace
{

constexpr auto SettleTime = std::chrono::milliseconds(60);

// An endpoint, a router that may keep a connection to it, and what a check of the endpoint found.
struct LivenessFixture
{
    LivenessFixture()
        : log(io, {})
        , relay(io, {}, log)
        , acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        listed.id = EndpointId{"e"};
        listed.service = "engine";
        listed.address = formatAddress(acceptor.local_endpoint());
    }

    // Adds an idle connection to the pool and returns the endpoint's side of it.
    tcp::socket keepConnection()
    {
        tcp::socket kept(io);
        kept.connect(acceptor.local_endpoint());
        relay.pool().release(listed.id, {std::move(kept), Relay::now(), Relay::now() + std::chrono::seconds(10)});
        return acceptor.accept();
    }

    void check(LivenessPath path = LivenessPath::Direct)
    {
        LivenessOptions options;
        options.settleTime = SettleTime;
        options.connectTimeout = std::chrono::milliseconds(200);
        checkLiveness(relay, listed, path, options, [this](const LivenessReport &found) {
            ++reports;
            report = found;
        });
        CHECK(reports == 0); // Not before it returns.
    }

    void runFor(std::chrono::milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    void expect(EndpointLiveness liveness, LivenessEvidence evidence)
    {
        CHECK(reports == 1);
        CHECK(endpointLivenessName(report.liveness) == endpointLivenessName(liveness));
        CHECK(livenessEvidenceName(report.evidence) == livenessEvidenceName(evidence));
    }

    boost::asio::io_context io;
    DecisionLog log;
    Relay relay;
    tcp::acceptor acceptor;
    ListedEndpoint listed;
    int reports = 0;
    LivenessReport report;
};

} // namespace

TEST_CASE("an endpoint is alive if a connection that the router keeps stays open")
{
    LivenessFixture fixture;
    const tcp::socket endpoint = fixture.keepConnection();
    fixture.acceptor.close(); // No new connection is needed.
    fixture.check();
    fixture.runFor(SettleTime / 2);
    CHECK(fixture.reports == 0);
    fixture.runFor(2 * SettleTime);
    fixture.expect(EndpointLiveness::Alive, LivenessEvidence::KeptConnection);
    CHECK(fixture.relay.pool().acquire(fixture.listed.id, Relay::now())); // It is kept on.
}

TEST_CASE("an endpoint is dead if a connection that the router keeps ends too")
{
    // Guards against an endpoint that restarts at once being taken for the one that sent the response.
    LivenessFixture fixture;
    tcp::socket endpoint = fixture.keepConnection();
    fixture.check();
    fixture.runFor(SettleTime / 2);
    SECTION("in order")
    {
        endpoint.close();
    }
    SECTION("by a reset")
    {
        reset(endpoint);
    }
    fixture.runFor(2 * SettleTime);
    fixture.expect(EndpointLiveness::Dead, LivenessEvidence::KeptConnection);
    CHECK_FALSE(fixture.relay.pool().acquire(fixture.listed.id, Relay::now()));
}

TEST_CASE("an endpoint that sends unasked bytes on a connection that the router keeps is alive")
{
    LivenessFixture fixture;
    tcp::socket endpoint = fixture.keepConnection();
    fixture.check();
    boost::asio::write(endpoint, boost::asio::buffer(std::string("late")));
    fixture.runFor(2 * SettleTime);
    fixture.expect(EndpointLiveness::Alive, LivenessEvidence::KeptConnection);
    CHECK_FALSE(fixture.relay.pool().acquire(fixture.listed.id, Relay::now()));
}

TEST_CASE("an endpoint without a kept connection is judged by a new one")
{
    LivenessFixture fixture;
    SECTION("that stays open")
    {
        fixture.check();
        const tcp::socket endpoint = fixture.acceptor.accept();
        fixture.runFor(2 * SettleTime);
        fixture.expect(EndpointLiveness::Alive, LivenessEvidence::NewConnection);
    }
    SECTION("that ends, as the connections of a process do whose port is closed last")
    {
        fixture.check();
        tcp::socket endpoint = fixture.acceptor.accept();
        fixture.runFor(SettleTime / 2);
        CHECK(fixture.reports == 0);
        endpoint.close();
        fixture.runFor(2 * SettleTime);
        fixture.expect(EndpointLiveness::Dead, LivenessEvidence::NewConnection);
    }
    SECTION("that is refused")
    {
        fixture.acceptor.close();
        fixture.check();
        fixture.runFor(SettleTime / 2);
        fixture.expect(EndpointLiveness::Dead, LivenessEvidence::RefusedConnection);
    }
    SECTION("to an address that can't be read")
    {
        fixture.listed.address = "nowhere";
        fixture.check();
        fixture.runFor(SettleTime);
        fixture.expect(EndpointLiveness::Unknown, LivenessEvidence::None);
    }
}

TEST_CASE("without another router to ask, the liveness of an endpoint out of reach is unknown")
{
    LivenessFixture fixture;
    fixture.check(LivenessPath::OtherRouters);
    fixture.runFor(2 * SettleTime);
    fixture.expect(EndpointLiveness::Unknown, LivenessEvidence::OtherRouter);
}
