#pragma once

// Small HTTP/1.1 server for address discovery, readiness checks and metrics. Not thread-safe.
//
// Example:
//   SimpleHttpServer server(io, [](const std::string &method, const std::string &target) {
//       return SimpleHttpResponse{200, body};
//   }, 256);
//   server.listen("10.0.0.4:8746", reason);

#include "godwit/relay/listener.h"
#include "platform/http_codec.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Godwit
{

class SimpleHttpConnection;

struct SimpleHttpResponse
{
    unsigned status = 404;
    std::string body;
    std::string contentType = "application/json";
};

class SimpleHttpServer
{
public:
    using Handler = std::function<SimpleHttpResponse(const std::string &method, const std::string &target)>;

    // At most `maxConnections` are open at a time. Beyond that, the one that has sent no request for the longest time
    // is closed for a new one.
    SimpleHttpServer(boost::asio::io_context &io, Handler handler, std::size_t maxConnections);

    // May be called for several addresses. Returns false and sets `reason` when the address can't be bound.
    bool listen(const std::string &address, LastReason &reason);
    void close();

private:
    void accept(Listener::Socket socket);

    boost::asio::io_context &m_io;
    Handler m_handler;
    std::size_t m_maxConnections;
    std::vector<std::weak_ptr<SimpleHttpConnection>> m_connections; // May contain ended ones.
    std::vector<std::unique_ptr<Listener>> m_listeners;
};

} // namespace Godwit
