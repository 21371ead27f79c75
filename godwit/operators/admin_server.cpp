#include "godwit/operators/admin_server.h"

#include "godwit/http/address.h"
#include "godwit/http/error_body.h"
#include "godwit/http/key_digest.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
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

constexpr auto AcceptPause = std::chrono::milliseconds(50);

http::response<http::string_body> toHttp(const AdminResponse &from, unsigned version, bool keepAlive)
{
    http::response<http::string_body> response{static_cast<http::status>(from.status), version};
    response.set(http::field::content_type, from.contentType);
    if (from.retryAfter) {
        response.set(http::field::retry_after, retryAfterSeconds(*from.retryAfter));
    }
    response.keep_alive(keepAlive);
    response.body() = from.body;
    response.prepare_payload();
    return response;
}

// The parser leaves heads, trailers and the lines of chunk sizes in the buffer until their end has arrived.
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;

} // namespace

class AdminServer::Impl : public std::enable_shared_from_this<AdminServer::Impl>
{
public:
    Impl(asio::io_context &io, AdminServerOptions options, Handler handler)
        : m_io(io)
        , m_acceptor(io)
        , m_options(options)
        , m_handler(std::move(handler))
    {
    }

    std::optional<tcp::endpoint> listen(const tcp::endpoint &address, LastReason &reason)
    {
        boost::system::error_code error;
        m_acceptor.open(address.protocol(), error);
        if (!error) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
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
        asio::spawn(
            m_io,
            [self = shared_from_this()](const asio::yield_context &yield) {
                self->acceptLoop(yield);
            },
            asio::detached);
        return m_acceptor.local_endpoint();
    }

    void close()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        m_handler = nullptr;
    }

    TlsContext m_tls;

private:
    void acceptLoop(const asio::yield_context &yield)
    {
        asio::steady_timer pause(m_io);
        while (m_acceptor.is_open()) {
            boost::system::error_code error;
            tcp::socket socket(m_io);
            m_acceptor.async_accept(socket, yield[error]);
            if (error) {
                pause.expires_after(AcceptPause);
                pause.async_wait(yield[error]);
                continue;
            }
            if (m_connections < m_options.maxConnections) {
                serve(std::move(socket));
            }
        }
    }

    void serve(tcp::socket socket)
    {
        ++m_connections;
        asio::spawn(
            m_io,
            [self = shared_from_this(), stream = beast::tcp_stream(std::move(socket)), tls = m_tls](
                const asio::yield_context &yield) mutable {
                if (tls) {
                    beast::ssl_stream<beast::tcp_stream> secure(std::move(stream), *tls);
                    self->serveTls(secure, yield);
                } else {
                    self->serveStream(stream, yield);
                }
                --self->m_connections;
            },
            asio::detached);
    }

    void serveTls(beast::ssl_stream<beast::tcp_stream> &stream, const asio::yield_context &yield)
    {
        beast::error_code error;
        beast::get_lowest_layer(stream).expires_after(m_options.readTimeout);
        stream.async_handshake(asio::ssl::stream_base::server, yield[error]);
        if (!error) {
            serveStream(stream, yield);
        }
    }

    template<typename Stream>
    void serveStream(Stream &stream, const asio::yield_context &yield)
    {
        beast::flat_buffer buffer(MaxUnparsedBytes);
        while (m_handler) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(m_options.maxBodyBytes);
            beast::error_code error;
            beast::get_lowest_layer(stream).expires_after(m_options.readTimeout);
            http::async_read(stream, buffer, parser, yield[error]);
            const bool tooLarge = error == http::error::body_limit;
            if (error && !tooLarge) {
                return;
            }
            const auto request = parser.release();
            AdminResponse answer;
            if (tooLarge) {
                const Error refusal{ErrorKind::BodyTooLarge,
                                    "the body may have " + std::to_string(m_options.maxBodyBytes) + " bytes"};
                answer = AdminResponse{413, "application/json", errorToJson(refusal), std::nullopt};
            } else {
                answer = ask(request, yield);
            }
            const bool keepAlive = request.keep_alive() && !tooLarge;
            const auto response = toHttp(answer, request.version(), keepAlive);
            beast::get_lowest_layer(stream).expires_after(m_options.writeTimeout);
            http::async_write(stream, response, yield[error]);
            if (error || !keepAlive) {
                return;
            }
        }
    }

    AdminResponse ask(const http::request<http::string_body> &from, const asio::yield_context &yield)
    {
        AdminRequest request;
        request.method = std::string(from.method_string());
        request.target = std::string(from.target());
        const auto authorization = from[http::field::authorization];
        request.tokenDigest = keyDigestOf(std::string_view(authorization.data(), authorization.size()));
        request.body = from.body();
        // The answer may come at once or later; shared, since a late one may outlive this connection.
        auto answer = std::make_shared<std::optional<AdminResponse>>();
        auto wake = std::make_shared<asio::steady_timer>(m_io, asio::steady_timer::time_point::max());
        m_handler(request, [answer, wake](AdminResponse response) {
            *answer = std::move(response);
            wake->cancel();
        });
        while (!*answer) {
            boost::system::error_code cancelled;
            wake->async_wait(yield[cancelled]);
        }
        return std::move(**answer);
    }

    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    AdminServerOptions m_options;
    Handler m_handler;
    std::size_t m_connections = 0;
};

AdminServer::AdminServer(asio::io_context &io, AdminServerOptions options, Handler handler)
    : m_impl(std::make_shared<Impl>(io, options, std::move(handler)))
{
}

AdminServer::~AdminServer()
{
    m_impl->close();
}

std::optional<tcp::endpoint> AdminServer::listen(const tcp::endpoint &address, LastReason &reason)
{
    return m_impl->listen(address, reason);
}

void AdminServer::setTls(TlsContext context)
{
    m_impl->m_tls = std::move(context);
}

} // namespace Godwit
