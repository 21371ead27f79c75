// A call: whether another endpoint gets it, within the bounds of its route and of the fleet.

#include "godwit/relay/relay_call.h"

#include "godwit/base/milliseconds.h"

namespace Godwit
{

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
    const double part = fractionOf(usableShares(state.limitShares, now, Relay::uptime()));
    const RetryDecision draw = tryTakeRetry(state.repeats[m_serviceName], options.repeats, part, now);
    recordRepeat(cause, draw.granted ? RepeatOutcome::Taken : RepeatOutcome::Denied, draw);
    return draw.granted;
}

void RelayCall::recordRepeat(std::string_view cause, RepeatOutcome outcome, const RetryDecision &draw)
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
                         {"repeats", draw.retries},
                         {"allowed_by_requests", draw.allowedByRequests},
                         {"allowed_fixed", draw.allowedBySlack},
                         {"shares", static_cast<std::int64_t>(m_relay.state().limitShares.held.size())}});
}

void RelayCall::tryAgain(const std::string &cause, bool reachedEndpoint)
{
    ++m_relay.counters().attemptsFailed[cause];
    const std::string request = formatFingerprint(m_fingerprint.value_or(0));
    m_relay.log().write("attempt_failed",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"cause", std::string_view(cause)},
                         {"new_connection", m_newConnection},
                         {"attempt_ms", toMilliseconds(Relay::now() - m_sentAt)},
                         {"status", static_cast<std::int64_t>(m_answerHead ? m_answer.status : 0)},
                         {"framing", m_ending ? responseFramingName(m_ending->framing) : "none"},
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

} // namespace Godwit
