#include "godwit/relay/liveness_check.h"

#include "godwit/http/address.h"
#include "godwit/relay/relay.h"
#include "platform/header_names.h"
#include "platform/testing/consumed_reset.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

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
        , relay(io, options(), log)
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

    static RelayOptions options()
    {
        RelayOptions options;
        options.liveness.settleTime = SettleTime;
        options.liveness.responseTimeout = std::chrono::milliseconds(200);
        return options;
    }

    void prepare(LivenessPath path = LivenessPath::Direct)
    {
        check = std::make_shared<LivenessCheck>(relay, listed, path);
        check->prepare();
    }

    // `sinceEnd`: how long ago the response ended.
    void conclude(std::chrono::milliseconds sinceEnd = {})
    {
        if (!check) {
            check = std::make_shared<LivenessCheck>(relay, listed, LivenessPath::Direct);
        }
        check->conclude(Relay::now() - sinceEnd, [this](const LivenessReport &found) {
            ++reports;
            report = found;
        });
        CHECK(reports == 0); // Not before it returns.
    }

    // Answers a health check with this id.
    static void answerHealthCheck(tcp::socket &endpoint, const std::string &id)
    {
        std::array<char, 256> request{};
        endpoint.read_some(boost::asio::buffer(request));
        boost::asio::write(endpoint,
                           boost::asio::buffer("HTTP/1.1 503 Busy\r\n" + std::string(EndpointIdField) + ": " + id
                                               + "\r\nContent-Length: 0\r\n\r\n"));
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
    std::shared_ptr<LivenessCheck> check;
    int reports = 0;
    LivenessReport report;
};

} // namespace

TEST_CASE("an endpoint is alive if a connection that the router keeps stays open")
{
    LivenessFixture fixture;
    const tcp::socket endpoint = fixture.keepConnection();
    fixture.acceptor.close(); // No new connection is needed.
    fixture.conclude();
    fixture.runFor(SettleTime / 2);
    CHECK(fixture.reports == 0);
    fixture.runFor(2 * SettleTime);
    fixture.expect(EndpointLiveness::Alive, LivenessEvidence::KeptConnection);
    CHECK(fixture.relay.pool().acquire(fixture.listed.id, Relay::now())); // It is kept on.
}

TEST_CASE("an endpoint is dead if a connection that the router keeps ends together with the response")
{
    // Guards against an endpoint that restarts at once, under the same id, being taken for the one that sent the
    // response.
    LivenessFixture fixture;
    tcp::socket endpoint = fixture.keepConnection();
    SECTION("in order")
    {
        fixture.conclude();
        endpoint.close();
    }
    SECTION("by a reset")
    {
        fixture.conclude();
        reset(endpoint);
    }
    SECTION("before the router looks")
    {
        fixture.prepare();
        endpoint.close();
        fixture.conclude();
    }
    fixture.runFor(SettleTime / 2);
    fixture.expect(EndpointLiveness::Dead, LivenessEvidence::KeptConnection);
    CHECK_FALSE(fixture.relay.pool().acquire(fixture.listed.id, Relay::now()));
}

TEST_CASE("an endpoint that closes a kept connection at another moment is asked for its id")
{
    // Guards against a whole response being truncated because its endpoint closes an idle connection soon afterwards.
    LivenessFixture fixture;
    tcp::socket endpoint = fixture.keepConnection();
    fixture.conclude();
    fixture.runFor(SettleTime / 2);
    endpoint.close();
    fixture.runFor(2 * SettleTime);
    SECTION("it lives")
    {
        tcp::socket next = fixture.acceptor.accept();
        fixture.runFor(SettleTime);
        LivenessFixture::answerHealthCheck(next, "e");
        fixture.runFor(SettleTime);
        fixture.expect(EndpointLiveness::Alive, LivenessEvidence::HealthCheck);
    }
    SECTION("another process has its address")
    {
        tcp::socket next = fixture.acceptor.accept();
        fixture.runFor(SettleTime);
        LivenessFixture::answerHealthCheck(next, "f");
        fixture.runFor(SettleTime);
        fixture.expect(EndpointLiveness::Dead, LivenessEvidence::HealthCheck);
    }
}

TEST_CASE("an endpoint that resets connections beyond its limit is not taken for dead")
{
    // Guards against an endpoint at its limit of connections being counted as crashed, and its requests as suspects.
    LivenessFixture fixture;
    fixture.conclude();
    tcp::socket first = fixture.acceptor.accept();
    fixture.runFor(SettleTime / 6);
    reset(first);
    fixture.runFor(SettleTime + SettleTime / 2);
    CHECK(fixture.reports == 0);
    SECTION("it accepts the next one")
    {
        tcp::socket second = fixture.acceptor.accept();
        fixture.runFor(SettleTime);
        LivenessFixture::answerHealthCheck(second, "e");
        fixture.runFor(SettleTime);
        fixture.expect(EndpointLiveness::Alive, LivenessEvidence::HealthCheck);
    }
    SECTION("it resets the next one too")
    {
        tcp::socket second = fixture.acceptor.accept();
        reset(second);
        fixture.runFor(SettleTime);
        fixture.expect(EndpointLiveness::Unknown, LivenessEvidence::None);
    }
}

TEST_CASE("an endpoint that sends unasked bytes on a connection that the router keeps is alive")
{
    LivenessFixture fixture;
    tcp::socket endpoint = fixture.keepConnection();
    fixture.conclude();
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
        fixture.conclude();
        const tcp::socket endpoint = fixture.acceptor.accept();
        fixture.runFor(2 * SettleTime);
        fixture.expect(EndpointLiveness::Alive, LivenessEvidence::NewConnection);
    }
    SECTION("that ends before the port is closed, as of a process that is ending")
    {
        fixture.conclude();
        tcp::socket endpoint = fixture.acceptor.accept();
        fixture.runFor(SettleTime / 2);
        CHECK(fixture.reports == 0);
        endpoint.close();
        fixture.acceptor.close();
        fixture.runFor(2 * SettleTime);
        fixture.expect(EndpointLiveness::Dead, LivenessEvidence::RefusedConnection);
    }
    SECTION("that leads to another process, which was started at once")
    {
        fixture.conclude();
        tcp::socket endpoint = fixture.acceptor.accept();
        fixture.runFor(SettleTime / 6);
        LivenessFixture::answerHealthCheck(endpoint, "f");
        fixture.runFor(SettleTime);
        fixture.expect(EndpointLiveness::Dead, LivenessEvidence::HealthCheck);
    }
    SECTION("that is refused")
    {
        fixture.acceptor.close();
        fixture.conclude();
        fixture.runFor(SettleTime / 2);
        fixture.expect(EndpointLiveness::Dead, LivenessEvidence::RefusedConnection);
    }
    SECTION("to an address that can't be read")
    {
        fixture.listed.address = "nowhere";
        fixture.conclude();
        fixture.runFor(SettleTime);
        fixture.expect(EndpointLiveness::Unknown, LivenessEvidence::None);
    }
}

TEST_CASE("a connection that is opened during the response shows later whether its process lives")
{
    // Guards against a restarted process being taken for the one that sent the response by a router that was paused.
    LivenessFixture fixture;
    fixture.prepare();
    tcp::socket endpoint = fixture.acceptor.accept();
    fixture.runFor(SettleTime / 4);
    SECTION("it stays open")
    {
        fixture.conclude();
        fixture.runFor(2 * SettleTime);
        fixture.expect(EndpointLiveness::Alive, LivenessEvidence::NewConnection);
    }
    SECTION("it has ended with the response, and the port accepts again")
    {
        endpoint.close();
        std::this_thread::sleep_for(SettleTime);
        fixture.conclude(SettleTime);
        fixture.runFor(2 * SettleTime);
        fixture.expect(EndpointLiveness::Dead, LivenessEvidence::NewConnection);
    }
    SECTION("it has ended long before the response, as an idle one may")
    {
        endpoint.close();
        std::this_thread::sleep_for(2 * SettleTime);
        fixture.conclude();
        const tcp::socket next = fixture.acceptor.accept();
        fixture.runFor(2 * SettleTime);
        fixture.expect(EndpointLiveness::Alive, LivenessEvidence::NewConnection);
    }
}

TEST_CASE("a process that is reached only after the response has ended is asked for its id")
{
    // Guards against a restarted process being taken for the one that sent the response.
    LivenessFixture fixture;
    fixture.conclude(SettleTime);
    tcp::socket endpoint = fixture.acceptor.accept();
    fixture.runFor(SettleTime + SettleTime / 2);
    CHECK(fixture.reports == 0);
    SECTION("it is the same")
    {
        LivenessFixture::answerHealthCheck(endpoint, "e");
        fixture.runFor(SettleTime);
        fixture.expect(EndpointLiveness::Alive, LivenessEvidence::HealthCheck);
    }
    SECTION("it is another")
    {
        LivenessFixture::answerHealthCheck(endpoint, "f");
        fixture.runFor(SettleTime);
        fixture.expect(EndpointLiveness::Dead, LivenessEvidence::HealthCheck);
    }
    SECTION("it does not answer")
    {
        fixture.runFor(std::chrono::milliseconds(300));
        fixture.expect(EndpointLiveness::Unknown, LivenessEvidence::None);
    }
    SECTION("it closes the connection, and answers on none")
    {
        endpoint.close();
        fixture.runFor(2 * SettleTime + std::chrono::milliseconds(300));
        fixture.expect(EndpointLiveness::Unknown, LivenessEvidence::None);
    }
}

TEST_CASE("a check that is cancelled reports nothing and returns the connection that the router kept")
{
    LivenessFixture fixture;
    const tcp::socket endpoint = fixture.keepConnection();
    fixture.prepare();
    fixture.conclude();
    fixture.check->cancel();
    fixture.runFor(2 * SettleTime);
    CHECK(fixture.reports == 0);
    CHECK(fixture.relay.pool().acquire(fixture.listed.id, Relay::now()));
}

TEST_CASE("without another router to ask, the liveness of an endpoint out of reach is unknown")
{
    LivenessFixture fixture;
    fixture.prepare(LivenessPath::OtherRouters);
    fixture.conclude();
    fixture.runFor(2 * SettleTime);
    fixture.expect(EndpointLiveness::Unknown, LivenessEvidence::OtherRouter);
}
