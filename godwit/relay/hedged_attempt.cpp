#include "godwit/relay/hedged_attempt.h"

#include "godwit/base/milliseconds.h"
#include "godwit/relay/relay.h"

#include <utility>

namespace Godwit
{
namespace
{

void settleLostRun(Relay &relay, const LostRun &lost)
{
    if (lost.reserved == 0) {
        return;
    }
    const Tokens charge = lost.promptCharged && !*lost.promptCharged ? chargeOf(lost.usage) : 0;
    if (charge > 0) {
        *lost.promptCharged = true;
    }
    settle(relay.state().prepaid, lost.customer, lost.reserved, charge);
    recordCharge(relay.counters().calls, {lost.customer, lost.kind, lost.end, false, charge});
    if (charge == 0) {
        return;
    }
    relay.log().write("charged",
                      {{"id", std::string_view(lost.attemptId)},
                       {"customer", std::string_view(lost.customer.value)},
                       {"end", "hedge_loser"},
                       {"tokens", charge},
                       {"reserved", lost.reserved},
                       {"events_passed", std::int64_t(0)},
                       {"since_sent_ms", toMilliseconds(Relay::now() - lost.run.sentAt)}});
}

void onLostRunWithdrawn(Relay &relay, LostRun &lost, WithdrawalOutcome outcome)
{
    lost.usage.mayHaveBegun = outcome != WithdrawalOutcome::NotRun;
    relay.log().write("withdrawn",
                      {{"id", std::string_view(lost.attemptId)},
                       {"endpoint", std::string_view(lost.run.endpoint.value)},
                       {"outcome", withdrawalOutcomeName(outcome)},
                       {"since_sent_ms", toMilliseconds(Relay::now() - lost.run.sentAt)}});
    settleLostRun(relay, lost);
}

} // namespace

HedgedAttempt::HedgedAttempt(Relay &relay, EndpointRun run, UsefulAnswerRules rules, HedgeHandlers handlers)
    : m_relay(relay)
    , m_run(std::move(run))
    , m_rules(rules)
    , m_handlers(std::move(handlers))
    , m_held(relay.state().held, HeldSide::Answer)
{
}

void HedgedAttempt::start(ExchangeHandlers handlers,
                          const std::string &address,
                          std::string bytes,
                          std::string attemptId)
{
    m_attempt = std::move(handlers);
    ExchangeHandlers own = m_attempt;
    const auto self = shared_from_this();
    own.onHead = [self](const ResponseHead &head, const ResponseMetadata &facts) {
        self->onHead(head, facts);
    };
    own.onBody = [self](std::string_view body) {
        self->onBody(body);
    };
    own.onEnd = [self] {
        self->onEnd();
    };
    own.onFailed = [self](ExchangeFailure failure) {
        self->onFailed(failure);
    };
    m_run.exchange = std::make_shared<EndpointExchange>(
        m_relay.io(), m_relay.pool(), m_relay.options().exchange, std::move(own), m_relay.state().held);
    m_run.exchange->start(m_run.endpoint, address, std::move(bytes), std::move(attemptId));
}

void HedgedAttempt::passOn()
{
    m_passesOn = true;
    m_handlers = {};
    m_events = {};
    m_held.set(0);
    if (m_head) {
        m_attempt.onHead(*m_head, m_facts);
    }
    if (!m_body.empty()) {
        m_attempt.onBody(std::exchange(m_body, {}));
    }
    if (m_ended) {
        m_attempt.onEnd();
    }
}

void HedgedAttempt::onHead(const ResponseHead &head, const ResponseMetadata &facts)
{
    if (m_passesOn) {
        m_attempt.onHead(head, facts);
        return;
    }
    m_head = head;
    m_facts = facts;
    m_isEventStream = m_rules.streams && isSuccess() && facts.isEventStream;
}

void HedgedAttempt::onBody(std::string_view bytes)
{
    if (m_passesOn) {
        m_attempt.onBody(bytes);
        return;
    }
    m_body.append(bytes);
    if (m_isEventStream) {
        appendBytes(m_events, bytes);
    }
    const bool hasEvent = m_isEventStream && takeEvent(m_events).has_value();
    m_held.set(m_body.size() + m_events.buffer.size());
    const bool tooLong = m_body.size() > m_rules.maxBufferedBytes;
    if (hasEvent || (isSuccess() && !m_isEventStream && tooLong)) {
        becomeUseful();
    } else if (tooLong) {
        m_run.exchange->rejectAnswer();
    }
}

void HedgedAttempt::onEnd()
{
    if (m_passesOn) {
        m_attempt.onEnd();
        return;
    }
    if (isSuccess() && isCompleteAnswer()) {
        m_ended = true;
        becomeUseful();
        return;
    }
    constexpr unsigned firstFailureStatus = 500;
    HedgeFailure failure;
    failure.mayHaveRun = !m_facts.notExecuted;
    if (m_facts.notExecuted) {
        failure.cause = m_facts.wrongEndpoint ? "address_reused" : "shed";
        failure.feedback = AttemptFeedback::Shed;
        failure.lackedRoom = !m_facts.wrongEndpoint;
        failure.response = m_facts;
    } else if (isSuccess()) {
        failure.cause = "ended_inside_stream";
        failure.feedback = AttemptFeedback::Unreachable;
        failure.connectionLost = m_run.exchange->connectionEnd() != ConnectionEnd::Open;
    } else if (m_facts.status / 100 == 2) {
        failure.cause = "unsealed_answer";
        failure.feedback = AttemptFeedback::Failed;
    } else {
        failure.cause = "failed_answer";
        failure.feedback = m_facts.status >= firstFailureStatus ? AttemptFeedback::Failed : AttemptFeedback::Good;
    }
    fail(failure);
}

void HedgedAttempt::onFailed(ExchangeFailure failure)
{
    if (m_passesOn) {
        m_attempt.onFailed(failure);
        return;
    }
    HedgeFailure report;
    report.cause = exchangeFailureName(failure);
    report.mayHaveRun = !nothingWasSent(failure);
    const bool stalled = failure == ExchangeFailure::Stalled;
    report.connectionLost = connectionWasLost(failure);
    report.feedback = stalled                      ? AttemptFeedback::Slow
        : failure == ExchangeFailure::EndpointLeft ? AttemptFeedback::Neutral
                                                   : AttemptFeedback::Unreachable;
    fail(report);
}

bool HedgedAttempt::isSuccess() const
{
    return m_head && m_facts.status / 100 == 2 && m_facts.sealed && !m_facts.notExecuted;
}

bool HedgedAttempt::isCompleteAnswer() const
{
    ResponseEnding ending;
    ending.framing = m_facts.framing;
    ending.connection = m_run.exchange->connectionEnd();
    if (m_isEventStream) {
        ending.position = positionIn(m_events);
    }
    return completenessOf(ending) != ResponseCompleteness::Truncated;
}

void HedgedAttempt::becomeUseful()
{
    const HedgeHandlers handlers = m_handlers;
    handlers.onUseful();
}

void HedgedAttempt::fail(const HedgeFailure &failure)
{
    const HedgeHandlers handlers = std::exchange(m_handlers, {});
    m_attempt = {};
    handlers.onFailed(failure);
}

void endRun(Relay &relay, const EndpointRun &run, AttemptFeedback feedback)
{
    EndpointTable &table = relay.state().endpoints;
    EndpointState *endpoint = findIncarnation(table, run.endpoint, run.start);
    if (endpoint == nullptr) {
        return;
    }
    if (run.prefill != 0) {
        cancelPrefill(endpoint->load, table.prefillSpeeds[endpoint->listed.service], run.prefill, Relay::now());
    }
    endAttempt(*endpoint, feedback, relay.options().choice, Relay::now());
}

void cancelLostRun(Relay &relay, LostRun lost)
{
    const bool silent = Relay::now() - lost.run.sentAt >= relay.options().slowEndpointThreshold;
    endRun(relay, lost.run, silent ? AttemptFeedback::Slow : AttemptFeedback::Neutral);
    const auto exchange = lost.run.exchange;
    lost.run.exchange.reset();
    if (lost.reserved > 0 && lost.kind == GatewayRouteKind::Streaming) {
        exchange->withdraw(relay.options().withdrawalTimeout,
                           [&relay, lost = std::move(lost)](WithdrawalOutcome outcome) mutable {
                               onLostRunWithdrawn(relay, lost, outcome);
                           });
        return;
    }
    lost.usage.mayHaveBegun = !exchange->nothingSent();
    exchange->cancel();
    settleLostRun(relay, lost);
}

} // namespace Godwit
