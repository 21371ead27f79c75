#include "godwit/http/call_client.h"

#include "godwit/base/kept_bytes.h"
#include "godwit/http/address.h"
#include "godwit/http/quiet_socket.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>
#include <optional>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Bound of the bytes that wait for the parser: a head, a chunk's size with its extensions, or trailers.
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;

// See CallClientOptions::keptBytes.
constexpr std::size_t MaxKeptBytes = 32UL * 1024 * 1024;
constexpr std::size_t MinAnswerBytes = 1024UL * 1024;

// One keep-alive connection to the service, used by one coroutine.
class Connection
{
public:
    Connection(asio::io_context &io, const CallClientOptions &options, std::size_t &preferred)
        : m_stream(io)
        , m_buffer(MaxUnparsedBytes)
        , m_options(options)
        , m_preferred(preferred)
    {
    }

    CallOutcome exchange(HttpRequest &request,
                         HttpResponse &response,
                         const CallRules &rules,
                         const asio::yield_context &yield)
    {
        // What comes unasked would count as the answer to a write that the service hasn't done; and a write on a
        // connection that the service has closed has an unknown outcome.
        if (m_open && (m_buffer.size() > 0 || !isQuiet(m_stream.socket()))) {
            close();
        }
        const bool reused = m_open;
        const CallOutcome first = tryOnce(request, response, rules.timeout, yield);
        // The service may close an idle connection at any time. A read can be sent again; a write can't, since it
        // may have taken effect.
        const bool timedOut = m_timedOut;
        if (first == CallOutcome::Lost && reused && rules.idempotent && !timedOut) {
            return tryOnce(request, response, rules.timeout, yield);
        }
        return first;
    }

private:
    bool connect(const asio::yield_context &yield)
    {
        for (std::size_t tries = 0; tries < m_options.addresses.size(); ++tries) {
            const std::size_t index = (m_preferred + tries) % m_options.addresses.size();
            LastReason reason;
            const auto address = parseAddress(m_options.addresses[index], reason);
            if (!address) {
                continue;
            }
            beast::error_code error;
            m_stream.expires_after(m_options.connectTimeout);
            m_stream.async_connect(*address, yield[error]);
            if (!error) {
                m_stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
                m_preferred = index;
                m_open = true;
                m_buffer.clear();
                return true;
            }
            close();
        }
        return false;
    }

    CallOutcome tryOnce(HttpRequest &request,
                        HttpResponse &response,
                        Duration timeout,
                        const asio::yield_context &yield)
    {
        m_timedOut = false;
        if (!m_open && !connect(yield)) {
            return CallOutcome::NotSent;
        }
        beast::error_code error;
        m_stream.expires_after(timeout);
        http::async_write(m_stream, request, yield[error]);
        http::response_parser<http::string_body> parser;
        if (!error) {
            parser.body_limit(m_options.maxAnswerBytes);
            error = readAnswer(parser, timeout, yield);
        }
        if (!error && parser.get().result_int() / 100 == 1) {
            error = http::error::bad_status; // The response that follows would count as the answer to the next call.
        }
        if (!error && parser.need_eof() && m_options.needsDeclaredEnd) {
            error = http::error::partial_message;
        }
        if (error) {
            m_timedOut = error == beast::error::timeout;
            close();
            return CallOutcome::Lost;
        }
        response = parser.release();
        m_stream.expires_never();
        if (!response.keep_alive()) {
            close();
        }
        return CallOutcome::Answered;
    }

    beast::error_code readAnswer(http::response_parser<http::string_body> &parser,
                                 Duration timeout,
                                 const asio::yield_context &yield)
    {
        using Clock = std::chrono::steady_clock;
        std::optional<Clock::time_point> last;
        KeptBytes kept(*m_options.keptBytes);
        // Else a read would end with a whole chunk only, however slowly it comes.
        parser.eager(false);
        while (!parser.is_done()) {
            beast::error_code error;
            const std::size_t bytes = http::async_read_some(m_stream, m_buffer, parser, yield[error]);
            if (error) {
                return error;
            }
            const std::size_t bodyBytes = parser.get().body().size();
            kept.set(bodyBytes);
            if (bodyBytes > MinAnswerBytes && *m_options.keptBytes > MaxKeptBytes) {
                return http::error::body_limit;
            }
            // A call without a byte of its answer keeps the time that it was sent with.
            if (bytes > 0) {
                last = last.value_or(Clock::now() + m_options.longestAnswer);
                m_stream.expires_at(std::min<Clock::time_point>(Clock::now() + timeout, *last));
            }
        }
        return {};
    }

    void close()
    {
        beast::error_code ignored;
        m_stream.socket().close(ignored);
        m_open = false;
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    const CallClientOptions &m_options;
    std::size_t &m_preferred;
    bool m_open = false;
    bool m_timedOut = false;
};

} // namespace

// Shared with the coroutines that work for it: the io_context may end them after the client itself has gone.
class CallClient::Impl : public std::enable_shared_from_this<CallClient::Impl>
{
public:
    Impl(asio::io_context &io, CallClientOptions options)
        : m_io(io)
        , m_options(std::move(options))
    {
        if (!m_options.keptBytes) {
            m_options.keptBytes = std::make_shared<std::size_t>(0);
        }
    }

    void call(HttpRequest request, CallRules rules, Done done)
    {
        request.keep_alive(true);
        request.prepare_payload();
        m_queue.push_back(Call{std::move(request), rules, std::move(done)});
        if (m_idle.empty() && m_workers < m_options.connections) {
            startWorker();
        } else if (!m_idle.empty()) {
            const auto worker = m_idle.back().lock();
            m_idle.pop_back();
            if (worker) {
                worker->cancel();
            }
        }
    }

    void stop()
    {
        m_stopped = true;
        m_queue.clear();
        for (const auto &idle : std::exchange(m_idle, {})) {
            if (const auto worker = idle.lock()) {
                worker->cancel();
            }
        }
    }

private:
    struct Call
    {
        HttpRequest request;
        CallRules rules;
        Done done;
    };

    void startWorker()
    {
        ++m_workers;
        asio::spawn(
            m_io,
            [self = shared_from_this()](const asio::yield_context &yield) {
                self->work(yield);
            },
            asio::detached);
    }

    void work(const asio::yield_context &yield)
    {
        Connection connection(m_io, m_options, m_preferred);
        const auto wake = std::make_shared<asio::steady_timer>(m_io);
        while (!m_stopped) {
            if (m_queue.empty()) {
                m_idle.push_back(wake);
                wake->expires_at(asio::steady_timer::time_point::max());
                beast::error_code cancelled;
                wake->async_wait(yield[cancelled]);
                continue;
            }
            Call call = std::move(m_queue.front());
            m_queue.pop_front();
            HttpResponse response;
            const CallOutcome outcome = connection.exchange(call.request, response, call.rules, yield);
            if (!m_stopped) {
                call.done(outcome, response);
            }
        }
    }

    asio::io_context &m_io;
    CallClientOptions m_options;
    std::deque<Call> m_queue;
    std::vector<std::weak_ptr<asio::steady_timer>> m_idle; // Workers that wait for a call.
    int m_workers = 0;
    std::size_t m_preferred = 0;
    bool m_stopped = false;
};

CallClient::CallClient(asio::io_context &io, CallClientOptions options)
    : m_impl(std::make_shared<Impl>(io, std::move(options)))
{
}

CallClient::~CallClient()
{
    m_impl->stop();
}

void CallClient::call(HttpRequest request, CallRules rules, Done done)
{
    m_impl->call(std::move(request), rules, std::move(done));
}

} // namespace Godwit
