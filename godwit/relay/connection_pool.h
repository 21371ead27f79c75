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

    std::optional<Socket> acquire(const EndpointId &endpoint, TimePoint now);
    void release(const EndpointId &endpoint, Socket socket, TimePoint expiresAt);

    // Closes all idle connections to an endpoint that has started anew: behind a cut they look sound and lead nowhere.
    void closeIdle(const EndpointId &endpoint);

    // Closes idle connections whose time is up or that are no longer sound.
    void closeExpired(TimePoint now);

private:
    struct Idle
    {
        Socket socket;
        TimePoint expiresAt;
    };
    std::map<EndpointId, std::vector<Idle>> m_idle;
};

// Bounds how long the kernel waits for acknowledgements before it gives a connection up: across a network that
// silently drops everything, writes would otherwise seem to succeed for minutes.
void setTcpUserTimeout(ConnectionPool::Socket &socket, Duration limit);

} // namespace Godwit
