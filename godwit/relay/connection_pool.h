#pragma once

// Pool of idle keep-alive connections to endpoints. A connection is either in use by one exchange or idle in the pool.
//
// An idle connection that has unread bytes, or that its endpoint has closed, is never handed out: unsolicited bytes
// would be taken for the response to the next request. Not thread-safe.
//
// Example:
//   if (auto connection = pool.acquire(endpoint, now)) { ... pool.release(endpoint, std::move(*connection)); }

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
    struct Connection
    {
        Socket socket;
        TimePoint openedAt;
        TimePoint expiresAt; // It is not handed out from then on.
    };

    // Returns a usable idle connection, the most recently used first, or nullopt.
    std::optional<Connection> acquire(const EndpointId &endpoint, TimePoint now);
    // Returns a connection to the pool.
    void release(const EndpointId &endpoint, Connection connection);

    // Closes all idle connections to an endpoint that has restarted: during a network partition they look usable but
    // are dead.
    void closeIdle(const EndpointId &endpoint);

    // Closes idle connections that have expired, were closed by the endpoint or have unread bytes.
    void closeExpired(TimePoint now);

private:
    std::map<EndpointId, std::vector<Connection>> m_idle;
};

// Sets TCP_USER_TIMEOUT, the time after which the kernel drops a connection with unacknowledged data. On a network that
// silently drops all packets, writes would otherwise appear to succeed for minutes.
void setTcpUserTimeout(ConnectionPool::Socket &socket, Duration limit);

} // namespace Godwit
