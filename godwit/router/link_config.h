#pragma once

// How the WebSocket library is set up for links between routers: one thread, no logs of its own, small handshakes.

#include "godwit/router/router_mesh.h"

#include <boost/asio/ssl/context.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>
#include <websocketpp/transport/asio/security/none.hpp>
#include <websocketpp/transport/asio/security/tls.hpp>

namespace Godwit::internal
{

// The library's policies as a type; its member names are the library's.
// NOLINTBEGIN(readability-identifier-naming)
template<typename Socket>
struct LinkConfig : websocketpp::config::core
{
    using type = LinkConfig;
    using base = websocketpp::config::core;

    using concurrency_type = websocketpp::concurrency::none;
    using request_type = base::request_type;
    using response_type = base::response_type;
    using message_type = base::message_type;
    using con_msg_manager_type = base::con_msg_manager_type;
    using endpoint_msg_manager_type = base::endpoint_msg_manager_type;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;
    using rng_type = websocketpp::random::random_device::int_generator<uint32_t, concurrency_type>;

    static constexpr bool enable_multithreading = false;
    // A link's handshake carries no body.
    static constexpr size_t max_http_body_size = 1024;
    static constexpr bool drop_on_protocol_error = true;

    struct transport_config : base::transport_config
    {
        using concurrency_type = type::concurrency_type;
        using alog_type = type::alog_type;
        using elog_type = type::elog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        using socket_type = Socket;
        static constexpr bool enable_multithreading = false;
        static constexpr long timeout_socket_shutdown = 1000;
    };

    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};
// NOLINTEND(readability-identifier-naming)

using PlainLinkConfig = LinkConfig<websocketpp::transport::asio::basic_socket::endpoint>;
using TlsLinkConfig = LinkConfig<websocketpp::transport::asio::tls_socket::endpoint>;

enum class TlsSide {
    Server,
    Client,
};

// Returns a context that shows this router's certificate and refuses a peer without one from the authority, or
// nothing, with the file and the cause in `reason`.
std::shared_ptr<boost::asio::ssl::context> makeTlsContext(const MeshTls &tls, TlsSide side, LastReason &reason);

// True when the certificate that the peer showed on `session` (an SSL *) names `host`.
bool certificateNames(void *session, const HostId &host);

} // namespace Godwit::internal
