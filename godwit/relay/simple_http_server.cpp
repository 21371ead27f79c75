#include "godwit/relay/simple_http_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Godwit
{
namespace
{

namespace beast = boost::beast;
namespace http = beast::http;

// Clients send one request per connection, or poll every few seconds.
constexpr auto IdleTimeout = std::chrono::seconds(10);
constexpr std::uint32_t MaxHeadBytes = 8U * 1024;
constexpr std::uint64_t MaxBodyBytes = 4096;
// The parser leaves trailers and the lines of chunk sizes in the buffer until their end has arrived.
constexpr std::size_t MaxUnparsedBytes = 16UL * 1024;

class SimpleHttpConnection : public std::enable_shared_from_this<SimpleHttpConnection>
{
public:
    SimpleHttpConnection(Listener::Socket socket, const SimpleHttpServer::Handler &handler)
        : m_stream(std::move(socket))
        , m_handler(handler)
        , m_buffer(MaxUnparsedBytes)
    {
    }

    void read()
    {
        m_parser.emplace();
        m_parser->header_limit(MaxHeadBytes);
        m_parser->body_limit(MaxBodyBytes);
        m_stream.expires_after(IdleTimeout);
        http::async_read(
            m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
                if (!error) {
                    self->reply();
                }
            });
    }

private:
    void reply()
    {
        const auto &request = m_parser->get();
        const SimpleHttpResponse answer =
            m_handler(std::string(request.method_string()), std::string(request.target()));
        m_response = {};
        m_response.version(11);
        m_response.result(answer.status);
        m_response.set(http::field::content_type, answer.contentType);
        m_response.body() = answer.body;
        m_response.keep_alive(request.keep_alive());
        m_response.prepare_payload();
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (!error && self->m_response.keep_alive()) {
                self->read();
            }
        });
    }

    beast::tcp_stream m_stream;
    const SimpleHttpServer::Handler &m_handler;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
};

} // namespace

SimpleHttpServer::SimpleHttpServer(boost::asio::io_context &io, Handler handler)
    : m_io(io)
    , m_handler(std::move(handler))
{
}

bool SimpleHttpServer::listen(const std::string &address, LastReason &reason)
{
    auto listener = std::make_unique<Listener>(m_io);
    const bool opened = listener->open(
        address,
        [this](Listener::Socket socket) {
            std::make_shared<SimpleHttpConnection>(std::move(socket), m_handler)->read();
        },
        reason);
    m_listeners.push_back(std::move(listener));
    return opened;
}

void SimpleHttpServer::close()
{
    for (const auto &listener : m_listeners) {
        listener->close();
    }
}

} // namespace Godwit
