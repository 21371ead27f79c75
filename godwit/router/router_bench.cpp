// Measures one link between two meshes in one process over loopback: messages and bytes a second, one way, with
// both ends on one thread. Prints a table; takes no arguments.

#include "godwit/router/router_mesh.h"

#include <cstdio>

using namespace Godwit;

namespace
{

constexpr auto RunTime = std::chrono::seconds(2);

RouterMeshOptions loopback()
{
    RouterMeshOptions options;
    options.listenAddress = "127.0.0.1:0";
    return options;
}

Hello helloOf(const char *host)
{
    Hello hello;
    hello.host = HostId{host};
    hello.incarnation = Incarnation{std::string(host) + ".1"};
    hello.dataCentre = DataCentreId{"bench"};
    hello.peerAddress = hello.callerAddress = "127.0.0.1:1";
    return hello;
}

void measure(std::size_t bodyBytes)
{
    boost::asio::io_context io;
    std::uint64_t received = 0;
    bool up = false;
    RouterMeshCallbacks counting;
    counting.onMessage = [&](const Incarnation &, const Envelope &) {
        ++received;
    };
    RouterMeshCallbacks waiting;
    waiting.onLinkUp = [&](const Hello &) {
        up = true;
    };
    RouterMesh receiver(io, loopback(), helloOf("beta"), std::move(counting));
    RouterMesh sender(io, loopback(), helloOf("alpha"), std::move(waiting));
    LastReason reason;
    if (!receiver.start(reason) || !sender.start(reason)) {
        std::printf("not run: %s\n", reason->message.c_str());
        return;
    }
    sender.connectTo(HostId{"beta"}, "127.0.0.1:" + std::to_string(receiver.listenPort()));
    while (!up) {
        io.run_one();
    }
    const Envelope envelope{"budget", std::string(bodyBytes, 'x')};
    const auto begin = std::chrono::steady_clock::now();
    const auto end = begin + RunTime;
    constexpr int batch = 64;
    while (std::chrono::steady_clock::now() < end) {
        for (int i = 0; i < batch && sender.send(Incarnation{"beta.1"}, envelope); ++i) { }
        io.poll();
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    std::printf("%10zu %14.0f %14.1f\n",
                bodyBytes,
                static_cast<double>(received) / seconds,
                static_cast<double>(received * bodyBytes) / seconds / 1e6);
}

} // namespace

int main()
{
    std::printf("%10s %14s %14s\n", "body bytes", "messages/s", "MB/s");
    for (const std::size_t bytes : {64, 1024, 16384, 262144}) {
        measure(bytes);
    }
}
