#include "godwit/router/router_mesh.h"

#include "godwit/router/mesh_backend.h"

#include <utility>

namespace Godwit
{

RouterMesh::RouterMesh(boost::asio::io_context &io, RouterMeshOptions options, Hello own, RouterMeshCallbacks callbacks)
    : m_backend(internal::makeMeshBackend(io, std::move(options), std::move(own), std::move(callbacks)))
{
}

RouterMesh::~RouterMesh()
{
    stop();
}

bool RouterMesh::start(LastReason &reason)
{
    return m_backend->start(reason);
}

void RouterMesh::stop()
{
    m_backend->stop();
}

bool RouterMesh::stopped() const
{
    return m_backend->stopped();
}

std::uint16_t RouterMesh::listenPort() const
{
    return m_backend->listenPort();
}

void RouterMesh::connectTo(const HostId &host, const std::string &address)
{
    m_backend->connectTo(host, address);
}

void RouterMesh::dropPeer(const HostId &host)
{
    m_backend->dropPeer(host);
}

bool RouterMesh::send(const Incarnation &peer, const Envelope &envelope)
{
    return m_backend->send(peer, envelope);
}

std::size_t RouterMesh::broadcast(const Envelope &envelope)
{
    return m_backend->broadcast(envelope);
}

std::vector<LinkStatus> RouterMesh::links() const
{
    return m_backend->links();
}

const RouterMeshCounters &RouterMesh::counters() const
{
    return m_backend->counters;
}

} // namespace Godwit
