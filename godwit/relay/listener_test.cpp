#include "godwit/relay/listener.h"

#include "godwit/http/address.h"
#include "platform/testing/reserved_port.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace Godwit;
using boost::asio::ip::tcp;

namespace
{

struct Listening
{
    Listening()
        : listener(io)
    {
        LastReason reason;
        REQUIRE(listener.open(
            port.address(),
            [this](tcp::socket socket) {
                taken.push_back(std::move(socket));
            },
            reason));
        address = *parseAddress(listener.address(), reason);
    }

    // Whether the connection was made.
    bool connect()
    {
        boost::system::error_code error;
        callers.emplace_back(io).connect(address, error);
        return !error;
    }

    void run(Duration time)
    {
        io.restart();
        io.run_for(time);
    }

    boost::asio::io_context io;
    // Nobody else can take the port during a pause.
    Testing::ReservedPort port;
    Listener listener;
    tcp::endpoint address;
    std::vector<tcp::socket> callers;
    std::vector<tcp::socket> taken;
};

} // namespace

TEST_CASE("a paused listener turns callers away at once and takes them again afterwards")
{
    // Guards against a host that stays closed, or that lets callers wait for an answer that won't come.
    Listening host;
    for (int pause = 0; pause < 3; ++pause) {
        host.taken.clear();
        CHECK(host.connect());
        host.run(std::chrono::milliseconds(20));
        CHECK(host.taken.size() == 1);
        host.listener.pause(std::chrono::milliseconds(50));
        CHECK_FALSE(host.connect());
        host.run(std::chrono::milliseconds(200));
    }
    CHECK_FALSE(host.listener.takeFailure());
}

TEST_CASE("callers that wait to be taken when a pause begins are taken")
{
    // Guards against cutting callers that have sent their requests.
    Listening host;
    for (int i = 0; i < 5; ++i) {
        CHECK(host.connect());
    }
    host.listener.pause(std::chrono::seconds(5));
    host.run(std::chrono::milliseconds(20));
    CHECK(host.taken.size() == 5);
}

TEST_CASE("a listener that was closed while paused does not open again")
{
    Listening host;
    host.listener.pause(std::chrono::milliseconds(20));
    host.listener.close();
    host.run(std::chrono::milliseconds(100));
    CHECK_FALSE(host.connect());
}

TEST_CASE("a listener whose port was taken during a pause says so and tries until it is free")
{
    Listening host;
    host.listener.pause(std::chrono::milliseconds(20));
    {
        tcp::acceptor other(host.io, host.address, true);
        host.run(std::chrono::milliseconds(100));
        const LastReason failure = host.listener.takeFailure();
        REQUIRE(failure);
        CHECK(failure->message.find(host.listener.address()) != std::string::npos);
    }
    host.run(std::chrono::milliseconds(100));
    CHECK(host.connect());
}
