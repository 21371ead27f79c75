#include "godwit/daemon/suspect_coordinator.h"

#include "godwit/relay/endpoint_probe.h"

#include <utility>

namespace Godwit
{
namespace
{

constexpr const char *FirstDeathsKeySuffix = "first"; // Can't be confused with a fingerprint.

} // namespace

SuspectCoordinator::SuspectCoordinator(boost::asio::io_context &io,
                                       Relay &relay,
                                       StoreClient &store,
                                       SuspectCoordinatorOptions options)
    : m_io(io)
    , m_relay(relay)
    , m_store(store)
    , m_options(std::move(options))
    , m_firstDeaths(relay, store, m_options.prefix + FirstDeathsKeySuffix)
{
    m_relay.state().suspects.options = m_options.suspects;
    m_relay.onInterrupted = [this](const InterruptedRequest &interrupted, std::function<void()> resolved) {
        onInterrupted(interrupted, std::move(resolved));
    };
    m_relay.onTrialRequested = [this](const TrialRequest &request, std::function<void(bool)> done) {
        onTrialRequested(request, std::move(done));
    };
    m_relay.onTrialEnded = [this](std::uint64_t fingerprint) {
        onTrialEnded(fingerprint);
    };
    m_relay.onAnswerWithoutDeclaredEnd = [this](std::uint64_t fingerprint, const EndpointId &endpoint) {
        onAnswerWithoutDeclaredEnd(fingerprint, endpoint);
    };
    m_relay.onCompleteAnswer = [this](std::uint64_t fingerprint) {
        clearAnsweredRequest(fingerprint);
    };
}

void SuspectCoordinator::updateConnectivity()
{
    m_relay.state().suspects.connectedToPeers = !isConnectedToFleet || isConnectedToFleet();
}

void SuspectCoordinator::onNotices(const std::vector<SuspectNotice> &notices)
{
    SuspectTracker &tracker = m_relay.state().suspects;
    const TimePoint now = Relay::now();
    std::set<std::uint64_t> toEvaluate;
    std::set<std::uint64_t> answeredHere;
    for (const SuspectNotice &notice : notices) {
        const std::uint64_t fingerprint = notice.fingerprint;
        if (notice.status == SuspectStatus::Convicted) {
            recordConviction(tracker, fingerprint, now + std::min(notice.refuseFor, tracker.options.refuseFor));
            noteConviction(fingerprint);
        } else if (notice.status == SuspectStatus::Cleared) {
            onCleared(fingerprint);
        } else {
            recordReportedDeath(notice);
            const TimePoint at = now - notice.age;
            if (wasAnsweredSince(m_relay.state().recentAnswers, fingerprint, at - m_options.recentAnswerWindow)) {
                answeredHere.insert(fingerprint);
            }
            if (attributableDeaths(tracker, fingerprint).size() >= tracker.options.deathsToConvict) {
                toEvaluate.insert(fingerprint);
            }
        }
    }
    m_firstDeaths.onSuspectsChanged();
    if (!answeredHere.empty()) {
        scheduleClearance(std::move(answeredHere));
    }
    if (!toEvaluate.empty()) {
        scheduleEvaluation(std::move(toEvaluate));
    }
}

// Another router has received a complete answer to the request.
void SuspectCoordinator::onCleared(std::uint64_t fingerprint)
{
    clearAllEvidence(m_relay.state().suspects, fingerprint);
    m_clearedByPeerAt[fingerprint] = Relay::now();
    const auto known = m_records.find(fingerprint);
    if (known != m_records.end() && (known->second.writeInFlight || known->second.writtenHere)) {
        remove(fingerprint);
    }
}

void SuspectCoordinator::recordReportedDeath(const SuspectNotice &notice)
{
    const TimePoint at = Relay::now() - notice.age;
    InFlightRun run;
    run.trial = notice.trial;
    if (notice.ranFor) {
        run.sentAt = at - *notice.ranFor;
    }
    recordSuspect(
        m_relay.state().suspects, {notice.endpoint, notice.host, notice.dataCentre, at, {}}, notice.fingerprint, run);
}

// Many routers may have answered the requests. The delay is random, so that the first
// clearance makes the others unnecessary.
void SuspectCoordinator::scheduleClearance(std::set<std::uint64_t> fingerprints)
{
    const double fraction = static_cast<double>(m_relay.random() % 1024) / 1024.0;
    const auto wait = std::chrono::duration_cast<Duration>(m_options.maxClearanceDelay * fraction);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
    timer->async_wait([this, timer, fingerprints = std::move(fingerprints)](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        for (const std::uint64_t fingerprint : fingerprints) {
            if (m_relay.state().suspects.deathCount.count(fingerprint) != 0) {
                clearAnsweredRequest(fingerprint);
            }
        }
        broadcastClearances();
    });
}

void SuspectCoordinator::clearAnsweredRequest(std::uint64_t fingerprint)
{
    RelayState &state = m_relay.state();
    forgetInterruptionsOf(state.crashDetector, fingerprint);
    m_labels.erase(fingerprint);
    m_ownTrials.erase(fingerprint);
    const auto known = m_records.find(fingerprint);
    const bool recorded = known != m_records.end() && known->second.revision != 0;
    if (verdictFor(state.suspects, fingerprint, Relay::now()) == Verdict::Unsuspected && !recorded) {
        return;
    }
    clearAllEvidence(state.suspects, fingerprint);
    ++m_relay.counters().suspectsCleared;
    m_unsentClearances.insert(fingerprint);
    if (recorded) {
        broadcastClearances();
        logSuspect("suspect_cleared", fingerprint);
        remove(fingerprint);
    }
    updateTrialEndpoints();
}

void SuspectCoordinator::onAnswerWithoutDeclaredEnd(std::uint64_t fingerprint, const EndpointId &endpoint)
{
    const auto &endpoints = m_relay.state().endpoints.endpoints;
    const auto found = endpoints.find(endpoint);
    if (found == endpoints.end()
        || verdictFor(m_relay.state().suspects, fingerprint, Relay::now()) == Verdict::Unsuspected) {
        return;
    }
    const auto onProbed = [this, fingerprint](ProbeOutcome outcome) {
        if (outcome == ProbeOutcome::Accepts) {
            clearAnsweredRequest(fingerprint);
        }
    };
    probeEndpoint(m_io, found->second.listed.address, m_options.probeTimeout, onProbed);
}

void SuspectCoordinator::broadcastClearances()
{
    std::vector<SuspectNotice> notices;
    for (const std::uint64_t fingerprint : std::exchange(m_unsentClearances, {})) {
        SuspectNotice notice;
        notice.fingerprint = fingerprint;
        notice.status = SuspectStatus::Cleared;
        notices.push_back(std::move(notice));
    }
    if (broadcast && !notices.empty()) {
        broadcast(notices);
    }
}

void SuspectCoordinator::step()
{
    const TimePoint now = Relay::now();
    removeExpiredSuspects(m_relay.state().suspects, now);
    if (m_labels.size() >= m_options.maxLabels) {
        m_labels.clear();
    }
    updateConnectivity();
    broadcastClearances();
    onEndpointsChanged();
    m_firstDeaths.onSuspectsChanged();
    for (auto it = m_clearedByPeerAt.begin(); it != m_clearedByPeerAt.end();) {
        it = now >= it->second + m_options.maxCopyLag ? m_clearedByPeerAt.erase(it) : std::next(it);
    }
    for (auto it = m_deathsAtConviction.begin(); it != m_deathsAtConviction.end();) {
        const bool over = m_records.count(it->first) == 0
            && remainingRefusal(m_relay.state().suspects, it->first, now) == Duration::zero();
        it = over ? m_deathsAtConviction.erase(it) : std::next(it);
    }
    if (!m_relay.state().platformInReach) {
        return;
    }
    for (const std::uint64_t fingerprint : std::exchange(m_pendingRemovals, {})) {
        remove(fingerprint);
    }
    for (const std::uint64_t fingerprint : std::exchange(m_pendingWrites, {})) {
        updateRecord(fingerprint);
    }
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto &[fingerprint, known] = *it;
        const auto attributed = attributableDeaths(m_relay.state().suspects, fingerprint);
        // A suspect that was in flight at the same deaths as another may be distinguishable
        // once the other has been answered.
        if (!attributed.empty() && now >= attributed.back()->at + m_options.suspects.coincidenceWindow) {
            evaluate(fingerprint);
        }
        const bool unused = known.revision == 0 && !known.writeInFlight && attributed.empty();
        it = unused ? m_records.erase(it) : std::next(it);
    }
    for (const auto &[fingerprint, known] : m_records) {
        if (known.revision != 0 && now > known.firstSeenAt + m_options.suspects.retention) {
            remove(fingerprint);
            return;
        }
    }
}

void SuspectCoordinator::logSuspect(std::string_view event, std::uint64_t fingerprint)
{
    const SuspectRecord record = recordOf(fingerprint);
    const std::string text = formatFingerprint(fingerprint);
    const Duration refused = remainingRefusal(m_relay.state().suspects, fingerprint, Relay::now());
    m_relay.log().write(
        event,
        {{"request", std::string_view(text)},
         {"host", std::string_view(record.label.host)},
         {"target", std::string_view(record.label.target)},
         {"customer", std::string_view(record.label.customer.value)},
         {"deaths", static_cast<std::int64_t>(record.deaths.size())},
         {"endpoint", record.trial ? std::string_view(record.trial->endpoint.value) : std::string_view()},
         {"refused_for_ms", toSeconds(refused) * 1000}});
}

} // namespace Godwit
