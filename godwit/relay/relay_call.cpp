#include "godwit/relay/relay_call.h"

#include "godwit/base/hash.h"
#include "godwit/gateway/request_identity.h"
#include "godwit/prepaid/call_charge.h"

#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Godwit
{
namespace
{

// A request that declares no token counts can't be charged by tokens.
constexpr Tokens NoTokens = 0;
constexpr int LeastUrgent = 9;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string chunk(std::string_view bytes)
{
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string out;
    out.reserve(bytes.size() + 24);
    out.append(size.data(), end);
    out.append("\r\n");
    out.append(bytes);
    out.append("\r\n");
    return out;
}

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
    const auto facts = readRequest(m_head, reason);
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

void RelayCall::reserveTokens()
{
    if (m_worstCase > 0 && mustLeaveToSmaller(m_relay.state().prepaid, m_customer, m_worstCase, m_arrived)) {
        refuseForBudget("what is left of the budget is kept for smaller requests: ask for fewer tokens");
        return;
    }
    if (m_worstCase == 0 || reserve(m_relay.state().prepaid, m_customer, m_worstCase)) {
        m_holdsTokens = m_worstCase > 0;
        logReservation();
        attempt();
        return;
    }
    m_waitsForTokens = true;
    m_patience.expires_after(std::min({m_relay.options().budgetPatience, m_route->latencyTarget / 8, timeLeft()}));
    m_patience.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->m_closed || !self->m_waitsForTokens) {
            return;
        }
        self->refuseForBudget("this router does not hold enough of the budget now");
    });
    m_relay.waitForTokens(shared_from_this());
}

// Final when nobody holds enough any more; else the caller may come back.
void RelayCall::refuseForBudget(const std::string &message)
{
    const PrepaidShare &share = m_relay.state().prepaid;
    if (share.takenOver && mayRemain(share, m_customer) < m_worstCase) {
        refuse(ErrorKind::BudgetExhausted, "the customer's budget does not cover this request at its most", {});
    } else {
        refuse(ErrorKind::BudgetBusy, message, tokensBack());
    }
}

// When the caller should come back for tokens: once they grow again, and not all callers at that moment.
Duration RelayCall::tokensBack() const
{
    const Duration grows = untilTokensGrow(m_relay.state().prepaid, m_customer, Relay::now());
    return grows == Duration::zero() ? m_relay.options().comeBack : grows + comeBackByLot();
}

// Callers that are refused together should not come back together.
Duration RelayCall::comeBackByLot() const
{
    const double lot = static_cast<double>(m_relay.random() % 1024) / 1024.0;
    return std::chrono::duration_cast<Duration>(m_relay.options().comeBack * (0.3 + 2 * lot));
}

bool RelayCall::takeTokens()
{
    if (m_closed || !m_waitsForTokens) {
        return true;
    }
    if (!reserve(m_relay.state().prepaid, m_customer, m_worstCase)) {
        return false;
    }
    m_waitsForTokens = false;
    m_holdsTokens = true;
    logReservation();
    m_patience.cancel();
    attempt();
    return true;
}

// Shows which requests a budget's last tokens go to.
void RelayCall::logReservation() const
{
    const PrepaidShare &share = m_relay.state().prepaid;
    if (!m_holdsTokens || !isNearEnd(share, m_customer)) {
        return;
    }
    m_relay.log().write("reserved_near_end",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"customer", std::string_view(m_customer.value)},
                         {"tokens", m_worstCase},
                         {"may_remain", mayRemain(share, m_customer)},
                         {"total", share.accounts.at(m_customer).total}});
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
    handlers.onHead = [self](const AnswerHead &head, const AnswerFacts &facts) {
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
    m_exchange->start(
        m_endpoint, endpoint.listed.address, writeRequestHead(m_head, send, m_body.size()) + m_body, m_facts.attemptId);
    m_newConnection = m_exchange->connectionIsNew();
    m_relay.counters().connectionsOpened += m_newConnection ? 1 : 0;
}

void RelayCall::noteSending(Duration timeLeft)
{
    const TimePoint now = Relay::now();
    const auto &deathCount = m_relay.state().suspects.deathCount;
    SendRecord record;
    record.attempt = m_facts.attemptId;
    record.service = m_serviceName;
    record.endpoint = m_endpoint.value;
    record.sends = m_sends;
    record.ran = m_ran;
    record.maxEndpoints = m_route->maxEndpoints;
    if (m_drawnAt) {
        record.sinceDraw = now - *m_drawnAt;
    }
    record.timeLeft = timeLeft;
    record.sinceReckoned = now - m_sentAt;
    record.sinceArrival = now - m_arrived;
    const auto found = deathCount.empty() ? deathCount.end() : deathCount.find(fingerprint());
    if (found != deathCount.end()) {
        record.fingerprint = found->first;
        record.deaths = static_cast<std::size_t>(found->second);
    }
    record.trial = m_trial;
    recordSend(m_relay, record);
}

void RelayCall::onHead(const AnswerHead &head, const AnswerFacts &facts)
{
    m_answerHead = head;
    m_answer = facts;
    const bool success = facts.status / 100 == 2;
    m_streams = success && facts.sealed && facts.carriesEvents && m_route->kind == GatewayRouteKind::Streaming;
    if (m_streams && !m_headPassed) {
        passHead(AnswerFraming::Chunked);
    }
}

void RelayCall::passHead(AnswerFraming framing, std::string_view body)
{
    m_headPassed = true;
    m_passedFraming = framingToPass(m_answer.framing, framing);
    m_relay.counters().answersWithoutDeclaredEnd += m_passedFraming == AnswerFraming::Connection ? 1 : 0;
    const bool closes = m_sink->beginAnswer(m_passedFraming);
    m_sink->send(writeAnswerHead(*m_answerHead, m_passedFraming, body.size(), closes).append(body));
}

void RelayCall::passPiece(std::string_view bytes)
{
    m_sink->send(m_passedFraming == AnswerFraming::Chunked ? chunk(bytes) : std::string(bytes));
}

void RelayCall::onBody(std::string_view bytes)
{
    if (m_streams) {
        passEvents(bytes);
        return;
    }
    m_whole.append(bytes);
    if (m_whole.size() > m_relay.options().wholeAnswerBytes && m_answer.status / 100 == 2 && m_answer.sealed) {
        // Too long to hold back: pass it on as it comes, in pieces whose end shows.
        if (!m_headPassed) {
            passHead(AnswerFraming::Chunked);
        }
        passPiece(std::exchange(m_whole, {}));
    }
    if (m_exchange && m_sink->queuedBytes() > m_relay.options().callerQueueBytes) {
        m_exchange->pause();
    }
}

void RelayCall::passEvents(std::string_view bytes)
{
    appendBytes(m_events, bytes);
    std::string whole;
    while (auto event = takeEvent(m_events)) {
        m_lastEvent = eventNumber(*event).value_or(m_lastEvent);
        ++m_eventsPassed;
        whole += *event;
    }
    if (whole.empty()) {
        return;
    }
    onFirstEvent();
    m_lastEventAt = Relay::now();
    m_firstAnswerAt = m_firstAnswerAt.value_or(*m_lastEventAt);
    passPiece(whole);
    if (m_exchange && m_sink->queuedBytes() > m_relay.options().callerQueueBytes) {
        m_exchange->pause();
    }
}

void RelayCall::sinkDrained()
{
    if (m_exchange) {
        m_exchange->resume();
    }
}

// Of an attempt whose answer has begun.
void RelayCall::noteEnding()
{
    AnswerEnding ending;
    ending.framing = m_answer.framing;
    ending.connection = m_exchange->connectionEnd();
    if (m_streams) {
        ending.position = positionIn(m_events);
    }
    m_ending = ending;
    ++m_relay.counters().answersEnded[ending];
}

// Writes a line for an answer whose end its endpoint didn't declare, or declared inside an event.
void RelayCall::logUndeclaredEnd() const
{
    const auto position = m_ending->position.value_or(StreamPosition::AtEdge);
    const bool insideEvent = position == StreamPosition::InsideNumber || position == StreamPosition::InsideEvent;
    if (m_ending->framing != AnswerFraming::Connection && !insideEvent) {
        return;
    }
    m_relay.log().write("answer_ended",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"status", static_cast<std::int64_t>(m_answer.status)},
                         {"framing", answerFramingName(m_ending->framing)},
                         {"connection", connectionEndName(m_ending->connection)},
                         {"position", positionName(*m_ending)},
                         {"extent", answerExtentName(extentOf(*m_ending))},
                         {"pending_bytes", static_cast<std::int64_t>(pendingBytes(m_events))},
                         {"events_passed", static_cast<std::int64_t>(m_eventsPassed)},
                         {"attempt_ms", milliseconds(Relay::now() - m_sentAt)}});
}

void RelayCall::onEnd()
{
    noteEnding();
    logUndeclaredEnd();
    const bool success = m_answer.status / 100 == 2;
    if (m_answer.notRun) {
        // Between streams that are resumed a refusal leaves the earlier part as it was.
        endAttempt(AttemptVerdict::Shed);
        tryAgain(m_answer.otherEndpoint ? "address_reused" : "shed", true);
        return;
    }
    m_progress = Progress::Sent;
    ++m_ran;
    m_mayHaveBegun = true;
    if (success && !m_answer.sealed) {
        endAttempt(AttemptVerdict::Failed);
        tryAgain("unsealed_answer", true);
        return;
    }
    if (m_headPassed && !m_streams && m_route->kind == GatewayRouteKind::Streaming) {
        // A stream that should go on was answered with a failure, perhaps before its first event. Passed on, its text
        // would end the stream as if that were whole.
        endAttempt(AttemptVerdict::Failed);
        tryAgain("resume_failed", true);
        return;
    }
    const AnswerExtent extent = extentOf(*m_ending);
    if (extent == AnswerExtent::BrokenOff) {
        endAttempt(AttemptVerdict::Unreachable);
        if (m_ending->connection == ConnectionEnd::Open) {
            tryAgain("ended_inside_stream", true);
        } else {
            tryAgainOnceKnown("ended_inside_stream");
        }
        return;
    }
    const bool failed = m_answer.status >= 500;
    endAttempt(failed ? AttemptVerdict::Failed : AttemptVerdict::Good);
    if (m_headPassed && !mayEndWhole(m_passedFraming, extent)) {
        tryAgain("end_not_declared", true);
        return;
    }
    if (failed && mayRepeat() && !m_headPassed && drawRepeat("failed_answer")) {
        ++m_relay.counters().repeats;
        m_drawnAt = Relay::now();
        attempt();
        return;
    }
    if (!m_headPassed) {
        m_firstAnswerAt = Relay::now();
        passHead(AnswerFraming::Length, m_whole);
    } else if (const std::string rest = m_streams ? takePending(m_events) : m_whole; !rest.empty()) {
        passPiece(rest);
    }
    complete();
}

void RelayCall::complete()
{
    ++m_relay.counters().answered;
    noteWholeAnswer();
    auto *sink = m_sink;
    if (m_passedFraming == AnswerFraming::Chunked) {
        sink->send("0\r\n\r\n");
    }
    close(CallEnd::Answered);
    sink->finish();
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

// The connection of the latest attempt has ended, and so may have its endpoint. What the request is believed to have
// done decides whether it is sent again.
void RelayCall::tryAgainOnceKnown(const std::string &cause)
{
    if (!m_relay.onCut) {
        tryAgain(cause, true);
        return;
    }
    RequestCut cut{m_endpoint, m_endpointStart, {fingerprint(), m_sentAt, Relay::now()}, label()};
    cut.run.trial = std::exchange(m_trial, false);
    m_relay.onCut(cut, [self = shared_from_this(), cause] {
        if (!self->m_closed) {
            self->tryAgain(cause, true);
        }
    });
}

// An endpoint that answers it whole has outlived it.
void RelayCall::noteWholeAnswer()
{
    constexpr unsigned leastFailure = 500;
    RelayState &state = m_relay.state();
    if (!m_ending || m_answer.status >= leastFailure || !m_relay.onWholeAnswer) {
        return;
    }
    const bool declared = extentOf(*m_ending) == AnswerExtent::Declared;
    if (declared) {
        noteAnswer(state.recentAnswers, fingerprint(), Relay::now());
    }
    if (state.suspects.deathCount.empty() && state.crashWatch.cuts.empty()) {
        return;
    }
    if (declared) {
        m_trial = false;
        m_relay.onWholeAnswer(fingerprint());
    } else {
        m_relay.onDoubtfulAnswer(fingerprint(), m_endpoint);
    }
}

Admission RelayCall::admissionNow()
{
    const SuspectBook &book = m_relay.state().suspects;
    if (book.deathCount.empty() && book.refusedUntil.empty()) {
        return Admission::Free;
    }
    return admissionOf(book, fingerprint(), Relay::now());
}

void RelayCall::refuseSuspect()
{
    if (m_headPassed) {
        breakOff("suspect_request");
    } else if (m_progress == Progress::Sent) {
        refuse(ErrorKind::EndpointFailed, "endpoints died each time that they ran this request", std::nullopt);
    } else {
        refuse(ErrorKind::SuspectRequest,
               "endpoints died each time that they ran this request",
               refusedFor(m_relay.state().suspects, fingerprint(), Relay::now()));
    }
}

bool RelayCall::maySpareTrial()
{
    const RelayState &state = m_relay.state();
    const auto listed = state.endpoints.byService.find(m_serviceName);
    return listed == state.endpoints.byService.end()
        || canSpareTrial(state.suspects, fingerprint(), listed->second, m_relay.options().trialPatience, Relay::now());
}

// It may only be tried by itself, and that is not possible now.
void RelayCall::refuseForNow()
{
    if (m_headPassed) {
        breakOff("suspect_waits");
    } else if (m_progress == Progress::Sent) {
        refuse(ErrorKind::EndpointFailed, "endpoints died under this request", std::nullopt);
    } else {
        refuse(ErrorKind::Overloaded, "endpoints died under this request; it is tried by itself", comeBackByLot());
    }
}

void RelayCall::askForTrial(const Choice &choice)
{
    const EndpointId endpoint = choice.endpoint->listed.id;
    const EndpointStart start = choice.endpoint->listed.startedAt;
    const auto onAnswer = [self = shared_from_this(), wished = choice, endpoint, start](bool granted) {
        Choice chosen = wished;
        chosen.endpoint = findStart(self->m_relay.state().endpoints, endpoint, start);
        const bool gone = chosen.endpoint == nullptr || !takesNewWork(*chosen.endpoint);
        if (granted && (gone || self->m_closed)) {
            self->m_relay.onTrialEnded(self->fingerprint());
        }
        if (self->m_closed) {
            return;
        }
        if (!granted || gone) {
            self->refuseForNow();
            return;
        }
        self->m_trial = true;
        self->begin(chosen);
    };
    m_relay.onTrialWanted({fingerprint(), endpoint, label()}, onAnswer);
}

// A trial that has ended without a death or a whole answer.
void RelayCall::endTrial()
{
    if (std::exchange(m_trial, false)) {
        m_relay.onTrialEnded(fingerprint());
    }
}

SuspectLabel RelayCall::label() const
{
    return {m_facts.host, m_facts.target, m_customer};
}

std::uint64_t RelayCall::fingerprint()
{
    if (!m_fingerprint) {
        const auto method = m_head.method_string();
        m_fingerprint =
            requestFingerprint({{method.data(), method.size()}, m_facts.host, m_facts.target, m_customer, m_body});
    }
    return *m_fingerprint;
}

bool RelayCall::runsAtMostOnce() const
{
    return m_route->kind == GatewayRouteKind::NonIdempotent
        || (m_route->kind == GatewayRouteKind::Streaming && !m_route->resumable);
}

// Whether another endpoint may get the request now.
bool RelayCall::mayRepeat() const
{
    if (m_ran > 0 && (runsAtMostOnce() || m_ran >= m_route->maxEndpoints)) {
        return false;
    }
    return timeLeft() > Duration::zero();
}

bool RelayCall::drawRepeat(std::string_view cause)
{
    const RelayOptions &options = m_relay.options();
    RelayState &state = m_relay.state();
    const TimePoint now = Relay::now();
    const double part = partOf(usableShares(state.limitShares, now, Relay::uptime()));
    const RepeatDraw draw = takeRepeat(state.repeats[m_serviceName], options.repeats, part, now);
    recordRepeat(cause, draw.granted ? RepeatOutcome::Taken : RepeatOutcome::Denied, draw);
    return draw.granted;
}

void RelayCall::recordRepeat(std::string_view cause, RepeatOutcome outcome, const RepeatDraw &draw)
{
    ++m_relay.counters().repeatDraws[{m_serviceName, std::string(cause), outcome}];
    m_relay.log().write("repeat",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"outcome", repeatOutcomeName(outcome)},
                         {"service", std::string_view(m_serviceName)},
                         {"cause", cause},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"status", static_cast<std::int64_t>(m_answerHead ? m_answer.status : 0)},
                         {"sends", static_cast<std::int64_t>(m_sends)},
                         {"requests", draw.requests},
                         {"repeats", draw.repeats},
                         {"allowed_by_requests", draw.allowedByRequests},
                         {"allowed_fixed", draw.allowedFixed},
                         {"shares", static_cast<std::int64_t>(m_relay.state().limitShares.held.size())}});
}

void RelayCall::tryAgain(const std::string &cause, bool reachedEndpoint)
{
    ++m_relay.counters().attemptsFailed[cause];
    const std::string request = fingerprintText(m_fingerprint.value_or(0));
    m_relay.log().write("attempt_failed",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"cause", std::string_view(cause)},
                         {"new_connection", m_newConnection},
                         {"attempt_ms", milliseconds(Relay::now() - m_sentAt)},
                         {"status", static_cast<std::int64_t>(m_answerHead ? m_answer.status : 0)},
                         {"framing", m_ending ? answerFramingName(m_ending->framing) : "none"},
                         {"connection", m_ending ? connectionEndName(m_ending->connection) : "none"},
                         {"position", m_ending ? positionName(*m_ending) : "none"},
                         {"events_passed", static_cast<std::int64_t>(m_eventsPassed)},
                         {"may_have_run", m_ran > 0},
                         {"request", m_fingerprint ? std::string_view(request) : std::string_view()}});
    // A stream can go on only after an event that has a number.
    const bool resumable = m_eventsPassed == 0 || m_lastEvent > 0;
    const bool canGoOn = resumable && (!m_headPassed || m_streams || m_eventsPassed > 0);
    // An attempt that reached no endpoint adds nothing to its load, so it draws on no allowance.
    if (canGoOn && mayRepeat() && (!reachedEndpoint || drawRepeat(cause))) {
        m_drawnAt = Relay::now();
        m_relay.counters().repeats += reachedEndpoint ? 1 : 0;
        m_relay.counters().resumedStreams += m_eventsPassed > 0 ? 1 : 0;
        if (!reachedEndpoint) {
            recordRepeat(cause, RepeatOutcome::Free, {});
        }
        attempt();
        return;
    }
    if (m_headPassed) {
        breakOff(cause);
        return;
    }
    if (m_ran > 0) {
        refuse(ErrorKind::EndpointFailed, "the endpoint's answer was lost; the request may have run", std::nullopt);
        return;
    }
    refuse(ErrorKind::Overloaded,
           "the endpoints that were asked did not take the request",
           m_answer.retryAfter.value_or(m_relay.options().comeBack));
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
                         {"since_sent_ms", milliseconds(Relay::now() - m_sentAt)}});
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
                         {"after_ms", milliseconds(Relay::now() - m_arrived)},
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
                         {"after_ms", milliseconds(Relay::now() - m_arrived)},
                         {"document", static_cast<std::int64_t>(m_table ? m_table->document.version : 0)},
                         {"platform_in_reach", m_relay.state().platformInReach},
                         {"may_have_run", m_ran > 0}});
    auto *sink = m_sink;
    const std::string bytes = writeRefusal(error, m_facts.attemptId, sink->beginAnswer(AnswerFraming::Length));
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
                         {"after_ms", milliseconds(Relay::now() - m_arrived)}});
    auto *sink = m_sink;
    close(CallEnd::BrokenOff);
    sink->breakOff();
}

Tokens RelayCall::spendableElsewhere() const
{
    Tokens sum = 0;
    const auto &known = m_relay.state().prepaid.heldElsewhere;
    const auto found = known.find(m_customer);
    if (found != known.end()) {
        for (const auto &[holder, held] : found->second) {
            sum += held.spendable;
        }
    }
    return sum;
}

Tokens RelayCall::usedTokens() const
{
    CallUsage usage;
    usage.promptTokens = m_facts.promptTokens;
    usage.maxOutputTokens = m_facts.maxOutputTokens;
    usage.tokensPerEvent = m_service != nullptr && m_service->engine ? m_service->engine->tokensPerEvent : 1;
    usage.eventsPassed = m_eventsPassed;
    usage.mayHaveBegun = m_mayHaveBegun;
    return chargeOf(usage);
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

void RelayCall::settleTokens()
{
    const Tokens charge = usedTokens();
    settle(m_relay.state().prepaid, m_customer, m_worstCase, charge);
    recordCharge(m_relay.counters().calls, {m_customer, m_route->kind, m_end, m_eventsPassed > 0, charge});
    if (m_end == CallEnd::Answered || charge == 0) {
        return;
    }
    m_relay.log().write("charged",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"customer", std::string_view(m_customer.value)},
                         {"end", callEndName(m_end)},
                         {"tokens", charge},
                         {"reserved", m_worstCase},
                         {"events_passed", static_cast<std::int64_t>(m_eventsPassed)},
                         {"since_sent_ms", milliseconds(Relay::now() - m_sentAt)}});
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
