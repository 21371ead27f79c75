#pragma once

// Small HTTP/1.1 server for address discovery, readiness checks and metrics.
//
// Example:
//   SimpleHttpServer server(io, [](const std::string &method, const std::string &target) {
//       return SimpleHttpResponse{200, body};
//   });
//   server.listen("10.0.0.4:8746", reason);

#include "godwit/relay/listener.h"
#include "platform/http_codec.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Godwit
{

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

    SimpleHttpServer(boost::asio::io_context &io, Handler handler);

    // May be called for several addresses. Returns false and sets `reason` when the address can't be bound.
    bool listen(const std::string &address, LastReason &reason);
    void close();

private:
    boost::asio::io_context &m_io;
    Handler m_handler;
    std::vector<std::unique_ptr<Listener>> m_listeners;
};

} // namespace Godwit
