#pragma once

// Whether a kept connection may carry another request.

#include <boost/asio/ip/tcp.hpp>

namespace Godwit
{

// True when nothing has arrived on the socket and the other side has not closed it. Bytes that nobody asked for would
// be taken for the answer to the next request.
bool isQuiet(boost::asio::ip::tcp::socket &socket);

} // namespace Godwit
