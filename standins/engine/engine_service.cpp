#include "standins/engine/engine_service.h"

#include "standins/common/program.h"
#include "standins/engine/answer_text.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace Godwit::Standins
{

namespace
{

using Json = nlohmann::json;
using Verb = boost::beast::http::verb;

constexpr std::int64_t DefaultMaxTokens = 256;
constexpr int CrashExitCode = 70;

const HttpHeaders NotRunHeaders = {{"Godwit-Not-Run", "true"}};

std::string errorBody(const std::string &reason, const std::string &remedy)
{
    return Json{{"error", {{"reason", reason}, {"remedy", remedy}}}}.dump();
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c <= '~';
    });
}

// The texts of all messages in order, each with a line feed.
std::string promptOf(const Json &body)
{
    std::string prompt;
    for (const auto &message : body.at("messages")) {
        const auto content = message.find("content");
        if (content == message.end()) {
            continue;
        }
        prompt += content->is_string() ? content->get<std::string>() : content->dump();
        prompt += '\n';
    }
    return prompt;
}

std::int64_t maxTokensOf(const Json &body)
{
    for (const char *key : {"max_tokens", "max_completion_tokens"}) {
        const auto found = body.find(key);
        if (found != body.end() && !found->is_null()) {
            return std::max<std::int64_t>(1, found->get<std::int64_t>());
        }
    }
    return DefaultMaxTokens;
}

int priorityOf(const HttpRequest &request)
{
    const auto text = request["Godwit-Priority"];
    int priority = 0;
    std::from_chars(text.data(), text.data() + text.size(), priority);
    return priority;
}

Json usageOf(const Sequence &sequence)
{
    return {
        {"prompt_tokens", sequence.promptTokens},
        {"completion_tokens", sequence.generated},
        {"total_tokens", sequence.promptTokens + sequence.generated},
    };
}

const char *finishReason(const Sequence &sequence)
{
    return sequence.cut ? "length" : "stop";
}

std::string eventOf(const Sequence &sequence, const std::string &model, const Json &choice, bool last)
{
    Json event = {
        {"id", "chatcmpl-" + sequence.requestId},
        {"object", "chat.completion.chunk"},
        {"model", model},
        {"choices", Json::array({choice})},
    };
    if (last) {
        event["usage"] = usageOf(sequence);
    }
    return "data: " + event.dump() + "\n\n";
}

std::string tokenEvent(const Sequence &sequence, const std::string &model, std::int64_t index)
{
    const Json choice = {
        {"index", 0},
        {"delta", {{"content", tokenText(sequence.requestId, index)}}},
        {"finish_reason", nullptr},
    };
    return eventOf(sequence, model, choice, false);
}

std::string lastEvents(const Sequence &sequence, const std::string &model)
{
    const Json choice = {{"index", 0}, {"delta", Json::object()}, {"finish_reason", finishReason(sequence)}};
    return eventOf(sequence, model, choice, true) + "data: [DONE]\n\n";
}

} // namespace

EngineService::EngineService(
    boost::asio::io_context &context, BatchModel batch, OrderModel orders, std::size_t maxWaiting, std::uint64_t seed)
    : m_timer(context)
    , m_batch(std::move(batch))
    , m_orders(std::move(orders))
    , m_maxWaiting(maxWaiting)
    , m_random(seed)
    , m_draw([this] {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    })
    , m_epoch(static_cast<std::uint64_t>(monotonicNow().time_since_epoch().count()))
{
}

void EngineService::handle(const HttpRequest &request, const ResponderPtr &responder)
{
    const Target target = parseTarget({request.target().data(), request.target().size()});
    try {
        route(request, target, responder);
    } catch (const Json::exception &error) {
        responder->reply(400, errorBody("malformed_json", error.what()), NotRunHeaders);
    }
    armTimer();
    crashIfDue();
}

void EngineService::route(const HttpRequest &request, const Target &target, const ResponderPtr &responder)
{
    const bool post = request.method() == Verb::post;
    finishOrders(m_orders, monotonicNow());
    if (afterPrefix(target.path, "/control/")) {
        handleControl(request, target, responder);
    } else if (post && target.path == "/v1/chat/completions") {
        handleChat(request, responder);
    } else if (post && target.path == "/v1/resume") {
        handleResume(request, responder);
    } else if (post && target.path == "/orders") {
        handleOrder(request, responder);
    } else if (target.path == "/orders/current") {
        responder->reply(200, toJson(m_orders).dump());
    } else if (target.path == "/load") {
        replyLoad(responder);
    } else if (target.path == "/cache-events") {
        replyCacheEvents(target, responder);
    } else {
        responder->reply(404, errorBody("unknown_path", "See docs/STANDINS.md for the calls."), NotRunHeaders);
    }
}

void EngineService::handleChat(const HttpRequest &request, const ResponderPtr &responder)
{
    if (m_faults.refuse || m_batch.waiting.size() >= m_maxWaiting) {
        responder->reply(503, errorBody("overloaded", "Try another engine."), NotRunHeaders);
        return;
    }
    const Json body = Json::parse(request.body());
    if (!isPrintable(request["Godwit-Request-Id"])) {
        responder->reply(400, errorBody("malformed_id", "Use printable ASCII in Godwit-Request-Id."), NotRunHeaders);
        return;
    }
    const Submission submission{requestId(request), promptOf(body), maxTokensOf(body), priorityOf(request)};
    Reader reader;
    reader.responder = responder;
    reader.model = body.value("model", std::string());
    reader.streamed = body.value("stream", false);
    attach(submit(m_batch, submission, monotonicNow(), m_draw), std::move(reader));
}

void EngineService::handleResume(const HttpRequest &request, const ResponderPtr &responder)
{
    const Json body = Json::parse(request.body());
    const auto from = body.at("from_token").get<std::int64_t>();
    const auto handle = resume(m_batch, body.at("request_id").get<std::string>(), from, monotonicNow(), m_draw);
    if (!handle) {
        responder->reply(404, errorBody("not_kept", "Send the request again."), NotRunHeaders);
        return;
    }
    Reader reader;
    reader.responder = responder;
    reader.model = body.value("model", std::string());
    reader.streamed = body.value("stream", true);
    reader.sent = reader.streamed ? from : 0;
    attach(*handle, std::move(reader));
}

// Makes `reader` the one that the sequence's answer goes to; an earlier reader's connection is closed.
void EngineService::attach(SequenceHandle handle, Reader reader)
{
    const auto earlier = m_readers.find(handle);
    if (earlier != m_readers.end()) {
        const ResponderPtr replaced = earlier->second.responder;
        m_readers.erase(earlier);
        replaced->reset();
    }
    const ResponderPtr responder = reader.responder;
    if (reader.streamed) {
        responder->startStream(200, "text/event-stream");
    }
    m_readers[handle] = std::move(reader);
    responder->onPeerGone([this, handle] {
        m_readers.erase(handle);
        cancel(m_batch, handle, monotonicNow());
    });
    sendNewTokens(handle);
}

void EngineService::sendNewTokens(SequenceHandle handle)
{
    const auto found = m_readers.find(handle);
    if (found == m_readers.end()) {
        return;
    }
    if (found->second.streamed) {
        sendStreamed(handle, found->second);
    } else {
        sendWhole(handle, found->second);
    }
}

void EngineService::sendStreamed(SequenceHandle handle, Reader &reader)
{
    const Sequence &sequence = m_batch.sequences.at(handle);
    while (reader.sent < sequence.generated) {
        if (!sendEvent(handle, reader, tokenEvent(sequence, reader.model, reader.sent))) {
            return;
        }
        ++reader.sent;
    }
    if (sequence.state != SequenceState::Finished || !sendEvent(handle, reader, lastEvents(sequence, reader.model))) {
        return;
    }
    reader.responder->finish();
    m_readers.erase(handle);
}

// Returns false when the fault broke the connection: `reader` is gone then.
bool EngineService::sendEvent(SequenceHandle handle, Reader &reader, const std::string &data)
{
    reader.bytes += data.size();
    if (m_faults.resetAfterBytes == 0 || reader.bytes <= m_faults.resetAfterBytes) {
        reader.responder->chunk(data);
        return true;
    }
    reader.responder->reset();
    m_readers.erase(handle);
    cancel(m_batch, handle, monotonicNow());
    return false;
}

void EngineService::sendWhole(SequenceHandle handle, Reader &reader)
{
    const Sequence &sequence = m_batch.sequences.at(handle);
    if (sequence.state != SequenceState::Finished) {
        return;
    }
    const Json message = {{"role", "assistant"}, {"content", answerText(sequence.requestId, sequence.generated)}};
    const Json body = {
        {"id", "chatcmpl-" + sequence.requestId},
        {"object", "chat.completion"},
        {"model", reader.model},
        {"choices", Json::array({{{"index", 0}, {"message", message}, {"finish_reason", finishReason(sequence)}}})},
        {"usage", usageOf(sequence)},
    };
    reader.responder->reply(200, body.dump());
    m_readers.erase(handle);
}

void EngineService::handleOrder(const HttpRequest &request, const ResponderPtr &responder)
{
    const Json body = Json::parse(request.body());
    const auto kind = enumFromName(OrderKindNames, body.at("kind").get<std::string>());
    if (!kind) {
        responder->reply(400, errorBody("unknown_kind", "Use load_model, load_adapter or change_role."));
        return;
    }
    const Order order{*kind, body.at("model").get<std::string>(), body.value("fencing", std::uint64_t{0})};
    switch (giveOrder(m_orders, order, monotonicNow())) {
    case OrderOutcome::Accepted:
        responder->reply(202, Json{{"id", m_orders.current->id}}.dump());
        return;
    case OrderOutcome::Busy:
        responder->reply(409, errorBody("busy", "Wait until GET /orders/current shows no order."));
        return;
    case OrderOutcome::StaleFencing:
        responder->reply(412, errorBody("stale_fencing", "A higher fencing number was seen; take the lease anew."));
        return;
    }
}

void EngineService::replyLoad(const ResponderPtr &responder)
{
    const LoadSample load = reportedLoad(m_batch, monotonicNow());
    const Json body = {
        {"queued", load.queued},
        {"running", load.running},
        {"slots", m_batch.options.slots},
        {"kv_used", load.cacheUsed},
        {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_batch.options.reportLag).count()},
        {"models", m_orders.models},
        {"adapters", m_orders.adapters},
        {"role", m_orders.role},
    };
    responder->reply(200, body.dump());
}

void EngineService::replyCacheEvents(const Target &target, const ResponderPtr &responder)
{
    const auto events = eventsAfter(m_batch.cache, target.number("after").value_or(0), monotonicNow());
    Json rows = Json::array();
    for (const auto &event : events) {
        rows.push_back({{"kind", event.stored ? "stored" : "removed"}, {"block", event.block}});
    }
    const std::uint64_t first = events.empty() ? 0 : events.front().sequence;
    responder->reply(200, Json{{"epoch", m_epoch}, {"first_sequence", first}, {"events", std::move(rows)}}.dump());
}

void EngineService::replyExecutions(const Target &target, const ResponderPtr &responder)
{
    Json rows = Json::object();
    const std::string only = target.text("id");
    for (const auto &[id, count] : m_batch.executions) {
        if (!only.empty() && id != only) {
            continue;
        }
        rows[id] = {
            {"started", count.started},
            {"finished", count.finished},
            {"cancelled", count.cancelled},
            {"resumed", count.resumed},
            {"tokens", count.tokens},
            {"prompt_tokens", count.promptTokens},
        };
    }
    responder->reply(200, Json{{"executions", std::move(rows)}}.dump());
}

void EngineService::handleControl(const HttpRequest &request, const Target &target, const ResponderPtr &responder)
{
    if (target.path == "/control/executions") {
        replyExecutions(target, responder);
        return;
    }
    if (target.path != "/control/faults" || request.method() != Verb::post) {
        responder->reply(404, errorBody("unknown_path", "GET /control/executions or POST /control/faults."));
        return;
    }
    const Json body = Json::parse(request.body());
    m_batch.slowFactor = body.value("slow", m_batch.slowFactor);
    m_faults.refuse = body.value("refuse", m_faults.refuse);
    m_faults.resetAfterBytes = body.value("reset_after_bytes", m_faults.resetAfterBytes);
    responder->reply(200, "{}");
}

void EngineService::armTimer()
{
    const auto next = nextStep(m_batch);
    if (!next || m_timer.expiry() == *next) {
        return;
    }
    m_timer.expires_at(*next);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            advanceBatch();
        }
    });
}

void EngineService::advanceBatch()
{
    for (const Emission &emission : advance(m_batch, monotonicNow(), m_draw)) {
        sendNewTokens(emission.sequence);
    }
    armTimer();
    crashIfDue();
}

void EngineService::crashIfDue() const
{
    if (m_batch.crashed) {
        std::cerr << "standin_engine: crashed by its prompt" << std::endl;
        std::_Exit(CrashExitCode);
    }
}

std::string EngineService::requestId(const HttpRequest &request)
{
    const auto found = request.find("Godwit-Request-Id");
    if (found != request.end()) {
        return std::string(found->value());
    }
    return "anonymous-" + std::to_string(++m_anonymous);
}

} // namespace Godwit::Standins
