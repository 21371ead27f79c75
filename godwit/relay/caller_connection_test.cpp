#include "godwit/relay/caller_connection.h"

#include "godwit/http/address.h"
#include "platform/header_names.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace Godwit;
using boost::asio::ip::tcp;

namespace
{

// A router without a document, and a caller that is connected to it.
struct Connected
{
    Connected()
        : log(io, {})
        , relay(io, {}, log)
        , caller(io)
    {
        tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        caller.connect(acceptor.local_endpoint());
        caller.non_blocking(true);
        connection = std::make_shared<CallerConnection>(relay, connections, acceptor.accept());
        connection->start();
        run(std::chrono::milliseconds(5));
    }

    void run(std::chrono::milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    void ask(const std::string &connectionHeader)
    {
        boost::asio::write(caller,
                           boost::asio::buffer("GET / HTTP/1.1\r\nHost: a\r\n" + std::string(AttemptIdField)
                                               + ": 1\r\nConnection: " + connectionHeader + "\r\n\r\n"));
    }

    std::string received()
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        return std::string(bytes.data(), caller.read_some(boost::asio::buffer(bytes), error));
    }

    // Whether the router has closed its socket: bytes sent to it are answered with a reset, which the next ones meet.
    bool isClosed()
    {
        boost::system::error_code error;
        boost::asio::write(caller, boost::asio::buffer("x", 1), error);
        run(std::chrono::milliseconds(5));
        boost::asio::write(caller, boost::asio::buffer("x", 1), error);
        return error.failed();
    }

    CallerConnections connections;
    boost::asio::io_context io;
    DecisionLog log;
    Relay relay;
    tcp::socket caller;
    std::shared_ptr<CallerConnection> connection;
};

// One route, for all that Connected asks, to a service without endpoints.
SiteDocument documentWithRoute()
{
    GatewayRoute route;
    route.host = "a";
    route.pathPrefix = "/";
    route.services = {{"service", 1}};
    route.open = true;
    route.timeout = std::chrono::seconds(1);
    SiteDocument document;
    document.routes = {route};
    return document;
}

} // namespace

TEST_CASE("a connection that is being closed in order is not cut by the next look for idle ones")
{
    // A router that stops looks for idle connections each 100 ms. The second look cancelled the read that waits for the
    // caller's end, and its end by that was taken for the caller's: the socket was closed under an answer on its way.
    Connected router;
    SECTION("closed after an answer")
    {
        router.ask("close");
        router.run(std::chrono::milliseconds(20));
        REQUIRE(router.received().find("HTTP/1.1 503") == 0);
    }
    SECTION("closed as idle")
    {
        router.connection->closeIfIdle();
        router.run(std::chrono::milliseconds(5));
    }
    router.connection->closeIfIdle();
    router.run(std::chrono::milliseconds(5));
    CHECK_FALSE(router.isClosed());
}

TEST_CASE("a host that is behind says nothing out of a document that may be old")
{
    // The caller hears that its route does not exist, on one host of many. That host's link is choked: it refuses all
    // that it is asked, and the document that has the route waits behind these requests for seconds. The line was
    // "event":"refused","cause":"unknown_route" with a document 14 s old.
    Connected router;
    RelayState &state = router.relay.state();
    state.routes = makeRouteTable({});
    state.stage = RelayStage::Serving;
    SECTION("while its link is choked")
    {
        state.behindAt = Relay::now();
    }
    SECTION("until its copy of the document is new, though its list of endpoints is")
    {
        state.behindAt = Relay::now() - std::chrono::seconds(3);
        state.endpointsAsOf = Relay::now();
    }
    router.ask("keep-alive");
    router.run(std::chrono::milliseconds(20));
    CHECK(router.received().find("HTTP/1.1 429") == 0);
}

TEST_CASE("a host whose document is older than its peers' says nothing out of it")
{
    // A large document took seconds over a busy link on which small messages came at once, so that the host did not
    // count as behind. It answered 404 for a route that had been added seconds ago.
    Connected router;
    RelayState &state = router.relay.state();
    state.routes = makeRouteTable({});
    state.stage = RelayStage::Serving;
    const TimePoint now = Relay::now();
    const std::string refused = "HTTP/1.1 429";
    const std::string unknownRoute = "HTTP/1.1 404";
    SECTION("a peer has held a newer one for two seconds")
    {
        noteAnswer(state.documentAgreement, now, std::chrono::seconds(2), now);
        router.ask("keep-alive");
        router.run(std::chrono::milliseconds(20));
        CHECK(router.received().find(refused) == 0);
    }
    SECTION("a peer has held a newer list of endpoints")
    {
        noteAnswer(state.endpointsAgreement, now, std::chrono::seconds(2), now);
        router.ask("keep-alive");
        router.run(std::chrono::milliseconds(20));
        CHECK(router.received().find(refused) == 0);
    }
    SECTION("no peer has answered for long: the host is cut off, and serves what it can")
    {
        noteAnswer(state.documentAgreement, now, std::chrono::seconds(2), now - std::chrono::seconds(3));
        state.routes = makeRouteTable(documentWithRoute());
        router.ask("keep-alive");
        router.run(std::chrono::milliseconds(20));
        CHECK(router.received().find("no endpoint of the service") != std::string::npos);
    }
    SECTION("the peers hold nothing newer")
    {
        noteAnswer(state.documentAgreement, now, Duration::zero(), now);
        router.ask("keep-alive");
        router.run(std::chrono::milliseconds(20));
        CHECK(router.received().find(unknownRoute) == 0);
    }
}

TEST_CASE("a host that can't tell whether its document is current denies nothing for good")
{
    // Guards against 404 or 401 from a host that has heard nothing for seconds, for what was added meanwhile.
    Connected router;
    RelayState &state = router.relay.state();
    state.stage = RelayStage::Serving;
    const TimePoint now = Relay::now();
    const TimePoint longAgo = now - std::chrono::seconds(3);
    const bool routeIsKnown = GENERATE(false, true);
    SiteDocument document;
    if (routeIsKnown) {
        document = documentWithRoute();
        document.keysRequired = true;
        document.routes.front().open = false;
    }
    const std::string denied = routeIsKnown ? "HTTP/1.1 401" : "HTTP/1.1 404";
    state.routes = makeRouteTable(document);
    CopyAgreement &agreement = state.documentAgreement;
    std::string expected = "HTTP/1.1 503";
    SECTION("it has heard nothing")
    {
    }
    SECTION("what it heard is old")
    {
        noteReading(agreement, longAgo);
        noteAnswer(agreement, longAgo, Duration::zero(), longAgo);
        noteEqualReading(agreement, longAgo);
    }
    SECTION("it has read the store itself")
    {
        noteReading(agreement, now - std::chrono::seconds(1));
        expected = denied;
    }
    SECTION("a peer holds nothing newer")
    {
        noteAnswer(agreement, now, Duration::zero(), now);
        expected = denied;
    }
    SECTION("another router has read the store and found no more")
    {
        noteEqualReading(agreement, now);
        expected = denied;
    }
    router.ask("keep-alive");
    router.run(std::chrono::milliseconds(20));
    CHECK(router.received().find(expected) == 0);
}

TEST_CASE("a request that has arrived is answered before its connection counts as idle")
{
    // The loop was busy while the request came, so that nobody had begun to read it. The connection was closed as idle
    // and the request read and dropped: its caller heard nothing and may not repeat it.
    Connected router;
    router.ask("keep-alive");
    router.connection->closeIfIdle();
    router.run(std::chrono::milliseconds(20));
    CHECK(router.received().find("HTTP/1.1 503") == 0);
}

TEST_CASE("a request is not sent to an endpoint that leaves while the connection to it is made")
{
    // A busy router took up the new connection after it had read that the endpoint leaves, and sent the request all the
    // same.
    Connected router;
    tcp::acceptor endpoint(router.io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    endpoint.non_blocking(true);
    ListedEndpoint listed{EndpointId{"e"}, "s", formatAddress(endpoint.local_endpoint())};
    RelayState &state = router.relay.state();
    SiteDocument document;
    document.routes.emplace_back();
    document.routes.back().host = "a";
    document.routes.back().pathPrefix = "/";
    document.routes.back().services = {{"s", 1}};
    state.routes = makeRouteTable(document);
    state.stage = RelayStage::Serving;
    replaceEndpoints(state.endpoints, {listed});
    router.ask("keep-alive");
    router.io.restart();
    while (router.relay.counters().attempts == 0) {
        REQUIRE(router.io.run_one_for(std::chrono::seconds(1)) == 1);
    }
    SECTION("it says so")
    {
        listed.leaving = true;
        replaceEndpoints(state.endpoints, {listed});
    }
    SECTION("its entry goes")
    {
        replaceEndpoints(state.endpoints, {});
    }
    router.run(std::chrono::milliseconds(50));
    boost::system::error_code error;
    tcp::socket accepted = endpoint.accept(error);
    if (!error) {
        accepted.non_blocking(true);
        std::array<char, 64> bytes{};
        CHECK(accepted.read_some(boost::asio::buffer(bytes), error) == 0);
    }
    CHECK(router.received().find("HTTP/1.1 503") == 0);
}

namespace
{

// A router whose one customer has asked its one engine for a stream, and the engine's side of that request.
struct StreamAsked : Connected
{
    explicit StreamAsked(const std::string &millisecondsLeft = "9000", bool resumable = false)
        : acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , engine(io)
    {
        RelayState &state = relay.state();
        SiteDocument document;
        document.keysRequired = true;
        document.customers.push_back({Desk, {"key"}, {}, Total, {}});
        document.routes.emplace_back();
        document.routes.back().host = "a";
        document.routes.back().pathPrefix = "/";
        document.routes.back().kind = GatewayRouteKind::Streaming;
        document.routes.back().services = {{"s", 1}};
        document.routes.back().resumable = resumable;
        document.routes.back().maxEndpoints = 2;
        state.routes = makeRouteTable(document);
        state.stage = RelayStage::Serving;
        replaceEndpoints(state.endpoints,
                         {ListedEndpoint{EndpointId{"e"}, "s", formatAddress(acceptor.local_endpoint())}});
        applyTotals(state.prepaid, 1, {{Desk, Total}});
        account().granted = Total;
        account().mark = Mark{Total, 0, 0, std::chrono::hours(1)};
        boost::asio::write(caller,
                           boost::asio::buffer("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"
                                               + std::string(AttemptIdField) + ": 1\r\n" + std::string(ApiKeyField)
                                               + ": key\r\n" + std::string(TimeRemainingField) + ": " + millisecondsLeft
                                               + "\r\n" + std::string(TokenCountsField) + ": 700,20\r\n\r\n"));
        runUntil([this] {
            return relay.counters().attempts > 0;
        });
        engine = acceptor.accept();
        runUntil([this] {
            return engine.available() > 0;
        });
        // Closing a socket with unread bytes would reset it.
        std::array<char, 4096> request{};
        engine.read_some(boost::asio::buffer(request));
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            run(std::chrono::milliseconds(2));
        }
    }

    void leave()
    {
        caller.close();
        runUntil([this] {
            return relay.counters().callersLeft > 0;
        });
    }

    void runUntilSettled()
    {
        runUntil([this] {
            return account().reserved == 0;
        });
        CHECK(account().reserved == 0);
    }

    // Seven bytes.
    void sendEvent(const std::string &event = "id: 1\n\n")
    {
        boost::asio::write(engine,
                           boost::asio::buffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                                               + std::string(AttemptIdField) + ": 1\r\n"
                                               + std::string(ResponseSealField) + ": s\r\n\r\n7\r\n" + event + "\r\n"));
    }

    ShareAccount &account()
    {
        return relay.state().prepaid.accounts[Desk];
    }

    const CustomerId Desk{"desk"};
    static constexpr Tokens Total = 10'000;
    tcp::acceptor acceptor;
    tcp::socket engine;
};

} // namespace

TEST_CASE("each wish to repeat is counted with its outcome, and a stream that can't go on draws no repeat")
{
    // Guards against an allowance that is used up by repeats that are never sent.
    StreamAsked router("9000", true);
    router.relay.setRepeatRules(0, 0, std::chrono::seconds(10));
    const auto draws = [&router](RepeatOutcome outcome) {
        return router.relay.counters().repeatDraws[{"s", "connection_broken", outcome}];
    };
    bool goesOn = true;
    bool allowed = false;
    SECTION("the allowance is used up")
    {
    }
    SECTION("the allowance has room")
    {
        allowed = true;
    }
    SECTION("the last event has no number")
    {
        goesOn = false;
        allowed = true;
    }
    if (allowed) {
        router.relay.setRepeatRules(10, 0, std::chrono::seconds(10));
    }
    router.sendEvent(goesOn ? "id: 1\n\n" : "data:\n\n");
    router.runUntil([&router] {
        return router.caller.available() > 0;
    });
    router.engine.set_option(boost::asio::socket_base::linger(true, 0));
    router.engine.close();
    router.runUntil([&router] {
        return router.relay.counters().brokenOff > 0;
    });
    CHECK(router.relay.counters().brokenOff == 1);
    CHECK(draws(RepeatOutcome::Taken) == (goesOn && allowed ? 1 : 0));
    CHECK(draws(RepeatOutcome::Denied) == (goesOn && !allowed ? 1 : 0));
}

TEST_CASE("a call given up before its engine made an event costs its customer nothing")
{
    // Guards against budgets used up by callers that left, or ran out of time, behind busy engines.
    StreamAsked router;
    REQUIRE(router.account().reserved == 720);
    router.leave();
    router.engine.close();
    router.runUntilSettled();
    CHECK(router.account().net == 0);
}

TEST_CASE("a call whose time is over before its engine made an event costs its customer nothing")
{
    // Guards against budgets used up by calls that waited for nothing.
    StreamAsked router("400");
    router.runUntil([&] {
        return router.relay.counters().refusals[ErrorKind::AnswerLate] > 0;
    });
    router.engine.close();
    router.runUntilSettled();
    CHECK(router.account().net == 0);
}

TEST_CASE("a call whose engine ends its connection without an event is charged its prompt")
{
    // Guards against spending beyond a budget: an engine that has run a request may lose its answer.
    StreamAsked router;
    SECTION("in order")
    {
    }
    SECTION("by a reset")
    {
        router.engine.set_option(boost::asio::socket_base::linger(true, 0));
    }
    router.engine.close();
    router.runUntilSettled();
    CHECK(router.account().net == 700);
}

TEST_CASE("a call whose engine may have made an event is charged its prompt though the caller left")
{
    // Guards against spending beyond a budget: the event was on its way when the caller left.
    StreamAsked router;
    router.leave();
    CHECK(router.account().reserved == 720);
    SECTION("an event comes after the caller has left")
    {
        router.sendEvent();
    }
    SECTION("the engine breaks the connection")
    {
        router.engine.set_option(boost::asio::socket_base::linger(true, 0));
        router.engine.close();
    }
    SECTION("the engine keeps the connection open")
    {
    }
    router.runUntilSettled();
    CHECK(router.account().net == 700);
}
