#include "godwit/relay/listener.h"

#include "godwit/http/address.h"

#include <utility>

namespace Godwit
{
namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

// Bursts of new connections wait here instead of being dropped and sent again a second later.
constexpr int Backlog = 1024;
// After an error such as too few descriptors; at once would spin.
constexpr auto AcceptPause = std::chrono::milliseconds(20);

} // namespace

Listener::Listener(boost::asio::io_context &io)
    : m_acceptor(io)
    , m_pause(io)
{
}

bool Listener::open(const std::string &address, std::function<void(Socket)> onConnection, LastReason &reason)
{
    const auto endpoint = parseAddress(address, reason);
    if (!endpoint) {
        return false;
    }
    error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(*endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(Backlog, error);
    }
    if (error) {
        reason = Error{ErrorKind::InvalidSettings, "can't listen on " + address + ": " + error.message(), {}, {}};
        return false;
    }
    m_onConnection = std::move(onConnection);
    accept();
    return true;
}

void Listener::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_pause.cancel();
}

std::string Listener::address() const
{
    error_code ignored;
    return formatAddress(m_acceptor.local_endpoint(ignored));
}

void Listener::accept()
{
    m_acceptor.async_accept([this](const error_code &error, Socket socket) {
        if (error == boost::asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            m_pause.expires_after(AcceptPause);
            m_pause.async_wait([this](const error_code &cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        m_onConnection(std::move(socket));
        accept();
    });
}

} // namespace Godwit
