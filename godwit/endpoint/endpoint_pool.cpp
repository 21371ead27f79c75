#include "godwit/endpoint/endpoint_pool.h"

namespace Godwit
{

EndpointPool::EndpointPool(std::size_t maxIdlePerEndpoint)
    : m_maxIdle(maxIdlePerEndpoint)
{
}

std::unique_ptr<EndpointConnection> EndpointPool::take(const std::string &address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end() || found->second.empty()) {
        return nullptr;
    }
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    connection->reused = true;
    return connection;
}

void EndpointPool::give(const std::string &address, std::unique_ptr<EndpointConnection> connection)
{
    // Bytes after a whole answer belong to nobody: the connection can't be trusted any more.
    if (connection->buffer.size() != 0) {
        return;
    }
    auto &idle = m_idle[address];
    if (idle.size() < m_maxIdle) {
        idle.push_back(std::move(connection));
    }
}

std::size_t EndpointPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[address, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

} // namespace Godwit
