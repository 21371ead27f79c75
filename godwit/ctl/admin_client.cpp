#include "godwit/ctl/admin_client.h"

#include "godwit/http/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

http::request<http::string_body> makeRequest(const AdminClient &client,
                                             const std::string &method,
                                             const std::string &target,
                                             const std::string &body)
{
    http::request<http::string_body> request{http::string_to_verb(method), target, 11};
    request.set(http::field::host, client.address);
    request.set(http::field::content_type, "application/json");
    if (!client.token.empty()) {
        request.set(http::field::authorization, "Bearer " + client.token);
    }
    request.body() = body;
    request.prepare_payload();
    return request;
}

template<typename Stream>
AdminAnswer exchange(Stream &stream, http::request<http::string_body> &request, beast::error_code &error)
{
    http::write(stream, request, error);
    if (error) {
        return {};
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    http::read(stream, buffer, parser, error);
    if (!error && parser.need_eof()) {
        // A document of which a part came could be edited and applied.
        error = http::error::partial_message;
    }
    if (error) {
        return {};
    }
    const auto response = parser.release();
    AdminAnswer answer;
    answer.status = response.result_int();
    answer.body = response.body();
    return answer;
}

// Blocking calls of Beast keep no deadline; the kernel's own does.
void setTimeouts(tcp::socket &socket, Duration timeout)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout).count();
    const timeval limit{seconds, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

AdminAnswer callTls(const AdminClient &client,
                    tcp::socket socket,
                    http::request<http::string_body> &request,
                    beast::error_code &error)
{
    asio::ssl::context context(asio::ssl::context::tls_client);
    context.load_verify_file(client.caFile, error);
    if (error) {
        return {};
    }
    context.set_verify_mode(asio::ssl::verify_peer);
    asio::ssl::stream<tcp::socket> stream(std::move(socket), context);
    stream.handshake(asio::ssl::stream_base::client, error);
    return error ? AdminAnswer{} : exchange(stream, request, error);
}

AdminAnswer callOnce(const AdminClient &client,
                     const tcp::endpoint &address,
                     http::request<http::string_body> request,
                     beast::error_code &error)
{
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(address, error);
    if (error) {
        return {};
    }
    setTimeouts(socket, client.timeout);
    return client.caFile.empty() ? exchange(socket, request, error)
                                 : callTls(client, std::move(socket), request, error);
}

} // namespace

std::optional<AdminAnswer> call(const AdminClient &client,
                                const std::string &method,
                                const std::string &target,
                                const std::string &body,
                                LastReason &reason)
{
    const auto address = parseAddress(client.address, reason);
    if (!address) {
        return std::nullopt;
    }
    const auto request = makeRequest(client, method, target, body);
    beast::error_code error;
    for (int i = 0; i < client.tries; ++i) {
        error = {};
        auto answer = callOnce(client, *address, request, error);
        if (!error) {
            return answer;
        }
    }
    reason = Error{ErrorKind::PlatformAway,
                   "no router answered at " + client.address + " (" + error.message()
                       + "); check --operator, --ca and that godwitd runs"};
    reason->execution = Execution::Unknown;
    return std::nullopt;
}

} // namespace Godwit
