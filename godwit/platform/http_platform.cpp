#include "godwit/platform/http_platform.h"

#include "godwit/base/json_text.h"
#include "godwit/http/call_client.h"
#include "godwit/http/target.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

std::string kvPath(const std::string &key)
{
    return "/v1/kv/" + percentEncode(key);
}

HttpRequest makeRequest(const KvCommand &command)
{
    HttpRequest request{http::verb::get, "/", 11};
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

std::uint64_t parseVersion(const HttpResponse &response)
{
    const auto text = response["Godwit-Version"];
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

std::string stringMember(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

KvReply makeReply(const KvCommand &command, HttpResponse &response)
{
    KvReply reply;
    reply.tag = command.tag;
    reply.version = parseVersion(response);
    switch (response.result_int()) {
    case 200:
        reply.status = KvStatus::Ok;
        break;
    case 404:
    case 410: // The lease has expired.
        reply.status = KvStatus::NotFound;
        return reply;
    case 409:
        reply.status = KvStatus::Conflict;
        break;
    default:
        // The service sends no other status, so the response may come from an intermediary: the outcome is unknown.
        reply.status = KvStatus::Unknown;
        return reply;
    }
    if (command.verb == KvVerb::List) {
        const auto listing = tryParseJson(response.body());
        if (!listing.is_object() || !listing.contains("keys")) {
            reply.status = KvStatus::Unknown;
            return reply;
        }
        reply.value = listing["keys"].dump();
    } else if (command.verb == KvVerb::GrantLease) {
        const auto granted = tryParseJson(response.body());
        reply.value = granted.is_object() ? stringMember(granted, "lease") : std::string();
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
    entry.host = stringMember(row, "host");
    entry.role = stringMember(row, "role");
    entry.address = stringMember(row, "address");
    entry.peerAddress = stringMember(row, "peer_address");
    entry.dataCentre = stringMember(row, "data_centre");
    entry.route = stringMember(row, "route");
    entry.leaving = stringMember(row, "state") == "leaving";
    return entry;
}

std::optional<std::vector<HostListEntry>> hostsFromJson(const std::string &text)
{
    const auto document = tryParseJson(text);
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

} // namespace

class HttpPlatform::Impl
{
public:
    Impl(asio::io_context &io, HttpPlatformOptions options)
        : m_io(io)
        , m_options(std::move(options))
        , m_callClient(io, clientOptions(m_options.connections))
    {
    }

    void send(HttpRequest request, bool idempotent, CallClient::Done done)
    {
        setCommonHeaders(request);
        m_callClient.call(std::move(request),
                          {m_options.callTimeout, idempotent},
                          [this, done = std::move(done)](CallOutcome outcome, HttpResponse &response) {
                              m_counters.rejected += outcome == CallOutcome::NotSent ? 1 : 0;
                              m_counters.unknown += outcome == CallOutcome::Lost ? 1 : 0;
                              done(outcome, response);
                          });
    }

    void watch(std::string prefix, std::function<void(const std::vector<KeyChange> &)> onChange)
    {
        auto watch = std::make_unique<Watch>(m_io, clientOptions(1));
        watch->prefix = std::move(prefix);
        watch->onChange = std::move(onChange);
        m_watches.push_back(std::move(watch));
        poll(*m_watches.back());
    }

    PlatformCounters m_counters;

private:
    struct Watch
    {
        Watch(asio::io_context &io, CallClientOptions options)
            : client(io, std::move(options))
            , retryTimer(io)
        {
        }

        CallClient client; // Separate connection, since a pending long poll occupies it nearly all the time.
        asio::steady_timer retryTimer;
        std::string prefix;
        std::function<void(const std::vector<KeyChange> &)> onChange;
        std::uint64_t revision = 0;
    };

    CallClientOptions clientOptions(int connections) const
    {
        CallClientOptions options;
        options.addresses = m_options.addresses;
        options.connections = connections;
        options.keptBytes = m_keptBytes;
        options.connectTimeout = m_options.connectTimeout;
        return options;
    }

    void setCommonHeaders(HttpRequest &request) const
    {
        request.set(http::field::host, "platform");
        request.set("Godwit-Host", m_options.host);
    }

    void poll(Watch &watch)
    {
        const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.longPollWait).count();
        HttpRequest request{http::verb::get,
                            "/v1/watch?prefix=" + percentEncode(watch.prefix)
                                + "&after=" + std::to_string(watch.revision) + "&wait_ms=" + std::to_string(waitMs),
                            11};
        setCommonHeaders(request);
        ++m_counters.watches;
        watch.client.call(std::move(request),
                          {m_options.longPollWait + m_options.callTimeout, true},
                          [this, &watch](CallOutcome outcome, HttpResponse &response) {
                              if (outcome == CallOutcome::Answered
                                  && readChanges(response, watch.revision, watch.onChange)) {
                                  poll(watch);
                                  return;
                              }
                              restartWatch(watch);
                          });
    }

    // After a failed poll: changes may have been missed, and a replaced service may count revisions from another start.
    // Has the reader read the prefix again, and polls from revision 0 after a delay.
    void restartWatch(Watch &watch)
    {
        watch.revision = 0;
        watch.onChange({});
        watch.retryTimer.expires_after(m_options.watchRetryDelay);
        watch.retryTimer.async_wait([this, &watch](beast::error_code error) {
            if (!error) {
                poll(watch);
            }
        });
    }

    static bool readChanges(const HttpResponse &response,
                            std::uint64_t &revision,
                            const std::function<void(const std::vector<KeyChange> &)> &onChange)
    {
        const auto document = tryParseJson(response.body());
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
                    stringMember(row, "key"), row.value("version", std::uint64_t{0}), row.value("deleted", false)});
            }
        }
        if (!changes.empty()) {
            onChange(changes);
        }
        return true;
    }

    asio::io_context &m_io;
    HttpPlatformOptions m_options;
    std::shared_ptr<std::size_t> m_keptBytes = std::make_shared<std::size_t>(0);
    CallClient m_callClient;
    std::vector<std::unique_ptr<Watch>> m_watches;
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
    HttpRequest request = makeRequest(command);
    command.value.clear();
    m_impl->send(std::move(request),
                 read,
                 [command = std::move(command), done = std::move(done)](CallOutcome result, HttpResponse &response) {
                     if (result == CallOutcome::Answered) {
                         done(makeReply(command, response));
                         return;
                     }
                     KvReply reply;
                     reply.tag = command.tag;
                     reply.status = result == CallOutcome::NotSent ? KvStatus::Rejected : KvStatus::Unknown;
                     done(std::move(reply));
                 });
}

void HttpPlatform::watch(std::string prefix, std::function<void(const std::vector<KeyChange> &)> onChange)
{
    m_impl->watch(std::move(prefix), std::move(onChange));
}

void HttpPlatform::readHosts(std::function<void(std::optional<std::vector<HostListEntry>>)> done)
{
    ++m_impl->m_counters.reads;
    m_impl->send(HttpRequest{http::verb::get, "/v1/hosts", 11},
                 true,
                 [done = std::move(done)](CallOutcome result, HttpResponse &response) {
                     done(result == CallOutcome::Answered && response.result_int() == 200
                              ? hostsFromJson(response.body())
                              : std::nullopt);
                 });
}

const PlatformCounters &HttpPlatform::counters() const
{
    return m_impl->m_counters;
}

} // namespace Godwit
