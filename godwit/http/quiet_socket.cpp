#include "godwit/http/quiet_socket.h"

#include <sys/socket.h>

#include <cerrno>

namespace Godwit
{

bool isQuiet(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace Godwit
