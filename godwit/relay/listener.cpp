#include "godwit/relay/listener.h"

#include "godwit/http/address.h"

#include <utility>

namespace Godwit
{
namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

// Large enough for bursts of new connections: when the accept queue overflows, the kernel drops the SYN and the caller
// retransmits it only after a second.
constexpr int Backlog = 1024;
// Delay after an error such as too many open files; an immediate retry would spin.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

Listener::Listener(boost::asio::io_context &io)
    : m_acceptor(io)
    , m_pauseTimer(io)
{
}

void Listener::setReceiveBuffer(int bytes)
{
    m_receiveBufferBytes = bytes;
}

bool Listener::open(const std::string &address, std::function<void(Socket)> onConnection, LastReason &reason)
{
    const auto endpoint = parseAddress(address, reason);
    if (!endpoint) {
        return false;
    }
    m_endpoint = *endpoint;
    if (!listen(reason)) {
        return false;
    }
    m_onConnection = std::move(onConnection);
    accept();
    return true;
}

bool Listener::listen(LastReason &reason)
{
    error_code error;
    m_acceptor.open(m_endpoint.protocol(), error);
    if (!error && m_receiveBufferBytes > 0) {
        // Accepted connections inherit it. Set on them, it would come after the handshake, which announces the window.
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(m_receiveBufferBytes), error);
    }
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(m_endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(Backlog, error);
    }
    if (error) {
        reason = Error{ErrorKind::InvalidSettings,
                       "can't listen on " + formatAddress(m_endpoint) + ": " + error.message(),
                       {},
                       {}};
        return false;
    }
    // A port that the system assigned for port 0 is kept across pauses.
    m_endpoint = m_acceptor.local_endpoint(error);
    return true;
}

void Listener::pause(Duration time)
{
    if (!m_acceptor.is_open()) {
        return;
    }
    acceptPending();
    error_code ignored;
    m_acceptor.close(ignored);
    acceptAfter(time);
}

void Listener::close()
{
    m_closed = true;
    error_code ignored;
    m_acceptor.close(ignored);
    m_pauseTimer.cancel();
}

LastReason Listener::takeFailure()
{
    return std::exchange(m_failure, std::nullopt);
}

std::string Listener::address() const
{
    return formatAddress(m_endpoint);
}

void Listener::accept()
{
    m_acceptor.async_accept([this](const error_code &error, Socket socket) {
        // A connection accepted just before a pause is still handled.
        if (!error && !m_closed) {
            m_onConnection(std::move(socket));
        }
        if (!m_acceptor.is_open()) {
            return;
        }
        if (error) {
            acceptAfter(AcceptRetryDelay);
            return;
        }
        accept();
    });
}

void Listener::acceptPending()
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        Socket socket = m_acceptor.accept(error);
        if (!error) {
            m_onConnection(std::move(socket));
        }
    }
}

void Listener::acceptAfter(Duration time)
{
    m_pauseTimer.expires_after(time);
    m_pauseTimer.async_wait([this](const error_code &cancelled) {
        if (!cancelled) {
            resume();
        }
    });
}

void Listener::resume()
{
    if (!m_acceptor.is_open() && !listen(m_failure)) {
        error_code ignored;
        m_acceptor.close(ignored);
        acceptAfter(AcceptRetryDelay);
        return;
    }
    accept();
}

} // namespace Godwit
