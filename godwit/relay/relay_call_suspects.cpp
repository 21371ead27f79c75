// RelayCall: requests suspected of crashing endpoints, and whether they may still be sent.

#include "godwit/relay/relay_call.h"

#include "godwit/gateway/request_identity.h"

#include <utility>

namespace Godwit
{

// The connection of the latest attempt has ended, possibly because the endpoint crashed. The retry decision waits until
// that is known, since a request suspected of crashing endpoints must not be retried freely.
void RelayCall::retryAfterCrashCheck(const std::string &cause)
{
    if (!m_relay.onInterrupted) {
        retryOrFail(cause, true);
        return;
    }
    InterruptedRequest cut{m_endpoint, m_endpointStart, {fingerprint(), m_sentAt, Relay::now()}, label()};
    cut.run.trial = std::exchange(m_trial, false);
    m_relay.onInterrupted(cut, [self = shared_from_this(), cause] {
        if (!self->m_closed) {
            self->retryOrFail(cause, true);
        }
    });
}

// A complete response shows that the endpoint survived the request.
void RelayCall::reportCompleteAnswer()
{
    constexpr unsigned firstFailureStatus = 500;
    RelayState &state = m_relay.state();
    if (!m_answerEnding || m_answer.status >= firstFailureStatus || !m_relay.onCompleteAnswer) {
        return;
    }
    const bool declared = completenessOf(*m_answerEnding) == ResponseCompleteness::Declared;
    if (declared) {
        recordAnswer(state.recentAnswers, fingerprint(), Relay::now());
    }
    if (state.suspects.deathCount.empty() && state.crashDetector.interruptions.empty()) {
        return;
    }
    if (declared) {
        m_trial = false;
        m_relay.onCompleteAnswer(fingerprint());
    } else {
        m_relay.onAnswerWithoutDeclaredEnd(fingerprint(), m_endpoint);
    }
}

Admission RelayCall::admissionNow()
{
    const SuspectTracker &tracker = m_relay.state().suspects;
    if (tracker.deathCount.empty() && tracker.refusedUntil.empty()) {
        return Admission::Unrestricted;
    }
    return admissionFor(tracker, fingerprint(), Relay::now());
}

void RelayCall::refuseSuspect()
{
    if (m_headForwarded) {
        abortAnswer("suspect_request");
    } else if (m_progress == Progress::Sent) {
        refuse(ErrorKind::EndpointFailed, "endpoints crashed each time that they ran this request", std::nullopt);
    } else {
        refuse(ErrorKind::SuspectRequest,
               "endpoints crashed each time that they ran this request",
               remainingRefusal(m_relay.state().suspects, fingerprint(), Relay::now()));
    }
}

bool RelayCall::canAffordTrial()
{
    const RelayState &state = m_relay.state();
    const auto listed = state.endpoints.byService.find(m_serviceName);
    return listed == state.endpoints.byService.end()
        || hasSpareEndpointForTrial(
               state.suspects, fingerprint(), listed->second, m_relay.options().trialWaitLimit, Relay::now());
}

// The request may only be run as a trial, and no trial is possible now.
void RelayCall::refuseSuspectForNow()
{
    if (m_headForwarded) {
        abortAnswer("suspect_waits");
    } else if (m_progress == Progress::Sent) {
        refuse(ErrorKind::EndpointFailed, "endpoints crashed while running this request", std::nullopt);
    } else {
        refuse(ErrorKind::Overloaded,
               "endpoints crashed while running this request; it can only be run in isolation",
               randomizedRetryAfter());
    }
}

void RelayCall::requestTrial(const Choice &choice)
{
    const EndpointId endpoint = choice.endpoint->listed.id;
    const EndpointIncarnation start = choice.endpoint->listed.startedAt;
    const auto onDecision = [self = shared_from_this(), requestedChoice = choice, endpoint, start](bool granted) {
        Choice chosen = requestedChoice;
        chosen.endpoint = findIncarnation(self->m_relay.state().endpoints, endpoint, start);
        const bool gone = chosen.endpoint == nullptr || !acceptsNewRequests(*chosen.endpoint);
        if (granted && (gone || self->m_closed)) {
            self->m_relay.onTrialEnded(self->fingerprint());
        }
        if (self->m_closed) {
            return;
        }
        if (!granted || gone) {
            self->refuseSuspectForNow();
            return;
        }
        self->m_trial = true;
        self->startAttempt(chosen);
    };
    m_relay.onTrialRequested({fingerprint(), endpoint, label()}, onDecision);
}

// Ends a trial that saw neither a crash nor a complete response.
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

} // namespace Godwit
