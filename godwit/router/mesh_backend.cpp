#include "godwit/router/mesh_backend.h"

#include "godwit/router/link_rules.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace Godwit::internal
{
namespace
{

using Clock = std::chrono::steady_clock;

Error settingsError(std::string message)
{
    return Error{ErrorKind::InvalidSettings, std::move(message), Execution::NotRun, std::nullopt};
}

} // namespace

template<typename Config>
bool MeshBackend<Config>::prepareTls(LastReason &reason)
{
    if constexpr (IsTls) {
        auto serverContext = makeTlsContext(*m_options.tls, TlsSide::Server, reason);
        auto clientContext = makeTlsContext(*m_options.tls, TlsSide::Client, reason);
        if (!serverContext || !clientContext) {
            return false;
        }
        m_server.set_tls_init_handler([serverContext](const websocketpp::connection_hdl &) {
            return serverContext;
        });
        m_client.set_tls_init_handler([clientContext](const websocketpp::connection_hdl &) {
            return clientContext;
        });
    }
    return true;
}

template<typename Config>
bool MeshBackend<Config>::start(LastReason &reason)
{
    const auto listen = parseAddress(m_options.listenAddress);
    if (const auto fault = faultOf(m_options, m_own)) {
        reason = settingsError(*fault);
        return false;
    }
    if (!prepareTls(reason)) {
        return false;
    }
    websocketpp::lib::error_code failure;
    m_server.init_asio(&m_io, failure);
    m_client.init_asio(&m_io, failure);
    m_server.set_reuse_addr(true);
    m_server.set_tcp_pre_init_handler([this](const websocketpp::connection_hdl &handle) {
        websocketpp::lib::error_code gone;
        if (const auto connection = m_server.get_con_from_hdl(handle, gone)) {
            accept(connection);
        }
    });
    m_server.listen(*listen, failure);
    if (!failure) {
        m_server.start_accept(failure);
    }
    if (failure) {
        reason = settingsError("router links: can't listen on " + m_options.listenAddress + " (" + failure.message()
                               + "); choose a free address of this host");
        return false;
    }
    *m_acceptEnded = false;
    m_running = true;
    m_lastSweep = Clock::now();
    scheduleSweep();
    return true;
}

template<typename Config>
void MeshBackend<Config>::stop()
{
    if (!m_running) {
        return;
    }
    m_running = false;
    m_sweepTimer.cancel();
    m_dials.clear();
    while (!m_links.empty()) {
        closeGently(forget(m_links.begin()->first), websocketpp::close::status::going_away);
    }
    websocketpp::lib::error_code ignored;
    m_server.stop_listening(ignored);
    // The cancelled accept is queued by now; this runs after it.
    boost::asio::post(m_io, [ended = m_acceptEnded] {
        *ended = true;
    });
}

template<typename Config>
bool MeshBackend<Config>::stopped() const
{
    return !m_running && *m_acceptEnded
        && std::all_of(m_connections.begin(), m_connections.end(), [](const auto &connection) {
               return connection.expired();
           });
}

template<typename Config>
std::uint16_t MeshBackend<Config>::listenPort() const
{
    boost::system::error_code failure;
    const auto endpoint = const_cast<Server &>(m_server).get_local_endpoint(failure);
    return failure ? 0 : endpoint.port();
}

template<typename Config>
void MeshBackend<Config>::accept(const ConnectionPtr &connection)
{
    m_connections.push_back(connection);
    // Without this bound, whoever opens connections and says nothing fills the control thread's memory and takes
    // every file descriptor, and the routers that belong here get no link. Silent ones leave after helloLimit.
    if (!m_running || m_unproven >= m_options.unprovenBound) {
        boost::system::error_code ignored;
        connection->get_raw_socket().close(ignored);
        return;
    }
    adopt(connection, std::nullopt);
}

template<typename Config>
LinkId MeshBackend<Config>::adopt(const ConnectionPtr &connection, const std::optional<HostId> &dialled)
{
    const LinkId id = ++m_lastLink;
    connection->set_max_message_size(m_options.frameBound);
    connection->set_pong_timeout(0);
    // A copy of a bill and its acknowledgement are small and wait for each other: held back by Nagle's algorithm and
    // delayed acknowledgements, they made the end of an answer wait for tens of milliseconds.
    connection->set_open_handler([this, id, connection = connection.get()](const websocketpp::connection_hdl &) {
        boost::system::error_code ignored;
        connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        onOpen(id);
    });
    connection->set_fail_handler([this, id](const websocketpp::connection_hdl &) {
        forget(id);
    });
    connection->set_close_handler([this, id](const websocketpp::connection_hdl &) {
        forget(id);
    });
    connection->set_message_handler(
        [this, id](const websocketpp::connection_hdl &, const typename Connection::message_ptr &message) {
            onFrame(id, std::move(message->get_raw_payload()));
        });
    connection->set_ping_handler([this, id](const websocketpp::connection_hdl &, const std::string &) {
        const auto found = m_links.find(id);
        if (found == m_links.end()) {
            return false;
        }
        found->second.heard = Clock::now();
        // A peer that pings and never reads would pile up answers here. With bytes still queued no answer is
        // needed either: they tell the peer as much, once it reads.
        return found->second.connection->get_buffered_amount() == 0;
    });
    connection->set_pong_handler([this, id](const websocketpp::connection_hdl &, const std::string &) {
        if (const auto found = m_links.find(id); found != m_links.end()) {
            found->second.heard = Clock::now();
        }
    });
    Link link;
    link.connection = connection;
    link.dialled = dialled;
    link.opened = Clock::now();
    link.heard = link.opened;
    m_links.emplace(id, std::move(link));
    if (!dialled) {
        ++m_unproven;
    }
    return id;
}

template<typename Config>
void MeshBackend<Config>::connectTo(const HostId &host, const std::string &address)
{
    if (!m_running) {
        return;
    }
    const auto endpoint = parseAddress(address);
    if (!endpoint || !mayUse(m_options, *endpoint)) {
        report(address, {RefusalKind::Malformed, "not dialled: it is no ip:port, or plain text is not allowed there"});
        return;
    }
    auto &dialSlot = m_dials[host];
    if (dialSlot) {
        dialSlot->address = address;
        return;
    }
    dialSlot = std::make_unique<Dial>(m_io);
    dialSlot->address = address;
    dial(host);
}

template<typename Config>
void MeshBackend<Config>::dropPeer(const HostId &host)
{
    m_dials.erase(host);
    std::vector<LinkId> doomed;
    for (const auto &[id, link] : m_links) {
        if (link.dialled == host || (link.remote && link.remote->host == host)) {
            doomed.push_back(id);
        }
    }
    for (const LinkId id : doomed) {
        closeGently(forget(id), websocketpp::close::status::normal);
    }
}

template<typename Config>
bool MeshBackend<Config>::hasLinkTo(const HostId &host) const
{
    return std::any_of(m_byIncarnation.begin(), m_byIncarnation.end(), [&](const auto &entry) {
        return m_links.at(entry.second).remote->host == host;
    });
}

template<typename Config>
void MeshBackend<Config>::dial(const HostId &host)
{
    auto &slot = *m_dials.at(host);
    if (hasLinkTo(host)) {
        return;
    }
    ++slot.attempts;
    const std::string scheme = IsTls ? "wss://" : "ws://";
    websocketpp::lib::error_code failure;
    const auto connection = m_client.get_connection(scheme + slot.address + "/", failure);
    if (failure) {
        scheduleDial(host);
        return;
    }
    m_connections.push_back(connection);
    slot.link = adopt(connection, host);
    m_links.at(slot.link).address = slot.address;
    m_client.connect(connection);
}

template<typename Config>
void MeshBackend<Config>::scheduleDial(const HostId &host)
{
    auto &slot = *m_dials.at(host);
    slot.timer.expires_after(reconnectDelay(m_options, m_own.incarnation, host, slot.attempts));
    slot.timer.async_wait([this, host](const boost::system::error_code &cancelled) {
        if (!cancelled && m_dials.count(host) != 0) {
            dial(host);
        }
    });
}

template<typename Config>
void MeshBackend<Config>::onOpen(LinkId id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    Link &link = found->second;
    link.heard = Clock::now();
    if (link.address.empty()) {
        link.address = link.connection->get_remote_endpoint();
    }
    if (link.dialled) {
        sendBytes(link, encodeHello(m_own));
    }
}

template<typename Config>
void MeshBackend<Config>::onFrame(LinkId id, std::string bytes)
{
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    Link &link = found->second;
    link.heard = Clock::now();
    LastReason reason;
    auto frame = decodeFrame(std::move(bytes), m_options.frameBound, reason);
    if (!frame) {
        refuse(id, {RefusalKind::Malformed, reason->message});
        return;
    }
    if (const auto *refusal = std::get_if<Refusal>(&*frame)) {
        report(link.address, *refusal);
        closeGently(forget(id), websocketpp::close::status::normal);
        return;
    }
    if (const auto *foreign = std::get_if<ForeignHello>(&*frame)) {
        refuse(id,
               {RefusalKind::Version,
                "this router speaks version " + std::to_string(RouterProtocolVersion) + ", the other "
                    + std::to_string(foreign->version) + "; run the same release on both"});
        return;
    }
    if (auto *hello = std::get_if<Hello>(&*frame); hello != nullptr && !link.remote) {
        onHello(id, *hello);
        return;
    }
    auto *envelope = std::get_if<Envelope>(&*frame);
    if (envelope == nullptr || !link.remote) {
        refuse(id, {RefusalKind::Malformed, "a frame out of turn: one hello first, then messages"});
        return;
    }
    ++counters.received;
    if (m_callbacks.onMessage) {
        const Incarnation from = link.remote->incarnation;
        m_callbacks.onMessage(from, std::move(*envelope));
    }
}

template<typename Config>
std::optional<Refusal> MeshBackend<Config>::refusalOf(const Link &link, const Hello &hello) const
{
    if (auto objection = objectionTo(m_own, link.dialled, hello)) {
        return objection;
    }
    if constexpr (IsTls) {
        // Without this check one stolen or mixed-up certificate of the fleet could speak for every router, and
        // give back slices that another one is spending.
        if (!certificateNames(link.connection->get_socket().native_handle(), hello.host)) {
            return Refusal{RefusalKind::Identity,
                           "the certificate does not name host '" + hello.host.value
                               + "'; issue one whose subject alternative name or common name is the host"};
        }
    }
    return std::nullopt;
}

template<typename Config>
void MeshBackend<Config>::onHello(LinkId id, const Hello &hello)
{
    if (const auto objection = refusalOf(m_links.at(id), hello)) {
        refuse(id, *objection);
        return;
    }
    establish(id, hello);
}

template<typename Config>
void MeshBackend<Config>::establish(LinkId id, const Hello &hello)
{
    Link &link = m_links.at(id);
    const auto standing = m_byIncarnation.find(hello.incarnation);
    const bool isSecond = standing != m_byIncarnation.end();
    if (isSecond) {
        const Link &first = m_links.at(standing->second);
        if (!secondLinkWins(link.dialled.has_value(), first.dialled.has_value(), m_own.host, first.remote->host)) {
            closeGently(forget(id), websocketpp::close::status::normal);
            return;
        }
    }
    if (!link.dialled) {
        --m_unproven;
        sendBytes(link, encodeHello(m_own));
    }
    link.remote = hello;
    if (const auto slot = m_dials.find(link.remote->host); slot != m_dials.end()) {
        slot->second->attempts = 0;
    }
    if (isSecond) {
        const LinkId loser = standing->second;
        standing->second = id;
        closeGently(forget(loser), websocketpp::close::status::normal);
        return;
    }
    m_byIncarnation.emplace(link.remote->incarnation, id);
    if (m_callbacks.onLinkUp) {
        const Hello remote = *link.remote;
        m_callbacks.onLinkUp(remote);
    }
}

template<typename Config>
void MeshBackend<Config>::report(const std::string &address, const Refusal &refusal)
{
    ++counters.refused;
    if (m_callbacks.onRefusal) {
        m_callbacks.onRefusal(address, refusal);
    }
}

template<typename Config>
void MeshBackend<Config>::refuse(LinkId id, const Refusal &refusal)
{
    const Link &link = m_links.at(id);
    const std::string address = link.address;
    sendBytes(link, encodeRefusal(refusal));
    closeGently(forget(id), websocketpp::close::status::policy_violation);
    report(address, refusal);
}

// Takes the link out of all tables and reports it down if it was up. Returns its connection, which is null when
// the link was gone already.
template<typename Config>
typename MeshBackend<Config>::ConnectionPtr MeshBackend<Config>::forget(LinkId id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return nullptr;
    }
    const Link link = std::move(found->second);
    m_links.erase(found);
    if (!link.dialled && !link.remote) {
        --m_unproven;
    }
    const auto host = link.remote ? std::optional(link.remote->host) : link.dialled;
    bool wasUp = false;
    if (link.remote) {
        const auto standing = m_byIncarnation.find(link.remote->incarnation);
        wasUp = standing != m_byIncarnation.end() && standing->second == id;
        if (wasUp) {
            m_byIncarnation.erase(standing);
        }
    }
    const auto slot = host ? m_dials.find(*host) : m_dials.end();
    if (slot != m_dials.end() && (slot->second->link == id || (wasUp && slot->second->link == NoLink))) {
        slot->second->link = NoLink;
        scheduleDial(*host);
    }
    if (wasUp && m_running && m_callbacks.onLinkDown) {
        m_callbacks.onLinkDown(link.remote->incarnation);
    }
    return link.connection;
}

template<typename Config>
void MeshBackend<Config>::closeGently(const ConnectionPtr &connection, websocketpp::close::status::value status)
{
    if (!connection) {
        return;
    }
    websocketpp::lib::error_code notOpen;
    connection->close(status, "", notOpen);
    if (notOpen) {
        connection->terminate(notOpen);
    }
}

template<typename Config>
void MeshBackend<Config>::abandon(LinkId id)
{
    if (const auto connection = forget(id)) {
        connection->terminate(websocketpp::lib::error_code());
    }
}

template<typename Config>
bool MeshBackend<Config>::sendBytes(const Link &link, const std::string &bytes)
{
    return !link.connection->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
}

// A peer that reads slowly would otherwise make this router hold all that it is owed, until memory runs out. The
// library counts what waits behind the write in progress, and that write holds no more than waited before it: so
// half the bound for what waits keeps both within the bound.
template<typename Config>
bool MeshBackend<Config>::enqueue(const Link &link, const std::string &bytes)
{
    const bool fits = link.connection->get_buffered_amount() + bytes.size() <= m_options.queueBound / 2;
    const bool taken = fits && sendBytes(link, bytes);
    ++(taken ? counters.sent : counters.dropped);
    return taken;
}

template<typename Config>
bool MeshBackend<Config>::send(const Incarnation &peer, const Envelope &envelope)
{
    const auto found = m_byIncarnation.find(peer);
    if (found == m_byIncarnation.end() || !isValid(envelope, m_options.frameBound)) {
        ++counters.dropped;
        return false;
    }
    return enqueue(m_links.at(found->second), encodeEnvelope(envelope));
}

template<typename Config>
std::size_t MeshBackend<Config>::broadcast(const Envelope &envelope)
{
    if (!isValid(envelope, m_options.frameBound)) {
        ++counters.dropped;
        return 0;
    }
    const std::string bytes = encodeEnvelope(envelope);
    std::size_t taken = 0;
    for (const auto &[incarnation, id] : m_byIncarnation) {
        taken += enqueue(m_links.at(id), bytes) ? 1 : 0;
    }
    return taken;
}

template<typename Config>
std::vector<LinkStatus> MeshBackend<Config>::links() const
{
    std::vector<LinkStatus> all;
    for (const auto &[incarnation, id] : m_byIncarnation) {
        const Link &link = m_links.at(id);
        all.push_back({*link.remote, link.dialled.has_value(), link.connection->get_buffered_amount()});
    }
    return all;
}

template<typename Config>
void MeshBackend<Config>::scheduleSweep()
{
    m_sweepTimer.expires_after(m_options.sweepInterval);
    m_sweepTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && m_running) {
            sweep();
            scheduleSweep();
        }
    });
}

template<typename Config>
void MeshBackend<Config>::sweep()
{
    const auto now = Clock::now();
    // After a pause of this process every link looks silent, though the peers' bytes wait in the sockets; closing
    // them all would cut the fleet for nothing. So a late sweep only pings, and the next one judges.
    const bool late = now - m_lastSweep > 2 * m_options.sweepInterval;
    m_lastSweep = now;
    std::vector<LinkId> silent;
    for (const auto &[id, link] : m_links) {
        const bool overdue =
            link.remote ? now - link.heard > m_options.silenceLimit : now - link.opened > m_options.helloLimit;
        if (overdue && !late) {
            silent.push_back(id);
        } else if (link.remote && link.connection->get_buffered_amount() == 0) {
            websocketpp::lib::error_code ignored;
            link.connection->ping("", ignored);
        }
    }
    for (const LinkId id : silent) {
        abandon(id);
    }
    m_connections.erase(std::remove_if(m_connections.begin(),
                                       m_connections.end(),
                                       [](const auto &connection) {
                                           return connection.expired();
                                       }),
                        m_connections.end());
}

std::unique_ptr<RouterMesh::Backend> makeMeshBackend(boost::asio::io_context &io,
                                                     RouterMeshOptions options,
                                                     Hello own,
                                                     RouterMeshCallbacks callbacks)
{
    if (options.tls) {
        return std::make_unique<MeshBackend<TlsLinkConfig>>(
            io, std::move(options), std::move(own), std::move(callbacks));
    }
    return std::make_unique<MeshBackend<PlainLinkConfig>>(io, std::move(options), std::move(own), std::move(callbacks));
}

} // namespace Godwit::internal
