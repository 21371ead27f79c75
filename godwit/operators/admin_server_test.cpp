#include "godwit/operators/admin_server.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace Godwit;
using boost::asio::ip::tcp;

TEST_CASE("a trailer without end is not read to its end")
{
    // Guards against a request filling the memory with trailers, which the limit of the body doesn't cover.
    constexpr std::size_t endless = 32UL * 1024 * 1024;
    boost::asio::io_context io;
    AdminServer server(io, {}, [](const AdminRequest &, const AdminReply &) {});
    LastReason reason;
    const auto address = server.listen(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), reason);
    REQUIRE(address);
    tcp::socket client(io);
    client.connect(*address);
    const std::string request =
        "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Field: " + std::string(endless, 'x');
    std::optional<boost::system::error_code> ended;
    boost::asio::async_write(
        client, boost::asio::buffer(request), [&ended](const boost::system::error_code &error, std::size_t) {
            ended = error;
        });
    io.run_for(std::chrono::seconds(5));
    REQUIRE(ended);
    CHECK(ended->failed());
}
