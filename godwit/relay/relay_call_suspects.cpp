// A call: endpoints that die under it, and whether it may be sent for all that.

#include "godwit/relay/relay_call.h"

#include "godwit/gateway/request_identity.h"

#include <utility>

namespace Godwit
{

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
    const bool declared = completenessOf(*m_ending) == ResponseCompleteness::Declared;
    if (declared) {
        recordAnswer(state.recentAnswers, fingerprint(), Relay::now());
    }
    if (state.suspects.deathCount.empty() && state.crashWatch.interruptions.empty()) {
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
    const SuspectTracker &book = m_relay.state().suspects;
    if (book.deathCount.empty() && book.refusedUntil.empty()) {
        return Admission::Unrestricted;
    }
    return admissionFor(book, fingerprint(), Relay::now());
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
               remainingRefusal(m_relay.state().suspects, fingerprint(), Relay::now()));
    }
}

bool RelayCall::maySpareTrial()
{
    const RelayState &state = m_relay.state();
    const auto listed = state.endpoints.byService.find(m_serviceName);
    return listed == state.endpoints.byService.end()
        || hasSpareEndpointForTrial(
               state.suspects, fingerprint(), listed->second, m_relay.options().trialPatience, Relay::now());
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
    const EndpointIncarnation start = choice.endpoint->listed.startedAt;
    const auto onAnswer = [self = shared_from_this(), wished = choice, endpoint, start](bool granted) {
        Choice chosen = wished;
        chosen.endpoint = findIncarnation(self->m_relay.state().endpoints, endpoint, start);
        const bool gone = chosen.endpoint == nullptr || !acceptsNewRequests(*chosen.endpoint);
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

} // namespace Godwit
