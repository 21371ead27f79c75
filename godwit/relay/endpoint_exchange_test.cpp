#include "godwit/relay/endpoint_exchange.h"

#include "godwit/http/address.h"

#include <boost/asio/ip/tcp.hpp>
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
        handlers.onFailed = [this](ExchangeFailure reported) {
            failure = reported;
        };
        exchange = std::make_shared<EndpointExchange>(io, pool, options, std::move(handlers));
    }

    void start()
    {
        exchange->start(EndpointId{"e"}, formatAddress(acceptor.local_endpoint()), "GET / HTTP/1.1\r\n\r\n", "a");
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
};

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
