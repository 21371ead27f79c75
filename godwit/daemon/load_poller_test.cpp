#include "godwit/daemon/load_poller.h"

#include "platform/testing/endless_server.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace Godwit;
using namespace Godwit::Testing;

namespace
{

// What the kernels may hold of a connection besides what the poller has read.
constexpr std::size_t SocketBufferBytes = 12UL * 1024 * 1024;

// Polls `server` for `time`; returns the number of reports.
int reportsOf(const EndlessServer &server, std::chrono::milliseconds time)
{
    boost::asio::io_context io;
    int reports = 0;
    LoadPollerOptions options;
    options.period = std::chrono::milliseconds(50);
    options.timeout = std::chrono::seconds(2);
    LoadPoller poller(io, options, [&reports](const EndpointId &, const LoadReport &) {
        ++reports;
    });
    poller.setEndpoints({{EndpointId{"e"}, server.address()}});
    io.run_for(time);
    return reports;
}

} // namespace

TEST_CASE("a load report without an end is given up early")
{
    // Guards against a faulty endpoint filling the memory of the process that polls it.
    const std::string bytes(16UL * 1024, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &[name, start] : {std::pair<const char *, std::string>{"head", "HTTP/1.1 200 OK\r\nX-Field: "},
                                      {"body", "HTTP/1.1 200 OK\r\n\r\n"},
                                      {"chunk extension", chunked + "5;"},
                                      {"trailer", chunked + "0\r\nX-Field: "},
                                      {"no HTTP", ""}}) {
        const EndlessServer server(start, bytes);
        CHECK(reportsOf(server, std::chrono::seconds(1)) == 0);
        INFO(name);
        CHECK(server.mostSent() > 0);
        CHECK(server.mostSent() < SocketBufferBytes);
    }
}

TEST_CASE("bytes after a load report are not taken for the next one")
{
    // Guards against a repeated report counting as an answer to each later poll of the same connection.
    const std::string report = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"queued\":1}";
    const EndlessServer server(report + report, "", report.size());
    CHECK(reportsOf(server, std::chrono::milliseconds(300)) > 1); // Each on a connection of its own.
}
