#include "godwit/http/call_client.h"

#include "godwit/http/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace Godwit;
using boost::asio::ip::tcp;

namespace
{

constexpr auto CallLimit = std::chrono::seconds(2);

// What the client makes of `answer`, after which the service closes the connection in order.
CallOutcome outcomeOf(const std::string &answer, bool needsDeclaredEnd)
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::thread service([&acceptor, &answer] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(answer));
    });
    CallClientOptions options;
    options.addresses = {formatAddress(acceptor.local_endpoint())};
    options.needsDeclaredEnd = needsDeclaredEnd;
    std::optional<CallOutcome> outcome;
    {
        CallClient client(io, options);
        client.call(HttpRequest{boost::beast::http::verb::get, "/", 11},
                    CallRules{CallLimit, false},
                    [&](CallOutcome reported, HttpResponse &) {
                        outcome = reported;
                        io.stop();
                    });
        io.run_for(2 * CallLimit);
    }
    service.join();
    REQUIRE(outcome);
    return *outcome;
}

} // namespace

TEST_CASE("an answer that only its connection ends is lost unless its body shows its own end")
{
    // Guards against a part of a value of the platform's service being taken for all of it.
    const std::string head = "HTTP/1.1 200 OK\r\n";
    CHECK(outcomeOf(head + "\r\npart", true) == CallOutcome::Lost);
    CHECK(outcomeOf(head + "\r\n{}", false) == CallOutcome::Answered);
    CHECK(outcomeOf(head + "Content-Length: 4\r\n\r\nwhol", true) == CallOutcome::Answered);
    CHECK(outcomeOf(head + "Content-Length: 5\r\n\r\nwhol", false) == CallOutcome::Lost);
    CHECK(outcomeOf(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nwhol\r\n", false) == CallOutcome::Lost);
}
