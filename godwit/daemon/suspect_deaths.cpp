// SuspectCoordinator: detection of endpoint deaths, and convictions.

#include "godwit/daemon/suspect_coordinator.h"

#include "godwit/base/enum_names.h"
#include "godwit/relay/connection_borrower.h"
#include "godwit/relay/endpoint_probe.h"

#include <algorithm>
#include <utility>

namespace Godwit
{
namespace
{

constexpr EnumName<Verdict> VerdictNames[] = {
    {Verdict::Unsuspected, "unsuspected"},
    {Verdict::Suspected, "suspected"},
    {Verdict::Convicted, "convicted"},
};

} // namespace

void SuspectCoordinator::onInterrupted(const InterruptedRequest &interrupted, std::function<void()> resolved)
{
    const EndpointState *endpoint = findIncarnation(m_relay.state().endpoints, interrupted.endpoint, interrupted.start);
    std::vector<InterruptedSuspect> suspects{{interrupted.run, interrupted.label}};
    suspects.insert(suspects.end(), interrupted.parts.begin(), interrupted.parts.end());
    if (endpoint == nullptr || !acceptsNewRequests(*endpoint)) {
        // The endpoint is draining or gone, so the interruption is expected.
        for (const InterruptedSuspect &suspect : suspects) {
            if (suspect.run.trial) {
                onTrialEnded(suspect.run.fingerprint);
            }
        }
        resolved();
        return;
    }
    for (const InterruptedSuspect &suspect : suspects) {
        if (m_labels.size() < m_options.maxLabels) {
            m_labels[suspect.run.fingerprint] = suspect.label;
        }
    }
    auto &waiting = m_waiters[interrupted.endpoint];
    waiting.push_back(std::move(resolved));
    if (waiting.size() == 1) {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_options.crashCheckTimeout);
        timer->async_wait([this, timer, id = interrupted.endpoint](const boost::system::error_code &error) {
            if (!error) {
                releaseWaiters(id);
            }
        });
    }
    CrashDetector &watch = m_relay.state().crashDetector;
    bool mustProbe = false;
    for (const InterruptedSuspect &suspect : suspects) {
        mustProbe = recordInterruption(watch, endpoint->listed, suspect.run) || mustProbe;
    }
    if (mustProbe) {
        probePort(watch.interruptions.at(interrupted.endpoint));
    }
}

std::vector<Lender> SuspectCoordinator::witnessesFor(const EndpointGroup &group) const
{
    constexpr std::size_t maxWitnesses = 2;
    auto lenders = m_relay.lendersFor ? m_relay.lendersFor(group) : std::vector<Lender>();
    lenders.resize(std::min(lenders.size(), maxWitnesses));
    return lenders;
}

// A port that refuses connections is evidence of a death only if it refuses those of other routers as well: connections
// of a partitioned router may be refused or reset on the way.
void SuspectCoordinator::probePort(const EndpointInterruptions &interruptions)
{
    const EndpointGroup group{interruptions.service, interruptions.dataCentre};
    if (isPartitioned(m_relay.state().reach, group)) {
        auto lenders = witnessesFor(group);
        if (!lenders.empty()) {
            probeThroughOthers(interruptions, std::move(lenders), ProbeOutcome::Unreachable);
            return;
        }
    }
    probeEndpoint(
        m_io, interruptions.address, m_options.probeTimeout, [this, interruptions, group](ProbeOutcome outcome) {
            if (outcome == ProbeOutcome::Refuses) {
                probeThroughOthers(interruptions, witnessesFor(group), outcome);
            } else {
                onProbed(interruptions.id, outcome);
            }
        });
}

void SuspectCoordinator::probeThroughOthers(const EndpointInterruptions &interruptions,
                                            std::vector<Lender> lenders,
                                            ProbeOutcome otherwise)
{
    probeThroughLenders(m_io,
                        std::move(lenders),
                        interruptions.id,
                        interruptions.address,
                        m_relay.options().exchange.borrowTimeout,
                        [this, endpoint = interruptions.id, otherwise](ProbeOutcome outcome) {
                            onProbed(endpoint, outcome == ProbeOutcome::Unreachable ? otherwise : outcome);
                        });
}

void SuspectCoordinator::onProbed(const EndpointId &endpoint, ProbeOutcome outcome)
{
    CrashDetector &watch = m_relay.state().crashDetector;
    if (outcome != ProbeOutcome::Refuses) {
        for (const InterruptedAttempt &run : recordNoCrash(watch, endpoint)) {
            onTrialEnded(run.fingerprint);
        }
    } else if (const auto death = takeCrash(watch, endpoint)) {
        onDeath(*death, "port_refuses");
    }
    releaseWaiters(endpoint);
}

void SuspectCoordinator::releaseWaiters(const EndpointId &endpoint)
{
    const auto found = m_waiters.find(endpoint);
    if (found == m_waiters.end()) {
        return;
    }
    const auto waiting = std::move(found->second);
    m_waiters.erase(found);
    for (const auto &resolved : waiting) {
        resolved();
    }
}

void SuspectCoordinator::onEndpointsChanged()
{
    CrashDetector &watch = m_relay.state().crashDetector;
    if (watch.interruptions.empty()) {
        return;
    }
    std::vector<ListedEndpoint> listed;
    for (const auto &[id, endpoint] : m_relay.state().endpoints.endpoints) {
        if (!endpoint.delisted) {
            listed.push_back(endpoint.listed);
        }
    }
    for (const EndpointInterruptions &death : takeReplacedEndpoints(watch, listed, Relay::now())) {
        onDeath(death, "address_taken");
    }
}

void SuspectCoordinator::onDeath(const EndpointInterruptions &death, std::string_view sign)
{
    SuspectTracker &tracker = m_relay.state().suspects;
    const TimePoint now = Relay::now();
    removeExpiredSuspects(tracker, now);
    updateConnectivity();
    const EndpointDeath endpointDeath{death.id, {}, death.dataCentre, death.probedSince, {}};
    std::set<std::uint64_t> fingerprints;
    std::vector<SuspectNotice> notices;
    for (const InterruptedAttempt &run : death.attempts) {
        if (run.trial) {
            m_ownTrials.erase(run.fingerprint);
        }
        const bool recentlyAnswered = wasAnsweredSince(
            m_relay.state().recentAnswers, run.fingerprint, endpointDeath.at - m_options.recentAnswerWindow);
        if (recentlyAnswered) {
            if (run.trial) {
                updateRecord(run.fingerprint);
            }
            continue;
        }
        fingerprints.insert(run.fingerprint);
        const bool isolatedTrial = run.trial && tracker.connectedToPeers;
        if (!recordSuspect(tracker, endpointDeath, run.fingerprint, {run.sentAt, isolatedTrial, isolatedTrial})) {
            continue;
        }
        SuspectNotice notice;
        notice.fingerprint = run.fingerprint;
        notice.endpoint = death.id;
        notice.dataCentre = death.dataCentre;
        notice.age = now - endpointDeath.at;
        notice.ranFor = std::max(Duration::zero(), endpointDeath.at - run.sentAt);
        notice.trial = isolatedTrial;
        notices.push_back(std::move(notice));
    }
    ++m_relay.counters().endpointDeaths[death.service];
    logDeath(death, sign);
    // If many endpoints die at once, no single request is the cause, and notices about all
    // of them would flood the peers.
    if (!isWidespreadFailure(tracker, endpointDeath.at)) {
        // Parts that requests have in common come first: their evidence adds up.
        std::stable_sort(notices.begin(), notices.end(), [&tracker](const auto &a, const auto &b) {
            return tracker.deathCount.at(a.fingerprint) > tracker.deathCount.at(b.fingerprint);
        });
        notices.resize(std::min(notices.size(), m_options.maxNoticesPerDeath));
        if (broadcast && !notices.empty()) {
            broadcast(notices);
        }
    }
    for (const std::uint64_t fingerprint : fingerprints) {
        updateRecord(fingerprint);
    }
    m_firstDeaths.onSuspectsChanged();
    updateTrialEndpoints();
    scheduleEvaluation(std::move(fingerprints));
}

// Lists the requests in flight, each with its number of attributable deaths and its verdict.
void SuspectCoordinator::logDeath(const EndpointInterruptions &death, std::string_view sign) const
{
    const SuspectTracker &tracker = m_relay.state().suspects;
    std::string requests;
    for (std::size_t i = 0; i < std::min(death.attempts.size(), m_options.maxLoggedRequests); ++i) {
        const std::uint64_t fingerprint = death.attempts[i].fingerprint;
        requests.append(requests.empty() ? "" : " ")
            .append(formatFingerprint(fingerprint))
            .append(1, ':')
            .append(std::to_string(attributableDeaths(tracker, fingerprint).size()))
            .append(1, ':')
            .append(enumName(VerdictNames, verdictFor(tracker, fingerprint, Relay::now())));
    }
    m_relay.log().write("endpoint_died",
                        {{"endpoint", std::string_view(death.id.value)},
                         {"service", std::string_view(death.service)},
                         {"sign", sign},
                         {"known_after_ms", toSeconds(Relay::now() - death.probedSince) * 1000},
                         {"under_way", static_cast<std::int64_t>(death.attempts.size())},
                         {"requests", std::string_view(requests)}});
}

void SuspectCoordinator::scheduleEvaluation(std::set<std::uint64_t> fingerprints)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_options.suspects.coincidenceWindow);
    timer->async_wait([this, timer, fingerprints = std::move(fingerprints)](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        for (const std::uint64_t fingerprint : fingerprints) {
            evaluate(fingerprint);
        }
    });
}

void SuspectCoordinator::evaluate(std::uint64_t fingerprint)
{
    SuspectTracker &tracker = m_relay.state().suspects;
    const TimePoint now = Relay::now();
    updateConnectivity();
    const auto convicted = m_deathsAtConviction.find(fingerprint);
    const bool noNewDeaths =
        convicted != m_deathsAtConviction.end() && attributableDeaths(tracker, fingerprint).size() <= convicted->second;
    if (noNewDeaths || remainingRefusal(tracker, fingerprint, now) > Duration::zero()
        || evaluateSuspect(tracker, fingerprint, now) != Verdict::Convicted) {
        return;
    }
    noteConviction(fingerprint);
    ++m_relay.counters().convictions;
    logSuspect("suspect_convicted", fingerprint);
    SuspectNotice notice;
    notice.fingerprint = fingerprint;
    notice.status = SuspectStatus::Convicted;
    notice.refuseFor = remainingRefusal(tracker, fingerprint, now);
    if (broadcast) {
        broadcast({notice});
    }
    updateRecord(fingerprint);
}

// After a conviction has expired, only a further death leads to a new one.
void SuspectCoordinator::noteConviction(std::uint64_t fingerprint)
{
    m_deathsAtConviction[fingerprint] = attributableDeaths(m_relay.state().suspects, fingerprint).size();
}

} // namespace Godwit
