#pragma once

// "ip:port" texts as endpoints of Asio. Hosts are named by IP numbers only: nothing here resolves names.

#include "godwit/base/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

// Reads "127.0.0.1:8080" or "[::1]:8080". Port 0 is allowed: a listener then takes any free port.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text, LastReason &reason);

std::string formatAddress(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace Godwit
