// SuspectCoordinator: trials. The fleet runs each suspect at most once at a time.

#include "godwit/daemon/suspect_coordinator.h"

#include <utility>

namespace Godwit
{

void SuspectCoordinator::onTrialRequested(const TrialRequest &request, std::function<void(bool)> done)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_options.trialGrantTimeout);
    const auto answer = std::make_shared<std::function<void(bool)>>(std::move(done));
    const auto answerOnce = [this, timer, answer, fingerprint = request.fingerprint](bool granted) {
        if (const auto waiting = std::exchange(*answer, {})) {
            timer->cancel();
            ++(granted ? m_relay.counters().trials : m_relay.counters().trialsDenied);
            waiting(granted);
        } else if (granted) {
            onTrialEnded(fingerprint);
        }
    };
    timer->async_wait([answerOnce](const boost::system::error_code &error) {
        if (!error) {
            answerOnce(false);
        }
    });
    claimTrial(request, answerOnce);
}

void SuspectCoordinator::claimTrial(const TrialRequest &request, std::function<void(bool)> done)
{
    const std::uint64_t fingerprint = request.fingerprint;
    m_labels.emplace(fingerprint, request.label);
    const bool hasRoom = m_records.count(fingerprint) != 0 || hasRoomFor(request.label);
    if (!m_relay.state().platformInReach || !hasRoom) {
        done(false);
        return;
    }
    KnownRecord &known = m_records[fingerprint];
    if (known.writeInFlight || !mayClaim(fingerprint, known)) {
        done(false);
        return;
    }
    SuspectRecord record = recordOf(fingerprint);
    record.convicted = false;
    record.trial = SuspectTrial{m_options.self, request.endpoint};
    m_ownTrials[fingerprint] = request.endpoint;
    write(fingerprint, record, [this, fingerprint, done = std::move(done)](StoreStatus status) {
        const bool granted = status == StoreStatus::Ok;
        if (!granted) {
            m_ownTrials.erase(fingerprint);
        }
        updateTrialEndpoints();
        logSuspect(granted ? "suspect_trial" : "suspect_trial_denied", fingerprint);
        done(granted);
    });
}

// Whether no trial of the request is in progress.
bool SuspectCoordinator::mayClaim(std::uint64_t fingerprint, const KnownRecord &known)
{
    if (m_ownTrials.count(fingerprint) != 0) {
        return false;
    }
    const auto &trial = known.record.trial;
    if (!trial || trial->router == m_options.self) {
        return true;
    }
    const auto &endpoints = m_relay.state().endpoints.endpoints;
    const auto found = endpoints.find(trial->endpoint);
    if (found != endpoints.end() && !found->second.delisted) {
        return Relay::now() >= known.firstSeenAt + m_options.trialTimeout;
    }
    // The endpoint of the trial is gone without a report of the router: count it as a death.
    SuspectTracker &tracker = m_relay.state().suspects;
    recordSuspect(tracker,
                  {trial->endpoint, {}, {}, Relay::now(), {}},
                  fingerprint,
                  {std::nullopt, tracker.connectedToPeers, tracker.connectedToPeers});
    updateRecord(fingerprint);
    scheduleEvaluation({fingerprint});
    return false;
}

void SuspectCoordinator::onTrialEnded(std::uint64_t fingerprint)
{
    if (m_ownTrials.erase(fingerprint) != 0) {
        updateTrialEndpoints();
        updateRecord(fingerprint);
    }
}

// Collects the endpoints that run trials, so that no endpoint runs two suspects at a time.
void SuspectCoordinator::updateTrialEndpoints()
{
    auto &endpoints = m_relay.state().trialEndpoints;
    endpoints.clear();
    const TimePoint now = Relay::now();
    for (const auto &[fingerprint, known] : m_records) {
        const auto &trial = known.record.trial;
        if (trial && trial->router != m_options.self && now < known.firstSeenAt + m_options.trialTimeout) {
            endpoints.insert(trial->endpoint);
        }
    }
    for (const auto &[fingerprint, endpoint] : m_ownTrials) {
        endpoints.insert(endpoint);
    }
}

} // namespace Godwit
