#pragma once

// A keep-alive HTTP client for coroutines of one thread.
//
// Example:
//   HttpClient client(context);
//   const Exchange exchange = client.send("127.0.0.1:8080", request, std::chrono::seconds(5), nullptr, yield);
//   if (exchange.status == 200) { ... }

#include "godwit/base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Godwit::Standins
{

using ClientRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct Exchange
{
    bool connected = false; // False: no byte of the request left.
    bool complete = false; // The whole answer was read.
    bool endDeclared = false; // By a length or a last chunk; else the connection's end in order completes the answer.
    unsigned status = 0; // 0: no head of an answer was read.
    bool notRunHeader = false;
    bool streamed = false;
    std::int64_t retryAfterMs = -1; // From the Retry-After header; negative without one.
    int resent = 0; // Times that an idle connection turned out to be closed and the request went over another.
    std::string body; // Of an answer that was not streamed.
};

class HttpClient
{
public:
    using OnStreamed = std::function<void(std::string_view bytes)>;

    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();

    // Sends `request` and reads its answer; bytes of an event stream go to `onStreamed`. A request that met an idle
    // connection which the peer had closed is sent again over a new one, without an answer in between.
    Exchange send(const std::string &address,
                  const ClientRequest &request,
                  Duration timeout,
                  const OnStreamed &onStreamed,
                  const boost::asio::yield_context &yield);

private:
    struct Connection;
    using Idle = std::vector<std::unique_ptr<Connection>>;

    std::unique_ptr<Connection> connect(const std::string &address,
                                        Duration timeout,
                                        const boost::asio::yield_context &yield);
    static void exchange(Connection &connection,
                         const ClientRequest &request,
                         const OnStreamed &onStreamed,
                         Exchange &result,
                         const boost::asio::yield_context &yield);

    boost::asio::io_context &m_context;
    std::unordered_map<std::string, Idle> m_idle;
};

} // namespace Godwit::Standins
