// standin_relay: forwards each request to the next upstream and streams the answer back, without any decision. The
// baseline for the latency and throughput that godwitd adds.

#include "standins/common/program.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t ChunkBytes = 16UL * 1024;
constexpr std::uint64_t MaxBodyBytes = 16ULL * 1024 * 1024;

struct Upstream
{
    explicit Upstream(asio::io_context &context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool reused = false;
};

// One thread's share of the connections: its own context, idle upstream connections and place in the round.
class RelayThread
{
public:
    explicit RelayThread(const std::vector<Tcp::endpoint> &upstreams)
        : m_upstreams(upstreams)
        , m_idle(upstreams.size())
    {
    }

    asio::io_context &context()
    {
        return m_context;
    }

    void start()
    {
        m_thread = std::thread([this] {
            const auto work = asio::make_work_guard(m_context);
            m_context.run();
        });
    }

    void stop()
    {
        m_context.stop();
        m_thread.join();
    }

    void serve(Tcp::socket socket)
    {
        auto client = std::make_shared<beast::tcp_stream>(std::move(socket));
        asio::spawn(
            m_context,
            [this, client](const asio::yield_context &yield) {
                beast::flat_buffer buffer;
                while (relayOne(*client, buffer, yield)) { }
            },
            asio::detached);
    }

private:
    bool relayOne(beast::tcp_stream &client, beast::flat_buffer &buffer, const asio::yield_context &yield)
    {
        ErrorCode error;
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxBodyBytes);
        http::async_read(client, buffer, parser, yield[error]);
        if (error) {
            return false;
        }
        const http::request<http::string_body> request = parser.release();
        const std::size_t index = m_next++ % m_upstreams.size();
        http::response_parser<http::buffer_body> answer;
        answer.body_limit(boost::none);
        auto upstream = exchange(index, request, answer, yield);
        if (!upstream) {
            return answerBadGateway(client, request, yield);
        }
        if (!copyAnswer(*upstream, answer, client, yield)) {
            return false;
        }
        if (answer.keep_alive()) {
            upstream->reused = true;
            m_idle[index].push_back(std::move(upstream));
        }
        return request.keep_alive();
    }

    // Sends the request and reads the answer's head; null when the upstream can't be reached. An idle connection that
    // the upstream has closed in the meantime is replaced by a new one.
    std::unique_ptr<Upstream> exchange(std::size_t index,
                                       const http::request<http::string_body> &request,
                                       http::response_parser<http::buffer_body> &answer,
                                       const asio::yield_context &yield)
    {
        for (;;) {
            auto upstream = connect(index, yield);
            if (!upstream) {
                return nullptr;
            }
            ErrorCode error;
            http::async_write(upstream->stream, request, yield[error]);
            if (!error) {
                http::async_read_header(upstream->stream, upstream->buffer, answer, yield[error]);
            }
            if (!error) {
                return upstream;
            }
            if (!upstream->reused || answer.got_some()) {
                return nullptr;
            }
        }
    }

    std::unique_ptr<Upstream> connect(std::size_t index, const asio::yield_context &yield)
    {
        auto &idle = m_idle[index];
        if (!idle.empty()) {
            auto upstream = std::move(idle.back());
            idle.pop_back();
            return upstream;
        }
        auto upstream = std::make_unique<Upstream>(m_context);
        ErrorCode error;
        upstream->stream.async_connect(m_upstreams[index], yield[error]);
        if (error) {
            return nullptr;
        }
        upstream->stream.socket().set_option(Tcp::no_delay(true), error);
        return upstream;
    }

    static bool copyAnswer(Upstream &upstream,
                           http::response_parser<http::buffer_body> &answer,
                           beast::tcp_stream &client,
                           const asio::yield_context &yield)
    {
        std::array<char, ChunkBytes> chunk{};
        http::response_serializer<http::buffer_body> serializer(answer.get());
        auto &body = answer.get().body();
        ErrorCode error;
        while (!serializer.is_done()) {
            std::size_t size = 0;
            if (!answer.is_done()) {
                body.data = chunk.data();
                body.size = chunk.size();
                http::async_read_some(upstream.stream, upstream.buffer, answer, yield[error]);
                if (error && error != http::error::need_buffer) {
                    return false;
                }
                size = chunk.size() - body.size;
            }
            if (size == 0 && !answer.is_done()) {
                continue;
            }
            body.data = size == 0 ? nullptr : chunk.data();
            body.size = size;
            body.more = !answer.is_done();
            http::async_write(client, serializer, yield[error]);
            if (error && error != http::error::need_buffer) {
                return false;
            }
        }
        return true;
    }

    static bool answerBadGateway(beast::tcp_stream &client,
                                 const http::request<http::string_body> &request,
                                 const asio::yield_context &yield)
    {
        http::response<http::string_body> response(http::status::bad_gateway, request.version());
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        ErrorCode error;
        http::async_write(client, response, yield[error]);
        return !error && request.keep_alive();
    }

    asio::io_context m_context{1}; // First: the idle connections must go before it.
    const std::vector<Tcp::endpoint> &m_upstreams;
    std::vector<std::vector<std::unique_ptr<Upstream>>> m_idle;
    std::thread m_thread;
    std::size_t m_next = 0;
};

class Relay
{
public:
    Relay(asio::io_context &context,
          const Tcp::endpoint &address,
          std::vector<Tcp::endpoint> upstreams,
          std::size_t threads)
        : m_acceptor(context, address)
        , m_upstreams(std::move(upstreams))
    {
        for (std::size_t i = 0; i < threads; ++i) {
            m_threads.push_back(std::make_unique<RelayThread>(m_upstreams));
            m_threads.back()->start();
        }
        accept();
    }

    void stop()
    {
        for (auto &thread : m_threads) {
            thread->stop();
        }
    }

    Tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

private:
    void accept()
    {
        RelayThread &thread = *m_threads[m_next++ % m_threads.size()];
        m_acceptor.async_accept(thread.context(), [this, &thread](ErrorCode error, Tcp::socket socket) {
            if (!error) {
                socket.set_option(Tcp::no_delay(true), error);
                asio::post(thread.context(), [&thread, moved = std::move(socket)]() mutable {
                    thread.serve(std::move(moved));
                });
            }
            if (error != asio::error::operation_aborted) {
                accept();
            }
        });
    }

    Tcp::acceptor m_acceptor;
    std::vector<Tcp::endpoint> m_upstreams;
    std::vector<std::unique_ptr<RelayThread>> m_threads;
    std::size_t m_next = 0;
};

int run(const cxxopts::ParseResult &parsed)
{
    std::vector<Tcp::endpoint> upstreams;
    for (const auto &text : parsed["upstream"].as<std::vector<std::string>>()) {
        upstreams.push_back(parseAddress(text));
    }
    asio::io_context context(1);
    Relay relay(context, listenAddress(parsed), std::move(upstreams), parsed["threads"].as<std::size_t>());
    std::cout << "listening " << addressText(relay.address()) << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](ErrorCode, int) {
        context.stop();
    });
    context.run();
    relay.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("standin_relay", "Forwards each request to the next upstream, without decisions.");
    addCommonOptions(options);
    options.add_options()(
        "upstream", "Addresses to forward to, IP:PORT,...", cxxopts::value<std::vector<std::string>>())(
        "threads", "Traffic threads.", cxxopts::value<std::size_t>()->default_value("1"));
    const auto parsed = parseOptions(options, argc, argv);
    try {
        return run(parsed);
    } catch (const std::exception &error) {
        std::cerr << "standin_relay: " << error.what() << '\n';
        return 1;
    }
}
