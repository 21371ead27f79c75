// RelayCall: a second attempt beside a slow first one.

#include "godwit/relay/relay_call.h"

#include "godwit/base/milliseconds.h"

#include <utility>

namespace Godwit
{

// Prepares a hedge of the attempt that was just sent. Does nothing while hedging is off.
void RelayCall::armHedge(Tokens uncachedTokens)
{
    const HedgeOptions &options = m_relay.options().hedging;
    m_hedgeTimer.cancel();
    m_holdsHead = false;
    m_answerTimeKey.reset();
    if (options.ratio <= 0 || m_sends != 1 || !m_attemptOpen) {
        return;
    }
    m_hedgeBase = m_sentAt;
    m_answerTimeKey = HedgeKey{m_serviceName, octaveOf(uncachedTokens)};
    if (runsAtMostOnce() || m_route->maxEndpoints < 2) {
        return;
    }
    m_hedgeKey = *m_answerTimeKey;
    if (const auto delay = hedgeDelay(m_relay.state().hedges, options, m_hedgeKey, m_sentAt)) {
        // The head of a stream is held until its first event, since the hedge's head may be forwarded instead.
        m_holdsHead = true;
        waitForHedge(m_sentAt + *delay);
    }
}

void RelayCall::waitForHedge(TimePoint due)
{
    m_hedgeTimer.expires_at(due);
    m_hedgeTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->tryHedge();
        }
    });
}

HedgeFacts RelayCall::hedgeFacts(const ChoiceQuery &query)
{
    const HedgeOptions &options = m_relay.options().hedging;
    RelayState &state = m_relay.state();
    const TimePoint now = Relay::now();
    HedgeFacts facts;
    facts.repeatable = !runsAtMostOnce();
    facts.maxEndpoints = m_route->maxEndpoints;
    facts.earlierAttempts = m_possibleExecutions + m_sends - 1;
    facts.hedged = m_hedge != nullptr;
    facts.answerBegan = m_headForwarded || m_eventsForwarded > 0;
    facts.delay = hedgeDelay(state.hedges, options, m_hedgeKey, now);
    facts.sinceSent = now - m_hedgeBase;
    facts.suspect = admissionNow() != Admission::Unrestricted;
    facts.trialOpen = m_trial.has_value();
    facts.endsLate = endsLate();
    facts.shareUsed = isShareUsed(state.hedges, options, m_serviceName, now);
    facts.allowance = checkRetry(state.retryBudgets[m_serviceName],
                                 m_relay.options().retryRules,
                                 fractionOf(usableShares(state.limitShares, now, Relay::uptime())),
                                 now);
    facts.roomShort = isRoomShort(state.hedges, options, m_serviceName, now);
    facts.idleEndpointKnown = hasIdleEndpoint(state.endpoints, query, now);
    facts.nearTotalsEnd = m_hasReservation && isNearEnd(state.prepaid, m_customer);
    facts.tokensCovered = !m_hasReservation || canReserveAgain();
    return facts;
}

bool RelayCall::canReserveAgain() const
{
    const PrepaidShare &share = m_relay.state().prepaid;
    return !wouldUseSmallRequestReserve(share, m_customer, m_worstCase, Relay::now())
        && canReserve(share, m_customer, m_worstCase);
}

HedgeEndpointFacts RelayCall::hedgeEndpointFacts(const Choice &choice)
{
    RelayState &state = m_relay.state();
    const TimePoint now = Relay::now();
    HedgeEndpointFacts facts;
    facts.found = choice.endpoint != nullptr;
    if (!facts.found) {
        return facts;
    }
    const EndpointState &endpoint = *choice.endpoint;
    facts.cold = choice.cold || isCold(endpoint.cold, now);
    facts.suspect = endpoint.consecutiveFailures > 0 || state.trialEndpoints.count(endpoint.listed.id) > 0;
    facts.leaving = !acceptsNewRequests(endpoint);
    facts.inBackoff = endpoint.backoffUntil > now;
    if (m_service != nullptr && m_service->engine) {
        const PrefillSpeed &speed = state.endpoints.prefillSpeeds[m_serviceName];
        facts.expectedTime = queueDelay(endpoint.load, now) + prefillTime(endpoint.load, speed, choice.uncachedTokens);
    }
    const EndpointState *first = currentEndpoint();
    facts.remainingWait = first == nullptr ? timeLeft() : remainingWait(first->load, m_prefill, timeLeft(), now);
    return facts;
}

void RelayCall::tryHedge()
{
    if (m_closed || !m_attemptOpen || !m_holdsHead) {
        return;
    }
    RelayState &state = m_relay.state();
    const HedgeOptions &options = m_relay.options().hedging;
    const ChoiceQuery query = choiceQuery();
    const HedgeFacts facts = hedgeFacts(query);
    auto denial = denyHedge(facts, options);
    if (denial == HedgeDenial::NotDue) {
        // Answers have become slower since the timer was set.
        waitForHedge(m_hedgeBase + *facts.delay);
        return;
    }
    Choice choice;
    if (!denial) {
        choice = chooseEndpoint(state.endpoints, query, m_relay.options().choice, m_relay.random(), Relay::now());
        denial = denyHedgeEndpoint(hedgeEndpointFacts(choice));
    }
    if (!denial && m_hasReservation && !reserve(state.prepaid, m_customer, m_worstCase)) {
        denial = HedgeDenial::TokensShort;
    }
    if (denial) {
        recordHedgeOutcome(HedgeOutcome::Denied, hedgeDenialName(*denial), {});
        releaseHead();
        return;
    }
    takeRetry("hedge"); // Granted, as denyHedge() has found.
    recordHedge(state.hedges, options, m_serviceName, Relay::now());
    sendHedge(choice);
}

void RelayCall::sendHedge(const Choice &choice)
{
    EndpointState &endpoint = *choice.endpoint;
    const ListedEndpoint listed = endpoint.listed;
    const Sending sending{listed.id, listed.startedAt, Relay::now(), choice.cold, timeLeft()};
    m_retryGrantedAt = sending.chosenAt;
    m_triedEndpoints.push_back(listed.id);
    ++m_sends;
    ++m_relay.counters().attempts;
    ++m_relay.counters().retries;
    beginAttempt(endpoint);

    EndpointRun run{listed.id, listed.startedAt, sending.chosenAt, choice.cold, 0, nullptr, listed.version};
    if (m_service != nullptr && m_service->engine && m_facts.promptTokens > 0) {
        run.prefill = recordPrefillStart(endpoint, choice.uncachedTokens, run.sentAt);
    }
    const UsefulAnswerRules rules{m_route->kind == GatewayRouteKind::Streaming,
                                  m_relay.options().held.maxBufferedAnswerBytes};
    const auto self = shared_from_this();
    HedgeHandlers handlers;
    handlers.onUseful = [self] {
        self->continueWithHedge("answered_first");
    };
    handlers.onFailed = [self](const HedgeFailure &failure) {
        self->onHedgeFailed(failure);
    };
    m_hedge = std::make_shared<HedgedAttempt>(m_relay, run, rules, std::move(handlers));
    recordHedgeOutcome(HedgeOutcome::Sent, "slow_first", listed.id);
    m_hedge->start(exchangeHandlers(listed, sending),
                   listed.address,
                   formatRequestHead(m_head, forwardMetadata(sending), m_body.size()) + m_body,
                   m_facts.attemptId);
    m_relay.counters().connectionsOpened += m_hedge->run().exchange->connectionIsNew() ? 1 : 0;
}

EndpointRun RelayCall::currentRun() const
{
    return {m_endpoint, m_endpointStart, m_sentAt, m_coldChoice, m_prefill, m_exchange, m_endpointVersion};
}

// Makes the hedge the attempt of this request. The first attempt, if still open, is cancelled.
void RelayCall::continueWithHedge(std::string_view cause)
{
    const auto hedge = std::exchange(m_hedge, nullptr);
    if (hedge == nullptr || m_closed) {
        return;
    }
    m_hedgeTimer.cancel();
    recordHedgeOutcome(HedgeOutcome::Won, cause, hedge->run().endpoint);
    if (m_attemptOpen) {
        recordFirstAnswerTime();
        cancelLost(currentRun());
    } else if (m_hasReservation) {
        // As for a retry, the request keeps one reservation for its runs.
        settle(m_relay.state().prepaid, m_customer, m_worstCase, 0);
    }
    const EndpointRun &run = hedge->run();
    m_endpoint = run.endpoint;
    m_endpointStart = run.start;
    m_sentAt = run.sentAt;
    m_coldChoice = run.cold;
    m_prefill = run.prefill;
    m_exchange = run.exchange;
    m_endpointVersion = run.version;
    m_newConnection = run.exchange->connectionIsNew();
    m_attemptOpen = true;
    m_holdsHead = false;
    resetAnswer();
    hedge->passOn();
}

// The first attempt has answered, or the request has ended.
void RelayCall::dropHedge(std::string_view cause)
{
    m_hedgeTimer.cancel();
    if (const auto hedge = std::exchange(m_hedge, nullptr)) {
        recordHedgeOutcome(HedgeOutcome::Lost, cause, hedge->run().endpoint);
        cancelLost(hedge->run());
    }
}

// Cancels one of two open runs; it settles one of the two reservations, which are equal.
void RelayCall::cancelLost(const EndpointRun &run)
{
    if (!run.exchange->nothingSent()) {
        m_progress = Progress::Sent;
        ++m_possibleExecutions;
    }
    LostRun lost;
    lost.run = run;
    lost.attemptId = m_facts.attemptId;
    lost.customer = m_customer;
    lost.reserved = m_hasReservation ? m_worstCase : 0;
    lost.usage.promptTokens = m_facts.promptTokens;
    lost.usage.maxOutputTokens = m_facts.maxOutputTokens;
    lost.kind = m_route->kind;
    lost.end = m_closed ? m_end : CallEnd::Answered;
    if (m_closed) {
        m_promptCharged = std::make_shared<bool>(false);
        lost.promptCharged = m_promptCharged;
    }
    cancelLostRun(m_relay, std::move(lost));
}

// The first attempt goes on alone.
void RelayCall::onHedgeFailed(const HedgeFailure &failure)
{
    const auto hedge = std::exchange(m_hedge, nullptr);
    if (hedge == nullptr || m_closed) {
        return;
    }
    const EndpointRun &run = hedge->run();
    ++m_relay.counters().attemptsFailed[failure.cause];
    recordHedgeOutcome(HedgeOutcome::Lost, failure.cause, run.endpoint);
    if (failure.lackedRoom) {
        noteLackOfRoom(run.endpoint, failure.response);
    }
    if (failure.mayHaveRun) {
        m_progress = Progress::Sent;
        ++m_possibleExecutions;
        m_mayHaveProducedOutput = true;
    }
    endRun(m_relay, run, hedgeVerdict(run, failure));
    if (m_hasReservation) {
        settle(m_relay.state().prepaid, m_customer, m_worstCase, 0);
    }
    if (failure.connectionLost && m_relay.onInterrupted) {
        m_relay.onInterrupted(interruptedRequest(run, std::nullopt), [] {});
    }
    releaseHead();
}

// A partition of this router says nothing about the endpoint.
AttemptFeedback RelayCall::hedgeVerdict(const EndpointRun &run, const HedgeFailure &failure)
{
    RelayState &state = m_relay.state();
    const EndpointState *endpoint = findIncarnation(state.endpoints, run.endpoint, run.start);
    const bool partitioned = endpoint != nullptr && !failure.mayHaveRun
        && failure.feedback == AttemptFeedback::Unreachable && isPartitioned(state.reach, groupOf(endpoint->listed))
        && !run.exchange->refusedElsewhere();
    return partitioned ? AttemptFeedback::Neutral : failure.feedback;
}

// Forwards the head of a stream that was held for a hedge.
void RelayCall::releaseHead()
{
    m_holdsHead = false;
    if (m_attemptOpen && m_answerHead && m_forwardsEvents && !m_headForwarded) {
        forwardHead(ResponseFraming::Chunked);
    }
}

// Records how long the first attempt took, or has taken so far if the hedge answers first: without these, the learned
// times would lack the slow ones.
void RelayCall::recordFirstAnswerTime()
{
    if (const auto key = std::exchange(m_answerTimeKey, std::nullopt)) {
        const TimePoint now = Relay::now();
        recordAnswerTime(m_relay.state().hedges, m_relay.options().hedging, *key, now - m_hedgeBase, now);
    }
}

// An endpoint of the service has rejected the request for lack of room.
void RelayCall::noteLackOfRoom(const EndpointId &endpoint, const ResponseMetadata &response)
{
    const auto &endpoints = m_relay.state().endpoints.endpoints;
    const auto found = endpoints.find(endpoint);
    ++m_relay.counters().rejections[m_serviceName];
    m_relay.log().write(
        "endpoint_rejected",
        {{"id", std::string_view(m_facts.attemptId)},
         {"service", std::string_view(m_serviceName)},
         {"endpoint", std::string_view(endpoint.value)},
         {"in_flight", static_cast<std::int64_t>(found == endpoints.end() ? 0 : found->second.inFlight)},
         {"slots", static_cast<std::int64_t>(found == endpoints.end() ? 0 : found->second.listed.slots)},
         {"sends", static_cast<std::int64_t>(m_sends)},
         {"brittle", response.maxRejections.has_value()},
         {"max_rejections", static_cast<std::int64_t>(response.maxRejections.value_or(0))}});
    EndpointTable &table = m_relay.state().endpoints;
    const TimePoint now = Relay::now();
    if (isBrittle(table, m_serviceName, now)) {
        recordRejection(table.brittle, table.brittleOptions, endpoint, now);
        if (m_relay.onEndpointRejected) {
            const int maxRejections = table.brittle.services.at(m_serviceName).maxRejections;
            m_relay.onEndpointRejected({m_serviceName, endpoint, maxRejections});
        }
    }
    if (m_relay.options().hedging.ratio > 0) {
        m_relay.state().hedges.roomShortAt[m_serviceName] = Relay::now();
    }
}

void RelayCall::recordHedgeOutcome(HedgeOutcome outcome, std::string_view cause, const EndpointId &endpoint)
{
    ++m_relay.counters().hedges[{m_serviceName, outcome}];
    m_relay.log().write("hedge",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"outcome", hedgeOutcomeName(outcome)},
                         {"cause", cause},
                         {"service", std::string_view(m_serviceName)},
                         {"first", std::string_view(m_endpoint.value)},
                         {"endpoint", std::string_view(endpoint.value)},
                         {"after_ms", toMilliseconds(Relay::now() - m_hedgeBase)}});
}

} // namespace Godwit
