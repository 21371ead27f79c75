#include "godwit/relay/endpoint_exchange.h"

#include "godwit/http/address.h"
#include "platform/header_names.h"
#include "platform/testing/consumed_reset.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace Godwit;
using namespace Godwit::Testing;
using boost::asio::ip::tcp;

namespace
{

// An exchange with an endpoint that accepts connections but only responds when the test does, and what it reported.
struct ExchangeFixture
{
    explicit ExchangeFixture(Duration connectTimeout, ExchangeOptions options = {})
        : acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        options.connectTimeout = connectTimeout;
        ExchangeHandlers handlers;
        handlers.onHead = [this](const ResponseHead &, const ResponseMetadata &) {
            ++heads;
        };
        handlers.onBody = [this](std::string_view bytes) {
            bodyBytes += bytes.size();
        };
        handlers.onEnd = [this] {
            ended = true;
        };
        handlers.onFailed = [this](ExchangeFailure reported) {
            failure = reported;
        };
        exchange = std::make_shared<EndpointExchange>(io, pool, options, std::move(handlers), held);
    }

    void start()
    {
        exchange->start(EndpointId{"e"}, formatAddress(acceptor.local_endpoint()), "GET / HTTP/1.1\r\n\r\n", "a");
    }

    // Sends the request and returns the endpoint's socket once the request has arrived there.
    tcp::socket sendRequest()
    {
        start();
        tcp::socket endpoint = acceptor.accept();
        runUntil([&] {
            return endpoint.available() > 0;
        });
        // Closing a socket with unread bytes would send a reset.
        std::array<char, 64> request{};
        endpoint.read_some(boost::asio::buffer(request));
        return endpoint;
    }

    tcp::socket sendAndWithdraw(Duration limit)
    {
        tcp::socket endpoint = sendRequest();
        exchange->withdraw(limit, [this](WithdrawalOutcome reported) {
            outcome = reported;
        });
        return endpoint;
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

    std::size_t bytesAtEndpoint()
    {
        tcp::socket accepted = acceptor.accept();
        accepted.non_blocking(true);
        std::array<char, 64> bytes{};
        boost::system::error_code error;
        return accepted.read_some(boost::asio::buffer(bytes), error);
    }

    boost::asio::io_context io;
    ConnectionPool pool;
    tcp::acceptor acceptor;
    std::shared_ptr<HeldBytes> held = std::make_shared<HeldBytes>();
    std::shared_ptr<EndpointExchange> exchange;
    std::optional<ExchangeFailure> failure;
    std::optional<WithdrawalOutcome> outcome;
    int heads = 0;
    std::size_t bodyBytes = 0;
    bool ended = false; // It reported a complete response.
};

void answer(tcp::socket &endpoint, const std::string &fields)
{
    boost::asio::write(endpoint, boost::asio::buffer("HTTP/1.1 " + fields + "\r\nContent-Length: 0\r\n\r\n"));
}

} // namespace

TEST_CASE("a connection established as its timeout expires is not reported as failed")
{
    // Guards against running a request twice. When the event loop is delayed, the established connection and the
    // expired connect timer are queued together: the request was sent, then the timer reported that no byte had been
    // sent, and a second endpoint got the request.
    ExchangeFixture fixture(std::chrono::milliseconds(1));
    fixture.start();
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    for (int turn = 0; turn < 20; ++turn) {
        fixture.io.poll();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    // Otherwise the timeout came before the connection was established, and the race was not exercised.
    REQUIRE(fixture.bytesAtEndpoint() > 0);
    CHECK_FALSE(fixture.failure);
    fixture.exchange->cancel();
    fixture.io.poll();
}

TEST_CASE("an unparsable address or a closed port is reported as not connected")
{
    ExchangeFixture fixture(std::chrono::milliseconds(200));
    SECTION("unparsable address")
    {
        fixture.exchange->start(EndpointId{"e"}, "nowhere", "GET / HTTP/1.1\r\n\r\n", "a");
    }
    SECTION("connection refused")
    {
        const auto address = formatAddress(fixture.acceptor.local_endpoint());
        fixture.acceptor.close();
        fixture.exchange->start(EndpointId{"e"}, address, "GET / HTTP/1.1\r\n\r\n", "a");
    }
    fixture.io.run_for(std::chrono::seconds(1));
    CHECK(fixture.failure == ExchangeFailure::NotConnected);
}

TEST_CASE("a request is reported as unanswered only after an orderly close without a response byte")
{
    // Guards against overspending: a reset may discard an event in transit.
    ExchangeFixture fixture(std::chrono::milliseconds(200));
    tcp::socket endpoint = fixture.sendRequest();
    ExchangeFailure expected = ExchangeFailure::Broken;
    SECTION("it closes the connection")
    {
        expected = ExchangeFailure::Unanswered;
    }
    SECTION("only part of a response head was received")
    {
        boost::asio::write(endpoint, boost::asio::buffer("HTTP/1.1 2", 10));
    }
    SECTION("it resets the connection")
    {
        endpoint.set_option(boost::asio::socket_base::linger(true, 0));
    }
    endpoint.close();
    fixture.runUntil([&] {
        return fixture.failure.has_value();
    });
    REQUIRE(fixture.failure);
    CHECK(exchangeFailureName(*fixture.failure) == exchangeFailureName(expected));
}

TEST_CASE("a withdrawn request is reported as unanswered only after an orderly close without a response byte")
{
    // Guards against overspending: data that the endpoint sent before the caller disconnected must still be noticed.
    ExchangeFixture fixture(std::chrono::milliseconds(200));
    const std::string attemptOf = "\r\n" + std::string(AttemptIdField) + ": ";
    tcp::socket endpoint = fixture.sendAndWithdraw(std::chrono::seconds(1));
    WithdrawalOutcome expected = WithdrawalOutcome::Unanswered;
    SECTION("it closes the connection")
    {
        endpoint.close();
    }
    SECTION("its response was in transit")
    {
        answer(endpoint, "200 OK" + attemptOf + "a");
        endpoint.close();
        expected = WithdrawalOutcome::Answered;
    }
    SECTION("only part of a response head was received")
    {
        boost::asio::write(endpoint, boost::asio::buffer("HTTP/1.1 2", 10));
        endpoint.close();
        expected = WithdrawalOutcome::Unknown;
    }
    SECTION("it reports that it did not run the request")
    {
        answer(endpoint, "503 Busy\r\n" + std::string(NotExecutedField) + ": 1" + attemptOf + "a");
        expected = WithdrawalOutcome::NotRun;
    }
    SECTION("a response to an earlier request comes first")
    {
        answer(endpoint, "200 OK" + attemptOf + "earlier");
        answer(endpoint, "200 OK" + attemptOf + "a");
        expected = WithdrawalOutcome::Answered;
    }
    SECTION("it resets the connection")
    {
        endpoint.set_option(boost::asio::socket_base::linger(true, 0));
        endpoint.close();
        expected = WithdrawalOutcome::Unknown;
    }
    SECTION("it does not close the connection in time")
    {
        expected = WithdrawalOutcome::Unknown;
    }
    fixture.runUntil([&] {
        return fixture.outcome.has_value();
    });
    REQUIRE(fixture.outcome);
    CHECK(withdrawalOutcomeName(*fixture.outcome) == withdrawalOutcomeName(expected));
    CHECK_FALSE(fixture.failure);
}

TEST_CASE("a late response to another request, terminated by connection close, does not complete this request")
{
    // Guards against a late response without a declared length being taken for the response to the request in flight.
    ExchangeFixture fixture(std::chrono::milliseconds(200));
    const std::string late = "HTTP/1.1 200 OK\r\n" + std::string(AttemptIdField) + ": earlier\r\n\r\nlate";
    SECTION("the request is in flight")
    {
        tcp::socket endpoint = fixture.sendRequest();
        boost::asio::write(endpoint, boost::asio::buffer(late));
        endpoint.close();
        fixture.runUntil([&] {
            return fixture.failure || fixture.ended;
        });
        CHECK(fixture.failure == ExchangeFailure::Broken);
    }
    SECTION("the request was withdrawn")
    {
        tcp::socket endpoint = fixture.sendAndWithdraw(std::chrono::seconds(1));
        boost::asio::write(endpoint, boost::asio::buffer(late));
        endpoint.close();
        fixture.runUntil([&] {
            return fixture.outcome.has_value();
        });
        CHECK(fixture.outcome == WithdrawalOutcome::Unknown);
    }
    CHECK_FALSE(fixture.ended);
}

TEST_CASE("a response without a declared length is not complete if another call has consumed the reset's error")
{
    // Guards against a reset that looks like an orderly close: the kernel reports it to one call only, such as a write
    // whose handler has not run yet.
    ExchangeFixture fixture(std::chrono::milliseconds(200));
    tcp::socket kept(fixture.io);
    kept.connect(fixture.acceptor.local_endpoint());
    tcp::socket endpoint = fixture.acceptor.accept();
    const TimePoint expiry =
        std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now() + std::chrono::seconds(1));
    fixture.pool.release(EndpointId{"e"}, {std::move(kept), {}, expiry});
    fixture.start();
    fixture.runUntil([&] {
        return endpoint.available() > 0;
    });
    boost::asio::write(endpoint, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
    fixture.runUntil([&] {
        return fixture.bodyBytes > 0;
    });
    const auto descriptor = descriptorConnectedTo(fixture.acceptor.local_endpoint());
    REQUIRE(descriptor);
    reset(endpoint);
    REQUIRE(consumeReset(*descriptor));
    fixture.runUntil([&] {
        return fixture.failure || fixture.ended;
    });
    CHECK_FALSE(fixture.ended);
    CHECK(fixture.failure == ExchangeFailure::Broken);
}

TEST_CASE("a response without a declared length does not end before its request is written")
{
    // Guards against an endpoint that closes its sending side and then breaks off, without having read the request.
    ExchangeOptions options;
    options.stalledReaderTimeout = std::chrono::milliseconds(400);
    ExchangeFixture fixture(std::chrono::milliseconds(200), options);
    fixture.acceptor.set_option(tcp::acceptor::receive_buffer_size(4096));
    constexpr std::size_t requestBytes = 2'000'000;
    fixture.exchange->start(
        EndpointId{"e"}, formatAddress(fixture.acceptor.local_endpoint()), std::string(requestBytes, 'b'), "a");
    tcp::socket endpoint = fixture.acceptor.accept();
    endpoint.non_blocking(true);
    boost::asio::write(endpoint, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
    endpoint.shutdown(tcp::socket::shutdown_send);
    fixture.runUntil([&] {
        return fixture.bodyBytes > 0;
    });
    fixture.io.restart();
    fixture.io.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(fixture.ended);
    CHECK_FALSE(fixture.failure);
    SECTION("it resets the connection")
    {
        reset(endpoint);
        fixture.runUntil([&] {
            return fixture.failure || fixture.ended;
        });
        CHECK(fixture.failure == ExchangeFailure::Broken);
        CHECK(fixture.exchange->connectionEnd() == ConnectionEnd::Broken);
    }
    SECTION("it reads nothing more")
    {
        fixture.runUntil([&] {
            return fixture.failure || fixture.ended;
        });
        CHECK(fixture.failure == ExchangeFailure::Stalled);
    }
    SECTION("it reads the request")
    {
        std::string bytes(64UL * 1024, '\0');
        fixture.runUntil([&] {
            boost::system::error_code ignored;
            endpoint.read_some(boost::asio::buffer(bytes), ignored);
            return fixture.failure || fixture.ended;
        });
        CHECK(fixture.ended);
        CHECK_FALSE(fixture.failure);
        CHECK(fixture.exchange->connectionEnd() == ConnectionEnd::Closed);
    }
}

TEST_CASE("a reset that follows the end of a response is noticed")
{
    // Guards against a response being taken for complete though its endpoint broke off, after the orderly end of its
    // sending side.
    ExchangeFixture fixture(std::chrono::milliseconds(200));
    tcp::socket endpoint = fixture.sendRequest();
    boost::asio::write(endpoint, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
    endpoint.shutdown(tcp::socket::shutdown_send);
    fixture.runUntil([&] {
        return fixture.ended;
    });
    REQUIRE(fixture.ended);
    CHECK(fixture.exchange->requestWasTaken());
    reset(endpoint);
    fixture.runUntil([&] {
        return !fixture.exchange->requestWasTaken();
    });
    CHECK_FALSE(fixture.exchange->requestWasTaken());
}

TEST_CASE("a response whose status is no status is malformed")
{
    // Guards against callers receiving a status that HTTP doesn't know, and with it a response that says nothing.
    for (const char *status : {"000", "099", "600", "999"}) {
        ExchangeFixture fixture(std::chrono::milliseconds(200));
        tcp::socket endpoint = fixture.sendRequest();
        answer(endpoint, std::string(status) + " Odd\r\n" + std::string(AttemptIdField) + ": a");
        fixture.runUntil([&] {
            return fixture.failure || fixture.ended;
        });
        INFO(status);
        CHECK_FALSE(fixture.heads > 0);
        REQUIRE(fixture.failure);
        CHECK(exchangeFailureName(*fixture.failure) == exchangeFailureName(ExchangeFailure::Malformed));
    }
}

TEST_CASE("a request withdrawn during connect is reported as not run")
{
    ExchangeFixture fixture(std::chrono::milliseconds(200));
    fixture.start();
    fixture.exchange->withdraw(std::chrono::milliseconds(100), [&fixture](WithdrawalOutcome reported) {
        fixture.outcome = reported;
    });
    CHECK(fixture.outcome == WithdrawalOutcome::NotRun);
    fixture.io.run_for(std::chrono::milliseconds(20));
    CHECK_FALSE(fixture.failure);
}

TEST_CASE("an endpoint is disconnected only if it takes no byte of a request for the stall timeout")
{
    // Guards against a request held for an endpoint that reads nothing, and against a slow endpoint taken for one. The
    // kernel's timeout would end a connection with a full receive buffer sooner, as if its host had vanished.
    ExchangeOptions options;
    options.stalledReaderTimeout = std::chrono::milliseconds(800);
    options.tcpUserTimeout = std::chrono::milliseconds(250);
    ExchangeFixture fixture(std::chrono::milliseconds(200), options);
    constexpr std::size_t requestBytes = 55UL * 1024;
    fixture.acceptor.set_option(tcp::acceptor::receive_buffer_size(4096));
    const auto start = std::chrono::steady_clock::now();
    fixture.exchange->start(
        EndpointId{"e"}, formatAddress(fixture.acceptor.local_endpoint()), std::string(requestBytes, 'b'), "a");
    tcp::socket endpoint = fixture.acceptor.accept();
    endpoint.non_blocking(true);
    const auto heldForEndpoint = [&fixture] {
        return heldBytes(*fixture.held, HeldSide::Endpoint);
    };
    SECTION("it reads nothing")
    {
        fixture.runUntil([&] {
            return fixture.failure.has_value();
        });
        REQUIRE(fixture.failure);
        CHECK(exchangeFailureName(*fixture.failure) == exchangeFailureName(ExchangeFailure::Stalled));
        CHECK(std::chrono::steady_clock::now() - start >= options.stalledReaderTimeout);
        CHECK(std::chrono::steady_clock::now() - start < 2 * options.stalledReaderTimeout);
        fixture.exchange.reset();
    }
    SECTION("it reads a little at a time")
    {
        std::size_t arrived = 0;
        std::array<char, 2048> bytes{};
        fixture.runUntil([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
            boost::system::error_code ignored;
            arrived += endpoint.read_some(boost::asio::buffer(bytes), ignored);
            return arrived == requestBytes || fixture.failure;
        });
        CHECK(arrived == requestBytes);
        CHECK(std::chrono::steady_clock::now() - start > options.stalledReaderTimeout);
        CHECK_FALSE(fixture.failure);
    }
    fixture.runUntil([&] {
        return heldForEndpoint() == 0;
    });
    CHECK(heldForEndpoint() == 0);
    if (fixture.exchange) {
        fixture.exchange->cancel();
    }
    fixture.io.poll();
}
