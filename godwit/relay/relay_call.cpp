#include "godwit/relay/relay_call.h"

#include "godwit/base/hash.h"
#include "godwit/base/milliseconds.h"

#include <algorithm>
#include <utility>

namespace Godwit
{
namespace
{

// A request that declares no token counts can't be charged by tokens.
constexpr Tokens NoTokens = 0;
constexpr int LeastUrgent = 9;

// What requests share, so that they meet where it is cached: the last part of the prompt but the request's own.
std::string_view sharedPart(const RequestFacts &facts)
{
    const auto &parts = facts.promptParts;
    if (parts.empty()) {
        return {};
    }
    return parts[parts.size() < 2 ? 0 : parts.size() - 2].id;
}

// How much of the prompt lies up to the end of that part.
Tokens sharedTokens(const RequestFacts &facts)
{
    const auto &parts = facts.promptParts;
    Tokens sum = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        sum += parts[i].tokens;
    }
    return std::min(sum, facts.promptTokens);
}

} // namespace

RelayCall::RelayCall(Relay &relay, AnswerSink &sink, RequestHead head, std::string body)
    : m_relay(relay)
    , m_sink(&sink)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_arrived(Relay::now())
    , m_timer(relay.io())
    , m_patience(relay.io())
{
    ++m_relay.callsOpen;
    ++m_relay.counters().requests;
}

void RelayCall::start()
{
    LastReason reason;
    const auto facts = parseRequestHead(m_head, reason);
    if (!facts) {
        refuse(reason->kind, reason->message, std::nullopt);
        return;
    }
    m_facts = *facts;
    // Before the route: what the document of a host that is behind doesn't have may have been added seconds ago.
    if (m_relay.isBehind(m_arrived)) {
        refuse(ErrorKind::Overloaded, "this router is behind the others", comeBackByLot());
        return;
    }
    if (!findRoute() || !findCustomer()) {
        return;
    }
    if (admissionNow() == Admission::Refused) {
        refuseSuspect();
        return;
    }
    const Duration callerPatience = m_facts.timeLeft.value_or(m_route->timeout);
    m_deadline = m_arrived + std::min(m_route->timeout, callerPatience - m_relay.options().answerMargin);
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->onDeadline();
        }
    });
    reserveTokens();
}

bool RelayCall::findRoute()
{
    m_table = m_relay.state().routes;
    if (!m_table) {
        refuse(ErrorKind::NotConfigured, "this router has read no configuration yet", m_relay.options().comeBack);
        return false;
    }
    if (m_relay.state().stage == RelayStage::Stopping) {
        refuse(ErrorKind::Draining, "this router is stopping", Duration(0));
        return false;
    }
    m_route = Godwit::findRoute(*m_table, m_facts.host, m_facts.target);
    if (m_route == nullptr) {
        refuseUnknown(ErrorKind::UnknownRoute, "no route begins this path at this host");
        return false;
    }
    m_serviceName = pickService(*m_route, stableHash(m_facts.attemptId));
    m_service = findService(*m_table, m_serviceName);
    restrictTo(m_regions, m_route->allowedRegions);
    countRequest(m_relay.state().repeats[m_serviceName], m_relay.options().repeats, m_arrived);
    return true;
}

// Callers take it for final that a route or key is unknown. A document that may be old does not show it, and another
// router may know better.
void RelayCall::refuseUnknown(ErrorKind kind, const std::string &message)
{
    if (m_relay.hasConfirmedDocument(m_arrived)) {
        refuse(kind, message, std::nullopt);
    } else {
        refuse(ErrorKind::NotConfigured, "unconfirmed document: " + message, comeBackByLot());
    }
}

bool RelayCall::findCustomer()
{
    m_urgency = m_route->priority;
    if (m_route->open || !m_table->document.keysRequired) {
        return true;
    }
    const PrepaidCustomer *customer = Godwit::findCustomer(*m_table, m_facts.key);
    if (customer == nullptr) {
        refuseUnknown(ErrorKind::Unauthenticated, "no customer holds this key");
        return false;
    }
    m_customer = customer->name;
    restrictTo(m_regions, customer->allowedRegions);
    m_urgency = customer->priority.value_or(m_route->priority);
    if (customer->prepaid) {
        m_worstCase = m_facts.declaresTokens ? m_facts.promptTokens + m_facts.maxOutputTokens : NoTokens;
        noteRequest(m_relay.state().prepaid, m_customer, m_worstCase, m_arrived);
    }
    return true;
}

// Callers that are refused together should not come back together.
Duration RelayCall::comeBackByLot() const
{
    const double lot = static_cast<double>(m_relay.random() % 1024) / 1024.0;
    return std::chrono::duration_cast<Duration>(m_relay.options().comeBack * (0.3 + 2 * lot));
}

void RelayCall::attempt()
{
    endTrial();
    const Admission admission = admissionNow();
    if (admission == Admission::Refused) {
        refuseSuspect();
        return;
    }
    if (admission == Admission::NotYet) {
        refuseForNow();
        return;
    }
    const bool trial = admission == Admission::Trial && m_relay.onTrialWanted;
    if (trial && !maySpareTrial()) {
        refuseForNow();
        return;
    }
    ChoiceQuery query;
    query.service = m_serviceName;
    query.tried = m_tried;
    if (trial) {
        const auto &others = m_relay.state().trialEndpoints;
        query.tried.insert(query.tried.end(), others.begin(), others.end());
    }
    query.dataCentre = m_relay.options().dataCentre;
    query.regions = m_regions;
    if (m_service != nullptr && m_service->engine) {
        query.promptTokens = m_facts.promptTokens;
        query.latencyTarget = std::max(Duration::zero(), m_arrived + m_route->latencyTarget - Relay::now());
    }
    if (m_route->cachesPrompts) {
        query.affinity = sharedPart(m_facts);
        query.sharedTokens = sharedTokens(m_facts);
    }
    RelayState &state = m_relay.state();
    if (!state.endpoints.coldPlans.empty()) {
        state.endpoints.usableShares = usableShares(state.limitShares, Relay::now(), Relay::uptime());
    }
    const Choice choice =
        chooseEndpoint(m_relay.state().endpoints, query, m_relay.options().choice, m_relay.random(), Relay::now());
    if (choice.endpoint == nullptr) {
        if (m_headPassed) {
            // A refusal's head in the middle of a stream would be bytes that are no answer.
            breakOff("no_endpoint");
        } else if (trial && !m_relay.state().trialEndpoints.empty()) {
            refuseForNow();
        } else if (m_progress == Progress::Sent) {
            refuse(ErrorKind::EndpointFailed, "the endpoint failed and no other is left", std::nullopt);
        } else {
            refuse(ErrorKind::NoEndpoint, "no endpoint of the service takes requests", endpointsBack());
        }
        return;
    }
    if (trial) {
        askForTrial(choice);
    } else {
        begin(choice);
    }
}

void RelayCall::begin(const Choice &choice)
{
    sendTo(choice);
    if (m_service != nullptr && m_service->engine && m_facts.promptTokens > 0) {
        beginReading(*choice.endpoint, choice.unread);
    }
}

// When the caller should come back for want of an endpoint: where all are cold, once the first is warm.
Duration RelayCall::endpointsBack() const
{
    const TimePoint now = Relay::now();
    const auto warm = warmAgainAt(m_relay.state().endpoints, m_serviceName, now);
    return warm ? *warm - now + comeBackByLot() : m_relay.options().comeBack;
}

void RelayCall::beginReading(EndpointState &endpoint, Tokens unread)
{
    const EngineSpeed &speed = m_relay.state().endpoints.speeds[m_serviceName];
    do {
        m_read = m_relay.random();
    } while (m_read == 0);
    beginRead(endpoint.load, speed, m_read, unread, m_sentAt);
    if (m_relay.onPromptSent) {
        PromptSent prompt{m_endpoint, unread, {}};
        if (m_route->cachesPrompts) {
            prompt.part = sharedPart(m_facts);
        }
        m_relay.onPromptSent(prompt, readingTime(endpoint.load, speed, unread));
    }
}

void RelayCall::onFirstEvent()
{
    EndpointState *endpoint = currentEndpoint();
    if (m_read != 0 && endpoint != nullptr) {
        endRead(endpoint->load, m_relay.state().endpoints.speeds[m_serviceName], m_read, Relay::now());
    }
    m_read = 0;
}

void RelayCall::stopReading()
{
    EndpointState *endpoint = currentEndpoint();
    if (m_read != 0 && endpoint != nullptr) {
        dropRead(endpoint->load, m_relay.state().endpoints.speeds[m_serviceName], m_read, Relay::now());
    }
    m_read = 0;
}

// Asked once the connection stands.
bool RelayCall::maySend()
{
    const EndpointState *chosen = currentEndpoint();
    if (chosen == nullptr || !takesNewWork(*chosen)) {
        return false;
    }
    const TimePoint now = Relay::now();
    const bool limited = isLimited(m_relay.state().endpoints, *chosen, now);
    return !limited || (m_coldChoice && now < m_sentAt + m_relay.options().coldChoiceHolds);
}

void RelayCall::sendTo(const Choice &choice)
{
    EndpointState &endpoint = *choice.endpoint;
    SendFacts send;
    send.endpoint = endpoint.listed.id.value;
    send.customer = m_customer.value;
    send.timeLeft = timeLeft();
    send.urgency = std::clamp(m_urgency, 0, LeastUrgent);
    if (m_eventsPassed > 0) {
        send.resumeAfter = m_lastEvent;
    }
    m_endpoint = endpoint.listed.id;
    m_endpointStart = endpoint.listed.startedAt;
    m_tried.push_back(m_endpoint);
    m_sentAt = Relay::now();
    m_attemptOpen = true;
    m_coldChoice = choice.cold;
    m_answerHead.reset();
    m_ending.reset();
    m_whole.clear();
    m_events = {};
    ++m_sends;
    ++m_relay.counters().attempts;
    beginAttempt(endpoint);

    ExchangeHandlers handlers;
    const auto self = shared_from_this();
    handlers.maySend = [self] {
        return self->maySend();
    };
    handlers.onSending = [self, left = send.timeLeft] {
        self->noteSending(left);
    };
    handlers.onHead = [self](const ResponseHead &head, const AnswerFacts &facts) {
        self->onHead(head, facts);
    };
    handlers.onBody = [self](std::string_view bytes) {
        self->onBody(bytes);
    };
    handlers.onEnd = [self] {
        self->onEnd();
    };
    handlers.onFailed = [self](ExchangeFailure failure) {
        self->onFailed(failure);
    };
    m_exchange = std::make_shared<EndpointExchange>(
        m_relay.io(), m_relay.pool(), m_relay.options().exchange, std::move(handlers));
    m_exchange->start(m_endpoint,
                      endpoint.listed.address,
                      formatRequestHead(m_head, send, m_body.size()) + m_body,
                      m_facts.attemptId);
    m_newConnection = m_exchange->connectionIsNew();
    m_relay.counters().connectionsOpened += m_newConnection ? 1 : 0;
}

void RelayCall::onFailed(ExchangeFailure failure)
{
    const bool nothingSent = failure == ExchangeFailure::NotConnected || failure == ExchangeFailure::Withdrawn;
    if (nothingSent) {
        endAttempt(failure == ExchangeFailure::Withdrawn ? AttemptVerdict::Neutral : AttemptVerdict::Unreachable);
        tryAgain(std::string(exchangeFailureName(failure)), false);
        return;
    }
    if (m_answerHead) {
        noteEnding();
    }
    m_progress = Progress::Sent;
    ++m_ran;
    m_mayHaveBegun = true;
    endAttempt(AttemptVerdict::Unreachable);
    const std::string cause(exchangeFailureName(failure));
    if (failure == ExchangeFailure::Malformed) {
        tryAgain(cause, true);
    } else {
        tryAgainOnceKnown(cause);
    }
}

void RelayCall::onDeadline()
{
    if (m_closed) {
        return;
    }
    if (m_attemptOpen) {
        giveUpAttempt();
    }
    if (m_headPassed) {
        breakOff("deadline");
    } else if (m_progress == Progress::Sent) {
        refuse(ErrorKind::AnswerLate, "the endpoint did not answer in time", std::nullopt);
    } else {
        refuse(ErrorKind::Overloaded, "no endpoint took the request in time", m_relay.options().comeBack);
    }
}

// Nobody waits for the open attempt's answer any more.
void RelayCall::giveUpAttempt()
{
    m_progress = Progress::Sent;
    ++m_ran;
    // Only the events of a stream show how far its engine has come: an answer in one piece may be made without a byte.
    const bool eventsTell = m_route->kind == GatewayRouteKind::Streaming && m_eventsPassed == 0;
    if (m_holdsTokens && !m_mayHaveBegun && eventsTell) {
        m_withdrawing = true;
        m_exchange->withdraw(m_relay.options().withdrawalLimit, [self = shared_from_this()](WithdrawalOutcome outcome) {
            self->onWithdrawn(outcome);
        });
    } else {
        m_mayHaveBegun = true;
        m_exchange->cancel();
    }
    endAttempt(silenceVerdict());
}

void RelayCall::onWithdrawn(WithdrawalOutcome outcome)
{
    m_withdrawing = false;
    m_mayHaveBegun = outcome == WithdrawalOutcome::Answered || outcome == WithdrawalOutcome::Unknown;
    m_relay.log().write("withdrawn",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"outcome", withdrawalOutcomeName(outcome)},
                         {"since_sent_ms", toMilliseconds(Relay::now() - m_sentAt)}});
    if (m_closed) {
        settleTokens();
    }
}

// What an attempt that is given up says of its endpoint. An endpoint whose host has vanished closes no connection: its
// silence is the only sign, and the requests that follow should not wait there as well.
AttemptVerdict RelayCall::silenceVerdict() const
{
    const Duration silence = Relay::now() - std::max(m_sentAt, m_lastEventAt.value_or(m_sentAt));
    return silence >= m_relay.options().suspiciousSilence ? AttemptVerdict::Slow : AttemptVerdict::Neutral;
}

void RelayCall::callerLeft()
{
    if (m_closed) {
        return;
    }
    ++m_relay.counters().callersLeft;
    if (m_attemptOpen) {
        giveUpAttempt();
    }
    m_relay.log().write("caller_left",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"after_ms", toMilliseconds(Relay::now() - m_arrived)},
                         {"may_have_run", m_ran > 0},
                         {"events_passed", static_cast<std::int64_t>(m_eventsPassed)}});
    close(CallEnd::CallerLeft);
}

void RelayCall::endAttempt(AttemptVerdict verdict)
{
    m_attemptOpen = false;
    m_exchange.reset();
    stopReading();
    if (EndpointState *endpoint = currentEndpoint()) {
        Godwit::endAttempt(*endpoint, verdict, m_relay.options().choice, Relay::now());
    }
}

void RelayCall::refuse(ErrorKind kind, std::string message, std::optional<Duration> retryAfter)
{
    ++m_relay.counters().refusals[kind];
    Error error;
    error.kind = kind;
    error.message = std::move(message);
    error.execution = m_progress == Progress::NotRun ? Execution::NotRun : Execution::Unknown;
    error.retryAfter = retryAfter;
    m_relay.log().write("refused",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"cause", errorName(kind)},
                         {"message", std::string_view(error.message)},
                         {"customer", std::string_view(m_customer.value)},
                         {"route", m_route == nullptr ? std::string_view() : std::string_view(m_route->name.value)},
                         {"tokens", m_worstCase},
                         {"headroom", headroom(m_relay.state().prepaid, m_customer)},
                         {"unused_grant", unusedGrant(m_relay.state().prepaid, m_customer)},
                         {"may_remain", mayRemain(m_relay.state().prepaid, m_customer)},
                         {"spendable_elsewhere", spendableElsewhere()},
                         {"sends", static_cast<std::int64_t>(m_sends)},
                         {"after_ms", toMilliseconds(Relay::now() - m_arrived)},
                         {"document", static_cast<std::int64_t>(m_table ? m_table->document.version : 0)},
                         {"platform_in_reach", m_relay.state().platformInReach},
                         {"may_have_run", m_ran > 0}});
    auto *sink = m_sink;
    const std::string bytes = formatErrorResponse(error, m_facts.attemptId, sink->beginAnswer(AnswerFraming::Length));
    close(CallEnd::Refused);
    sink->send(bytes);
    sink->finish();
}

void RelayCall::breakOff(std::string_view cause)
{
    ++m_relay.counters().brokenOff;
    m_relay.log().write("broken_off",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"cause", cause},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"events_passed", static_cast<std::int64_t>(m_eventsPassed)},
                         {"after_ms", toMilliseconds(Relay::now() - m_arrived)}});
    auto *sink = m_sink;
    close(CallEnd::BrokenOff);
    sink->breakOff();
}

void RelayCall::close(CallEnd end)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_end = end;
    endTrial();
    m_timer.cancel();
    m_patience.cancel();
    if (m_waitsForTokens) {
        m_waitsForTokens = false;
        m_relay.stopWaiting(shared_from_this());
    }
    if (m_holdsTokens && !m_withdrawing) {
        settleTokens();
    }
    recordEnd(end);
    --m_relay.callsOpen;
}

void RelayCall::recordEnd(CallEnd end)
{
    CallRecord record;
    record.customer = m_customer;
    record.kind = m_route == nullptr ? GatewayRouteKind::NonIdempotent : m_route->kind;
    record.end = end;
    record.total = Relay::now() - m_arrived;
    if (m_firstAnswerAt) {
        record.firstAnswer = *m_firstAnswerAt - m_arrived;
    }
    recordCall(m_relay.counters().calls, record);
}

Duration RelayCall::timeLeft() const
{
    return std::max(Duration::zero(), m_deadline - Relay::now());
}

EndpointState *RelayCall::currentEndpoint()
{
    return findStart(m_relay.state().endpoints, m_endpoint, m_endpointStart);
}

} // namespace Godwit
