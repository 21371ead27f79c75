#include "godwit/relay/connection_pool.h"

#include "godwit/http/quiet_socket.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace Godwit
{

void setTcpUserTimeout(ConnectionPool::Socket &socket, Duration limit)
{
    const auto milliseconds =
        static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    // Errors are ignored: without the option a dead connection is only detected later.
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

std::optional<ConnectionPool::Connection> ConnectionPool::acquire(const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return std::nullopt;
    }
    while (!found->second.empty()) {
        // The most recently used connection is the least likely to have been closed by the endpoint.
        Connection idle = std::move(found->second.back());
        found->second.pop_back();
        if (idle.expiresAt > now && isQuiet(idle.socket)) {
            return idle;
        }
    }
    return std::nullopt;
}

void ConnectionPool::release(const EndpointId &endpoint, Connection connection)
{
    m_idle[endpoint].push_back(std::move(connection));
}

void ConnectionPool::closeIdle(const EndpointId &endpoint)
{
    m_idle.erase(endpoint);
}

void ConnectionPool::closeExpired(TimePoint now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto &idle = it->second;
        idle.erase(std::remove_if(idle.begin(),
                                  idle.end(),
                                  [now](Connection &entry) {
                                      return entry.expiresAt <= now || !isQuiet(entry.socket);
                                  }),
                   idle.end());
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace Godwit
