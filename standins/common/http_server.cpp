#include "standins/common/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>

#include <sys/socket.h>

#include <optional>

namespace Godwit::Standins
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// A stream whose reader takes nothing is cut off here, so that it can't fill the memory.
constexpr std::size_t MaxQueuedBytes = 16UL * 1024 * 1024;

template<typename Message>
std::string serialize(Message &message)
{
    http::serializer<false, typename Message::body_type> serializer(message);
    std::string out;
    ErrorCode error;
    while (!serializer.is_done() && !error) {
        serializer.next(error, [&](ErrorCode &, const auto &buffers) {
            out += beast::buffers_to_string(buffers);
            serializer.consume(beast::buffer_bytes(buffers));
        });
    }
    return out;
}

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Tcp::socket socket, const HttpServerOptions &options, const HttpHandler &handler)
        : m_socket(std::move(socket))
        , m_options(options)
        , m_handler(handler)
    {
    }

    void read();
    void send(const std::string &bytes, bool last);
    void reset();
    void endWithProcess(ProcessEnd end);
    void watchPeer();
    bool keepAlive() const
    {
        return m_keepAlive;
    }
    void closeAfterAnswer()
    {
        m_keepAlive = false;
    }

    std::function<void()> peerGone;

private:
    void handleRead(ErrorCode error);
    void write();
    void peerLeft();

    Tcp::socket m_socket;
    const HttpServerOptions &m_options;
    const HttpHandler &m_handler;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::string m_queued;
    std::string m_writing;
    std::uint64_t m_requests = 0;
    bool m_answering = false;
    bool m_answerEnded = false;
    bool m_keepAlive = true;
};

class ConnectionResponder : public Responder
{
public:
    ConnectionResponder(std::shared_ptr<Connection> connection, unsigned version)
        : m_connection(std::move(connection))
        , m_version(version)
    {
    }

    ~ConnectionResponder() override
    {
        // A handler that forgets its request would leave the peer waiting for ever.
        if (m_open) {
            m_connection->reset();
        }
    }

    void reply(unsigned status, std::string body, const HttpHeaders &headers) override
    {
        if (!m_open) {
            return;
        }
        http::response<http::string_body> response;
        fillHead(response, status, headers);
        if (response.find(http::field::content_type) == response.end()) {
            response.set(http::field::content_type, "application/json");
        }
        response.body() = std::move(body);
        response.prepare_payload();
        end(serialize(response));
    }

    void startStream(unsigned status,
                     const std::string &contentType,
                     const HttpHeaders &headers,
                     BodyFraming framing) override
    {
        if (!m_open) {
            return;
        }
        m_framing = framing.kind;
        http::response<http::empty_body> response;
        fillHead(response, status, headers);
        response.set(http::field::content_type, contentType);
        if (framing.kind == BodyFraming::Kind::Chunked) {
            response.chunked(true);
        } else if (framing.kind == BodyFraming::Kind::Length) {
            response.content_length(framing.length);
        }
        http::response_serializer<http::empty_body> serializer(response);
        std::string head;
        ErrorCode error;
        serializer.split(true);
        serializer.next(error, [&](ErrorCode &, const auto &buffers) {
            head = beast::buffers_to_string(buffers);
        });
        m_connection->send(head, false);
    }

    void chunk(const std::string &data) override
    {
        if (!m_open) {
            return;
        }
        const bool chunked = m_framing == BodyFraming::Kind::Chunked;
        m_connection->send(chunked ? beast::buffers_to_string(http::make_chunk(asio::buffer(data))) : data, false);
    }

    void finish() override
    {
        if (!m_open) {
            return;
        }
        if (m_framing == BodyFraming::Kind::Connection) {
            m_connection->closeAfterAnswer();
        }
        end(m_framing == BodyFraming::Kind::Chunked ? beast::buffers_to_string(http::make_chunk_last()) : "");
    }

    void closeInOrder() override
    {
        if (m_open) {
            m_connection->closeAfterAnswer();
            end("");
        }
    }

    void reset() override
    {
        if (m_open) {
            m_open = false;
            m_gone = nullptr;
            m_connection->peerGone = nullptr;
            m_connection->reset();
        }
    }

    void onPeerGone(std::function<void()> handler) override
    {
        m_gone = std::move(handler);
        if (!m_open && m_lost) {
            notifyGone();
        }
    }

    bool isOpen() const override
    {
        return m_open;
    }

    void lost()
    {
        m_open = false;
        m_lost = true;
        notifyGone();
    }

private:
    template<typename Response>
    void fillHead(Response &response, unsigned status, const HttpHeaders &headers)
    {
        response.version(m_version);
        response.result(status);
        response.keep_alive(m_connection->keepAlive());
        for (const auto &[name, value] : headers) {
            response.set(name, value);
        }
    }

    void end(const std::string &bytes)
    {
        m_open = false;
        m_gone = nullptr; // It may hold this responder.
        m_connection->peerGone = nullptr;
        m_connection->send(bytes, true);
    }

    void notifyGone()
    {
        if (m_gone) {
            std::exchange(m_gone, nullptr)();
        }
    }

    std::shared_ptr<Connection> m_connection;
    std::function<void()> m_gone;
    unsigned m_version;
    BodyFraming::Kind m_framing = BodyFraming::Kind::Chunked;
    bool m_open = true;
    bool m_lost = false;
};

void Connection::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_options.maxBodyBytes);
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t) {
        self->handleRead(error);
    });
}

void Connection::handleRead(ErrorCode error)
{
    if (error && error != http::error::body_limit) {
        ErrorCode ignored;
        m_socket.close(ignored);
        return;
    }
    ++m_requests;
    m_answering = true;
    m_answerEnded = false;
    m_keepAlive = !error && m_parser->get().keep_alive();
    auto responder = std::make_shared<ConnectionResponder>(shared_from_this(), m_parser->get().version());
    if (error) {
        responder->reply(413, R"({"error":{"reason":"body_too_large"}})", {});
        return;
    }
    peerGone = [weak = std::weak_ptr<ConnectionResponder>(responder)] {
        if (const auto strong = weak.lock()) {
            strong->lost();
        }
    };
    m_handler(m_parser->release(), responder);
    if (m_answering && !m_answerEnded) {
        watchPeer();
    }
}

// A peer that leaves while its answer is being made shows as a readable socket without bytes. The socket may be
// readable no longer once the handler runs, since a read has had the bytes meanwhile: a blocking look would then hold
// up the whole loop for good.
void Connection::watchPeer()
{
    m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), request = m_requests](ErrorCode error) {
        if (error || request != self->m_requests || !self->m_answering) {
            return;
        }
        char byte = 0;
        ErrorCode peek;
        self->m_socket.non_blocking(true, peek);
        const std::size_t size = self->m_socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, peek);
        if (peek == asio::error::would_block) {
            self->watchPeer();
            return;
        }
        if (peek || size == 0) {
            self->peerLeft();
        }
    });
}

void Connection::send(const std::string &bytes, bool last)
{
    if (!m_socket.is_open()) {
        return;
    }
    m_answerEnded = m_answerEnded || last;
    m_queued += bytes;
    if (!m_answerEnded && m_queued.size() > MaxQueuedBytes) {
        // Not at once: the handler that is sending may still use what it frees when the peer leaves.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->peerLeft();
        });
        return;
    }
    if (m_writing.empty()) {
        write();
    }
}

void Connection::write()
{
    m_writing.swap(m_queued);
    asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](ErrorCode error, std::size_t) {
        self->m_writing.clear();
        if (error) {
            self->peerLeft();
            return;
        }
        if (!self->m_queued.empty()) {
            self->write();
            return;
        }
        if (!self->m_answerEnded) {
            return;
        }
        self->m_answering = false;
        if (self->m_keepAlive) {
            self->read();
            return;
        }
        ErrorCode ignored;
        self->m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    });
}

void Connection::reset()
{
    ErrorCode ignored;
    m_answering = false;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void Connection::endWithProcess(ProcessEnd end)
{
    if (end == ProcessEnd::ResetConnections) {
        reset();
        return;
    }
    ErrorCode ignored;
    m_answering = false;
    m_socket.close(ignored);
}

void Connection::peerLeft()
{
    const auto self = shared_from_this();
    reset();
    if (peerGone) {
        std::exchange(peerGone, nullptr)();
    }
}

} // namespace

HttpServer::HttpServer(asio::io_context &context,
                       const Tcp::endpoint &address,
                       HttpServerOptions options,
                       HttpHandler handler)
    : m_acceptor(context, address)
    , m_options(options)
    , m_handler(std::move(handler))
{
    accept();
}

Tcp::endpoint HttpServer::address() const
{
    return m_acceptor.local_endpoint();
}

void HttpServer::die(ProcessEnd end)
{
    // Keeps the port, which a closed socket would leave to whoever asks for any.
    m_dead = true;
    m_acceptor.cancel();
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    for (const auto &endConnection : std::exchange(m_ends, {})) {
        endConnection(end);
    }
}

void HttpServer::listenAgain()
{
    m_dead = false;
    m_acceptor.listen();
    accept();
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](ErrorCode error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted || m_dead) {
            return;
        }
        if (!error) {
            ErrorCode ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            const auto connection = std::make_shared<Connection>(std::move(socket), m_options, m_handler);
            m_ends.emplace_back([weak = std::weak_ptr(connection)](ProcessEnd end) {
                if (const auto open = weak.lock()) {
                    open->endWithProcess(end);
                }
            });
            connection->read();
        }
        accept();
    });
}

} // namespace Godwit::Standins
