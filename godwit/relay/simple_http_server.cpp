#include "godwit/relay/simple_http_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

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

} // namespace

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
        m_waitingSince = Clock::now();
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

    // When it began to wait for a request.
    std::chrono::steady_clock::time_point waitingSince() const
    {
        return m_waitingSince;
    }

    void close()
    {
        m_stream.close();
    }

private:
    using Clock = std::chrono::steady_clock;

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
    Clock::time_point m_waitingSince;
};

SimpleHttpServer::SimpleHttpServer(boost::asio::io_context &io, Handler handler, std::size_t maxConnections)
    : m_io(io)
    , m_handler(std::move(handler))
    , m_maxConnections(maxConnections)
{
}

void SimpleHttpServer::accept(Listener::Socket socket)
{
    std::vector<std::shared_ptr<SimpleHttpConnection>> open;
    for (const auto &connection : m_connections) {
        if (auto shared = connection.lock()) {
            open.push_back(std::move(shared));
        }
    }
    if (open.size() >= m_maxConnections) {
        const auto longest = std::min_element(open.begin(), open.end(), [](const auto &a, const auto &b) {
            return a->waitingSince() < b->waitingSince();
        });
        (*longest)->close();
        open.erase(longest);
    }
    open.push_back(std::make_shared<SimpleHttpConnection>(std::move(socket), m_handler));
    open.back()->read();
    m_connections.assign(open.begin(), open.end());
}

bool SimpleHttpServer::listen(const std::string &address, LastReason &reason)
{
    auto listener = std::make_unique<Listener>(m_io);
    const bool opened = listener->open(
        address,
        [this](Listener::Socket socket) {
            accept(std::move(socket));
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
