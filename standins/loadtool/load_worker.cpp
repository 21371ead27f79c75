#include "standins/loadtool/load_worker.h"

#include "standins/common/program.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace Godwit::Standins
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

constexpr const char *ChatPath = "/v1/chat/completions";
constexpr Duration RepeatPause = std::chrono::milliseconds(20); // After a broken connection.
constexpr unsigned TimeBytes = 6; // Of a UUID of version 7.
constexpr Duration LookupTimeout = std::chrono::seconds(2);
constexpr Duration LookupRetry = std::chrono::milliseconds(200);

} // namespace

LoadWorker::LoadWorker(const LoadSpec &spec, std::size_t index)
    : m_spec(spec)
    , m_index(index)
    , m_client(m_context)
    , m_random(spec.seed * 1000 + index)
    , m_kindWeights(spec.mix.begin(), spec.mix.end())
{
    for (const auto &customer : spec.customers) {
        m_customerWeights.push_back(customer.share);
    }
}

void LoadWorker::run()
{
    m_end = monotonicNow() + m_spec.duration;
    if (m_spec.connections == 0) {
        asio::spawn(
            m_context,
            [this](const asio::yield_context &yield) {
                openLoop(yield);
            },
            asio::detached);
    }
    for (std::size_t i = m_index; i < m_spec.connections; i += m_spec.threads) {
        asio::spawn(
            m_context,
            [this](const asio::yield_context &yield) {
                closedLoop(yield);
            },
            asio::detached);
    }
    m_context.run();
}

Tally LoadWorker::takeTally()
{
    return std::move(m_tally);
}

void LoadWorker::openLoop(const asio::yield_context &yield)
{
    std::exponential_distribution<double> gap(m_spec.rate / static_cast<double>(m_spec.threads));
    TimePoint next = monotonicNow();
    for (;;) {
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
        if (next >= m_end) {
            return;
        }
        wait(next, yield);
        Call call = planCall(next);
        if (m_inFlight >= m_spec.maxInFlight) {
            ++m_tally.notSent;
            continue;
        }
        asio::spawn(
            m_context,
            [this, call = std::move(call)](const asio::yield_context &inner) mutable {
                makeCall(std::move(call), inner);
            },
            asio::detached);
    }
}

void LoadWorker::closedLoop(const asio::yield_context &yield)
{
    while (monotonicNow() < m_end) {
        makeCall(planCall(monotonicNow()), yield);
    }
}

LoadWorker::Call LoadWorker::planCall(TimePoint planned)
{
    Call call;
    call.planned = planned;
    call.record.id = newId();
    call.record.kind = static_cast<LoadKind>(draw(m_kindWeights));
    call.record.customer = draw(m_customerWeights);
    const bool booking = call.record.kind == LoadKind::Booking;
    const std::string servicePrefix = m_spec.direct ? std::string() : "/v1/services/" + m_spec.service;
    ClientRequest &request = call.request;
    request.method(http::verb::post);
    request.target(booking ? servicePrefix + m_spec.servicePath : std::string(ChatPath));
    request.set(http::field::content_type, "application/json");
    request.set(http::field::authorization, "Bearer " + m_spec.customers[call.record.customer].key);
    request.set("Idempotency-Key", call.record.id);
    if (m_spec.direct) {
        request.set("Godwit-Request-Id", call.record.id);
    }
    if (booking) {
        request.set("Godwit-Repeatable", m_spec.lookups ? "true" : "false");
    }
    if (m_spec.priority != 0) {
        request.set("Godwit-Priority", std::to_string(m_spec.priority));
    }
    if (m_spec.deadlineMs != 0) {
        request.set("Godwit-Deadline-Ms", std::to_string(m_spec.deadlineMs));
    }
    request.body() = bodyOf(call);
    request.prepare_payload();
    return call;
}

std::string LoadWorker::bodyOf(const Call &call)
{
    if (call.record.kind == LoadKind::Booking) {
        return Json{{"slot", call.record.id}}.dump();
    }
    // Half of the prompt is one of a few beginnings, so that the engines' prefix caches have something to keep.
    const std::uint64_t prefix = m_random() % std::max<std::size_t>(1, m_spec.prefixes);
    std::string prompt = "family " + std::to_string(prefix) + " ";
    while (prompt.size() < m_spec.promptBytes / 2) {
        prompt += "file of family " + std::to_string(prefix) + ", ";
    }
    prompt += call.record.id + " ";
    prompt.resize(std::max(prompt.size(), m_spec.promptBytes), 'q');
    const Json body = {
        {"model", m_spec.model},
        {"messages", Json::array({{{"role", "user"}, {"content", prompt}}})},
        {"max_tokens", m_spec.maxTokens},
        {"stream", call.record.kind == LoadKind::StreamedChat},
    };
    return body.dump();
}

void LoadWorker::makeCall(Call call, const asio::yield_context &yield)
{
    ++m_inFlight;
    ++m_tally.started;
    CallRecord &record = call.record;
    for (;;) {
        const std::string address = chooseAddress(call, yield);
        ++record.attempts;
        ++m_tally.attempts;
        // Vouches for a new id, so that a refusal before the claims were looked at may say "not run".
        call.request.set("Godwit-First-Send", record.attempts == 1 ? "true" : "false");
        const AttemptEnd end = attempt(call, address, yield);
        record.outcome = end.outcome;
        record.reason = end.reason;
        record.everyAttemptNotRun = record.everyAttemptNotRun && end.notRun;
        if (end.outcome == CallOutcome::Whole) {
            break;
        }
        ++m_tally.reasons[end.reason];
        m_tally.examples.try_emplace(end.reason, end.message);
        if (!end.mayRepeat || record.attempts >= m_spec.attempts || end.wait > m_spec.longestRetryWait) {
            break;
        }
        wait(monotonicNow() + end.wait, yield);
    }
    --m_inFlight;
    addCall(m_tally, std::move(record), call.latency);
}

LoadWorker::AttemptEnd LoadWorker::attempt(Call &call, const std::string &address, const asio::yield_context &yield)
{
    ChatAnswer answer;
    std::optional<TimePoint> lastToken;
    TimePoint firstToken;
    const auto onStreamed = [&](std::string_view bytes) {
        const TimePoint now = monotonicNow();
        for (std::int64_t pieces = feedStream(answer, bytes); pieces > 0; --pieces) {
            if (lastToken) {
                addTime(m_tally.betweenTokens, now - *lastToken);
            } else {
                firstToken = now;
            }
            lastToken = now;
        }
    };
    call.request.set(http::field::host, address);
    const Exchange exchange = m_client.send(address, call.request, m_spec.timeout, onStreamed, yield);
    call.latency = monotonicNow() - call.planned;
    m_tally.resent += static_cast<std::uint64_t>(exchange.resent);
    if (exchange.complete && !exchange.streamed && exchange.status == 200) {
        readPlain(answer, exchange.body);
    }
    AttemptEnd end = judge(call, exchange, answer);
    if (end.outcome == CallOutcome::Whole && lastToken) {
        addTime(m_tally.firstToken, firstToken - call.planned);
    }
    return end;
}

LoadWorker::AttemptEnd LoadWorker::judge(Call &call, const Exchange &exchange, const ChatAnswer &answer) const
{
    if (!exchange.connected && exchange.resent > 0) {
        // It went out over an idle connection that broke, and no other could be opened: it may have run.
        return {CallOutcome::Unknown, "connection_broken", {}, false, true, RepeatPause};
    }
    if (!exchange.connected) {
        return {CallOutcome::Unknown, "connect_failed", {}, true, true, RepeatPause};
    }
    if (exchange.status == 0 || (!exchange.complete && !exchange.streamed)) {
        return {CallOutcome::Unknown, "connection_broken", {}, false, true, RepeatPause};
    }
    const std::string errorBody = exchange.streamed ? answer.errorBody : exchange.body;
    if (exchange.status != 200 || !answer.errorBody.empty()) {
        const auto refusal = readRefusal(errorBody);
        AttemptEnd end;
        end.reason = refusal && !refusal->type.empty() ? refusal->type : "status_" + std::to_string(exchange.status);
        end.message = refusal ? refusal->message : std::string();
        end.notRun = exchange.notRunHeader || (refusal && refusal->notRun);
        end.outcome = end.notRun ? CallOutcome::NotRun : CallOutcome::Unknown;
        const std::int64_t retryMs =
            refusal ? refusal->retryAfterMs.value_or(exchange.retryAfterMs) : exchange.retryAfterMs;
        end.mayRepeat = retryMs >= 0;
        end.wait = std::chrono::milliseconds(std::max<std::int64_t>(0, retryMs));
        return end;
    }
    const bool booking = call.record.kind == LoadKind::Booking;
    const AnswerVerdict verdict =
        booking ? judgeBooking(exchange.body, call.record.id) : judgeChat(answer, call.record.id);
    switch (verdict) {
    case AnswerVerdict::Whole:
        call.record.tokens = answer.promptTokens.value_or(0) + answer.completionTokens.value_or(0);
        return {CallOutcome::Whole, {}, {}, false, false, {}};
    case AnswerVerdict::Incomplete:
        return {CallOutcome::Incomplete, "incomplete", {}, false, true, RepeatPause};
    case AnswerVerdict::Foreign:
        return {CallOutcome::Foreign, "foreign", {}, false, false, {}};
    }
    return {};
}

// The first attempt goes to any of the customer's addresses, each further one to the next of them.
std::string LoadWorker::chooseAddress(const Call &call, const asio::yield_context &yield)
{
    if (m_spec.direct) {
        return m_spec.targets[m_random() % m_spec.targets.size()];
    }
    Addresses &addresses = m_addresses[call.record.customer];
    if (monotonicNow() >= addresses.refreshAt) {
        refreshAddresses(addresses, m_spec.customers[call.record.customer], yield);
    }
    const auto &list = addresses.list.empty() ? m_spec.targets : addresses.list;
    const std::size_t first = std::hash<std::string>()(call.record.id);
    return list[(first + static_cast<std::size_t>(call.record.attempts)) % list.size()];
}

void LoadWorker::refreshAddresses(Addresses &addresses, const LoadCustomer &customer, const asio::yield_context &yield)
{
    // Set first, so that the calls which arrive in the meantime use the old answer and don't ask too.
    addresses.refreshAt = monotonicNow() + LookupTimeout;
    const std::string &target = m_spec.targets[m_random() % m_spec.targets.size()];
    ClientRequest request(http::verb::get, "/v1/addresses?customer=" + customer.name, 11);
    request.set(http::field::host, target);
    request.set(http::field::authorization, "Bearer " + customer.key);
    ++m_tally.addressLookups;
    const Exchange exchange = m_client.send(target, request, LookupTimeout, nullptr, yield);
    if (exchange.status != 200 || !readAddresses(exchange.body, addresses)) {
        ++m_tally.addressFailures;
        addresses.refreshAt = monotonicNow() + LookupRetry;
    }
}

// Returns false when the answer names no address; `addresses` is left as it was then.
bool LoadWorker::readAddresses(const std::string &text, Addresses &addresses)
{
    try {
        const Json body = Json::parse(text);
        auto list = body.at("addresses").get<std::vector<std::string>>();
        if (list.empty()) {
            return false;
        }
        const std::chrono::duration<double> keep(body.at("keep_seconds").get<double>());
        addresses.list = std::move(list);
        addresses.refreshAt = monotonicNow() + std::chrono::duration_cast<Duration>(keep);
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

void LoadWorker::wait(TimePoint until, const asio::yield_context &yield)
{
    if (until <= monotonicNow()) {
        return;
    }
    asio::steady_timer timer(m_context, until);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

// A UUID of version 7: milliseconds since the epoch and random bits.
std::string LoadWorker::newId()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    auto milliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
    boost::uuids::uuid id{};
    for (unsigned i = TimeBytes; i > 0; --i) {
        id.data[i - 1] = static_cast<std::uint8_t>(milliseconds & 0xFFU);
        milliseconds >>= 8U;
    }
    for (unsigned i = TimeBytes; i < id.size(); ++i) {
        id.data[i] = static_cast<std::uint8_t>(m_random() & 0xFFU);
    }
    id.data[6] = static_cast<std::uint8_t>((id.data[6] & 0x0FU) | 0x70U);
    id.data[8] = static_cast<std::uint8_t>((id.data[8] & 0x3FU) | 0x80U);
    return boost::uuids::to_string(id);
}

std::size_t LoadWorker::draw(const std::vector<double> &weights)
{
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
}

} // namespace Godwit::Standins
