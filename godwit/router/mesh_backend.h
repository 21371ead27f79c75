#pragma once

// What RouterMesh runs on: the WebSocket library, with plain sockets or with TLS. Only router_mesh.cpp and
// mesh_backend.cpp include this.

#include "godwit/router/link_config.h"
#include "godwit/router/router_mesh.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <type_traits>
#include <unordered_map>
#include <utility>

namespace Godwit
{

class RouterMesh::Backend
{
public:
    Backend() = default;
    Backend(const Backend &) = delete;
    Backend &operator=(const Backend &) = delete;
    virtual ~Backend() = default;
    virtual bool start(LastReason &reason) = 0;
    virtual void stop() = 0;
    virtual bool stopped() const = 0;
    virtual std::uint16_t listenPort() const = 0;
    virtual void connectTo(const HostId &host, const std::string &address) = 0;
    virtual void dropPeer(const HostId &host) = 0;
    virtual bool send(const Incarnation &peer, const Envelope &envelope) = 0;
    virtual std::size_t broadcast(const Envelope &envelope) = 0;
    virtual std::vector<LinkStatus> links() const = 0;

    RouterMeshCounters counters;
};

namespace internal
{

// Counts the connections of one mesh, in and out.
using LinkId = std::uint64_t;

constexpr LinkId NoLink = 0;

template<typename Config>
class MeshBackend final : public RouterMesh::Backend
{
public:
    MeshBackend(boost::asio::io_context &io, RouterMeshOptions options, Hello own, RouterMeshCallbacks callbacks)
        : m_io(io)
        , m_options(std::move(options))
        , m_own(std::move(own))
        , m_callbacks(std::move(callbacks))
        , m_sweepTimer(io)
    {
    }

    bool start(LastReason &reason) override;
    void stop() override;
    bool stopped() const override;
    std::uint16_t listenPort() const override;
    void connectTo(const HostId &host, const std::string &address) override;
    void dropPeer(const HostId &host) override;
    bool send(const Incarnation &peer, const Envelope &envelope) override;
    std::size_t broadcast(const Envelope &envelope) override;
    std::vector<LinkStatus> links() const override;

private:
    using Server = websocketpp::server<Config>;
    using Client = websocketpp::client<Config>;
    using Connection = typename Server::connection_type;
    using ConnectionPtr = typename Server::connection_ptr;
    static constexpr bool IsTls = std::is_same_v<Config, TlsLinkConfig>;

    struct Link
    {
        ConnectionPtr connection;
        // The host that this side dialled; absent on inbound links.
        std::optional<HostId> dialled;
        // Set once the hello is accepted.
        std::optional<Hello> remote;
        std::string address;
        std::chrono::steady_clock::time_point opened;
        std::chrono::steady_clock::time_point heard;
    };

    struct Dial
    {
        explicit Dial(boost::asio::io_context &io)
            : timer(io)
        {
        }

        std::string address;
        boost::asio::steady_timer timer;
        std::uint64_t attempts = 0;
        LinkId link = NoLink;
    };

    boost::asio::io_context &m_io;
    RouterMeshOptions m_options;
    Hello m_own;
    RouterMeshCallbacks m_callbacks;
    boost::asio::steady_timer m_sweepTimer;
    std::chrono::steady_clock::time_point m_lastSweep;
    Server m_server;
    Client m_client;
    std::map<LinkId, Link> m_links;
    std::unordered_map<Incarnation, LinkId> m_byIncarnation;
    std::map<HostId, std::unique_ptr<Dial>> m_dials;
    LinkId m_lastLink = NoLink;
    std::size_t m_unproven = 0;
    // What the library may still hold on the io_context after stop().
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::shared_ptr<bool> m_acceptEnded = std::make_shared<bool>(true);
    bool m_running = false;

    bool prepareTls(LastReason &reason);
    void accept(const ConnectionPtr &connection);
    void dial(const HostId &host);
    void scheduleDial(const HostId &host);
    bool hasLinkTo(const HostId &host) const;
    LinkId adopt(const ConnectionPtr &connection, const std::optional<HostId> &dialled);
    void onOpen(LinkId id);
    void onFrame(LinkId id, std::string bytes);
    void onHello(LinkId id, const Hello &hello);
    std::optional<Refusal> refusalOf(const Link &link, const Hello &hello) const;
    void establish(LinkId id, const Hello &hello);
    void refuse(LinkId id, const Refusal &refusal);
    void report(const std::string &address, const Refusal &refusal);
    ConnectionPtr forget(LinkId id);
    void closeGently(const ConnectionPtr &connection, websocketpp::close::status::value status);
    void abandon(LinkId id);
    bool sendBytes(const Link &link, const std::string &bytes);
    bool enqueue(const Link &link, const std::string &bytes);
    void scheduleSweep();
    void sweep();
};

// With TLS when the options name its files.
std::unique_ptr<RouterMesh::Backend> makeMeshBackend(boost::asio::io_context &io,
                                                     RouterMeshOptions options,
                                                     Hello own,
                                                     RouterMeshCallbacks callbacks);

} // namespace internal
} // namespace Godwit
