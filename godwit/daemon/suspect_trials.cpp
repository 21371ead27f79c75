// Suspects: one run of each at a time, by one router of the fleet.

#include "godwit/daemon/suspect_keeper.h"

#include <utility>

namespace Godwit
{

void SuspectKeeper::onTrialWanted(const TrialRequest &wish, std::function<void(bool)> done)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_options.grantWithin);
    const auto answer = std::make_shared<std::function<void(bool)>>(std::move(done));
    const auto answerOnce = [this, timer, answer, fingerprint = wish.fingerprint](bool granted) {
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
    claimTrial(wish, answerOnce);
}

void SuspectKeeper::claimTrial(const TrialRequest &wish, std::function<void(bool)> done)
{
    const std::uint64_t fingerprint = wish.fingerprint;
    m_labels.emplace(fingerprint, wish.label);
    const bool hasRoom = m_records.count(fingerprint) != 0 || hasRoomFor(wish.label);
    if (!m_relay.state().platformInReach || !hasRoom) {
        done(false);
        return;
    }
    KnownRecord &known = m_records[fingerprint];
    if (known.writing || !mayClaim(fingerprint, known)) {
        done(false);
        return;
    }
    SuspectRecord record = recordOf(fingerprint);
    record.convicted = false;
    record.trial = SuspectTrial{m_options.self, wish.endpoint};
    m_ownTrials[fingerprint] = wish.endpoint;
    write(fingerprint, record, [this, fingerprint, done = std::move(done)](StoreStatus status) {
        const bool granted = status == StoreStatus::Ok;
        if (!granted) {
            m_ownTrials.erase(fingerprint);
        }
        noteTrialEndpoints();
        logRequest(granted ? "suspect_trial" : "suspect_trial_denied", fingerprint);
        done(granted);
    });
}

// Whether no trial of it is open.
bool SuspectKeeper::mayClaim(std::uint64_t fingerprint, const KnownRecord &known)
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
        return Relay::now() >= known.seenAt + m_options.trialLimit;
    }
    // Its router has told nothing, and the endpoint is no more.
    SuspectTracker &book = m_relay.state().suspects;
    recordSuspect(book,
                  {trial->endpoint, {}, {}, Relay::now(), {}},
                  fingerprint,
                  {std::nullopt, book.connectedToPeers, book.connectedToPeers});
    keepRecord(fingerprint);
    judgeLater({fingerprint});
    return false;
}

void SuspectKeeper::onTrialEnded(std::uint64_t fingerprint)
{
    if (m_ownTrials.erase(fingerprint) != 0) {
        noteTrialEndpoints();
        keepRecord(fingerprint);
    }
}

// Where suspects are being tried, so that each is tried at an endpoint of its own.
void SuspectKeeper::noteTrialEndpoints()
{
    auto &endpoints = m_relay.state().trialEndpoints;
    endpoints.clear();
    const TimePoint now = Relay::now();
    for (const auto &[fingerprint, known] : m_records) {
        const auto &trial = known.record.trial;
        if (trial && trial->router != m_options.self && now < known.seenAt + m_options.trialLimit) {
            endpoints.insert(trial->endpoint);
        }
    }
    for (const auto &[fingerprint, endpoint] : m_ownTrials) {
        endpoints.insert(endpoint);
    }
}

} // namespace Godwit
