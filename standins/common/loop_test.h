#pragma once

// Lets a test talk to servers on its own thread: the body runs as a coroutine beside them.
//
// Example:
//   runOnLoop(context, [&](HttpClient &client, const boost::asio::yield_context &yield) {
//       REQUIRE(ask(client, server, "GET", "/load", "", yield).status == 200);
//   });

#include "standins/common/http_server.h"
#include "standins/common/program.h"
#include "standins/loadtool/http_client.h"

#include <boost/asio/spawn.hpp>

#include <exception>
#include <string>

namespace Godwit::Standins
{

// Runs `body` to its end beside whatever else lives on `context`.
template<typename Body>
void runOnLoop(boost::asio::io_context &context, Body body)
{
    HttpClient client(context);
    std::exception_ptr failure;
    boost::asio::spawn(
        context,
        [&](const boost::asio::yield_context &yield) {
            body(client, yield);
        },
        [&](std::exception_ptr thrown) {
            failure = std::move(thrown);
            context.stop();
        });
    context.run();
    context.restart();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

// One request on a connection of its own, so that a connection that is closed without an answer shows as status 0.
inline ClientRequest makeRequest(const std::string &method, const std::string &target, const std::string &body = "")
{
    namespace http = boost::beast::http;
    ClientRequest request(http::string_to_verb(method), target, 11);
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();
    return request;
}

inline Exchange ask(HttpClient &client,
                    const HttpServer &server,
                    const ClientRequest &request,
                    const boost::asio::yield_context &yield)
{
    return client.send(addressText(server.address()), request, std::chrono::seconds(5), nullptr, yield);
}

} // namespace Godwit::Standins
