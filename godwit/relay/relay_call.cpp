#include "godwit/relay/relay_call.h"

#include "godwit/base/hash.h"
#include "godwit/base/milliseconds.h"
#include "godwit/gateway/speed_exchange.h"

#include <algorithm>
#include <utility>

namespace Godwit
{
namespace
{

// Cost of a request that declares no token counts and so can't be charged.
constexpr Tokens NoTokens = 0;
constexpr int LeastUrgent = 9;

// Key for cache affinity: the last part of the prompt that other requests may share, which is the one before the
// request's own.
std::string_view sharedPromptPrefix(const RequestMetadata &facts)
{
    const auto &parts = facts.promptSegments;
    if (parts.empty()) {
        return {};
    }
    return parts[parts.size() < 2 ? 0 : parts.size() - 2].id;
}

// Length of the shareable prefix: all parts of the prompt except the request's own.
Tokens sharedTokens(const RequestMetadata &facts)
{
    const auto &parts = facts.promptSegments;
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
    , m_heldBody(relay.state().held, HeldSide::Body)
    , m_arrived(Relay::now())
    , m_deadlineTimer(relay.io())
    , m_budgetTimer(relay.io())
    , m_hedgeTimer(relay.io())
    , m_heldAnswer(relay.state().held, HeldSide::Answer)
{
    m_heldBody.set(m_body.empty() ? 0 : m_body.capacity());
    ++m_relay.callsOpen;
    ++m_relay.counters().requests;
}

bool RelayCall::identify()
{
    LastReason reason;
    const auto facts = parseRequestHead(m_head, reason);
    if (!facts) {
        refuse(reason->kind, reason->message, std::nullopt);
        return false;
    }
    m_facts = *facts;
    // Checked before the route lookup: a route missing from a stale document may have been added seconds ago.
    if (m_relay.mayBeStale(m_arrived)) {
        refuse(ErrorKind::Overloaded, "this router's configuration may be out of date", randomizedRetryAfter());
        return false;
    }
    return findRoute() && findCustomer();
}

void RelayCall::startWithoutBody()
{
    if (identify()) {
        refuse(ErrorKind::Overloaded, "the body of the request was not read", randomizedRetryAfter());
    }
}

void RelayCall::start()
{
    if (!identify()) {
        return;
    }
    if (admissionNow() == Admission::Refused) {
        refuseSuspect();
        return;
    }
    const Duration callerTimeLeft = m_facts.timeLeft.value_or(m_route->timeout);
    m_deadline = m_arrived + std::min(m_route->timeout, callerTimeLeft - m_relay.options().answerMargin);
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->onDeadline();
        }
    });
    if (endsLate()) {
        refuseEndingLate();
        return;
    }
    if (continuesStream()) {
        findStreamOrigin();
    } else {
        reserveTokens();
    }
}

bool RelayCall::findRoute()
{
    m_table = m_relay.state().routes;
    if (!m_table) {
        refuse(ErrorKind::NotConfigured,
               "this router has not loaded a configuration yet",
               m_relay.options().defaultRetryAfter);
        return false;
    }
    if (m_relay.state().stage == RelayStage::Stopping) {
        refuse(ErrorKind::Draining, "this router is stopping", Duration(0));
        return false;
    }
    m_route = Godwit::findRoute(*m_table, m_facts.host, m_facts.target);
    if (m_route == nullptr) {
        refuseUnknown(ErrorKind::UnknownRoute, "no route matches this host and path");
        return false;
    }
    m_serviceName = pickService(*m_route, stableHash(m_facts.attemptId));
    m_service = findService(*m_table, m_serviceName);
    restrictTo(m_regions, m_route->allowedRegions);
    countRequest(m_relay.state().retryBudgets[m_serviceName], m_relay.options().retryRules, m_arrived);
    if (m_relay.options().hedging.ratio > 0) {
        countHedgeableRequest(m_relay.state().hedges, m_relay.options().hedging, m_serviceName, m_arrived);
    }
    return true;
}

// Callers treat an unknown route or key as final. If the document is not confirmed as current, the refusal is temporary
// instead: another router may have a newer document.
void RelayCall::refuseUnknown(ErrorKind kind, const std::string &message)
{
    const bool confirmed = m_relay.hasConfirmedDocument();
    const CopyFreshness &freshness = m_relay.state().documentFreshness;
    const auto ageMs = [](TimePoint at, TimePoint now) {
        return at == TimePoint{} ? std::int64_t{-1} : toMilliseconds(now - at);
    };
    const TimePoint bootTime = Relay::bootTimeNow();
    m_relay.log().write("unknown_refused",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"cause", errorName(kind)},
                         {"final", confirmed},
                         {"document", static_cast<std::int64_t>(m_table->document.version)},
                         {"revision", static_cast<std::int64_t>(m_relay.state().documentRevision)},
                         {"confirmed_by", enumName(ConfirmationSourceNames, freshness.confirmedBy)},
                         {"peer", std::string_view(freshness.confirmedByPeer)},
                         {"confirmed_ms", ageMs(freshness.confirmedAt, bootTime)},
                         {"own_read_ms", ageMs(freshness.ownReadAt, bootTime)},
                         {"peer_answer_ms", ageMs(freshness.lastResponseAt, m_arrived)}});
    if (confirmed) {
        refuse(kind, message, std::nullopt);
    } else {
        refuse(ErrorKind::NotConfigured, "configuration not confirmed as current: " + message, randomizedRetryAfter());
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
        refuseUnknown(ErrorKind::Unauthenticated, "the API key is unknown");
        return false;
    }
    m_customer = customer->name;
    restrictTo(m_regions, customer->allowedRegions);
    m_urgency = customer->priority.value_or(m_route->priority);
    if (customer->prepaid) {
        m_worstCase = m_facts.declaresTokenCounts ? m_facts.promptTokens + m_facts.maxOutputTokens : NoTokens;
        noteRequest(m_relay.state().prepaid, m_customer, m_worstCase, m_arrived);
    }
    return true;
}

// Spreads the retries of callers that were refused at the same time.
Duration RelayCall::randomizedRetryAfter() const
{
    const double fraction = static_cast<double>(m_relay.random() % 1024) / 1024.0;
    return std::chrono::duration_cast<Duration>(m_relay.options().defaultRetryAfter * (0.3 + 2 * fraction));
}

bool RelayCall::endsLate() const
{
    const RelayState &state = m_relay.state();
    if (!state.endsAt || m_headForwarded) {
        return false;
    }
    const RequestTimes times{m_deadline, *state.endsAt};
    return !isExpectedToEnd(
        state.requestDurations, m_relay.options().requestDurations, m_route->name, times, Relay::now());
}

void RelayCall::refuseEndingLate()
{
    if (m_progress == Progress::Sent) {
        refuse(ErrorKind::EndpointFailed, "the endpoint failed and this router is stopping", std::nullopt);
    } else {
        refuse(ErrorKind::Draining, "this router stops before the request can be expected to end", Duration(0));
    }
}

void RelayCall::refuseIfEndingLate()
{
    if (!m_closed && endsLate()) {
        refuseEndingLate();
    }
}

void RelayCall::attempt()
{
    endTrial();
    if (endsLate()) {
        refuseEndingLate();
        return;
    }
    const Admission admission = admissionNow();
    if (admission == Admission::Refused) {
        refuseSuspect();
        return;
    }
    if (admission == Admission::Deferred) {
        refuseSuspectForNow();
        return;
    }
    const bool trial = admission == Admission::Trial && m_relay.onTrialRequested;
    if (trial && !canAffordTrial()) {
        refuseSuspectForNow();
        return;
    }
    ChoiceQuery query = choiceQuery();
    if (trial) {
        const auto &others = m_relay.state().trialEndpoints;
        query.tried.insert(query.tried.end(), others.begin(), others.end());
    }
    RelayState &state = m_relay.state();
    if (!state.endpoints.coldPlans.empty()) {
        state.endpoints.usableShares = usableShares(state.limitShares, Relay::now(), Relay::uptime());
    }
    const Choice choice =
        chooseEndpoint(m_relay.state().endpoints, query, m_relay.options().choice, m_relay.random(), Relay::now());
    if (choice.endpoint == nullptr) {
        if (!m_headForwarded && trial && !m_relay.state().trialEndpoints.empty()) {
            refuseSuspectForNow();
        } else if (trial || !waitForPlace()) {
            refuseForLackOfEndpoint();
        }
        return;
    }
    if (m_placeWaiter != 0) {
        recordPlaceWait(PlaceWaitOutcome::Served);
    }
    if (trial) {
        requestTrial(choice);
    } else {
        startAttempt(choice);
    }
}

ChoiceQuery RelayCall::choiceQuery() const
{
    ChoiceQuery query;
    query.service = m_serviceName;
    query.tried = m_triedEndpoints;
    query.dataCentre = m_relay.options().dataCentre;
    query.regions = m_regions;
    query.unreachable = m_relay.unreachableDataCentres(m_serviceName);
    query.versions = allowedVersions();
    if (m_service != nullptr && m_service->engine) {
        query.promptTokens = m_facts.promptTokens;
        query.latencyTarget = std::max(Duration::zero(), m_arrived + m_route->latencyTarget - Relay::now());
    }
    if (m_route->cachesPrompts) {
        query.affinity = sharedPromptPrefix(m_facts);
        query.sharedTokens = sharedTokens(m_facts);
    }
    return query;
}

// Nullopt stands for all.
std::optional<std::set<std::string>> RelayCall::allowedVersions() const
{
    if (m_requiredVersion) {
        return std::set<std::string>{*m_requiredVersion};
    }
    const bool mayBeTakenUp = m_route->kind == GatewayRouteKind::Streaming && m_route->resumable;
    return mayBeTakenUp ? m_relay.usableVersions(m_serviceName) : std::nullopt;
}

bool RelayCall::awaitsVersion() const
{
    ChoiceQuery query = choiceQuery();
    if (m_requiredVersion || !query.versions || hasCandidates(m_relay.state().endpoints, query)) {
        return false;
    }
    query.versions.reset();
    return hasCandidates(m_relay.state().endpoints, query);
}

void RelayCall::startAttempt(const Choice &choice)
{
    sendTo(choice);
    if (m_service != nullptr && m_service->engine && m_facts.promptTokens > 0) {
        m_prefill = recordPrefillStart(*choice.endpoint, choice.uncachedTokens, m_sentAt);
    }
    armHedge(choice.uncachedTokens);
}

// Retry-After when streams may not begin at the endpoints' versions yet.
Duration RelayCall::versionRetryAfter() const
{
    const TimePoint now = Relay::bootTimeNow();
    const auto usable = nextUsableAt(m_relay.state().announcedVersions, m_serviceName, now);
    return usable ? *usable - now : m_relay.options().defaultRetryAfter;
}

// Retry-After when no endpoint is available. If all endpoints are cold, this is when the first one is warm again.
Duration RelayCall::endpointRetryAfter() const
{
    const TimePoint now = Relay::now();
    const auto warm = nextWarmAt(m_relay.state().endpoints, m_serviceName, now);
    return warm ? *warm - now + randomizedRetryAfter() : m_relay.options().defaultRetryAfter;
}

PrefillId RelayCall::recordPrefillStart(EndpointState &endpoint, Tokens unread, TimePoint sentAt)
{
    const PrefillSpeed &speed = m_relay.state().endpoints.prefillSpeeds[m_serviceName];
    PrefillId prefill = 0;
    do {
        prefill = m_relay.random();
    } while (prefill == 0);
    beginPrefill(endpoint.load, speed, prefill, unread, sentAt);
    if (m_relay.onPromptSent) {
        PromptSent prompt{endpoint.listed.id, unread, {}};
        if (m_route->cachesPrompts) {
            prompt.prefix = sharedPromptPrefix(m_facts);
        }
        m_relay.onPromptSent(prompt, prefillTime(endpoint.load, speed, unread));
    }
    return prefill;
}

void RelayCall::onFirstEvent()
{
    EndpointState *endpoint = currentEndpoint();
    if (m_prefill != 0 && endpoint != nullptr) {
        recordFirstEvent(m_relay.state().endpoints, *endpoint, m_prefill, Relay::now());
    }
    m_prefill = 0;
}

void RelayCall::dropPrefill()
{
    EndpointState *endpoint = currentEndpoint();
    if (m_prefill != 0 && endpoint != nullptr) {
        cancelPrefill(endpoint->load, m_relay.state().endpoints.prefillSpeeds[m_serviceName], m_prefill, Relay::now());
    }
    m_prefill = 0;
}

// Called once a new connection is established: the endpoint may have started to leave or reached its limit meanwhile,
// and this router may have started to stop.
bool RelayCall::maySend(const Sending &sending)
{
    const EndpointState *chosen = findIncarnation(m_relay.state().endpoints, sending.endpoint, sending.start);
    if (chosen == nullptr || !acceptsNewRequests(*chosen) || endsLate()) {
        return false;
    }
    const TimePoint now = Relay::now();
    const bool limited = isColdStartLimited(m_relay.state().endpoints, *chosen, now);
    return !limited || (sending.cold && now < sending.chosenAt + m_relay.options().coldChoiceMaxAge);
}

void RelayCall::sendTo(const Choice &choice)
{
    EndpointState &endpoint = *choice.endpoint;
    const Duration left = timeLeft();
    m_endpoint = endpoint.listed.id;
    m_endpointStart = endpoint.listed.startedAt;
    if (m_eventsForwarded > 0 || m_facts.resumes) {
        logContinuation(endpoint.listed.version);
    }
    m_endpointVersion = endpoint.listed.version;
    m_triedEndpoints.push_back(m_endpoint);
    m_sentAt = Relay::now();
    m_attemptOpen = true;
    m_coldChoice = choice.cold;
    resetAnswer();
    ++m_sends;
    ++m_relay.counters().attempts;
    beginAttempt(endpoint);

    const Sending sending{m_endpoint, m_endpointStart, m_sentAt, m_coldChoice, left};
    m_exchange = std::make_shared<EndpointExchange>(m_relay.io(),
                                                    m_relay.pool(),
                                                    m_relay.options().exchange,
                                                    exchangeHandlers(endpoint.listed, sending),
                                                    m_relay.state().held);
    m_exchange->start(m_endpoint,
                      endpoint.listed.address,
                      formatRequestHead(m_head, forwardMetadata(sending), m_body.size()) + m_body,
                      m_facts.attemptId);
    m_newConnection = m_exchange->connectionIsNew();
    m_relay.counters().connectionsOpened += m_newConnection ? 1 : 0;
}

// Logs the version at which a stream goes on.
void RelayCall::logContinuation(const std::string &version) const
{
    const bool byRouter = m_eventsForwarded > 0;
    m_relay.log().write("stream_continued",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"by", byRouter ? "router" : "caller"},
                         {"began_as", std::string_view(byRouter ? m_facts.attemptId : m_facts.resumedAttempt)},
                         {"after_event", static_cast<std::int64_t>(byRouter ? m_lastEvent : m_facts.resumeAfter)},
                         {"version_before", std::string_view(byRouter ? m_endpointVersion : std::string())},
                         {"version", std::string_view(version)}});
}

ForwardMetadata RelayCall::forwardMetadata(const Sending &sending) const
{
    ForwardMetadata send;
    send.endpoint = sending.endpoint.value;
    send.customer = m_customer.value;
    send.timeLeft = sending.timeLeft;
    send.priority = std::clamp(m_urgency, 0, LeastUrgent);
    if (m_eventsForwarded > 0) {
        send.resumeAfter = m_lastEvent;
    }
    return send;
}

// Drops what was received from the previous endpoint and not forwarded.
void RelayCall::resetAnswer()
{
    endLivenessCheck();
    m_answerHead.reset();
    m_answerEnding.reset();
    m_discardsBody = false;
    m_discardedBytes = 0;
    std::string().swap(m_bufferedBody);
    m_events = {};
    m_heldAnswer.set(0);
}

ExchangeHandlers RelayCall::exchangeHandlers(const ListedEndpoint &listed, const Sending &sending)
{
    ExchangeHandlers handlers;
    const auto self = shared_from_this();
    handlers.maySend = [self, sending] {
        return self->maySend(sending);
    };
    handlers.onSending = [self, sending] {
        self->recordSending(sending);
    };
    handlers.onHead = [self](const ResponseHead &head, const ResponseMetadata &facts) {
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
    handlers.afterRead = [&relay = m_relay] {
        relay.enforceHeldLimit();
    };
    const EndpointGroup group = groupOf(listed);
    handlers.mayConnectDirectly = [self, group] {
        return !isPartitioned(self->m_relay.state().reach, group);
    };
    handlers.lenders = [self, group] {
        return self->m_relay.lendersToAsk(group);
    };
    handlers.onBytes = [&bytes = m_relay.state().callerAdmission.bytes](std::size_t received, std::size_t written) {
        bytes.in += received;
        bytes.out += written;
    };
    handlers.onDirectConnection = [&monitor = m_relay.reachMonitor(), listed](DirectConnectionEvent event,
                                                                              TimePoint openedAt) {
        monitor.onConnectionEvent(listed, event, openedAt);
    };
    return handlers;
}

void RelayCall::onFailed(ExchangeFailure failure)
{
    if (nothingWasSent(failure)) {
        const EndpointState *endpoint = currentEndpoint();
        // A partition of this router says nothing about the endpoint.
        const bool partitioned = endpoint != nullptr && isPartitioned(m_relay.state().reach, groupOf(endpoint->listed))
            && !m_exchange->refusedElsewhere();
        endAttempt(failure == ExchangeFailure::EndpointLeft || partitioned ? AttemptFeedback::Neutral
                                                                           : AttemptFeedback::Unreachable);
        retryOrFail(std::string(exchangeFailureName(failure)), false);
        return;
    }
    if (m_answerHead) {
        recordAnswerEnding();
    }
    m_progress = Progress::Sent;
    ++m_possibleExecutions;
    m_mayHaveProducedOutput = true;
    if (failure == ExchangeFailure::Stalled) {
        m_relay.recordReaderCut(
            {HeldSide::Endpoint, ReaderCutCause::Stalled}, m_facts.attemptId, m_exchange->requestProgress());
    }
    endAttempt(failure == ExchangeFailure::Stalled ? AttemptFeedback::Slow : AttemptFeedback::Unreachable);
    const std::string cause(exchangeFailureName(failure));
    if (connectionWasLost(failure)) {
        retryAfterCrashCheck(cause);
    } else {
        retryOrFail(cause, true);
    }
}

void RelayCall::onDeadline()
{
    if (m_closed) {
        return;
    }
    if (m_attemptOpen) {
        abandonAttempt();
    }
    if (m_headForwarded) {
        abortAnswer("deadline");
    } else if (m_progress == Progress::Sent) {
        refuse(ErrorKind::AnswerLate, "the endpoint did not respond before the deadline", std::nullopt);
    } else {
        refuse(ErrorKind::Overloaded,
               "no endpoint accepted the request before the deadline",
               m_relay.options().defaultRetryAfter);
    }
}

// Stops the open attempt because its response is no longer wanted.
void RelayCall::abandonAttempt()
{
    m_progress = Progress::Sent;
    ++m_possibleExecutions;
    // An engine that had the stream in its queue may still report that it did not run it.
    const bool mayBeQueued = m_route->kind == GatewayRouteKind::Streaming && m_eventsForwarded == 0;
    if (m_hasReservation && !m_mayHaveProducedOutput && mayBeQueued) {
        m_withdrawing = true;
        m_exchange->withdraw(m_relay.options().withdrawalTimeout,
                             [self = shared_from_this()](WithdrawalOutcome outcome) {
                                 self->onWithdrawn(outcome);
                             });
    } else {
        m_mayHaveProducedOutput = true;
        m_exchange->cancel();
    }
    endAttempt(silenceVerdict());
}

void RelayCall::onWithdrawn(WithdrawalOutcome outcome)
{
    m_withdrawing = false;
    m_mayHaveProducedOutput = m_mayHaveProducedOutput || outcome != WithdrawalOutcome::NotRun;
    m_relay.log().write("withdrawn",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"outcome", withdrawalOutcomeName(outcome)},
                         {"since_sent_ms", toMilliseconds(Relay::now() - m_sentAt)}});
    if (m_closed) {
        settleTokens();
    }
}

// Health verdict on the endpoint of an abandoned attempt. An endpoint whose host has vanished never closes its
// connections, so the lack of data is the only sign of failure; later requests should not be sent there to time out
// too.
AttemptFeedback RelayCall::silenceVerdict() const
{
    const Duration silence = Relay::now() - std::max(m_sentAt, m_lastEventAt.value_or(m_sentAt));
    return silence >= m_relay.options().slowEndpointThreshold ? AttemptFeedback::Slow : AttemptFeedback::Neutral;
}

void RelayCall::onCallerDisconnected()
{
    if (m_closed) {
        return;
    }
    ++m_relay.counters().callerDisconnects;
    if (m_attemptOpen) {
        abandonAttempt();
    }
    m_relay.log().write("caller_left",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"after_ms", toMilliseconds(Relay::now() - m_arrived)},
                         {"may_have_run", m_possibleExecutions > 0},
                         {"events_passed", static_cast<std::int64_t>(m_eventsForwarded)}});
    close(CallEnd::CallerDisconnected);
}

void RelayCall::endAttempt(AttemptFeedback verdict)
{
    m_attemptOpen = false;
    m_exchange.reset();
    dropPrefill();
    if (EndpointState *endpoint = currentEndpoint()) {
        Godwit::endAttempt(*endpoint, verdict, m_relay.options().choice, Relay::now());
    }
    if (verdict == AttemptFeedback::Good) {
        recordServiceTime(m_relay.state().placeQueues[m_serviceName], Relay::now() - m_sentAt);
    }
    m_relay.onPlaceFreed();
}

// For an attempt that ended as Neutral because it could not be judged yet.
void RelayCall::recordLateFeedback(AttemptFeedback verdict)
{
    if (EndpointState *endpoint = currentEndpoint()) {
        recordFeedback(*endpoint, verdict, m_relay.options().choice, Relay::now());
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
                         {"may_remain", maxRemaining(m_relay.state().prepaid, m_customer)},
                         {"spendable_elsewhere", spendableElsewhere()},
                         {"sends", static_cast<std::int64_t>(m_sends)},
                         {"after_ms", toMilliseconds(Relay::now() - m_arrived)},
                         {"document", static_cast<std::int64_t>(m_table ? m_table->document.version : 0)},
                         {"platform_in_reach", m_relay.state().platformInReach},
                         {"may_have_run", m_possibleExecutions > 0}});
    auto *sink = m_sink;
    const std::string bytes = formatErrorResponse(error, m_facts.attemptId, sink->beginAnswer(ResponseFraming::Length));
    close(CallEnd::Refused);
    sink->send(bytes);
    sink->finish();
}

void RelayCall::abortAnswer(std::string_view cause)
{
    ++m_relay.counters().truncatedAnswers;
    m_relay.log().write("broken_off",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"cause", cause},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"events_passed", static_cast<std::int64_t>(m_eventsForwarded)},
                         {"after_ms", toMilliseconds(Relay::now() - m_arrived)}});
    auto *sink = m_sink;
    close(CallEnd::Truncated);
    sink->abort();
}

void RelayCall::close(CallEnd end)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_end = end;
    endTrial();
    endLivenessCheck();
    dropHedge(callEndName(end));
    m_deadlineTimer.cancel();
    m_budgetTimer.cancel();
    if (m_placeWaiter != 0) {
        m_relay.stopWaitingForPlace(m_serviceName, std::exchange(m_placeWaiter, 0));
    }
    if (m_waitingForTokens) {
        m_waitingForTokens = false;
        m_relay.stopWaiting(shared_from_this());
    }
    if (m_hasReservation && !m_withdrawing) {
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
    if (m_possibleExecutions > 0) {
        recordDuration(m_relay.state().requestDurations,
                       m_relay.options().requestDurations,
                       m_route->name,
                       record.total,
                       Relay::now());
    }
}

Duration RelayCall::timeLeft() const
{
    return std::max(Duration::zero(), m_deadline - Relay::now());
}

EndpointState *RelayCall::currentEndpoint()
{
    return findIncarnation(m_relay.state().endpoints, m_endpoint, m_endpointStart);
}

} // namespace Godwit
