#include "godwit/http/address.h"
#include "godwit/relay/connection_borrower.h"
#include "godwit/relay/connection_lender.h"
#include "godwit/relay/endpoint_probe.h"
#include "godwit/relay/lending_protocol.h"
#include "godwit/relay/socket_progress.h"
#include "platform/testing/consumed_reset.h"
#include "platform/testing/endless_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <string>

using namespace Godwit;
using namespace Godwit::Testing;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

tcp::endpoint loopback()
{
    return {boost::asio::ip::make_address("127.0.0.1"), 0};
}

// A lender, an endpoint that it lists, and the borrower's side of the last loan.
struct LendingFixture
{
    explicit LendingFixture(std::size_t maxConnections = 4)
        : log(io, {})
        , relay(io, {}, log)
        , endpoint(io, loopback())
        , lender(relay, optionsWith(maxConnections))
    {
        relay.state().stage = RelayStage::Serving;
        list(false);
        LastReason reason;
        REQUIRE(lender.listen("127.0.0.1:0", reason));
    }

    static LenderOptions optionsWith(std::size_t maxConnections)
    {
        LenderOptions options;
        options.secret = "secret";
        options.maxConnections = maxConnections;
        return options;
    }

    void list(bool draining)
    {
        ListedEndpoint listed;
        listed.id = EndpointId{"e"};
        listed.service = "engine";
        listed.address = formatAddress(endpoint.local_endpoint());
        listed.draining = draining;
        replaceEndpoints(relay.state().endpoints, {listed});
    }

    LendingReply borrow(const std::string &secret = "secret",
                        const std::string &id = "e",
                        LendingPurpose purpose = LendingPurpose::Lend)
    {
        std::optional<LendingReply> got;
        relay.state().reach.groups[{"engine", {}}].lastAnswerAt = lastAnswerAt.value_or(Relay::now());
        const Lender target{{}, lender.address(), secret};
        const LendingRequest request{purpose, {}, EndpointId{id}, formatAddress(endpoint.local_endpoint())};
        ConnectionBorrower::start(
            io, target, request, std::chrono::seconds(2), [&](LendingReply reply, tcp::socket socket) {
                got = reply;
                borrowed.emplace(std::move(socket));
            });
        runUntil([&] {
            return got.has_value();
        });
        return got.value_or(LendingReply::NoReply);
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
        }
    }

    // Reads until something arrives or the connection ends.
    error_code readFrom(tcp::socket &socket, std::string &text)
    {
        std::optional<error_code> result;
        std::array<char, 64> bytes{};
        socket.async_read_some(boost::asio::buffer(bytes), [&](const error_code &error, std::size_t count) {
            text.assign(bytes.data(), count);
            result = error;
        });
        runUntil([&] {
            return result.has_value();
        });
        return result.value_or(boost::asio::error::timed_out);
    }

    boost::asio::io_context io;
    DecisionLog log;
    Relay relay;
    tcp::acceptor endpoint;
    ConnectionLender lender;
    std::optional<tcp::socket> borrowed;
    std::optional<TimePoint> lastAnswerAt; // Of the endpoint's group; unset: now.
};

} // namespace

TEST_CASE("a lending request is decoded as it was encoded")
{
    const LendingRequest request{LendingPurpose::Probe, "s1", EndpointId{"i-1"}, "10.0.0.1:80"};
    const auto decoded = decodeLendingRequest(encodeLendingRequest(request));
    REQUIRE(decoded);
    CHECK(decoded->purpose == LendingPurpose::Probe);
    CHECK(decoded->secret == "s1");
    CHECK(decoded->endpoint == EndpointId{"i-1"});
    CHECK(decoded->address == "10.0.0.1:80");
    for (const char *text : {"", "\n", "LEND", "LEND s e", "LEND s e a b", "BUY s e a", "LEND  e a", "LEND s e "}) {
        CAPTURE(text);
        CHECK_FALSE(decodeLendingRequest(text));
    }
    CHECK(decodeLendingReply('+') == LendingReply::Connected);
    CHECK(decodeLendingReply('?') == LendingReply::NoReply);
}

TEST_CASE("a lent connection passes bytes in both directions")
{
    LendingFixture fixture;
    REQUIRE(fixture.borrow() == LendingReply::Connected);
    tcp::socket endpoint = fixture.endpoint.accept();
    std::string text;
    boost::asio::write(*fixture.borrowed, boost::asio::buffer(std::string("question")));
    CHECK_FALSE(fixture.readFrom(endpoint, text));
    CHECK(text == "question");
    boost::asio::write(endpoint, boost::asio::buffer(std::string("answer")));
    CHECK_FALSE(fixture.readFrom(*fixture.borrowed, text));
    CHECK(text == "answer");
    CHECK(fixture.lender.openConnections() == 1);
}

TEST_CASE("a lender refuses requests that it must not grant")
{
    LendingFixture fixture;
    CHECK(fixture.borrow("guess") == LendingReply::Denied);
    CHECK(fixture.borrow("secret", "other") == LendingReply::NotListed);
    fixture.list(true);
    CHECK(fixture.borrow() == LendingReply::NotListed);
    CHECK(fixture.borrow("secret", "e", LendingPurpose::Probe) == LendingReply::Connected);
    fixture.list(false);
    fixture.relay.state().stage = RelayStage::Leaving;
    CHECK(fixture.borrow() == LendingReply::Leaving);
    fixture.relay.state().stage = RelayStage::Serving;
    fixture.relay.state().reach.groups[{"engine", {}}].partitionedSince = Relay::now();
    CHECK(fixture.borrow() == LendingReply::Partitioned);
    fixture.runUntil([&] {
        return fixture.lender.openConnections() == 0;
    });
    CHECK(fixture.lender.openConnections() == 0);
}

// Guards against loans by a router that is partitioned itself and has had no requests that show it.
TEST_CASE("a lender that no endpoint has answered lately probes the endpoint first")
{
    LendingFixture fixture;
    fixture.lastAnswerAt = TimePoint{};
    CHECK(fixture.borrow() == LendingReply::Unreachable);
    CHECK(fixture.relay.state().reach.groups.at({"engine", {}}).troubledAt);
}

TEST_CASE("a lender bounds the number of its loans")
{
    LendingFixture fixture(1);
    REQUIRE(fixture.borrow() == LendingReply::Connected);
    const tcp::socket first = std::move(*fixture.borrowed);
    CHECK(fixture.borrow() == LendingReply::Busy);
}

// Guards against strangers that connect and send nothing taking all loans from the routers of the fleet.
TEST_CASE("a connection without a request gives way to one with a request")
{
    LendingFixture fixture(1);
    tcp::socket silent(fixture.io);
    LastReason reason;
    silent.connect(*parseAddress(fixture.lender.address(), reason));
    fixture.io.restart();
    fixture.io.run_for(std::chrono::milliseconds(20));
    REQUIRE(fixture.lender.openConnections() == 1);
    CHECK(fixture.borrow() == LendingReply::Connected);
}

// Guards against an answer that is cut off on the way and looks complete.
TEST_CASE("a lender passes on the end of a connection as it is")
{
    LendingFixture fixture;
    std::string text;
    SECTION("an orderly end of the endpoint")
    {
        REQUIRE(fixture.borrow() == LendingReply::Connected);
        tcp::socket endpoint = fixture.endpoint.accept();
        endpoint.close();
        CHECK(fixture.readFrom(*fixture.borrowed, text) == boost::asio::error::eof);
    }
    SECTION("a reset by the endpoint")
    {
        REQUIRE(fixture.borrow() == LendingReply::Connected);
        tcp::socket endpoint = fixture.endpoint.accept();
        reset(endpoint);
        CHECK(fixture.readFrom(*fixture.borrowed, text) == boost::asio::error::connection_reset);
    }
    SECTION("a reset by the endpoint whose error another call has consumed")
    {
        REQUIRE(fixture.borrow() == LendingReply::Connected);
        tcp::socket endpoint = fixture.endpoint.accept();
        const auto descriptor = descriptorConnectedTo(fixture.endpoint.local_endpoint());
        REQUIRE(descriptor);
        reset(endpoint);
        REQUIRE(consumeReset(*descriptor));
        CHECK(fixture.readFrom(*fixture.borrowed, text) == boost::asio::error::connection_reset);
    }
    SECTION("a reset by an endpoint that has closed its side in order before")
    {
        REQUIRE(fixture.borrow() == LendingReply::Connected);
        tcp::socket endpoint = fixture.endpoint.accept();
        endpoint.shutdown(tcp::socket::shutdown_send);
        REQUIRE(fixture.readFrom(*fixture.borrowed, text) == boost::asio::error::eof);
        reset(endpoint);
        fixture.runUntil([&] {
            return wasReset(*fixture.borrowed);
        });
        CHECK(wasReset(*fixture.borrowed));
    }
    SECTION("a reset by an endpoint that has closed its side in order before it read the request")
    {
        fixture.endpoint.set_option(tcp::acceptor::receive_buffer_size(4096));
        REQUIRE(fixture.borrow() == LendingReply::Connected);
        tcp::socket endpoint = fixture.endpoint.accept();
        const std::string request(500'000, 'b');
        bool written = false;
        boost::asio::async_write(
            *fixture.borrowed, boost::asio::buffer(request), [&](const error_code &error, std::size_t) {
                written = !error;
            });
        fixture.runUntil([&] {
            return written;
        });
        REQUIRE(written); // The lender's kernel has taken it.
        endpoint.shutdown(tcp::socket::shutdown_send);
        fixture.io.restart();
        fixture.io.run_for(std::chrono::milliseconds(100));
        reset(endpoint);
        CHECK(fixture.readFrom(*fixture.borrowed, text) == boost::asio::error::connection_reset);
    }
    SECTION("half of a connection that the endpoint closes before it reads the request")
    {
        fixture.endpoint.set_option(tcp::acceptor::receive_buffer_size(4096));
        REQUIRE(fixture.borrow() == LendingReply::Connected);
        tcp::socket endpoint = fixture.endpoint.accept();
        endpoint.non_blocking(true);
        const std::string request(500'000, 'b');
        boost::asio::async_write(
            *fixture.borrowed, boost::asio::buffer(request), [](const error_code &, std::size_t) {});
        endpoint.shutdown(tcp::socket::shutdown_send);
        std::size_t arrived = 0;
        std::string bytes(64UL * 1024, '\0');
        fixture.runUntil([&] {
            error_code ignored;
            arrived += endpoint.read_some(boost::asio::buffer(bytes), ignored);
            return arrived == request.size();
        });
        CHECK(arrived == request.size());
        CHECK(fixture.readFrom(*fixture.borrowed, text) == boost::asio::error::eof);
    }
    SECTION("half of a connection that the borrower closes")
    {
        REQUIRE(fixture.borrow() == LendingReply::Connected);
        tcp::socket endpoint = fixture.endpoint.accept();
        fixture.borrowed->shutdown(tcp::socket::shutdown_send);
        CHECK(fixture.readFrom(endpoint, text) == boost::asio::error::eof);
        boost::asio::write(endpoint, boost::asio::buffer(std::string("rest")));
        CHECK_FALSE(fixture.readFrom(*fixture.borrowed, text));
        CHECK(text == "rest");
    }
    fixture.borrowed->close();
    fixture.runUntil([&] {
        return fixture.lender.openConnections() == 0;
    });
    CHECK(fixture.lender.openConnections() == 0);
}

TEST_CASE("a lender reports an endpoint that refuses connections")
{
    LendingFixture fixture;
    const std::string address = formatAddress(fixture.endpoint.local_endpoint());
    fixture.endpoint.close();
    fixture.relay.state().reach.groups[{"engine", {}}].lastAnswerAt = Relay::now();
    std::optional<LendingReply> got;
    ConnectionBorrower::start(fixture.io,
                              {{}, fixture.lender.address(), "secret"},
                              {LendingPurpose::Probe, {}, EndpointId{"e"}, address},
                              std::chrono::seconds(2),
                              [&](LendingReply reply, const tcp::socket &) {
                                  got = reply;
                              });
    fixture.runUntil([&] {
        return got.has_value();
    });
    CHECK(got == LendingReply::Refused);
}

TEST_CASE("a lender closes connections that ask too much")
{
    LendingFixture fixture;
    tcp::socket socket(fixture.io);
    LastReason reason;
    socket.connect(*parseAddress(fixture.lender.address(), reason));
    boost::asio::write(socket, boost::asio::buffer(std::string(MaxLendingRequestBytes + 1, 'x')));
    std::string text;
    CHECK(fixture.readFrom(socket, text));
    CHECK(fixture.lender.openConnections() == 0);
}

TEST_CASE("a lender keeps no more of what its borrower does not read than its buffers hold")
{
    // Guards against an endpoint that sends without end filling the memory of a router that lends a connection to it.
    constexpr std::size_t most = 64UL * 1024 * 1024;
    constexpr std::size_t socketBuffersBytes = 24UL * 1024 * 1024; // Of the three sockets on the way.
    constexpr int mostStalls = 200;
    LendingFixture fixture;
    REQUIRE(fixture.borrow() == LendingReply::Connected);
    tcp::socket endpoint = fixture.endpoint.accept();
    endpoint.non_blocking(true);
    const std::string piece(16UL * 1024, 'x');
    std::size_t sent = 0;
    for (int stalls = 0; sent < most && stalls < mostStalls;) {
        error_code error;
        sent += endpoint.write_some(boost::asio::buffer(piece), error);
        stalls = error == boost::asio::error::would_block ? stalls + 1 : 0;
        fixture.io.restart();
        fixture.io.run_for(std::chrono::milliseconds(error ? 1 : 0));
    }
    CHECK(sent > piece.size());
    CHECK(sent < socketBuffersBytes);
}

TEST_CASE("a probe reads no more than it needs")
{
    // Guards against a probed endpoint that sends without end.
    constexpr std::size_t socketBufferBytes = 12UL * 1024 * 1024;
    const EndlessServer endpoint("HTTP/1.1 200 OK\r\nX-Field: ", std::string(16UL * 1024, 'x'));
    boost::asio::io_context io;
    std::optional<ProbeOutcome> outcome;
    probeResponse(io, endpoint.address(), "/health", std::chrono::seconds(2), [&outcome](ProbeOutcome reported) {
        outcome = reported;
    });
    io.run_for(std::chrono::seconds(3));
    CHECK(outcome == ProbeOutcome::Accepts);
    CHECK(endpoint.mostSent() < socketBufferBytes);
}
