#include "godwit/relay/endpoint_exchange.h"

#include "godwit/http/address.h"
#include "platform/header_names.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace Godwit;
using boost::asio::ip::tcp;

namespace
{

// An exchange with an endpoint that accepts and answers nothing, and what it reported.
struct Attempt
{
    explicit Attempt(Duration connectTimeout)
        : acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        ExchangeOptions options;
        options.connectTimeout = connectTimeout;
        ExchangeHandlers handlers;
        handlers.onEnd = [this] {
            ended = true;
        };
        handlers.onFailed = [this](ExchangeFailure reported) {
            failure = reported;
        };
        exchange = std::make_shared<EndpointExchange>(io, pool, options, std::move(handlers));
    }

    void start()
    {
        exchange->start(EndpointId{"e"}, formatAddress(acceptor.local_endpoint()), "GET / HTTP/1.1\r\n\r\n", "a");
    }

    // Sends the request, and gives back the endpoint's side once it has it.
    tcp::socket sent()
    {
        start();
        tcp::socket endpoint = acceptor.accept();
        runUntil([&] {
            return endpoint.available() > 0;
        });
        // Closing a socket with unread bytes would reset it.
        std::array<char, 64> request{};
        endpoint.read_some(boost::asio::buffer(request));
        return endpoint;
    }

    tcp::socket withdrawn(Duration limit)
    {
        tcp::socket endpoint = sent();
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
    std::shared_ptr<EndpointExchange> exchange;
    std::optional<ExchangeFailure> failure;
    std::optional<WithdrawalOutcome> outcome;
    bool ended = false; // It reported a whole answer.
};

void answer(tcp::socket &endpoint, const std::string &fields)
{
    boost::asio::write(endpoint, boost::asio::buffer("HTTP/1.1 " + fields + "\r\nContent-Length: 0\r\n\r\n"));
}

} // namespace

TEST_CASE("a connection that comes about as its time runs out is not taken for one that never was")
{
    // The caller sees its booking made twice. The router is held up until both the connection and the end of its time
    // wait in its queue; it sends the request, then hears that the time is over and reports that no byte went out; a
    // second endpoint gets the request.
    Attempt attempt(std::chrono::milliseconds(1));
    attempt.start();
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    for (int turn = 0; turn < 20; ++turn) {
        attempt.io.poll();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    // Else the connection was given up before it came about, and nothing was tried here.
    REQUIRE(attempt.bytesAtEndpoint() > 0);
    CHECK_FALSE(attempt.failure);
    attempt.exchange->cancel();
    attempt.io.poll();
}

TEST_CASE("an address that can't be read, or that nobody listens on, is not connected")
{
    Attempt attempt(std::chrono::milliseconds(200));
    SECTION("unreadable")
    {
        attempt.exchange->start(EndpointId{"e"}, "nowhere", "GET / HTTP/1.1\r\n\r\n", "a");
    }
    SECTION("refused")
    {
        const auto address = formatAddress(attempt.acceptor.local_endpoint());
        attempt.acceptor.close();
        attempt.exchange->start(EndpointId{"e"}, address, "GET / HTTP/1.1\r\n\r\n", "a");
    }
    attempt.io.run_for(std::chrono::seconds(1));
    CHECK(attempt.failure == ExchangeFailure::NotConnected);
}

TEST_CASE("a request counts as unanswered only if its endpoint ends in order without a byte")
{
    // Guards against spending beyond a budget: a reset may have overtaken an event.
    Attempt attempt(std::chrono::milliseconds(200));
    tcp::socket endpoint = attempt.sent();
    ExchangeFailure expected = ExchangeFailure::Broken;
    SECTION("it ends the connection")
    {
        expected = ExchangeFailure::Unanswered;
    }
    SECTION("only the beginning of an answer's head has come")
    {
        boost::asio::write(endpoint, boost::asio::buffer("HTTP/1.1 2", 10));
    }
    SECTION("it resets the connection")
    {
        endpoint.set_option(boost::asio::socket_base::linger(true, 0));
    }
    endpoint.close();
    attempt.runUntil([&] {
        return attempt.failure.has_value();
    });
    REQUIRE(attempt.failure);
    CHECK(exchangeFailureName(*attempt.failure) == exchangeFailureName(expected));
}

TEST_CASE("a request that is withdrawn counts as unanswered only if its endpoint ends in order without a byte")
{
    // Guards against spending beyond a budget: what an endpoint had sent when the caller left must still be seen.
    Attempt attempt(std::chrono::milliseconds(200));
    const std::string attemptOf = "\r\n" + std::string(AttemptIdField) + ": ";
    tcp::socket endpoint = attempt.withdrawn(std::chrono::seconds(1));
    WithdrawalOutcome expected = WithdrawalOutcome::Unanswered;
    SECTION("it ends the connection")
    {
        endpoint.close();
    }
    SECTION("its answer was on the way")
    {
        answer(endpoint, "200 OK" + attemptOf + "a");
        endpoint.close();
        expected = WithdrawalOutcome::Answered;
    }
    SECTION("only the beginning of an answer's head has come")
    {
        boost::asio::write(endpoint, boost::asio::buffer("HTTP/1.1 2", 10));
        endpoint.close();
        expected = WithdrawalOutcome::Unknown;
    }
    SECTION("it says that it did not run the request")
    {
        answer(endpoint, "503 Busy\r\n" + std::string(NotExecutedField) + ": 1" + attemptOf + "a");
        expected = WithdrawalOutcome::NotRun;
    }
    SECTION("an answer to an earlier request comes first")
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
    SECTION("it does not end the connection in time")
    {
        expected = WithdrawalOutcome::Unknown;
    }
    attempt.runUntil([&] {
        return attempt.outcome.has_value();
    });
    REQUIRE(attempt.outcome);
    CHECK(withdrawalOutcomeName(*attempt.outcome) == withdrawalOutcomeName(expected));
    CHECK_FALSE(attempt.failure);
}

TEST_CASE("another request's answer that its connection ends is no answer to this one")
{
    // Guards against a late answer without a length ending the request that waits on its connection.
    Attempt attempt(std::chrono::milliseconds(200));
    const std::string late = "HTTP/1.1 200 OK\r\n" + std::string(AttemptIdField) + ": earlier\r\n\r\nlate";
    SECTION("the request waits")
    {
        tcp::socket endpoint = attempt.sent();
        boost::asio::write(endpoint, boost::asio::buffer(late));
        endpoint.close();
        attempt.runUntil([&] {
            return attempt.failure || attempt.ended;
        });
        CHECK(attempt.failure == ExchangeFailure::Broken);
    }
    SECTION("the request was withdrawn")
    {
        tcp::socket endpoint = attempt.withdrawn(std::chrono::seconds(1));
        boost::asio::write(endpoint, boost::asio::buffer(late));
        endpoint.close();
        attempt.runUntil([&] {
            return attempt.outcome.has_value();
        });
        CHECK(attempt.outcome == WithdrawalOutcome::Unknown);
    }
    CHECK_FALSE(attempt.ended);
}

TEST_CASE("a request that is withdrawn before its connection stands has not run")
{
    Attempt attempt(std::chrono::milliseconds(200));
    attempt.start();
    attempt.exchange->withdraw(std::chrono::milliseconds(100), [&attempt](WithdrawalOutcome reported) {
        attempt.outcome = reported;
    });
    CHECK(attempt.outcome == WithdrawalOutcome::NotRun);
    attempt.io.run_for(std::chrono::milliseconds(20));
    CHECK_FALSE(attempt.failure);
}
