#include "godwit/http/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace Godwit
{
namespace
{

LastReason badAddress(std::string_view text)
{
    return Error{ErrorKind::InvalidSettings,
                 "'" + std::string(text) + "' is not an address; write ip:port, such as 127.0.0.1:8080"};
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text, LastReason &reason)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        reason = badAddress(text);
        return std::nullopt;
    }
    std::string_view ip = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    unsigned short port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(ip), error);
    if (error || portText.empty() || parsed.ec != std::errc{} || parsed.ptr != portText.data() + portText.size()) {
        reason = badAddress(text);
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::string formatAddress(const boost::asio::ip::tcp::endpoint &endpoint)
{
    const std::string ip = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

} // namespace Godwit
