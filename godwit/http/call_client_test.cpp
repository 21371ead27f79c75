#include "godwit/http/call_client.h"

#include "godwit/http/address.h"
#include "platform/testing/endless_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace Godwit;
using namespace Godwit::Testing;
using boost::asio::ip::tcp;

namespace
{

constexpr auto CallLimit = std::chrono::seconds(2);

// What the client makes of the answer of the service at `address`.
CallOutcome outcomeAt(const std::string &address, bool needsDeclaredEnd)
{
    boost::asio::io_context io;
    CallClientOptions options;
    options.addresses = {address};
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
    return outcome.value_or(CallOutcome::NotSent);
}

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
    const CallOutcome outcome = outcomeAt(formatAddress(acceptor.local_endpoint()), needsDeclaredEnd);
    service.join();
    return outcome;
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

TEST_CASE("an answer without an end is lost early")
{
    // Guards against a faulty service filling the memory of the process that calls it.
    constexpr std::size_t socketBufferBytes = 12UL * 1024 * 1024;
    const std::string bytes(16UL * 1024, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &[name, start] : {std::pair<const char *, std::string>{"head", "HTTP/1.1 200 OK\r\nX-Field: "},
                                      {"interim head", "HTTP/1.1 103 Early Hints\r\nX-Field: "},
                                      {"chunk extension", chunked + "5;"},
                                      {"trailer", chunked + "0\r\nX-Field: "},
                                      {"no HTTP", ""}}) {
        const EndlessServer service(start, bytes);
        INFO(name);
        CHECK(outcomeAt(service.address(), false) == CallOutcome::Lost);
        CHECK(service.mostSent() < socketBufferBytes);
    }
    const EndlessServer service("HTTP/1.1 200 OK\r\n\r\n", bytes);
    CHECK(outcomeAt(service.address(), false) == CallOutcome::Lost);
    CHECK(service.mostSent() < CallClientOptions{}.maxAnswerBytes + socketBufferBytes);
}

TEST_CASE("an interim response is not the answer")
{
    // Guards against the response that follows an interim one being taken for the answer to the next call.
    CHECK(outcomeOf("HTTP/1.1 103 Early Hints\r\n\r\n", false) == CallOutcome::Lost);
}
