#include "godwit/endpoint/endpoint_attempt.h"

#include "platform/testing/endless_server.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <catch2/catch.hpp>

#include <malloc.h>

#include <string>

using namespace Godwit;
using namespace Godwit::Testing;

namespace
{

// What the kernels may hold of a connection besides what the attempt has read.
constexpr std::size_t SocketBufferBytes = 12UL * 1024 * 1024;
constexpr const char *Stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
constexpr const char *Chunked = "Transfer-Encoding: chunked\r\n\r\n";

struct Attempts
{
    std::vector<AttemptOutcome> outcomes;
    std::size_t relayed = 0; // Bytes of events.
    std::size_t mostHeap = 0; // That was in use at once, in bytes.
    std::chrono::milliseconds time{};
};

// Makes `count` attempts at `server` at once.
Attempts attemptsAt(const EndlessServer &server, std::size_t count)
{
    boost::asio::io_context io;
    EndpointPool pool;
    Attempts attempts;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
        boost::asio::spawn(
            io,
            [&](const boost::asio::yield_context &yield) {
                EndpointRequest request;
                request.address = server.address();
                request.target = "/v1/chat";
                request.timeLimit = std::chrono::seconds(4);
                EndpointAttempt attempt(io, pool);
                attempts.outcomes.push_back(attempt.run(
                    request,
                    [&](std::string_view event) {
                        attempts.relayed += event.size();
                        return true;
                    },
                    yield));
            },
            boost::asio::detached);
    }
    const std::size_t before = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
    while (io.run_one() > 0) {
        const std::size_t used = ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
        attempts.mostHeap = std::max(attempts.mostHeap, used - std::min(used, before));
    }
    attempts.time = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    return attempts;
}

} // namespace

TEST_CASE("an answer without an end is given up early")
{
    // Guards against a faulty endpoint filling the router's memory, or keeping an attempt until its deadline.
    const std::string bytes(16UL * 1024, 'x');
    const std::string usage = "data: {\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\n";
    struct Form
    {
        const char *name;
        std::string start;
        std::string piece;
    };
    for (const Form &form : {Form{"head", "HTTP/1.1 200 OK\r\nX-Field: ", bytes},
                             {"body", "HTTP/1.1 200 OK\r\n\r\n", bytes},
                             {"chunk extension", std::string("HTTP/1.1 200 OK\r\n") + Chunked + "5;", bytes},
                             {"trailer", std::string("HTTP/1.1 200 OK\r\n") + Chunked + "0\r\nX-Field: ", bytes},
                             {"no HTTP", "", bytes},
                             {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
                             {"event", std::string(Stream) + "\r\ndata: ", bytes},
                             {"usage", std::string(Stream) + "\r\n", usage},
                             {"after the closing event", std::string(Stream) + "\r\ndata: [DONE]\n\n", bytes},
                             {"chunk extension of a stream", std::string(Stream) + Chunked + "5;", bytes}}) {
        const EndlessServer server(form.start, form.piece);
        const Attempts attempts = attemptsAt(server, 1);
        INFO(form.name << ", " << attempts.time.count() << " ms, " << attempts.mostHeap << " bytes");
        CHECK(attempts.time < std::chrono::seconds(3)); // The attempt's limit is 4 s.
        CHECK(server.mostSent() < 2 * SocketBufferBytes);
        CHECK(attempts.mostHeap < 24UL * 1024 * 1024);
    }
}

TEST_CASE("many answers without an end use little memory")
{
    // Guards against the bounds of single answers adding up to more than a router has.
    const EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", std::string(16UL * 1024, 'x'));
    const Attempts attempts = attemptsAt(server, 40);
    CHECK(attempts.outcomes.size() == 40);
    for (const AttemptOutcome &outcome : attempts.outcomes) {
        CHECK(outcome.result == AttemptResult::ConnectionBroken);
    }
    INFO(attempts.mostHeap << " bytes");
    CHECK(attempts.mostHeap < 130UL * 1024 * 1024);
}

TEST_CASE("nothing after the closing event of a stream is relayed")
{
    // Guards against a faulty endpoint's bytes after a whole answer reaching the caller ahead of its end.
    const std::string body = "data: {\"content\":\"a\"}\n\n";
    const std::string text = std::string(Stream) + "\r\n" + body + "data: [DONE]\n\n";
    const EndlessServer server(text + body + body, body, text.size());
    const Attempts attempts = attemptsAt(server, 1);
    REQUIRE(attempts.outcomes.size() == 1);
    CHECK(attempts.outcomes.front().result == AttemptResult::Completed);
    CHECK(attempts.relayed == body.size());
    CHECK(attempts.outcomes.front().tail == "data: [DONE]\n\n");
}

TEST_CASE("an interim response is not the answer")
{
    // Guards against the answer that follows an interim response being taken for that to the next request.
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    const EndlessServer server("HTTP/1.1 103 Early Hints\r\n\r\n" + answer, "", 1);
    const Attempts attempts = attemptsAt(server, 1);
    REQUIRE(attempts.outcomes.size() == 1);
    CHECK(attempts.outcomes.front().result == AttemptResult::Completed);
    CHECK(attempts.outcomes.front().status == 200);
    CHECK(attempts.outcomes.front().body == "{}");
}
