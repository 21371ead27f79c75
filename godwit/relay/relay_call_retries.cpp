// RelayCall: retries at other endpoints, within the limits of the route and the fleet-wide retry allowance.

#include "godwit/relay/relay_call.h"

#include "godwit/base/milliseconds.h"

namespace Godwit
{
namespace
{

// The shared parts of the prompt, for the log.
std::string sharedPartNames(const RequestMetadata &facts)
{
    constexpr std::size_t maxParts = 8;
    std::string names;
    for (std::size_t i = 0; i + 1 < facts.promptSegments.size() && i < maxParts; ++i) {
        names.append(names.empty() ? "" : " ").append(facts.promptSegments[i].id);
    }
    return names;
}

} // namespace

void RelayCall::recordSending(const Sending &sending)
{
    const TimePoint now = Relay::now();
    const bool isHedge = m_hedge && m_hedge->run().endpoint == sending.endpoint;
    const auto &exchange = isHedge ? m_hedge->run().exchange : m_exchange;
    m_relay.counters().borrowedConnections += exchange && exchange->isBorrowed() ? 1 : 0;
    const auto &deathCount = m_relay.state().suspects.deathCount;
    SendRecord record;
    record.attempt = m_facts.attemptId;
    record.service = m_serviceName;
    record.endpoint = sending.endpoint.value;
    record.sends = m_sends;
    record.possibleExecutions = m_possibleExecutions + (m_hedge ? 1 : 0); // The other run is open.
    record.maxEndpoints = m_route->maxEndpoints;
    if (m_retryGrantedAt && (isHedge || !m_hedge)) {
        record.sinceRetryGranted = now - *m_retryGrantedAt;
    }
    record.timeLeft = sending.timeLeft;
    record.timeLeftAge = now - sending.chosenAt;
    record.sinceArrival = now - m_arrived;
    if (!deathCount.empty()) {
        for (const std::uint64_t fingerprint : suspectKeys()) {
            const auto found = deathCount.find(fingerprint);
            const auto deaths = found == deathCount.end() ? 0 : static_cast<std::size_t>(found->second);
            if (deaths > record.deaths) {
                record.fingerprint = fingerprint;
                record.deaths = deaths;
            }
        }
    }
    record.trial = m_trial.has_value();
    recordSend(m_relay, record);
}

bool RelayCall::runsAtMostOnce() const
{
    return m_route->kind == GatewayRouteKind::NonIdempotent
        || (m_route->kind == GatewayRouteKind::Streaming && !m_route->resumable);
}

// Whether the route, the deadline and the end of this process permit another attempt.
bool RelayCall::mayRetry() const
{
    if (m_possibleExecutions > 0 && (runsAtMostOnce() || m_possibleExecutions >= m_route->maxEndpoints)) {
        return false;
    }
    return timeLeft() > Duration::zero() && !endsLate();
}

bool RelayCall::takeRetry(std::string_view cause)
{
    const RelayOptions &options = m_relay.options();
    RelayState &state = m_relay.state();
    const TimePoint now = Relay::now();
    const double part = fractionOf(usableShares(state.limitShares, now, Relay::uptime()));
    const RetryDecision draw = tryTakeRetry(state.retryBudgets[m_serviceName], options.retryRules, part, now);
    recordRetry(cause, draw.granted ? RetryOutcome::Taken : RetryOutcome::Denied, draw);
    return draw.granted;
}

void RelayCall::recordRetry(std::string_view cause, RetryOutcome outcome, const RetryDecision &draw)
{
    ++m_relay.counters().retryDecisions[{m_serviceName, std::string(cause), outcome}];
    m_relay.log().write("repeat",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"outcome", retryOutcomeName(outcome)},
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

void RelayCall::retryOrFail(const std::string &cause, bool reachedEndpoint)
{
    ++m_relay.counters().attemptsFailed[cause];
    const std::string parts = sharedPartNames(m_facts);
    const std::string request = m_suspectKeys.empty() ? std::string() : formatFingerprint(fingerprint());
    m_relay.log().write("attempt_failed",
                        {{"id", std::string_view(m_facts.attemptId)},
                         {"endpoint", std::string_view(m_endpoint.value)},
                         {"cause", std::string_view(cause)},
                         {"new_connection", m_newConnection},
                         {"attempt_ms", toMilliseconds(Relay::now() - m_sentAt)},
                         {"status", static_cast<std::int64_t>(m_answerHead ? m_answer.status : 0)},
                         {"framing", m_answerEnding ? responseFramingName(m_answerEnding->framing) : "none"},
                         {"connection", m_answerEnding ? connectionEndName(m_answerEnding->connection) : "none"},
                         {"position", m_answerEnding ? positionName(*m_answerEnding) : "none"},
                         {"events_passed", static_cast<std::int64_t>(m_eventsForwarded)},
                         {"may_have_run", m_possibleExecutions > 0},
                         {"prompt_parts", std::string_view(parts)},
                         {"request", std::string_view(request)}});
    m_answerTimeKey.reset();
    if (m_hedge) {
        continueWithHedge("first_failed");
        return;
    }
    // A stream can only be resumed after an event that has an id.
    const bool resumable = m_eventsForwarded == 0 || m_lastEvent > 0;
    const bool canResume = resumable && (!m_headForwarded || m_forwardsEvents || m_eventsForwarded > 0);
    // An attempt that reached no endpoint added no load, so its retry is not counted against the allowance.
    if (canResume && mayRetry() && (!reachedEndpoint || takeRetry(cause))) {
        m_retryGrantedAt = Relay::now();
        m_relay.counters().retries += reachedEndpoint ? 1 : 0;
        m_relay.counters().resumedStreams += m_eventsForwarded > 0 ? 1 : 0;
        if (!reachedEndpoint) {
            recordRetry(cause, RetryOutcome::Free, {});
        }
        attempt();
        return;
    }
    if (m_headForwarded) {
        abortAnswer(cause);
        return;
    }
    if (m_possibleExecutions > 0) {
        refuse(ErrorKind::EndpointFailed, "the endpoint's response was lost; the request may have run", std::nullopt);
        return;
    }
    if (endsLate()) {
        refuseEndingLate();
        return;
    }
    refuse(ErrorKind::Overloaded,
           "none of the endpoints that were tried accepted the request",
           m_answer.retryAfter.value_or(m_relay.options().defaultRetryAfter));
}

} // namespace Godwit
