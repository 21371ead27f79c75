// RelayCall: requests suspected of crashing endpoints, and whether they may still be sent.

#include "godwit/relay/relay_call.h"

#include "godwit/gateway/request_identity.h"

#include <utility>

namespace Godwit
{
namespace
{

// Bounds the evidence that one request can produce. Prompts share few parts.
constexpr std::size_t MaxSuspectParts = 16;

} // namespace

// The connection of the latest attempt has ended, possibly because the endpoint crashed. The retry decision waits until
// that is known, since a request suspected of crashing endpoints must not be retried freely.
void RelayCall::retryAfterCrashCheck(const std::string &cause)
{
    if (!m_relay.onInterrupted) {
        retryOrFail(cause, true);
        return;
    }
    const auto trial = std::exchange(m_trial, std::nullopt);
    const InterruptedRequest cut = interruptedRequest(currentRun(), trial);
    if (m_hedge) {
        // The hedge is sent already, so there is no retry to decide about.
        m_relay.onInterrupted(cut, [] {});
        retryOrFail(cause, true);
        return;
    }
    m_relay.onInterrupted(cut, [self = shared_from_this(), cause] {
        if (!self->m_closed) {
            self->retryOrFail(cause, true);
        }
    });
}

InterruptedRequest RelayCall::interruptedRequest(const EndpointRun &run, std::optional<std::uint64_t> trial)
{
    const auto &keys = suspectKeys();
    const auto interrupted = [&](std::size_t key) {
        return InterruptedSuspect{{keys[key], run.sentAt, Relay::now(), trial == keys[key]}, labelOf(key)};
    };
    const auto [attempt, label] = interrupted(0);
    InterruptedRequest cut{run.endpoint, run.start, attempt, label, {}};
    for (std::size_t key = 1; key < keys.size(); ++key) {
        cut.parts.push_back(interrupted(key));
    }
    return cut;
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
        for (const std::uint64_t fingerprint : suspectKeys()) {
            recordAnswer(state.recentAnswers, fingerprint, Relay::now());
        }
    }
    if (state.suspects.deathCount.empty() && state.crashDetector.interruptions.empty()) {
        return;
    }
    if (declared) {
        m_trial.reset();
    }
    for (const std::uint64_t fingerprint : suspectKeys()) {
        if (declared) {
            m_relay.onCompleteAnswer(fingerprint);
        } else {
            m_relay.onAnswerWithoutDeclaredEnd(fingerprint, m_endpoint);
        }
    }
}

Admission RelayCall::admissionNow()
{
    const SuspectTracker &tracker = m_relay.state().suspects;
    if (tracker.deathCount.empty() && tracker.refusedUntil.empty()) {
        return Admission::Unrestricted;
    }
    const auto &keys = suspectKeys();
    std::pair<Admission, std::size_t> strictest{Admission::Unrestricted, 0}; // With the number of deaths.
    m_decidingKey = 0;
    for (std::size_t key = 0; key < keys.size(); ++key) {
        const std::pair candidate(admissionFor(tracker, keys[key], Relay::now()),
                                  attributableDeaths(tracker, keys[key]).size());
        if (candidate > strictest) {
            strictest = candidate;
            m_decidingKey = key;
        }
    }
    return strictest.first;
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
               remainingRefusal(m_relay.state().suspects, decidingFingerprint(), Relay::now()));
    }
}

bool RelayCall::canAffordTrial()
{
    const RelayState &state = m_relay.state();
    const auto listed = state.endpoints.byService.find(m_serviceName);
    return listed == state.endpoints.byService.end()
        || hasSpareEndpointForTrial(
               state.suspects, decidingFingerprint(), listed->second, m_relay.options().trialWaitLimit, Relay::now());
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
    const auto onDecision =
        [self = shared_from_this(), requestedChoice = choice, endpoint, start, suspect = decidingFingerprint()](
            bool granted) {
            Choice chosen = requestedChoice;
            chosen.endpoint = findIncarnation(self->m_relay.state().endpoints, endpoint, start);
            const bool gone = chosen.endpoint == nullptr || !acceptsNewRequests(*chosen.endpoint);
            const bool late = !self->m_closed && self->endsLate();
            if (granted && (gone || late || self->m_closed)) {
                self->m_relay.onTrialEnded(suspect);
            }
            if (self->m_closed) {
                return;
            }
            if (late) {
                self->refuseEndingLate();
                return;
            }
            if (!granted || gone) {
                self->refuseSuspectForNow();
                return;
            }
            self->m_trial = suspect;
            self->startAttempt(chosen);
        };
    m_relay.onTrialRequested({decidingFingerprint(), endpoint, labelOf(m_decidingKey)}, onDecision);
}

// Ends a trial that saw neither a crash nor a complete response.
void RelayCall::endTrial()
{
    if (const auto trial = std::exchange(m_trial, std::nullopt)) {
        m_relay.onTrialEnded(*trial);
    }
}

const std::vector<std::uint64_t> &RelayCall::suspectKeys()
{
    if (!m_suspectKeys.empty()) {
        return m_suspectKeys;
    }
    const auto method = m_head.method_string();
    m_suspectKeys.push_back(
        requestFingerprint({{method.data(), method.size()}, m_facts.host, m_facts.target, m_customer, m_body}));
    // The last part is the request's own.
    const auto &parts = m_facts.promptSegments;
    for (std::size_t i = 0; i + 1 < parts.size() && i < MaxSuspectParts; ++i) {
        m_suspectKeys.push_back(promptPartFingerprint(m_serviceName, parts[i].id));
    }
    return m_suspectKeys;
}

SuspectLabel RelayCall::labelOf(std::size_t key) const
{
    const std::string target = key == 0 ? m_facts.target : "prompt part " + m_facts.promptSegments[key - 1].id;
    return {m_facts.host, target, m_customer};
}

std::uint64_t RelayCall::decidingFingerprint()
{
    return suspectKeys()[m_decidingKey];
}

std::uint64_t RelayCall::fingerprint()
{
    return suspectKeys().front();
}

} // namespace Godwit
