#include "godwit/relay/socket_progress.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <optional>

namespace Godwit
{
namespace
{

// Requests and most answers are smaller, so that the limit costs no additional wake-up for them.
constexpr int MaxUnsentBytes = 16 * 1024;

std::optional<tcp_info> tcpInfo(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool known = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return known ? std::optional(info) : std::nullopt;
}

} // namespace

void limitUnsentBytes(boost::asio::ip::tcp::socket &socket)
{
    // Errors are ignored: without the option a stalled reader is only detected after more bytes.
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &MaxUnsentBytes, sizeof(MaxUnsentBytes));
}

std::uint64_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::uint64_t>(bytes) : 0;
}

bool isReceiverFull(boost::asio::ip::tcp::socket &socket)
{
    const auto info = tcpInfo(socket);
    return info && info->tcpi_unacked == 0 && unacknowledgedBytes(socket) > 0;
}

bool wasReset(boost::asio::ip::tcp::socket &socket)
{
    // After an orderly close by the other host alone, the state is CLOSE_WAIT.
    const auto info = tcpInfo(socket);
    return info && info->tcpi_state == TCP_CLOSE;
}

Duration sinceLastSegment(boost::asio::ip::tcp::socket &socket)
{
    const auto info = tcpInfo(socket);
    return std::chrono::milliseconds(info ? info->tcpi_last_ack_recv : 0);
}

} // namespace Godwit
