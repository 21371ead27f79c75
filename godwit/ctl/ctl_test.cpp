#include "godwit/ctl/commands.h"
#include "godwit/ctl/line_diff.h"
#include "godwit/ctl/render.h"
#include "godwit/http/address.h"
#include "platform/testing/endless_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <sstream>
#include <thread>

using namespace Godwit;
using boost::asio::ip::tcp;

namespace
{

struct Outcome
{
    int exit = 0;
    std::string out;
    std::string err;
};

// Runs a command against an address where nothing listens.
Outcome runAlone(const std::vector<std::string> &words, const CommandOptions &options = {})
{
    AdminClient client;
    client.address = "127.0.0.1:1";
    client.tries = 1;
    std::ostringstream out;
    std::ostringstream err;
    const int exit = runCommand(client, words, options, out, err);
    return {exit, out.str(), err.str()};
}

} // namespace

TEST_CASE("line differences keep order and mark each side")
{
    CHECK(lineDiff("a\nb\nc\n", "a\nb\nc\n").empty());
    CHECK(lineDiff("a\nb\nc\n", "a\nx\nc\n") == " a\n-b\n+x\n c\n");
    CHECK(lineDiff("", "a\n") == "+a\n");
    CHECK(lineDiff("a\n", "") == "-a\n");
}

TEST_CASE("answers become tables and lines")
{
    CHECK(renderAnswer(R"({"rows":[{"a":1,"b":"long text"},{"a":22,"b":"x"}]})") == "a   b\n1   long text\n22  x\n");
    CHECK(renderAnswer(R"({"rows":[]})") == "(none)\n");
    CHECK(renderAnswer(R"({"state":"serving","calls":3})") == "state  serving\ncalls  3\n");
    CHECK(renderAnswer("not json") == "not json\n");
}

TEST_CASE("wrong usage says what to write instead")
{
    const auto unknown = runAlone({"budgets", "shwo", "x"});
    CHECK(unknown.exit == ExitUsage);
    CHECK(unknown.err.find("budgets show <budget>") != std::string::npos);
    CHECK(runAlone({"nonsense"}).err.find("--help") != std::string::npos);
    const auto amount = runAlone({"budgets", "top-up", "x", "1e6"});
    CHECK(amount.exit == ExitUsage);
    CHECK(amount.err.find("whole number") != std::string::npos);
    CHECK(runAlone({"config", "apply", "/nonexistent/file"}).exit == ExitUsage);
}

TEST_CASE("a router that does not answer has its own exit code")
{
    const auto away = runAlone({"status"});
    CHECK(away.exit == ExitUnreachable);
    CHECK(away.err.find("check --operator") != std::string::npos);
}

TEST_CASE("an answer that only its connection ends is not taken for a whole one")
{
    // Guards against a part of a document being printed, edited and applied as all of it.
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::thread router([&acceptor] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nthe beginning")));
    });
    AdminClient client;
    client.address = formatAddress(acceptor.local_endpoint());
    client.tries = 1;
    LastReason reason;
    CHECK_FALSE(call(client, "GET", "/v1/config", "", reason));
    router.join();
}

TEST_CASE("a router that does not end its answer is given up at the timeout or before")
{
    // Guards against the program waiting, or keeping what it reads, without end.
    constexpr std::size_t socketBufferBytes = 12UL * 1024 * 1024;
    const std::string bytes(16UL * 1024, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Form
    {
        const char *name;
        std::string start;
        std::string piece;
        std::size_t largest;
    };
    constexpr std::size_t largest = 64UL * 1024 * 1024;
    for (const Form &form : {Form{"half a head", "HTTP/1.1 200 OK\r\nX-Field: ", "", 1},
                             {"head", "HTTP/1.1 200 OK\r\nX-Field: ", bytes, largest},
                             {"body", "HTTP/1.1 200 OK\r\n\r\n", bytes, largest},
                             {"chunk extension", chunked + "5;", bytes, largest},
                             {"trailer", chunked + "0\r\nX-Field: ", bytes, largest},
                             {"no HTTP", "", bytes, largest}}) {
        INFO(form.name);
        const Testing::EndlessServer router(form.start, form.piece, form.largest);
        AdminClient client;
        client.address = router.address();
        client.timeout = std::chrono::seconds(1);
        client.tries = 1;
        LastReason reason;
        const auto start = std::chrono::steady_clock::now();
        CHECK_FALSE(call(client, "GET", "/v1/config", "", reason));
        CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(3));
        CHECK(router.mostSent() < 2 * socketBufferBytes);
    }
}

TEST_CASE("digests need no router")
{
    const auto digest = runAlone({"digest", "secret"});
    CHECK(digest.exit == ExitOk);
    CHECK(digest.out == "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n");
}
