#include "godwit/relay/hedged_attempt.h"

#include "godwit/http/address.h"
#include "godwit/relay/relay.h"
#include "godwit/relay/relay_call.h"
#include "platform/header_names.h"
#include "platform/testing/endless_server.h"
#include "platform/testing/fake_endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

using namespace Godwit;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using Testing::FakeEndpoint;
using Testing::ResponseCut;
using Testing::ResponseScript;

namespace
{

namespace http = boost::beast::http;

const std::string Service = "service";
const CustomerId Customer{"anna"};
constexpr Tokens Prompt = 100;
constexpr Tokens MaxOutput = 40;
constexpr Tokens Total = 10000;
constexpr auto LongerThanHedge = milliseconds(250); // The hedge is due after about 35 ms.

class RecordingSink : public AnswerSink
{
public:
    void send(std::string bytes) override
    {
        text += bytes;
    }
    std::size_t queuedBytes() const override
    {
        return 0;
    }
    void finish() override
    {
        ended = true;
    }
    void abort() override
    {
        ended = true;
    }
    bool beginAnswer(ResponseFraming) override
    {
        return false;
    }

    std::string text;
    bool ended = false;
};

RelayOptions hedgingOptions()
{
    RelayOptions options;
    options.dataCentre = DataCentreId{"north"};
    options.retryRules.ratio = 10;
    options.hedging.ratio = 1;
    return options;
}

GatewayRoute routeTo(const std::string &prefix, GatewayRouteKind kind, bool resumable)
{
    GatewayRoute route;
    route.host = "desk.example";
    route.pathPrefix = prefix;
    route.kind = kind;
    route.resumable = resumable;
    route.services = {{Service, 1}};
    route.maxEndpoints = 2;
    route.timeout = std::chrono::seconds(3);
    return route;
}

SiteDocument document()
{
    SiteDocument document;
    document.routes = {routeTo("/read/", GatewayRouteKind::Idempotent, false),
                       routeTo("/book/", GatewayRouteKind::NonIdempotent, false),
                       routeTo("/write/", GatewayRouteKind::Streaming, true),
                       routeTo("/chat/", GatewayRouteKind::Streaming, false)};
    document.customers = {{Customer, {"key"}, std::nullopt, Total, {}}};
    document.keysRequired = true;
    return document;
}

ListedEndpoint listed(const FakeEndpoint &endpoint, const char *dataCentre)
{
    ListedEndpoint entry;
    entry.id = EndpointId{endpoint.id()};
    entry.service = Service;
    entry.address = endpoint.address();
    entry.dataCentre = DataCentreId{dataCentre};
    return entry;
}

// A router that has learned times of 30 ms, with two endpoints. `first` gets each first attempt, since it is in the
// router's data centre.
struct HedgingRouter
{
    explicit HedgingRouter(const RelayOptions &options = hedgingOptions())
        : log(io, {})
        , relay(io, options, log)
        , first(io, "first", 5)
        , second(io, "second", 3)
        , queue(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        RelayState &state = relay.state();
        state.stage = RelayStage::Serving;
        state.routes = makeRouteTable(document());
        replaceEndpoints(state.endpoints, {listed(first, "north"), listed(second, "south")});
        ShareAccount &account = state.prepaid.accounts[Customer];
        account.bounded = true;
        account.total = account.granted = account.mark.limit = Total;
        for (int i = 0; i < 100; ++i) {
            recordAnswerTime(state.hedges, options.hedging, {Service, 0}, milliseconds(30), Relay::now());
        }
    }

    ~HedgingRouter()
    {
        if (call) {
            call->onCallerDisconnected();
        }
        run(milliseconds(1));
    }

    void start(const std::string &target, bool streams, const std::string &millisecondsLeft = "3000")
    {
        RequestHead head;
        head.method(http::verb::post);
        head.target(target);
        head.version(11);
        head.set(http::field::host, "desk.example");
        head.set(AttemptIdField, "r1");
        head.set(ApiKeyField, "key");
        head.set(TimeRemainingField, millisecondsLeft);
        if (streams) {
            head.set(TokenCountsField, std::to_string(Prompt) + ',' + std::to_string(MaxOutput));
        }
        call = std::make_shared<RelayCall>(relay, sink, std::move(head), "");
        call->start();
    }

    void run(milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    // Runs until `done`, at most for 1.5 s.
    void runUntil(const std::function<bool()> &done)
    {
        for (int i = 0; i < 300 && !done(); ++i) {
            run(milliseconds(5));
        }
        REQUIRE(done());
    }

    void finish()
    {
        runUntil([this] {
            return sink.ended;
        });
        run(milliseconds(20));
    }

    void runUntilHedged()
    {
        runUntil([this] {
            return second.totalRuns() == 1;
        });
    }

    int inFlight()
    {
        int sum = 0;
        for (const auto &[id, endpoint] : relay.state().endpoints.endpoints) {
            sum += endpoint.inFlight;
        }
        return sum;
    }

    // Sends first attempts to the queue.
    void queueFirst()
    {
        relay.state().endpoints.endpoints.at(EndpointId{first.id()}).listed.address =
            formatAddress(queue.local_endpoint());
    }

    // Closes the connection of the queued request in order, as an engine does when a request is withdrawn.
    void closeQueued()
    {
        tcp::socket accepted = queue.accept();
        std::array<char, 4096> request{};
        accepted.read_some(boost::asio::buffer(request));
        accepted.close();
        run(milliseconds(10));
    }

    std::uint64_t hedges(HedgeOutcome outcome)
    {
        return relay.counters().hedges[{Service, outcome}];
    }

    const ShareAccount &account()
    {
        return relay.state().prepaid.accounts.at(Customer);
    }

    bool receivedText(const std::string &text) const
    {
        return sink.text.find(text) != std::string::npos;
    }

    bool receivedOnce(const std::string &text) const
    {
        return receivedText(text) && sink.text.find(text) == sink.text.rfind(text);
    }

    boost::asio::io_context io;
    DecisionLog log;
    Relay relay;
    FakeEndpoint first;
    FakeEndpoint second;
    tcp::acceptor queue; // Of an engine that accepts a request and does not begin to answer it.
    RecordingSink sink;
    std::shared_ptr<RelayCall> call;
};

// Makes the endpoint send the head of a response and a part of its body or first event, and then nothing.
void stopInsideAnswer(FakeEndpoint &endpoint)
{
    endpoint.behaviour().eventInterval = std::chrono::seconds(2);
    endpoint.setResponseScript([](const std::string &) {
        ResponseScript script;
        script.cut = ResponseCut::InsideEvent;
        return script;
    });
}

} // namespace

TEST_CASE("a hedge that answers first wins whole, and the slow endpoint sees its connection close")
{
    HedgingRouter router;
    stopInsideAnswer(router.first);
    router.start("/read/1", false);
    router.finish();
    CHECK(router.receivedText("200 OK"));
    CHECK(router.receivedText("done by second"));
    CHECK(router.receivedOnce("done b"));
    CHECK(router.first.clientDisconnects() == 1);
    CHECK(router.second.lastHeaders().at("x-attempt-id") == "r1");
    CHECK(router.inFlight() == 0);
    CHECK(router.hedges(HedgeOutcome::Sent) == 1);
    CHECK(router.hedges(HedgeOutcome::Won) == 1);
    CHECK(router.relay.counters().retryDecisions.at({Service, "hedge", RetryOutcome::Taken}) == 1);
    CHECK(router.relay.counters().sends.beyondMaxEndpoints == 0);
}

TEST_CASE("a first attempt whose event comes first wins, and the hedge's endpoint sees its connection close at once")
{
    // Guards against a hedge that stays open and takes over a stream of which events were forwarded.
    HedgingRouter router;
    router.queueFirst();
    router.second.faults().hang = true;
    router.start("/write/1", true);
    router.runUntilHedged();
    tcp::socket engine = router.queue.accept();
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + std::string(AttemptIdField) + ": r1\r\n";
    boost::asio::write(engine,
                       boost::asio::buffer(head + std::string(ResponseSealField) + ": s\r\n\r\n7\r\nid: 1\n\n\r\n"));
    router.run(milliseconds(20));
    CHECK(router.receivedOnce("id: 1\n"));
    CHECK_FALSE(router.sink.ended);
    CHECK(router.second.clientDisconnects() == 1);
    CHECK(router.inFlight() == 1);
    CHECK(router.hedges(HedgeOutcome::Lost) == 1);
}

TEST_CASE("a stream whose first attempt stops inside its first event is answered by the hedge alone")
{
    // Guards against a response with parts of two runs: the streams of the two endpoints differ in length.
    HedgingRouter router;
    stopInsideAnswer(router.first);
    router.start("/write/1", true);
    router.finish();
    CHECK(router.sink.ended);
    CHECK(router.receivedText("part 3"));
    CHECK_FALSE(router.receivedText("part 4"));
    CHECK(router.receivedOnce("HTTP/1.1"));
    CHECK(router.receivedOnce("id: 1\n"));
    CHECK(router.first.clientDisconnects() == 1);
}

TEST_CASE("if the first endpoint dies while a hedge is open, the hedge answers")
{
    HedgingRouter router;
    router.first.faults().hang = true;
    router.second.behaviour().responseDelay = milliseconds(100);
    router.start("/read/1", false);
    router.runUntilHedged();
    router.first.crash();
    router.finish();
    CHECK(router.receivedText("done by second"));
    CHECK(router.second.totalRuns() == 1);
    CHECK(router.inFlight() == 0);
    CHECK(router.hedges(HedgeOutcome::Won) == 1);
}

TEST_CASE("if the hedge's endpoint fails, the first attempt goes on")
{
    HedgingRouter router;
    router.first.behaviour().responseDelay = milliseconds(150);
    SECTION("its connection breaks")
    {
        router.second.faults().resetAfterRun = true;
    }
    SECTION("it responds with an error")
    {
        router.second.faults().fail = true;
    }
    SECTION("it has no room")
    {
        router.second.faults().shed = true;
    }
    router.start("/read/1", false);
    router.finish();
    CHECK(router.receivedText("done by first"));
    CHECK(router.inFlight() == 0);
    CHECK(router.hedges(HedgeOutcome::Sent) == 1);
    CHECK(router.hedges(HedgeOutcome::Lost) == 1);
}

TEST_CASE("a hedge whose response does not end is given up early, and the first attempt goes on")
{
    // Guards against a response without an end being kept while it isn't known which attempt wins.
    constexpr std::size_t socketBufferBytes = 12UL * 1024 * 1024;
    const std::string events = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &[target, start] : {std::pair<const char *, std::string>{"/read/1", "HTTP/1.1 200 OK\r\n\r\n"},
                                        {"/read/1", "HTTP/1.1 500 Failed\r\n\r\n"},
                                        {"/read/1", "HTTP/1.1 200 OK\r\nX-Field: "},
                                        {"/read/1", chunked + "5;"},
                                        {"/read/1", chunked + "0\r\nX-Field: "},
                                        {"/read/1", ""},
                                        {"/write/1", events + "id: 1\ndata: "}}) {
        INFO(target << '\n' << start);
        const Testing::EndlessServer endless(start, std::string(16UL * 1024, 'x'));
        HedgingRouter router;
        router.queueFirst();
        router.relay.state().endpoints.endpoints.at(EndpointId{router.second.id()}).listed.address = endless.address();
        router.start(target, std::string(target) == "/write/1");
        router.runUntil([&router] {
            return router.hedges(HedgeOutcome::Lost) == 1;
        });
        tcp::socket engine = router.queue.accept();
        std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
        answer.append(AttemptIdField).append(": r1\r\n").append(ResponseSealField);
        answer.append(": s\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n");
        boost::asio::write(engine, boost::asio::buffer(answer));
        router.finish();
        CHECK(router.receivedOnce("HTTP/1.1 200 OK"));
        CHECK(router.receivedOnce("id: 1\n"));
        CHECK_FALSE(router.receivedText("xxxx"));
        CHECK(endless.mostSent() > 0);
        CHECK(endless.mostSent() < socketBufferBytes);
        CHECK(router.inFlight() == 0);
    }
}

TEST_CASE("if both endpoints die, the caller learns that the request may have run")
{
    HedgingRouter router;
    router.first.faults().hang = true;
    router.second.faults().hang = true;
    router.start("/read/1", false);
    router.runUntilHedged();
    router.first.crash();
    router.run(milliseconds(20));
    CHECK_FALSE(router.sink.ended);
    router.second.crash();
    router.finish();
    CHECK(router.receivedText("502 "));
    CHECK(router.inFlight() == 0);
}

TEST_CASE("no hedge is sent where it could do harm or is off")
{
    RelayOptions options = hedgingOptions();
    bool streams = false;
    std::string target;
    SECTION("a request that may run only once")
    {
        target = "/book/1";
    }
    SECTION("a stream that cannot be resumed")
    {
        target = "/chat/1";
        streams = true;
    }
    SECTION("the ratio is 0")
    {
        options.hedging.ratio = 0;
        target = "/read/1";
    }
    HedgingRouter router(options);
    router.first.faults().hang = true;
    router.start(target, streams);
    router.run(LongerThanHedge);
    CHECK(router.first.totalRuns() == 1);
    CHECK(router.second.totalRuns() == 0);
    CHECK(router.hedges(HedgeOutcome::Denied) == 0);
}

TEST_CASE("a stream that has passed on an event gets no hedge")
{
    HedgingRouter router;
    router.first.behaviour().eventInterval = milliseconds(60);
    router.start("/write/1", true);
    router.finish();
    CHECK(router.receivedText("part 5"));
    CHECK(router.second.totalRuns() == 0);
}

TEST_CASE("a denied hedge is counted, and the held head of the stream is forwarded")
{
    HedgingRouter router;
    stopInsideAnswer(router.first);
    router.relay.state().hedges.roomShortAt[Service] = Relay::now() + milliseconds(100);
    router.start("/write/1", true);
    router.run(LongerThanHedge);
    CHECK(router.second.totalRuns() == 0);
    CHECK(router.hedges(HedgeOutcome::Denied) == 1);
    CHECK(router.receivedText("200 OK"));
}

TEST_CASE("both runs are reserved in full, and the request is charged once")
{
    // Guards the customer's total, which two runs could exceed without a second reservation, and against billing a
    // prompt twice.
    HedgingRouter router;
    bool queued = false;
    SECTION("the loser has not begun")
    {
        router.queueFirst();
        queued = true;
    }
    SECTION("the loser has begun")
    {
        stopInsideAnswer(router.first);
    }
    router.start("/write/1", true);
    CHECK(router.account().reserved == Prompt + MaxOutput);
    router.finish();
    if (queued) {
        CHECK(router.account().reserved == Prompt + MaxOutput);
        router.closeQueued();
    }
    CHECK(router.account().reserved == 0);
    CHECK(router.account().netUsed == Prompt + 3);
}

TEST_CASE(
    "when the caller leaves or the deadline passes, both runs are cancelled at once and both reservations are settled")
{
    HedgingRouter router;
    router.queueFirst();
    router.second.faults().hang = true;
    router.start("/write/1", true, "200");
    router.runUntilHedged();
    CHECK(router.account().reserved == 2 * (Prompt + MaxOutput));
    SECTION("the caller leaves")
    {
        router.call->onCallerDisconnected();
    }
    SECTION("the deadline passes")
    {
        router.finish();
        CHECK(router.receivedText("504 "));
    }
    router.closeQueued();
    CHECK(router.second.clientDisconnects() == 1);
    CHECK(router.inFlight() == 0);
    CHECK(router.account().reserved == 0);
    // The second endpoint resets the connection, so that it may have begun.
    CHECK(router.account().netUsed == Prompt);
}

TEST_CASE("a customer whose tokens do not cover a second reservation gets no hedge")
{
    HedgingRouter router;
    router.first.faults().hang = true;
    router.relay.state().prepaid.accounts[Customer].granted = 2 * (Prompt + MaxOutput) - 1;
    router.start("/write/1", true);
    router.run(LongerThanHedge);
    CHECK(router.second.totalRuns() == 0);
    CHECK(router.hedges(HedgeOutcome::Denied) == 1);
}
