#pragma once

// The operators' listener: HTTP, with TLS when the settings name a certificate.
//
// Example:
//   AdminServer server(io, options, [&](const AdminRequest &r, AdminReply reply) { api.handle(r, reply); });
//   LastReason reason;
//   if (!server.listen(address, reason)) { ... }
//
// Runs on the control thread's io_context, which outlives it.

#include "godwit/base/error.h"
#include "godwit/operators/admin_api.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace Godwit
{

struct AdminServerOptions
{
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::size_t maxConnections = 64;
    Duration readTimeout = std::chrono::seconds(10);
    Duration writeTimeout = std::chrono::seconds(20);
};

class AdminServer
{
public:
    using Handler = std::function<void(const AdminRequest &, AdminReply)>;
    using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

    AdminServer(boost::asio::io_context &io, AdminServerOptions options, Handler handler);
    ~AdminServer();

    std::optional<boost::asio::ip::tcp::endpoint> listen(const boost::asio::ip::tcp::endpoint &address,
                                                         LastReason &reason);

    // Connections that come from now on speak TLS with `context`; null for plain text.
    void setTls(TlsContext context);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Godwit
