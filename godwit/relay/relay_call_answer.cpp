// A call: its answer, as the endpoint gives it and as it is passed on.

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

void RelayCall::onHead(const ResponseHead &head, const AnswerFacts &facts)
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
    m_sink->send(formatResponseHead(*m_answerHead, m_passedFraming, body.size(), closes).append(body));
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
        m_lastEvent = parseEventId(*event).value_or(m_lastEvent);
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
                         {"attempt_ms", toMilliseconds(Relay::now() - m_sentAt)}});
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

} // namespace Godwit
