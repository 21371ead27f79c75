#include "standins/platform/platform_service.h"

#include "standins/common/program.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace Godwit::Standins
{

namespace
{

using Json = nlohmann::json;
using Verb = boost::beast::http::verb;

constexpr std::size_t MaxValueBytes = 1024UL * 1024;
constexpr std::uint64_t MaxWaitMs = 60'000;
constexpr const char *VersionHeader = "Godwit-Version";

std::string errorBody(const std::string &reason, const std::string &remedy)
{
    return Json{{"error", {{"reason", reason}, {"remedy", remedy}}}}.dump();
}

Json changesJson(std::uint64_t revision, const std::vector<KvChange> &changes)
{
    Json rows = Json::array();
    for (const auto &change : changes) {
        rows.push_back({{"key", change.key}, {"version", change.version}, {"deleted", change.deleted}});
    }
    return {{"revision", revision}, {"changes", std::move(rows)}};
}

template<typename Work>
void runAfter(boost::asio::io_context &context, std::uint64_t delayMs, Work work)
{
    if (delayMs == 0) {
        work();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context, std::chrono::milliseconds(delayMs));
    timer->async_wait([timer, work = std::move(work)](boost::system::error_code) mutable {
        work();
    });
}

} // namespace

PlatformService::PlatformService(boost::asio::io_context &context, HostList hosts, std::uint64_t seed)
    : m_context(context)
    , m_timer(context)
    , m_hosts(std::move(hosts))
    , m_random(seed)
{
}

void PlatformService::handle(HttpRequest &&request, const ResponderPtr &responder)
{
    const Target target = parseTarget({request.target().data(), request.target().size()});
    if (afterPrefix(target.path, "/control/")) {
        try {
            handleControl(request, target, responder);
        } catch (const Json::exception &error) {
            responder->reply(400, errorBody("malformed_json", error.what()));
        }
        return;
    }
    const std::string host(request["Godwit-Host"]);
    if (m_faults.down || m_faults.dropFrom.count(host) > 0) {
        ++m_counts.refused;
        responder->reset();
        return;
    }
    runAfter(m_context, m_faults.delayBeforeMs, [this, request = std::move(request), target, responder] {
        try {
            handleCall(request, target, responder);
        } catch (const Json::exception &error) {
            responder->reply(400, errorBody("malformed_json", error.what()));
        }
    });
}

void PlatformService::handleCall(const HttpRequest &request, const Target &target, const ResponderPtr &responder)
{
    if (target.path == "/v1/watch") {
        handleWatch(request, target, responder);
        return;
    }
    Answer result{404, errorBody("unknown_path", "See docs/STANDINS.md for the calls."), {}};
    if (const auto key = afterPrefix(target.path, "/v1/kv/")) {
        result = handleKey(request, target, percentDecode(*key));
    } else if (target.path == "/v1/list") {
        result = handleList(request, target);
    } else if (const auto lease = afterPrefix(target.path, "/v1/leases")) {
        result = handleLeases(request, *lease);
    } else if (const auto host = afterPrefix(target.path, "/v1/hosts")) {
        result = handleHosts(request, *host);
    } else {
        responder->reply(result.status, result.body);
        return;
    }
    answer(std::move(result), m_kind, responder);
    wakeWatches();
}

PlatformService::Answer PlatformService::handleKey(const HttpRequest &request,
                                                   const Target &target,
                                                   const std::string &key)
{
    const TimePoint now = monotonicNow();
    if (request.method() == Verb::get) {
        count(CallKind::Get, request);
        const KvEntry *entry = find(m_store, key, now);
        if (entry == nullptr) {
            return {404, {}, {{VersionHeader, "0"}}};
        }
        return {200,
                entry->value,
                {{VersionHeader, std::to_string(entry->version)}, {"Content-Type", "application/octet-stream"}}};
    }
    const auto expected = target.number("expect");
    if (!expected || (request.method() != Verb::put && request.method() != Verb::delete_)) {
        return {400, errorBody("bad_request", "Use GET, or PUT and DELETE with expect=VERSION."), {}};
    }
    KvResult result;
    if (request.method() == Verb::put) {
        count(CallKind::Put, request);
        if (request.body().size() > MaxValueBytes) {
            return {413, errorBody("value_too_large", "Values are at most 1 MiB."), {}};
        }
        result = put(m_store, key, *expected, request.body(), target.text("lease"), now);
    } else {
        count(CallKind::Delete, request);
        result = Standins::remove(m_store, key, *expected, now);
    }
    const HttpHeaders version = {{VersionHeader, std::to_string(result.version)}};
    switch (result.outcome) {
    case KvOutcome::Done:
        return {200, {}, version};
    case KvOutcome::Absent:
        return {404, {}, version};
    case KvOutcome::Conflict:
        return {409, std::move(result.value), version};
    case KvOutcome::LeaseLapsed:
        return {410, errorBody("lease_lapsed", "Take a new lease."), {}};
    }
    return {500, {}, {}};
}

PlatformService::Answer PlatformService::handleList(const HttpRequest &request, const Target &target)
{
    count(CallKind::List, request);
    Json keys = Json::array();
    for (const auto &entry : list(m_store, target.text("prefix"), monotonicNow())) {
        keys.push_back({{"key", entry.key}, {"version", entry.version}});
    }
    return {200, Json{{"revision", m_store.revision}, {"keys", std::move(keys)}}.dump(), {}};
}

PlatformService::Answer PlatformService::handleLeases(const HttpRequest &request, std::string_view rest)
{
    const TimePoint now = monotonicNow();
    if (request.method() == Verb::post && rest.empty()) {
        count(CallKind::LeaseGrant, request);
        const auto timeToLive = std::chrono::milliseconds(Json::parse(request.body()).at("ttl_ms").get<std::int64_t>());
        const std::string lease = grantLease(m_store, timeToLive, now);
        armTimer();
        return {200, Json{{"lease", lease}}.dump(), {}};
    }
    std::string lease(rest.substr(std::min<std::size_t>(rest.size(), 1)));
    const std::string_view suffix = "/renew";
    const bool renews = lease.size() > suffix.size() && lease.substr(lease.size() - suffix.size()) == suffix;
    if (request.method() == Verb::post && renews) {
        count(CallKind::LeaseRenew, request);
        lease.resize(lease.size() - suffix.size());
        return {renewLease(m_store, lease, now) ? 200U : 404U, "{}", {}};
    }
    if (request.method() == Verb::delete_) {
        count(CallKind::LeaseEnd, request);
        return {endLease(m_store, lease) ? 200U : 404U, "{}", {}};
    }
    return {400, errorBody("bad_request", "POST /v1/leases, POST /v1/leases/ID/renew or DELETE /v1/leases/ID."), {}};
}

PlatformService::Answer PlatformService::handleHosts(const HttpRequest &request, std::string_view rest)
{
    const TimePoint now = monotonicNow();
    if (request.method() == Verb::get) {
        count(CallKind::Hosts, request);
        Json hosts = Json::array();
        for (const auto &[name, record] : visibleHosts(m_hosts, now)) {
            hosts.push_back(record);
        }
        return {200, Json{{"hosts", std::move(hosts)}}.dump(), {}};
    }
    // The harness's own calls: not counted as the platform's.
    const std::string host = percentDecode(rest.substr(std::min<std::size_t>(rest.size(), 1)));
    m_kind = CallKind::Hosts;
    if (request.method() == Verb::put && !host.empty()) {
        setHost(m_hosts, host, Json::parse(request.body()), now);
        return {200, "{}", {}};
    }
    if (request.method() == Verb::delete_ && !host.empty()) {
        removeHost(m_hosts, host, now);
        return {200, "{}", {}};
    }
    return {400, errorBody("bad_request", "GET /v1/hosts, or PUT and DELETE /v1/hosts/HOST."), {}};
}

void PlatformService::handleWatch(const HttpRequest &request, const Target &target, const ResponderPtr &responder)
{
    count(CallKind::Watch, request);
    const std::uint64_t waitMs = std::min(target.number("wait_ms").value_or(0), MaxWaitMs);
    Watch watch{target.text("prefix"),
                target.number("after").value_or(0),
                monotonicNow() + std::chrono::milliseconds(waitMs),
                responder};
    m_watches.push_back(std::move(watch));
    wakeWatches();
}

void PlatformService::wakeWatches()
{
    const TimePoint now = monotonicNow();
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        if (!watch->responder->isOpen()) {
            watch = m_watches.erase(watch);
            continue;
        }
        const auto changes = changesAfter(m_store, watch->prefix, watch->after, now);
        if (changes.empty() && now < watch->until) {
            ++watch;
            continue;
        }
        answer({200, changesJson(m_store.revision, changes).dump(), {}}, CallKind::Watch, watch->responder);
        watch = m_watches.erase(watch);
    }
    armTimer();
}

// One timer serves lapsing leases and watches whose time is over.
void PlatformService::armTimer()
{
    auto next = nextExpiry(m_store);
    for (const auto &watch : m_watches) {
        next = std::min(next.value_or(watch.until), watch.until);
    }
    if (!next) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(*next + std::chrono::milliseconds(1));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            expireLeases(m_store, monotonicNow());
            wakeWatches();
        }
    });
}

void PlatformService::count(CallKind kind, const HttpRequest &request)
{
    m_kind = kind;
    countCall(m_counts, kind, std::string(request["Godwit-Host"]), request.body().size(), monotonicNow());
}

bool PlatformService::losesAnswer(CallKind kind)
{
    if (!isWrite(kind)) {
        return false;
    }
    if (m_faults.loseNext > 0) {
        --m_faults.loseNext;
        return true;
    }
    return m_faults.loseAnswers > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < m_faults.loseAnswers;
}

void PlatformService::answer(Answer answer, CallKind kind, const ResponderPtr &responder)
{
    const bool lost = losesAnswer(kind);
    m_counts.answersLost += lost ? 1 : 0;
    runAfter(m_context, m_faults.delayMs, [this, answer = std::move(answer), responder, lost]() mutable {
        // An outage that begins while the answer waits takes the answer with it.
        if (lost || m_faults.down) {
            responder->reset();
            return;
        }
        m_counts.bytesOut += answer.body.size();
        responder->reply(answer.status, std::move(answer.body), answer.headers);
    });
}

void PlatformService::handleControl(const HttpRequest &request, const Target &target, const ResponderPtr &responder)
{
    if (target.path == "/control/stats") {
        Json stats = toJson(m_counts);
        stats["revision"] = m_store.revision;
        stats["keys"] = m_store.entries.size();
        stats["leases"] = m_store.leases.size();
        stats["watches_open"] = m_watches.size();
        responder->reply(200, stats.dump());
        return;
    }
    if (target.path == "/control/faults" && request.method() == Verb::post) {
        setFaults(Json::parse(request.body()));
        responder->reply(200, "{}");
        return;
    }
    if (target.path == "/control/lapse" && request.method() == Verb::post) {
        const bool ended = endLease(m_store, Json::parse(request.body()).at("lease").get<std::string>());
        responder->reply(ended ? 200 : 404, "{}");
        wakeWatches();
        return;
    }
    responder->reply(404, errorBody("unknown_path", "GET /control/stats, POST /control/faults, POST /control/lapse."));
}

// Fields that are left out keep their values.
void PlatformService::setFaults(const Json &json)
{
    PlatformFaults faults = m_faults;
    faults.down = json.value("down", faults.down);
    faults.delayMs = json.value("delay_ms", faults.delayMs);
    faults.delayBeforeMs = json.value("delay_before_ms", faults.delayBeforeMs);
    faults.loseAnswers = json.value("lose_answers", faults.loseAnswers);
    faults.loseNext = json.value("lose_next", faults.loseNext);
    faults.dropFrom = json.value("drop_from", faults.dropFrom);
    m_faults = std::move(faults);
    if (!m_faults.down) {
        return;
    }
    for (auto &watch : m_watches) {
        watch.responder->reset();
    }
    m_watches.clear();
}

} // namespace Godwit::Standins
