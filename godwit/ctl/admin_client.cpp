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

constexpr std::uint64_t MaxAnswerBytes = 8ULL * 1024 * 1024;

// Bound of the bytes that wait for the parser: a head, a chunk's size with its extensions, or trailers.
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;

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

// Runs one asynchronous operation to its end, which the deadline of the stream below it bounds.
template<typename Start>
beast::error_code runOne(asio::io_context &io, Start start)
{
    beast::error_code result;
    start([&result](const beast::error_code &error, const auto &...) {
        result = error;
    });
    io.restart();
    io.run();
    return result;
}

template<typename Stream>
AdminAnswer exchange(asio::io_context &io,
                     Stream &stream,
                     http::request<http::string_body> &request,
                     beast::error_code &error)
{
    error = runOne(io, [&](auto done) {
        http::async_write(stream, request, done);
    });
    if (error) {
        return {};
    }
    beast::flat_buffer buffer(MaxUnparsedBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    error = runOne(io, [&](auto done) {
        http::async_read(stream, buffer, parser, done);
    });
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

AdminAnswer callTls(const AdminClient &client,
                    asio::io_context &io,
                    beast::tcp_stream &transport,
                    http::request<http::string_body> &request,
                    beast::error_code &error)
{
    asio::ssl::context context(asio::ssl::context::tls_client);
    context.load_verify_file(client.caFile, error);
    if (error) {
        return {};
    }
    context.set_verify_mode(asio::ssl::verify_peer);
    asio::ssl::stream<beast::tcp_stream &> stream(transport, context);
    error = runOne(io, [&](auto done) {
        stream.async_handshake(asio::ssl::stream_base::client, done);
    });
    return error ? AdminAnswer{} : exchange(io, stream, request, error);
}

AdminAnswer callOnce(const AdminClient &client,
                     const tcp::endpoint &address,
                     http::request<http::string_body> request,
                     beast::error_code &error)
{
    asio::io_context io;
    beast::tcp_stream stream(io);
    stream.expires_after(client.timeout);
    error = runOne(io, [&](auto done) {
        stream.async_connect(address, done);
    });
    if (error) {
        return {};
    }
    return client.caFile.empty() ? exchange(io, stream, request, error) : callTls(client, io, stream, request, error);
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
