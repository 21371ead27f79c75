#include "godwit/caller/caller_server.h"

#include "godwit/http/address.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/socket.h>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// Waits this long when the host is out of descriptors, instead of spinning on the same error.
constexpr auto AcceptPause = std::chrono::milliseconds(50);

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Another process that shares the port by the same option would silently take a part of the callers. A listener
// without the option shows it.
boost::system::error_code checkUnused(asio::io_context &io, const tcp::endpoint &address)
{
    boost::system::error_code error;
    tcp::acceptor probe(io);
    probe.open(address.protocol(), error);
    probe.set_option(tcp::acceptor::reuse_address(true), error);
    probe.bind(address, error);
    if (!error) {
        probe.listen(1, error);
    }
    return error;
}

} // namespace

CallerServer::CallerServer(CallerServerOptions options, Post post, std::function<bool()> ready)
    : m_acceptor(m_io)
    , m_shared{m_io,
               options.caller,
               EndpointPool(),
               CallRegistry(),
               std::move(post),
               std::move(ready),
               options.thread,
               options.threads}
{
}

CallerServer::~CallerServer()
{
    stop();
}

std::optional<tcp::endpoint> CallerServer::listen(const tcp::endpoint &address, LastReason &reason)
{
    const bool first = m_shared.nextCall == 0;
    boost::system::error_code error;
    if (first && address.port() != 0) {
        error = checkUnused(m_io, address);
    }
    if (!error) {
        m_acceptor.open(address.protocol(), error);
    }
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        // Each traffic thread listens on the same port; the kernel spreads connections over them.
        m_acceptor.set_option(ReusePort(true), error);
    }
    if (!error) {
        m_acceptor.bind(address, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        reason =
            Error{ErrorKind::InvalidSettings, "can't listen on " + formatAddress(address) + ": " + error.message()};
        return std::nullopt;
    }
    return m_acceptor.local_endpoint();
}

void CallerServer::setTls(TlsContext context)
{
    asio::post(m_io, [this, context = std::move(context)] {
        m_tls = context;
    });
}

void CallerServer::start()
{
    asio::spawn(
        m_io,
        [this](const asio::yield_context &yield) {
            acceptLoop(yield);
        },
        asio::detached);
    m_thread = std::thread([this] {
        const auto work = asio::make_work_guard(m_io);
        m_io.run();
    });
}

void CallerServer::acceptLoop(const asio::yield_context &yield)
{
    asio::steady_timer pause(m_io);
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket(m_io);
        m_acceptor.async_accept(socket, yield[error]);
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            pause.expires_after(AcceptPause);
            pause.async_wait(yield[error]);
            continue;
        }
        // Beyond the bound a new caller is turned away, so that those being served keep their memory.
        if (m_shared.connections < m_shared.options.maxConnections) {
            serve(std::move(socket));
        }
    }
}

void CallerServer::serve(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++m_shared.connections;
    asio::spawn(
        m_io,
        [this, stream = boost::beast::tcp_stream(std::move(socket)), tls = m_tls](
            const asio::yield_context &yield) mutable {
            if (tls) {
                serveConnection(
                    boost::beast::ssl_stream<boost::beast::tcp_stream>(std::move(stream), *tls), m_shared, yield);
            } else {
                serveConnection(std::move(stream), m_shared, yield);
            }
            --m_shared.connections;
        },
        asio::detached);
}

void CallerServer::closeAfterAnswers()
{
    m_shared.closing = true;
}

std::size_t CallerServer::activeCalls() const
{
    return m_shared.activeCalls;
}

void CallerServer::stopAccepting()
{
    asio::post(m_io, [this] {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    });
}

void CallerServer::stop()
{
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void CallerServer::deliver(CallCommand command)
{
    asio::post(m_io, [this, command = std::move(command)]() mutable {
        m_shared.registry.deliver(std::move(command));
    });
}

} // namespace Godwit
