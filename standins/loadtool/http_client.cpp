#include "standins/loadtool/http_client.h"

#include "standins/common/program.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace Godwit::Standins
{

namespace
{

namespace beast = boost::beast;
namespace http = beast::http;
using ErrorCode = boost::system::error_code;
using Parser = http::response_parser<http::buffer_body>;

constexpr std::size_t ChunkBytes = 8UL * 1024;
constexpr std::int64_t MsPerSecond = 1000;

void readHead(const Parser &parser, Exchange &result)
{
    const auto &head = parser.get();
    result.status = head.result_int();
    result.endDeclared = !parser.need_eof();
    result.notRunHeader = head["Godwit-Not-Run"] == "true";
    result.streamed = head[http::field::content_type].starts_with("text/event-stream");
    const auto retryAfter = head[http::field::retry_after];
    std::int64_t seconds = 0;
    if (std::from_chars(retryAfter.data(), retryAfter.data() + retryAfter.size(), seconds).ec == std::errc()
        && !retryAfter.empty()) {
        result.retryAfterMs = seconds * MsPerSecond;
    }
}

} // namespace

struct HttpClient::Connection
{
    explicit Connection(boost::asio::io_context &context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool reused = false;
    bool keepAlive = false;
};

HttpClient::HttpClient(boost::asio::io_context &context)
    : m_context(context)
{
}

HttpClient::~HttpClient() = default;

Exchange HttpClient::send(const std::string &address,
                          const ClientRequest &request,
                          Duration timeout,
                          const OnStreamed &onStreamed,
                          const boost::asio::yield_context &yield)
{
    for (int resent = 0;; ++resent) {
        Exchange result;
        result.resent = resent;
        auto connection = connect(address, timeout, yield);
        if (!connection) {
            return result;
        }
        result.connected = true;
        connection->stream.expires_after(timeout);
        exchange(*connection, request, onStreamed, result, yield);
        if (result.complete && connection->keepAlive) {
            connection->reused = true;
            connection->stream.expires_never();
            m_idle[address].push_back(std::move(connection));
            return result;
        }
        const bool stale = connection->reused && result.status == 0;
        if (!stale) {
            return result;
        }
    }
}

std::unique_ptr<HttpClient::Connection> HttpClient::connect(const std::string &address,
                                                            Duration timeout,
                                                            const boost::asio::yield_context &yield)
{
    Idle &idle = m_idle[address];
    if (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        return connection;
    }
    auto connection = std::make_unique<Connection>(m_context);
    ErrorCode error;
    connection->stream.expires_after(timeout);
    try {
        connection->stream.async_connect(parseAddress(address), yield[error]);
    } catch (const std::runtime_error &) {
        return nullptr; // Not an address.
    }
    if (error) {
        return nullptr;
    }
    connection->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), error);
    return connection;
}

void HttpClient::exchange(Connection &connection,
                          const ClientRequest &request,
                          const OnStreamed &onStreamed,
                          Exchange &result,
                          const boost::asio::yield_context &yield)
{
    ErrorCode error;
    http::async_write(connection.stream, request, yield[error]);
    if (error) {
        return;
    }
    Parser parser;
    parser.body_limit(boost::none);
    http::async_read_header(connection.stream, connection.buffer, parser, yield[error]);
    if (error) {
        return;
    }
    readHead(parser, result);
    std::array<char, ChunkBytes> chunk{};
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        http::async_read_some(connection.stream, connection.buffer, parser, yield[error]);
        if (error && error != http::error::need_buffer) {
            return;
        }
        const std::string_view bytes(chunk.data(), chunk.size() - parser.get().body().size);
        if (result.streamed && onStreamed) {
            onStreamed(bytes);
        } else {
            result.body += bytes;
        }
    }
    result.complete = true;
    connection.keepAlive = parser.keep_alive();
}

} // namespace Godwit::Standins
