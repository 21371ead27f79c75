#include "godwit/platform/http_platform.h"

#include "godwit/http/address.h"
#include "godwit/http/target.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <deque>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// A value is at most a megabyte; a listing may be a few times that.
constexpr std::uint64_t MaxAnswerBytes = 16ULL * 1024 * 1024;

enum class Exchange {
    Answered,
    NotSent, // No byte reached the service.
    Lost, // Sent, and no answer.
};

std::string kvPath(const std::string &key)
{
    return "/v1/kv/" + percentEncode(key);
}

Request makeRequest(const KvCommand &command)
{
    Request request{http::verb::get, "/", 11};
    const std::string expect = "?expect=" + std::to_string(command.expectedVersion);
    switch (command.verb) {
    case KvVerb::Get:
        request.target(kvPath(command.key));
        break;
    case KvVerb::CompareAndSwap:
        request.method(http::verb::put);
        request.target(kvPath(command.key) + expect
                       + (command.lease.empty() ? "" : "&lease=" + percentEncode(command.lease)));
        request.body() = command.value;
        break;
    case KvVerb::Delete:
        request.method(http::verb::delete_);
        request.target(kvPath(command.key) + expect);
        break;
    case KvVerb::List:
        request.target("/v1/list?prefix=" + percentEncode(command.key));
        break;
    case KvVerb::GrantLease:
        request.method(http::verb::post);
        request.target("/v1/leases");
        request.body() = "{\"ttl_ms\":" + command.value + "}";
        break;
    case KvVerb::RenewLease:
        request.method(http::verb::post);
        request.target("/v1/leases/" + percentEncode(command.key) + "/renew");
        break;
    }
    return request;
}

std::uint64_t versionOf(const Response &response)
{
    const auto text = response["Godwit-Version"];
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

std::string memberText(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

KvReply makeReply(const KvCommand &command, Response &response)
{
    KvReply reply;
    reply.tag = command.tag;
    reply.version = versionOf(response);
    switch (response.result_int()) {
    case 200:
        reply.status = KvStatus::Ok;
        break;
    case 404:
    case 410: // The lease has lapsed.
        reply.status = KvStatus::NotFound;
        return reply;
    case 409:
        reply.status = KvStatus::Conflict;
        break;
    default:
        // An answer that is none of the service's own may come from something in between: nothing is known.
        reply.status = KvStatus::Unknown;
        return reply;
    }
    if (command.verb == KvVerb::List) {
        const auto listing = nlohmann::json::parse(response.body(), nullptr, false);
        reply.value = listing.is_object() && listing.contains("keys") ? listing["keys"].dump() : "[]";
    } else if (command.verb == KvVerb::GrantLease) {
        const auto granted = nlohmann::json::parse(response.body(), nullptr, false);
        reply.value = granted.is_object() ? memberText(granted, "lease") : std::string();
    } else if (command.verb == KvVerb::Get || reply.status == KvStatus::Conflict) {
        reply.value = std::move(response.body());
    }
    return reply;
}

bool isRead(KvVerb verb)
{
    return verb == KvVerb::Get || verb == KvVerb::List;
}

HostListEntry hostFromJson(const nlohmann::json &row)
{
    HostListEntry entry;
    entry.host = memberText(row, "host");
    entry.role = memberText(row, "role");
    entry.address = memberText(row, "address");
    entry.peerAddress = memberText(row, "peer_address");
    entry.dataCentre = memberText(row, "data_centre");
    entry.route = memberText(row, "route");
    entry.leaving = memberText(row, "state") == "leaving";
    return entry;
}

std::optional<std::vector<HostListEntry>> hostsFromJson(const std::string &text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("hosts") || !document["hosts"].is_array()) {
        return std::nullopt;
    }
    std::vector<HostListEntry> hosts;
    for (const auto &row : document["hosts"]) {
        if (row.is_object()) {
            hosts.push_back(hostFromJson(row));
        }
    }
    return hosts;
}

// One keep-alive connection to the service, used by one coroutine.
class Connection
{
public:
    Connection(asio::io_context &io, const HttpPlatformOptions &options, std::size_t &preferred)
        : m_stream(io)
        , m_options(options)
        , m_preferred(preferred)
    {
    }

    Exchange exchange(
        Request &request, Response &response, Duration timeout, bool idempotent, const asio::yield_context &yield)
    {
        const bool reused = m_open;
        const Exchange first = tryOnce(request, response, timeout, yield);
        // The service may close an idle connection at any time. A read can be sent again; a write can't, since it
        // may have taken effect.
        if (first == Exchange::Lost && reused && idempotent) {
            return tryOnce(request, response, timeout, yield);
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

    Exchange tryOnce(Request &request, Response &response, Duration timeout, const asio::yield_context &yield)
    {
        if (!m_open && !connect(yield)) {
            return Exchange::NotSent;
        }
        beast::error_code error;
        m_stream.expires_after(timeout);
        http::async_write(m_stream, request, yield[error]);
        if (error) {
            close();
            return Exchange::Lost;
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(MaxAnswerBytes);
        http::async_read(m_stream, m_buffer, parser, yield[error]);
        if (error) {
            close();
            return Exchange::Lost;
        }
        response = parser.release();
        if (!response.keep_alive()) {
            close();
        }
        return Exchange::Answered;
    }

    void close()
    {
        beast::error_code ignored;
        m_stream.socket().close(ignored);
        m_open = false;
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    const HttpPlatformOptions &m_options;
    std::size_t &m_preferred;
    bool m_open = false;
};

} // namespace

class HttpPlatform::Impl
{
public:
    Impl(asio::io_context &io, HttpPlatformOptions options)
        : m_io(io)
        , m_options(std::move(options))
        , m_wake(io)
    {
        m_wake.expires_at(asio::steady_timer::time_point::max());
        for (int i = 0; i < m_options.connections; ++i) {
            asio::spawn(
                m_io,
                [this](const asio::yield_context &yield) {
                    work(yield);
                },
                asio::detached);
        }
    }

    void enqueue(Request request, bool idempotent, std::function<void(Exchange, Response &)> done)
    {
        m_queue.push_back(Call{std::move(request), idempotent, std::move(done)});
        m_wake.cancel_one();
    }

    void watch(std::string prefix, std::function<void(const std::vector<KeyChange> &)> changed)
    {
        asio::spawn(
            m_io,
            [this, prefix = std::move(prefix), changed = std::move(changed)](const asio::yield_context &yield) {
                watchLoop(prefix, changed, yield);
            },
            asio::detached);
    }

    PlatformCounters m_counters;

private:
    struct Call
    {
        Request request;
        bool idempotent = false;
        std::function<void(Exchange, Response &)> done;
    };

    void prepare(Request &request) const
    {
        request.set(http::field::host, "platform");
        request.set("Godwit-Host", m_options.host);
        request.keep_alive(true);
        request.prepare_payload();
    }

    void work(const asio::yield_context &yield)
    {
        Connection connection(m_io, m_options, m_preferred);
        for (;;) {
            if (m_queue.empty()) {
                beast::error_code cancelled;
                m_wake.async_wait(yield[cancelled]);
                continue;
            }
            Call call = std::move(m_queue.front());
            m_queue.pop_front();
            prepare(call.request);
            Response response;
            const Exchange result =
                connection.exchange(call.request, response, m_options.callTimeout, call.idempotent, yield);
            m_counters.rejected += result == Exchange::NotSent ? 1 : 0;
            m_counters.unknown += result == Exchange::Lost ? 1 : 0;
            call.done(result, response);
        }
    }

    void watchLoop(const std::string &prefix,
                   const std::function<void(const std::vector<KeyChange> &)> &changed,
                   const asio::yield_context &yield)
    {
        const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.watchWait).count();
        Connection connection(m_io, m_options, m_preferred);
        asio::steady_timer pause(m_io);
        std::uint64_t revision = 0;
        for (;;) {
            Request request{http::verb::get,
                            "/v1/watch?prefix=" + percentEncode(prefix) + "&after=" + std::to_string(revision)
                                + "&wait_ms=" + std::to_string(waitMs),
                            11};
            prepare(request);
            Response response;
            ++m_counters.watches;
            const Exchange result =
                connection.exchange(request, response, m_options.watchWait + m_options.callTimeout, true, yield);
            if (result != Exchange::Answered || !readChanges(response, revision, changed)) {
                // Changes may have gone by while the service was away, and a service that was replaced may count
                // from another revision: the reader reads again, and the watch starts over.
                revision = 0;
                changed({});
                beast::error_code ignored;
                pause.expires_after(m_options.watchRetry);
                pause.async_wait(yield[ignored]);
            }
        }
    }

    static bool readChanges(const Response &response,
                            std::uint64_t &revision,
                            const std::function<void(const std::vector<KeyChange> &)> &changed)
    {
        const auto document = nlohmann::json::parse(response.body(), nullptr, false);
        if (response.result_int() != 200 || !document.is_object()) {
            return false;
        }
        revision = document.value("revision", revision);
        std::vector<KeyChange> changes;
        const auto rows = document.find("changes");
        if (rows == document.end() || !rows->is_array()) {
            return false;
        }
        for (const auto &row : *rows) {
            if (row.is_object()) {
                changes.push_back(KeyChange{
                    memberText(row, "key"), row.value("version", std::uint64_t{0}), row.value("deleted", false)});
            }
        }
        if (!changes.empty()) {
            changed(changes);
        }
        return true;
    }

    asio::io_context &m_io;
    HttpPlatformOptions m_options;
    asio::steady_timer m_wake;
    std::deque<Call> m_queue;
    std::size_t m_preferred = 0;
};

HttpPlatform::HttpPlatform(asio::io_context &io, HttpPlatformOptions options)
    : m_impl(std::make_unique<Impl>(io, std::move(options)))
{
}

HttpPlatform::~HttpPlatform() = default;

void HttpPlatform::execute(KvCommand command, std::function<void(KvReply)> done)
{
    const bool read = isRead(command.verb);
    ++(read ? m_impl->m_counters.reads : m_impl->m_counters.writes);
    Request request = makeRequest(command);
    command.value.clear();
    m_impl->enqueue(std::move(request),
                    read,
                    [command = std::move(command), done = std::move(done)](Exchange result, Response &response) {
                        if (result == Exchange::Answered) {
                            done(makeReply(command, response));
                            return;
                        }
                        KvReply reply;
                        reply.tag = command.tag;
                        reply.status = result == Exchange::NotSent ? KvStatus::Rejected : KvStatus::Unknown;
                        done(std::move(reply));
                    });
}

void HttpPlatform::watch(std::string prefix, std::function<void(const std::vector<KeyChange> &)> changed)
{
    m_impl->watch(std::move(prefix), std::move(changed));
}

void HttpPlatform::readHosts(std::function<void(std::optional<std::vector<HostListEntry>>)> done)
{
    ++m_impl->m_counters.reads;
    m_impl->enqueue(
        Request{http::verb::get, "/v1/hosts", 11}, true, [done = std::move(done)](Exchange result, Response &response) {
            done(result == Exchange::Answered && response.result_int() == 200 ? hostsFromJson(response.body())
                                                                              : std::nullopt);
        });
}

const PlatformCounters &HttpPlatform::counters() const
{
    return m_impl->m_counters;
}

} // namespace Godwit
