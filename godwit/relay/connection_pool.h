#pragma once

// Kept connections to endpoints. A connection is either in use by one exchange or idle here.
//
// An idle connection on which anything has arrived, or that its endpoint has closed, is never handed out: bytes that
// nobody asked for belong to no request. Not thread-safe.
//
// Example:
//   if (auto socket = pool.take(endpoint)) { ... pool.giveBack(endpoint, std::move(*socket), now + keepFor); }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <optional>
#include <vector>

namespace Godwit
{

class ConnectionPool
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    std::optional<Socket> take(const EndpointId &endpoint, TimePoint now);
    void giveBack(const EndpointId &endpoint, Socket socket, TimePoint keepUntil);

    // Closes all idle connections to an endpoint that has started anew: behind a cut they look sound and lead nowhere.
    void forget(const EndpointId &endpoint);

    // Closes idle connections whose time is up or that are no longer sound.
    void sweep(TimePoint now);

private:
    struct Idle
    {
        Socket socket;
        TimePoint keepUntil;
    };
    std::map<EndpointId, std::vector<Idle>> m_idle;
};

// Bounds how long the kernel waits for acknowledgements before it gives a connection up: across a network that
// silently drops everything, writes would otherwise seem to succeed for minutes.
void setAcknowledgementLimit(ConnectionPool::Socket &socket, Duration limit);

} // namespace Godwit
