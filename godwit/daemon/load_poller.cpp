#include "godwit/daemon/load_poller.h"

#include "godwit/base/json_text.h"
#include "godwit/http/address.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <map>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// A report is a few hundred bytes. Also bounds heads, chunk extensions and trailers.
constexpr std::size_t MaxReportBytes = 64UL * 1024;

std::optional<LoadReport> reportFromJson(const std::string &text)
{
    const auto body = tryParseJson(text);
    if (!body.is_object()) {
        return std::nullopt;
    }
    const auto number = [&body](const char *key) {
        const auto found = body.find(key);
        return found != body.end() && found->is_number() ? found->get<double>() : 0.0;
    };
    LoadReport report;
    report.queued = static_cast<int>(number("queued"));
    report.running = static_cast<int>(number("running"));
    report.kvUsed = number("kv_used");
    report.age = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(number("age_ms")));
    return report;
}

} // namespace

class LoadPoller::Impl : public std::enable_shared_from_this<LoadPoller::Impl>
{
public:
    Impl(asio::io_context &io, LoadPollerOptions options, Report report)
        : m_io(io)
        , m_options(options)
        , m_report(std::move(report))
    {
    }

    void start()
    {
        for (int i = 0; i < m_options.workers; ++i) {
            asio::spawn(
                m_io,
                [self = shared_from_this(), i](const asio::yield_context &yield) {
                    self->runWorker(static_cast<std::size_t>(i), yield);
                },
                asio::detached);
        }
    }

    std::vector<PollTarget> m_targets;
    bool m_stopped = false;

private:
    // With n workers, each polls every n-th endpoint once per period.
    void runWorker(std::size_t index, const asio::yield_context &yield)
    {
        asio::steady_timer timer(m_io);
        std::map<std::string, beast::tcp_stream> streams;
        while (!m_stopped) {
            timer.expires_after(m_options.period);
            const auto targets = m_targets;
            for (std::size_t i = index; i < targets.size() && !m_stopped;
                 i += static_cast<std::size_t>(m_options.workers)) {
                poll(targets[i], streams, yield);
            }
            beast::error_code cancelled;
            timer.async_wait(yield[cancelled]);
        }
    }

    void poll(const PollTarget &target,
              std::map<std::string, beast::tcp_stream> &streams,
              const asio::yield_context &yield)
    {
        LastReason reason;
        const auto address = parseAddress(target.address, reason);
        if (!address) {
            return;
        }
        beast::error_code error;
        auto found = streams.find(target.address);
        if (found == streams.end()) {
            beast::tcp_stream stream(m_io);
            stream.expires_after(m_options.timeout);
            stream.async_connect(*address, yield[error]);
            if (error) {
                return;
            }
            found = streams.emplace(target.address, std::move(stream)).first;
        }
        auto &stream = found->second;
        http::request<http::empty_body> request{http::verb::get, "/load", 11};
        request.set(http::field::host, target.address);
        request.keep_alive(true);
        stream.expires_after(m_options.timeout);
        http::async_write(stream, request, yield[error]);
        beast::flat_buffer buffer(MaxReportBytes);
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxReportBytes);
        if (!error) {
            http::async_read(stream, buffer, parser, yield[error]);
        }
        const auto &response = parser.get();
        // Bytes after a report would count as the answer to the next poll.
        if (error || !response.keep_alive() || buffer.size() > 0) {
            streams.erase(found);
        }
        if (error || response.result_int() != 200 || m_stopped) {
            return;
        }
        if (const auto report = reportFromJson(response.body())) {
            m_report(target.endpoint, *report);
        }
    }

    asio::io_context &m_io;
    LoadPollerOptions m_options;
    Report m_report;
};

LoadPoller::LoadPoller(asio::io_context &io, LoadPollerOptions options, Report report)
    : m_impl(std::make_shared<Impl>(io, options, std::move(report)))
{
    m_impl->start();
}

LoadPoller::~LoadPoller()
{
    m_impl->m_stopped = true;
}

void LoadPoller::setEndpoints(std::vector<PollTarget> targets)
{
    m_impl->m_targets = std::move(targets);
}

} // namespace Godwit
