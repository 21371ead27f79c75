#pragma once

// A small asynchronous HTTP server for the stand-ins: keep-alive, bounded bodies, answers at once, later or in chunks.
//
// Everything runs on the thread that runs the io_context; nothing here is thread-safe.
//
// Example:
//   HttpServer server(context, endpoint, HttpServerOptions{}, [](HttpRequest &&request, ResponderPtr responder) {
//       responder->reply(200, R"({"answer":42})");
//   });

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Godwit::Standins
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// What says where the body of an answer that comes in pieces ends.
struct BodyFraming
{
    enum class Kind { Chunked, Length, Connection };

    Kind kind = Kind::Chunked;
    std::size_t length = 0; // Of the whole body, for Kind::Length.
};

// The answer to one request. It may be given long after the handler has returned; calls after the end of the answer
// or of the connection do nothing.
class Responder
{
public:
    virtual ~Responder() = default;

    // Sends a whole answer.
    virtual void reply(unsigned status, std::string body, const HttpHeaders &headers = {}) = 0;

    // Starts an answer in pieces: any number of chunks and finish() follow.
    virtual void startStream(unsigned status,
                             const std::string &contentType,
                             const HttpHeaders &headers = {},
                             BodyFraming framing = {}) = 0;
    virtual void chunk(const std::string &data) = 0;
    virtual void finish() = 0;

    // Closes the connection in order after what was sent, whatever the framing still wants.
    virtual void closeInOrder() = 0;

    // Closes the connection without any further byte; what was queued may be lost.
    virtual void reset() = 0;

    // Calls `handler` once if the peer leaves before the answer's end.
    virtual void onPeerGone(std::function<void()> handler) = 0;

    // False once the answer has ended or the connection is lost.
    virtual bool isOpen() const = 0;
};

using ResponderPtr = std::shared_ptr<Responder>;
using HttpHandler = std::function<void(HttpRequest &&, ResponderPtr)>;

// What the end of a process does to its connections.
enum class ProcessEnd {
    ResetConnections,
    CloseConnections, // In order, as the kernel does for sockets without unread bytes.
};

struct HttpServerOptions
{
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
};

class HttpServer
{
public:
    // Listens at once. Throws boost::system::system_error when the address can't be had.
    HttpServer(boost::asio::io_context &context,
               const boost::asio::ip::tcp::endpoint &address,
               HttpServerOptions options,
               HttpHandler handler);

    // The address that it listens on, with the port that the system chose when port 0 was asked for.
    boost::asio::ip::tcp::endpoint address() const;

    // As when the process dies: ends all connections, and the port refuses until listenAgain(). The server is at the
    // same port then if it was given one.
    void die(ProcessEnd end = ProcessEnd::ResetConnections);
    void listenAgain();

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    bool m_dead = false;
    // Ends of the connections that were accepted since the last death.
    std::vector<std::function<void(ProcessEnd)>> m_ends;
    HttpServerOptions m_options;
    HttpHandler m_handler;
};

} // namespace Godwit::Standins
