#include "godwit/router/router_mesh.h"

#include "godwit/router/test_certificates.h"
#include "platform/testing/endless_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace Godwit;
using boost::asio::ip::tcp;

namespace
{

constexpr int StepBound = 200000;

// Runs the io_context one handler at a time until `done`; the time limit only ends a run that hangs.
template<typename Predicate>
bool runUntil(boost::asio::io_context &io, Predicate done)
{
    const auto hung = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    for (int step = 0; step < StepBound && !done(); ++step) {
        if (io.run_one_until(hung) == 0) {
            break;
        }
    }
    return done();
}

RouterMeshOptions quickOptions()
{
    RouterMeshOptions options;
    options.listenAddress = "127.0.0.1:0";
    options.reconnectFirst = std::chrono::milliseconds(5);
    options.reconnectLimit = std::chrono::milliseconds(20);
    options.sweepInterval = std::chrono::milliseconds(20);
    return options;
}

// One router's mesh and what it reported.
struct Node
{
    Hello hello;
    std::vector<Hello> ups;
    std::vector<Incarnation> downs;
    std::vector<Envelope> messages;
    std::vector<Refusal> refusals;
    std::unique_ptr<RouterMesh> mesh;

    Node(boost::asio::io_context &io, const std::string &host, RouterMeshOptions options, const std::string &run = "1")
    {
        hello.host = HostId{host};
        hello.incarnation = Incarnation{host + "." + run};
        hello.dataCentre = DataCentreId{"salt-lake"};
        hello.peerAddress = "127.0.0.1:1";
        hello.callerAddress = "127.0.0.1:2";
        RouterMeshCallbacks callbacks;
        callbacks.onLinkUp = [this](const Hello &other) {
            ups.push_back(other);
        };
        callbacks.onLinkDown = [this](const Incarnation &other) {
            downs.push_back(other);
        };
        callbacks.onMessage = [this](const Incarnation &, Envelope envelope) {
            messages.push_back(std::move(envelope));
        };
        callbacks.onRefusal = [this](const std::string &, const Refusal &refusal) {
            refusals.push_back(refusal);
        };
        mesh = std::make_unique<RouterMesh>(io, std::move(options), hello, std::move(callbacks));
        LastReason reason;
        REQUIRE(mesh->start(reason));
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(mesh->listenPort());
    }
};

// A bare socket that speaks just enough WebSocket to misbehave.
struct RawPeer
{
    tcp::socket socket;

    RawPeer(boost::asio::io_context &io, std::uint16_t port)
        : socket(io)
    {
        socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
        write("GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
              "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n\r\n");
    }

    void write(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }

    // Sends a frame under a mask of zeros, which leaves the payload as it is.
    void frame(char opcode, const std::string &payload)
    {
        std::string bytes{static_cast<char>(0x80 | opcode), static_cast<char>(0x80 | 126)};
        bytes += static_cast<char>(payload.size() >> 8U);
        bytes += static_cast<char>(payload.size() & 0xffU);
        if (payload.size() < 126) {
            bytes.resize(1);
            bytes += static_cast<char>(0x80 | payload.size());
        }
        write(bytes + std::string(4, '\0') + payload);
    }

    bool closed()
    {
        socket.non_blocking(true);
        char buffer[4096];
        boost::system::error_code failure;
        while (!failure) {
            socket.read_some(boost::asio::buffer(buffer), failure);
        }
        return failure != boost::asio::error::would_block;
    }
};

constexpr char Binary = 2;
constexpr char Ping = 9;

Hello rawHello()
{
    Hello hello;
    hello.host = HostId{"raw"};
    hello.incarnation = Incarnation{"raw.1"};
    hello.dataCentre = DataCentreId{"howrah"};
    hello.peerAddress = hello.callerAddress = "127.0.0.1:3";
    return hello;
}

} // namespace

TEST_CASE("two routers exchange hellos and messages both ways, over plain text and TLS")
{
    const bool withTls = GENERATE(false, true);
    boost::asio::io_context io;
    RouterMeshOptions first = quickOptions();
    RouterMeshOptions second = quickOptions();
    if (withTls) {
        first.tls = TestCertificates::issue("alpha", "fleet");
        second.tls = TestCertificates::issue("beta", "fleet");
    }
    Node alpha(io, "alpha", first);
    Node beta(io, "beta", second);
    alpha.mesh->connectTo(beta.hello.host, beta.address());
    REQUIRE(runUntil(io, [&] {
        return alpha.ups.size() == 1 && beta.ups.size() == 1;
    }));
    CHECK(alpha.ups[0].incarnation == beta.hello.incarnation);
    CHECK(beta.ups[0].callerAddress == alpha.hello.callerAddress);
    const std::string large(DefaultFrameBound - 100, 'x');
    CHECK(alpha.mesh->send(beta.hello.incarnation, {"config", large}));
    CHECK(beta.mesh->broadcast({"heartbeat", ""}) == 1);
    REQUIRE(runUntil(io, [&] {
        return beta.messages.size() == 1 && alpha.messages.size() == 1;
    }));
    CHECK(beta.messages[0].body == large);
    CHECK(alpha.messages[0].topic == "heartbeat");
    CHECK_FALSE(alpha.mesh->send(beta.hello.incarnation, {"config", std::string(DefaultFrameBound, 'x')}));
    CHECK_FALSE(alpha.mesh->send(Incarnation{"gamma.1"}, {"config", ""}));
    alpha.mesh->stop();
    CHECK(runUntil(io, [&] {
        return alpha.mesh->stopped() && beta.downs.size() == 1;
    }));
}

// Two routers learn of each other at once and both dial. Each sees its own connection and the other's come up.
// If each kept the one that it saw first, they could close both, and callers' budgets would wait for a link that
// flaps for ever. The rule that both can compute alone leaves the one that the smaller host dialled.
TEST_CASE("routers that dial each other at once end with one link and never report it down")
{
    boost::asio::io_context io;
    Node alpha(io, "alpha", quickOptions());
    Node beta(io, "beta", quickOptions());
    alpha.mesh->connectTo(beta.hello.host, beta.address());
    beta.mesh->connectTo(alpha.hello.host, alpha.address());
    const auto settled = [&] {
        const auto a = alpha.mesh->links();
        const auto b = beta.mesh->links();
        return a.size() == 1 && b.size() == 1 && a[0].dialledHere && !b[0].dialledHere;
    };
    REQUIRE(runUntil(io, settled));
    // Long enough for both sides to dial again if the rule left them without a link.
    for (int step = 0; step < 200; ++step) {
        io.run_one_for(std::chrono::seconds(10));
    }
    CHECK(settled());
    CHECK(alpha.ups.size() == 1);
    CHECK(beta.ups.size() == 1);
    CHECK(alpha.downs.empty());
    CHECK(beta.downs.empty());
}

TEST_CASE("routers of different versions, wrong hosts and oneself are refused by kind")
{
    boost::asio::io_context io;
    Node alpha(io, "alpha", quickOptions());
    Node beta(io, "beta", quickOptions());
    SECTION("another host answers at the address")
    {
        alpha.mesh->connectTo(HostId{"gamma"}, beta.address());
        REQUIRE(runUntil(io, [&] {
            return !alpha.refusals.empty() && !beta.refusals.empty();
        }));
        CHECK(alpha.refusals[0].kind == RefusalKind::Identity);
    }
    SECTION("the address is its own")
    {
        alpha.mesh->connectTo(alpha.hello.host, alpha.address());
        REQUIRE(runUntil(io, [&] {
            return !alpha.refusals.empty();
        }));
        CHECK(alpha.refusals[0].kind == RefusalKind::Self);
    }
    SECTION("another version")
    {
        RawPeer raw(io, alpha.mesh->listenPort());
        Hello hello = rawHello();
        hello.version = RouterProtocolVersion + 1;
        raw.frame(Binary, encodeHello(hello));
        REQUIRE(runUntil(io, [&] {
            return !alpha.refusals.empty() && raw.closed();
        }));
        CHECK(alpha.refusals[0].kind == RefusalKind::Version);
    }
    CHECK(alpha.ups.empty());
}

TEST_CASE("a router that comes back is dialled again under its new incarnation")
{
    boost::asio::io_context io;
    Node alpha(io, "alpha", quickOptions());
    auto beta = std::make_unique<Node>(io, "beta", quickOptions());
    const std::string address = beta->address();
    alpha.mesh->connectTo(HostId{"beta"}, address);
    REQUIRE(runUntil(io, [&] {
        return alpha.ups.size() == 1;
    }));
    beta->mesh->stop();
    REQUIRE(runUntil(io, [&] {
        return beta->mesh->stopped() && alpha.downs.size() == 1;
    }));
    RouterMeshOptions options = quickOptions();
    options.listenAddress = address;
    Node successor(io, "beta", options, "2");
    REQUIRE(runUntil(io, [&] {
        return alpha.ups.size() == 2;
    }));
    CHECK(alpha.ups[1].incarnation == Incarnation{"beta.2"});
    alpha.mesh->dropPeer(HostId{"beta"});
    CHECK(alpha.downs.size() == 2);
    CHECK(alpha.mesh->links().empty());
}

// A peer stops reading, as a paused process does. What it is owed piles up at the sender. Without a bound the
// sender's memory goes, and all its callers with it; with it the sends fail and the other links go on.
TEST_CASE("a peer that doesn't read holds no more than the queue bound")
{
    boost::asio::io_context io;
    RouterMeshOptions options = quickOptions();
    options.frameBound = 64UL * 1024;
    options.queueBound = 256UL * 1024;
    Node alpha(io, "alpha", options);
    RawPeer raw(io, alpha.mesh->listenPort());
    raw.frame(Binary, encodeHello(rawHello()));
    REQUIRE(runUntil(io, [&] {
        return alpha.ups.size() == 1;
    }));
    const Envelope envelope{"budget", std::string(32UL * 1024, 'x')};
    int taken = 0;
    for (; taken < 10000 && alpha.mesh->send(rawHello().incarnation, envelope); ++taken) {
        io.poll();
    }
    CHECK(taken < 10000);
    CHECK(alpha.mesh->counters().dropped == 1);
    const auto before = alpha.mesh->links().at(0).queuedBytes;
    CHECK(before <= options.queueBound / 2);
    // It also pings without end and never reads the answers.
    for (int ping = 0; ping < 200; ++ping) {
        raw.frame(Ping, std::string(100, 'p'));
    }
    const auto received = alpha.mesh->counters().received;
    raw.frame(Binary, encodeEnvelope({"budget", ""}));
    REQUIRE(runUntil(io, [&] {
        return alpha.mesh->counters().received > received;
    }));
    CHECK(alpha.mesh->links().at(0).queuedBytes == before);
}

TEST_CASE("hostile bytes close their own connection and no other")
{
    boost::asio::io_context io;
    Node alpha(io, "alpha", quickOptions());
    Node beta(io, "beta", quickOptions());
    alpha.mesh->connectTo(beta.hello.host, beta.address());
    REQUIRE(runUntil(io, [&] {
        return alpha.ups.size() == 1;
    }));
    const std::string first = GENERATE(as<std::string>(),
                                       "garbage",
                                       encodeEnvelope({"budget", "before any hello"}),
                                       encodeRefusal({RefusalKind::Self, "refused"}),
                                       "");
    RawPeer raw(io, alpha.mesh->listenPort());
    raw.frame(Binary, first);
    CHECK(runUntil(io, [&] {
        return raw.closed();
    }));
    RawPeer oversized(io, alpha.mesh->listenPort());
    const std::string twoGigabytes("\x82\xff\x00\x00\x00\x00\x80\x00\x00\x00\x00\x00\x00\x00", 14);
    oversized.write(twoGigabytes);
    CHECK(runUntil(io, [&] {
        return oversized.closed();
    }));
    CHECK(alpha.mesh->send(beta.hello.incarnation, {"heartbeat", ""}));
    CHECK(alpha.downs.empty());
    CHECK(alpha.ups.size() == 1);
}

TEST_CASE("an address that sends bytes without end instead of a handshake is left early")
{
    // Guards against what answers at a router's former address filling the memory of those that dial it.
    const std::string start = GENERATE(as<std::string>(),
                                       "HTTP/1.1 101 Switching Protocols\r\nX-Field: ",
                                       "HTTP/1.1 101 Switching Protocols\r\n",
                                       "HTTP/1.1 200 OK\r\n\r\n",
                                       "");
    constexpr std::size_t socketBufferBytes = 12UL * 1024 * 1024;
    boost::asio::io_context io;
    Node alpha(io, "alpha", quickOptions());
    const Testing::EndlessServer other(
        start, !start.empty() && start.back() == '\n' ? "a: b\r\n" : std::string(16UL * 1024, 'x'));
    alpha.mesh->connectTo(HostId{"other"}, other.address());
    io.run_for(std::chrono::milliseconds(500));
    CHECK(other.mostSent() > 0);
    CHECK(other.mostSent() < socketBufferBytes);
    CHECK(alpha.ups.empty());
}

TEST_CASE("a message in fragments without end closes its connection")
{
    // Guards against fragments that are each within the bound adding up in memory.
    boost::asio::io_context io;
    RouterMeshOptions options = quickOptions();
    options.frameBound = 64UL * 1024;
    Node alpha(io, "alpha", options);
    RawPeer raw(io, alpha.mesh->listenPort());
    raw.frame(Binary, encodeHello(rawHello()));
    REQUIRE(runUntil(io, [&] {
        return alpha.ups.size() == 1;
    }));
    const std::string fragment(32UL * 1024, 'x');
    const std::string head = std::string("\xfe\x80\x00", 3) + std::string(4, '\0');
    raw.write("\x02" + head + fragment);
    raw.write(std::string(1, '\0') + head + fragment);
    io.run_for(std::chrono::milliseconds(100));
    CHECK_FALSE(raw.closed());
    raw.write(std::string(1, '\0') + head + fragment);
    io.run_for(std::chrono::milliseconds(100));
    CHECK(raw.closed());
    CHECK(alpha.messages.empty());
}

TEST_CASE("connections that never say hello are bounded and leave")
{
    boost::asio::io_context io;
    RouterMeshOptions options = quickOptions();
    options.unprovenBound = 2;
    options.helloLimit = std::chrono::milliseconds(100);
    Node alpha(io, "alpha", options);
    RawPeer one(io, alpha.mesh->listenPort());
    RawPeer two(io, alpha.mesh->listenPort());
    RawPeer three(io, alpha.mesh->listenPort());
    REQUIRE(runUntil(io, [&] {
        return three.closed();
    }));
    CHECK_FALSE(one.closed());
    REQUIRE(runUntil(io, [&] {
        return one.closed() && two.closed();
    }));
    RawPeer four(io, alpha.mesh->listenPort());
    four.frame(Binary, encodeHello(rawHello()));
    CHECK(runUntil(io, [&] {
        return alpha.ups.size() == 1;
    }));
}

TEST_CASE("a silent peer's link goes down, but a pause of this process cuts nothing")
{
    boost::asio::io_context io;
    RouterMeshOptions options = quickOptions();
    options.silenceLimit = std::chrono::milliseconds(100);
    Node alpha(io, "alpha", options);
    SECTION("the peer is silent")
    {
        RawPeer raw(io, alpha.mesh->listenPort());
        raw.frame(Binary, encodeHello(rawHello()));
        CHECK(runUntil(io, [&] {
            return alpha.downs.size() == 1;
        }));
    }
    SECTION("this process was paused")
    {
        Node beta(io, "beta", options);
        alpha.mesh->connectTo(beta.hello.host, beta.address());
        REQUIRE(runUntil(io, [&] {
            return alpha.ups.size() == 1 && beta.ups.size() == 1;
        }));
        const auto resumed = std::chrono::steady_clock::now() + 2 * options.silenceLimit;
        while (std::chrono::steady_clock::now() < resumed) { }
        REQUIRE(alpha.mesh->send(beta.hello.incarnation, {"heartbeat", ""}));
        REQUIRE(runUntil(io, [&] {
            return beta.messages.size() == 1;
        }));
        CHECK(alpha.downs.empty());
        CHECK(beta.downs.empty());
    }
}

TEST_CASE("with TLS a router speaks only for the host that its certificate names")
{
    boost::asio::io_context io;
    RouterMeshOptions first = quickOptions();
    first.tls = TestCertificates::issue("alpha", "fleet");
    Node alpha(io, "alpha", first);
    RouterMeshOptions second = quickOptions();
    SECTION("another host's certificate")
    {
        second.tls = TestCertificates::issue("beta", "fleet");
        Node gamma(io, "gamma", second);
        gamma.mesh->connectTo(alpha.hello.host, alpha.address());
        REQUIRE(runUntil(io, [&] {
            return !alpha.refusals.empty() && !gamma.refusals.empty();
        }));
        CHECK(alpha.refusals[0].kind == RefusalKind::Identity);
    }
    SECTION("a name with a leading dot, which OpenSSL matches against whole domains")
    {
        second.tls = TestCertificates::issue("beta.fleet", "fleet");
        Node dotted(io, ".fleet", second);
        dotted.mesh->connectTo(alpha.hello.host, alpha.address());
        REQUIRE(runUntil(io, [&] {
            return !alpha.refusals.empty();
        }));
        CHECK(alpha.refusals[0].kind == RefusalKind::Identity);
    }
    SECTION("a certificate of another authority")
    {
        second.tls = TestCertificates::issue("beta", "stranger");
        second.tls->authorityFile = first.tls->authorityFile;
        Node beta(io, "beta", second);
        beta.mesh->connectTo(alpha.hello.host, alpha.address());
        for (int step = 0; step < 300; ++step) {
            io.run_one_for(std::chrono::seconds(10));
        }
        CHECK(beta.ups.empty());
    }
    SECTION("plain text")
    {
        Node beta(io, "beta", second);
        beta.mesh->connectTo(alpha.hello.host, alpha.address());
        for (int step = 0; step < 300; ++step) {
            io.run_one_for(std::chrono::seconds(10));
        }
        CHECK(beta.ups.empty());
    }
    CHECK(alpha.ups.empty());
}

TEST_CASE("bad settings are refused with a remedy")
{
    boost::asio::io_context io;
    RouterMeshOptions options = quickOptions();
    Node taken(io, "alpha", options);
    SECTION("no address")
    {
        options.listenAddress = "salt-lake";
    }
    SECTION("plain text beyond loopback")
    {
        options.listenAddress = "0.0.0.0:0";
    }
    SECTION("an address in use")
    {
        options.listenAddress = taken.address();
    }
    SECTION("a missing certificate file")
    {
        options.tls = MeshTls{"absent.pem", "absent.key", "absent.pem"};
    }
    RouterMesh mesh(io, options, taken.hello, {});
    LastReason reason;
    CHECK_FALSE(mesh.start(reason));
    CHECK(reason->kind == ErrorKind::InvalidSettings);
    CHECK(reason->message.find("router links: ") == 0);
}
