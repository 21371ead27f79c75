#pragma once

// The links between this router and the others: WebSocket connections that carry envelopes.
//
// Each router listens, and dials every router it is told of. Both sides prove who they are with the first frame,
// and with TLS by certificate. Two routers that dial each other at once end with one link. A link gives order but
// no guarantee: a message may be lost whenever a link ends, so whoever sends retries at its own level.
//
// Not thread-safe: construct and call it on the thread that runs the io_context; all callbacks come from there.
// The io_context must outlive the mesh. After stop(), either run the io_context until stopped() or never run it
// again before the mesh is destroyed.
//
// Example:
//   RouterMeshOptions options;
//   options.listenAddress = "10.0.0.4:7400";
//   options.tls = MeshTls{"router.pem", "router-key.pem", "fleet-ca.pem"};
//   RouterMesh mesh(io, options, hello, std::move(callbacks));
//   LastReason reason;
//   if (!mesh.start(reason)) { ... }
//   mesh.connectTo(HostId{"salt-lake-2"}, "10.0.0.5:7400");
//   mesh.send(peer, {"heartbeat", body});

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/router/envelope.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

// PEM files. Each side shows its certificate and checks the other's against the authority; the host of a hello
// must be a subject alternative name of the certificate, or its common name when it has none.
struct MeshTls
{
    std::string certificateFile;
    std::string keyFile;
    std::string authorityFile;
};

struct RouterMeshOptions
{
    // "ip:port"; port 0 takes a free one, which listenPort() then tells.
    std::string listenAddress;
    std::optional<MeshTls> tls;
    // Without TLS only loopback addresses are used, unless the settings allow plain text by name.
    bool allowPlainText = false;
    std::size_t frameBound = DefaultFrameBound;
    // Bytes that may wait for one peer, those in the socket's write included. Must exceed frameBound.
    std::size_t queueBound = 4096UL * 1024;
    Duration reconnectFirst = std::chrono::milliseconds(100);
    Duration reconnectLimit = std::chrono::seconds(5);
    // How often links are pinged and looked over.
    Duration sweepInterval = std::chrono::seconds(1);
    // A connection whose hello is not in by then is closed.
    Duration helloLimit = std::chrono::seconds(3);
    // A link that has brought nothing for so long is closed.
    Duration silenceLimit = std::chrono::seconds(5);
    // Inbound connections without an accepted hello; further ones are closed at once.
    std::size_t unprovenBound = 64;
};

struct RouterMeshCallbacks
{
    std::function<void(const Hello &)> onLinkUp;
    std::function<void(const Incarnation &)> onLinkDown;
    std::function<void(const Incarnation &from, Envelope)> onMessage;
    // This side refused another, or was refused. `address` is the other end's "ip:port" where it is known.
    std::function<void(const std::string &address, const Refusal &)> onRefusal;
};

struct RouterMeshCounters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    // Sends without a link, over the frame bound or over the queue bound.
    std::uint64_t dropped = 0;
    std::uint64_t refused = 0;
};

struct LinkStatus
{
    Hello remote;
    bool dialledHere = false;
    std::size_t queuedBytes = 0;
};

class RouterMesh
{
public:
    RouterMesh(boost::asio::io_context &io, RouterMeshOptions options, Hello own, RouterMeshCallbacks callbacks);
    ~RouterMesh();
    RouterMesh(const RouterMesh &) = delete;
    RouterMesh &operator=(const RouterMesh &) = delete;

    // Listens and starts to dial. On failure returns false with InvalidSettings in `reason`.
    bool start(LastReason &reason);

    // Closes all links and stops dialling and listening. No callback follows.
    void stop();

    // True once nothing of the mesh is left on the io_context.
    bool stopped() const;

    std::uint16_t listenPort() const;

    // Keeps a link to `host` at `address` ("ip:port") until dropPeer, reconnecting with a growing delay. A second
    // call replaces the address for the next dial.
    void connectTo(const HostId &host, const std::string &address);

    // Stops dialling `host` and closes its links.
    void dropPeer(const HostId &host);

    // Queues `envelope` for `peer`. Returns false, and drops it, without a link or when a bound would be passed.
    bool send(const Incarnation &peer, const Envelope &envelope);

    // Queues one envelope for each peer; encodes it once. Returns how many took it.
    std::size_t broadcast(const Envelope &envelope);

    std::vector<LinkStatus> links() const;
    const RouterMeshCounters &counters() const;

    // The library-bound part, one for plain text and one for TLS.
    class Backend;

private:
    std::unique_ptr<Backend> m_backend;
};

} // namespace Godwit
