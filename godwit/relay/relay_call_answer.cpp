// RelayCall: receiving the endpoint's response and forwarding it to the caller.

#include "godwit/relay/relay_call.h"

#include "godwit/base/milliseconds.h"

#include <array>
#include <charconv>
#include <utility>

namespace Godwit
{
namespace
{

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

} // namespace

void RelayCall::onHead(const ResponseHead &head, const ResponseMetadata &facts)
{
    m_answerHead = head;
    m_answer = facts;
    if (!facts.wrongEndpoint) {
        m_relay.recordResponse(m_serviceName, facts);
    }
    const bool success = facts.status / 100 == 2;
    const bool streams = m_route->kind == GatewayRouteKind::Streaming;
    m_forwardsEvents = success && facts.sealed && facts.isEventStream && streams;
    const bool cannotContinue = m_headForwarded && streams && !m_forwardsEvents;
    m_discardsBody = facts.notExecuted || (success && !facts.sealed) || cannotContinue;
    if (facts.framing == ResponseFraming::Connection && !m_discardsBody) {
        beginLivenessCheck();
    }
    if (m_forwardsEvents && !m_headForwarded && !m_holdsHead) {
        forwardHead(ResponseFraming::Chunked);
    }
}

void RelayCall::forwardHead(ResponseFraming framing, std::string_view body)
{
    dropHedge("first_answered");
    m_headForwarded = true;
    m_forwardedFraming = framingToForward(m_answer.framing, framing);
    m_relay.counters().answersWithoutDeclaredEnd += m_forwardedFraming == ResponseFraming::Connection ? 1 : 0;
    const bool closes = m_sink->beginAnswer(m_forwardedFraming);
    m_sink->send(formatResponseHead(*m_answerHead, m_forwardedFraming, body.size(), closes).append(body));
}

void RelayCall::forwardPiece(std::string_view bytes)
{
    m_sink->send(m_forwardedFraming == ResponseFraming::Chunked ? chunk(bytes) : std::string(bytes));
}

void RelayCall::onBody(std::string_view bytes)
{
    if (m_forwardsEvents) {
        forwardEvents(bytes);
        return;
    }
    const HeldBytes &held = *m_relay.state().held;
    const HeldBytesOptions &options = m_relay.options().held;
    if (m_discardsBody) {
        m_discardedBytes += bytes.size();
        if (m_discardedBytes > options.maxBufferedAnswerBytes) {
            m_exchange->rejectAnswer();
        }
        return;
    }
    m_bufferedBody.append(bytes);
    m_heldAnswer.set(m_bufferedBody.size());
    if (m_headForwarded || m_bufferedBody.size() > answerBufferLimit(held, options)) {
        if (m_hedge && m_answer.status >= 500) {
            m_exchange->rejectAnswer();
            return;
        }
        // Too long to buffer: forward it as it arrives, chunked so that a truncation is detectable.
        if (!m_headForwarded) {
            forwardHead(ResponseFraming::Chunked);
        }
        forwardPiece(std::exchange(m_bufferedBody, {}));
        m_heldAnswer.set(0);
    }
    pauseIfQueueIsLong();
}

// Backpressure: a slow caller slows down its endpoint instead of filling this router's memory.
void RelayCall::pauseIfQueueIsLong()
{
    if (m_exchange && shouldPauseReading(*m_relay.state().held, m_relay.options().held, m_sink->queuedBytes())) {
        m_exchange->pause();
    }
}

void RelayCall::forwardEvents(std::string_view bytes)
{
    appendBytes(m_events, bytes);
    std::string whole;
    const bool isFirst = m_eventsForwarded == 0;
    while (auto event = takeEvent(m_events)) {
        m_lastEvent = parseEventId(*event).value_or(m_lastEvent);
        ++m_eventsForwarded;
        whole += *event;
    }
    m_heldAnswer.set(pendingBytes(m_events));
    if (!whole.empty()) {
        forwardWholeEvents(whole, isFirst);
    }
    if (pendingBytes(m_events) > openEventLimit(*m_relay.state().held, m_relay.options().held)) {
        m_exchange->rejectAnswer();
    }
}

void RelayCall::forwardWholeEvents(std::string_view events, bool isFirst)
{
    if (isFirst) {
        recordStreamBegan();
    }
    onFirstEvent();
    m_lastEventAt = Relay::now();
    noteFirstAnswer();
    if (!m_headForwarded) {
        forwardHead(ResponseFraming::Chunked);
    }
    forwardPiece(events);
    pauseIfQueueIsLong();
}

// The first event, or the whole of another response, has arrived.
void RelayCall::noteFirstAnswer()
{
    m_firstAnswerAt = m_firstAnswerAt.value_or(Relay::now());
    if (m_answer.status / 100 == 2) {
        recordFirstAnswerTime();
    }
}

void RelayCall::sinkDrained()
{
    if (m_exchange) {
        m_exchange->resume();
    }
}

// Records how a response ended. Called only for attempts whose response has started.
void RelayCall::recordAnswerEnding()
{
    ResponseEnding ending;
    ending.framing = m_answer.framing;
    ending.connection = m_exchange->connectionEnd();
    if (m_forwardsEvents) {
        ending.position = positionIn(m_events);
    }
    m_answerEnding = ending;
    m_answerEndedAt = m_exchange->endedAt();
    ++m_relay.counters().answersEnded[ending];
}

// Logs a response whose end the endpoint did not declare, or that ended inside an event.
void RelayCall::logUndeclaredEnd() const
{
    const auto position = m_answerEnding->position.value_or(StreamPosition::AtEdge);
    const bool insideEvent = position == StreamPosition::InsideNumber || position == StreamPosition::InsideEvent;
    if (m_answerEnding->framing != ResponseFraming::Connection && !insideEvent) {
        return;
    }
    m_relay.log().write("answer_ended",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"status", static_cast<std::int64_t>(m_answer.status)},
                         {"framing", responseFramingName(m_answerEnding->framing)},
                         {"connection", connectionEndName(m_answerEnding->connection)},
                         {"position", positionName(*m_answerEnding)},
                         {"extent", responseCompletenessName(completenessOf(*m_answerEnding))},
                         {"borrowed", m_exchange->isBorrowed()},
                         {"request_written", m_exchange->requestIsWritten()},
                         {"was_reset", m_exchange->connectionWasReset()},
                         {"pending_bytes", static_cast<std::int64_t>(pendingBytes(m_events))},
                         {"events_passed", static_cast<std::int64_t>(m_eventsForwarded)},
                         {"attempt_ms", toMilliseconds(Relay::now() - m_sentAt)},
                         {"time_left_ms", toMilliseconds(m_deadline - Relay::now())}});
}

void RelayCall::onEnd()
{
    recordAnswerEnding();
    logUndeclaredEnd();
    const bool success = m_answer.status / 100 == 2;
    if (m_answer.notExecuted) {
        // Applies to resume attempts as well: a rejection does not affect the part that was already forwarded.
        endAttempt(AttemptFeedback::Shed);
        if (!m_answer.wrongEndpoint) {
            noteLackOfRoom(m_endpoint, m_answer);
        }
        retryOrFail(m_answer.wrongEndpoint ? "address_reused" : "shed", true);
        return;
    }
    m_progress = Progress::Sent;
    ++m_possibleExecutions;
    m_mayHaveProducedOutput = true;
    if (success && !m_answer.sealed) {
        endAttempt(AttemptFeedback::Failed);
        retryOrFail("unsealed_answer", true);
        return;
    }
    if (m_discardsBody) {
        // A stream whose head was forwarded, possibly without any event yet, got an error response to a later attempt.
        // Forwarding its body would end the stream as if it were complete.
        endAttempt(AttemptFeedback::Failed);
        retryOrFail("resume_failed", true);
        return;
    }
    const ResponseCompleteness extent = completenessOf(*m_answerEnding);
    if (extent == ResponseCompleteness::Truncated) {
        endAttempt(AttemptFeedback::Unreachable);
        if (m_answerEnding->connection == ConnectionEnd::Open) {
            retryOrFail("ended_inside_stream", true);
        } else {
            retryAfterCrashCheck("ended_inside_stream");
        }
        return;
    }
    const bool failed = m_answer.status >= 500;
    const bool isConfirmed = failed || extent == ResponseCompleteness::Declared;
    const auto exchange = m_exchange;
    endAttempt(failed ? AttemptFeedback::Failed : isConfirmed ? AttemptFeedback::Good : AttemptFeedback::Neutral);
    if (m_headForwarded && !mayEndAsComplete(m_forwardedFraming, extent)) {
        retryOrFail("end_not_declared", true);
        return;
    }
    if (failed && m_hedge) {
        retryOrFail("failed_answer", true);
        return;
    }
    if (failed && mayRetry() && !m_headForwarded && takeRetry("failed_answer")) {
        ++m_relay.counters().retries;
        m_retryGrantedAt = Relay::now();
        attempt();
        return;
    }
    if (extent == ResponseCompleteness::Inferred) {
        confirmEnd(exchange);
        return;
    }
    forwardRest();
}

// The second connection is obtained at once if the response's own lasts: for a stream, or until a request is written.
void RelayCall::beginLivenessCheck()
{
    endLivenessCheck();
    const EndpointState *endpoint = currentEndpoint();
    if (endpoint == nullptr) {
        return;
    }
    const LivenessPath path = m_exchange->isBorrowed() ? LivenessPath::OtherRouters : LivenessPath::Direct;
    m_livenessCheck = std::make_shared<LivenessCheck>(m_relay, endpoint->listed, path);
    if (m_forwardsEvents || !m_exchange->requestIsWritten()) {
        m_livenessCheck->prepare();
    }
}

void RelayCall::endLivenessCheck()
{
    if (const auto check = std::exchange(m_livenessCheck, nullptr)) {
        check->cancel();
    }
}

// The connection of an endpoint whose process ends is closed in order as well, so the response counts as complete only
// if the endpoint has outlived it. So is that of an endpoint whose time is up, which may be a millisecond before this
// router's: a response that is still being checked at the deadline is truncated. An endpoint that closes its connection
// without having read the request may close it in order first and reset it then.
void RelayCall::confirmEnd(const std::shared_ptr<EndpointExchange> &ended)
{
    dropHedge("first_answered");
    if (!m_livenessCheck) {
        onEndChecked({}, ended->requestWasTaken());
        return;
    }
    m_livenessCheck->conclude(m_answerEndedAt, [self = shared_from_this(), ended](const LivenessReport &report) {
        self->onEndChecked(report, ended->requestWasTaken());
    });
}

void RelayCall::onEndChecked(const LivenessReport &report, bool requestTaken)
{
    ++m_relay.counters().livenessChecks[{report.liveness, report.evidence}];
    m_relay.log().write("endpoint_checked",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"liveness", endpointLivenessName(report.liveness)},
                         {"evidence", livenessEvidenceName(report.evidence)},
                         {"request_taken", requestTaken},
                         {"since_sent_ms", toMilliseconds(Relay::now() - m_sentAt)}});
    switch (report.liveness) {
    case EndpointLiveness::Alive:
        if (!requestTaken) {
            recordLateFeedback(AttemptFeedback::Unreachable);
            retryOrFail("request_not_taken", true);
            return;
        }
        if (m_answer.status < 500) {
            recordLateFeedback(AttemptFeedback::Good);
        }
        forwardRest();
        return;
    case EndpointLiveness::Dead:
        recordLateFeedback(AttemptFeedback::Unreachable);
        retryAfterCrashCheck("endpoint_ended");
        return;
    case EndpointLiveness::Unknown:
        retryOrFail("end_not_confirmed", true);
        return;
    }
}

// Forwards what is left of a complete response.
void RelayCall::forwardRest()
{
    if (m_forwardsEvents && !m_headForwarded) {
        forwardHead(ResponseFraming::Chunked);
    }
    if (!m_headForwarded) {
        noteFirstAnswer();
        forwardHead(ResponseFraming::Length, m_bufferedBody);
    } else if (const std::string rest = m_forwardsEvents ? takePending(m_events) : m_bufferedBody; !rest.empty()) {
        forwardPiece(rest);
    }
    complete();
}

void RelayCall::complete()
{
    ++m_relay.counters().answered;
    reportCompleteAnswer();
    auto *sink = m_sink;
    if (m_forwardedFraming == ResponseFraming::Chunked) {
        sink->send("0\r\n\r\n");
    }
    close(CallEnd::Answered);
    sink->finish();
}

} // namespace Godwit
