#include "godwit/daemon/suspect_keeper.h"

#include "godwit/relay/endpoint_probe.h"

#include <utility>

namespace Godwit
{
namespace
{

constexpr const char *FirstDeathsName = "first"; // No fingerprint.

} // namespace

SuspectKeeper::SuspectKeeper(boost::asio::io_context &io,
                             Relay &relay,
                             StoreClient &store,
                             SuspectKeeperOptions options)
    : m_io(io)
    , m_relay(relay)
    , m_store(store)
    , m_options(std::move(options))
    , m_firstDeaths(relay, store, m_options.prefix + FirstDeathsName)
{
    m_relay.state().suspects.options = m_options.suspects;
    m_relay.onInterrupted = [this](const InterruptedRequest &cut, std::function<void()> known) {
        onCut(cut, std::move(known));
    };
    m_relay.onTrialRequested = [this](const TrialRequest &wish, std::function<void(bool)> done) {
        onTrialWanted(wish, std::move(done));
    };
    m_relay.onTrialEnded = [this](std::uint64_t fingerprint) {
        onTrialEnded(fingerprint);
    };
    m_relay.onAnswerWithoutDeclaredEnd = [this](std::uint64_t fingerprint, const EndpointId &endpoint) {
        onDoubtfulAnswer(fingerprint, endpoint);
    };
    m_relay.onCompleteAnswer = [this](std::uint64_t fingerprint) {
        onWholeAnswer(fingerprint);
    };
}

void SuspectKeeper::noteContact()
{
    m_relay.state().suspects.connectedToPeers = !hearsFleet || hearsFleet();
}

void SuspectKeeper::onNotices(const std::vector<SuspectNotice> &notices)
{
    SuspectTracker &book = m_relay.state().suspects;
    const TimePoint now = Relay::now();
    std::set<std::uint64_t> toJudge;
    std::set<std::uint64_t> spokenFor;
    for (const SuspectNotice &notice : notices) {
        const std::uint64_t fingerprint = notice.fingerprint;
        if (notice.status == SuspectStatus::Convicted) {
            recordConviction(book, fingerprint, now + std::min(notice.refuseFor, book.options.refuseFor));
            noteJudged(fingerprint);
        } else if (notice.status == SuspectStatus::Cleared) {
            onCleared(fingerprint);
        } else {
            noteToldDeath(notice);
            const TimePoint at = now - notice.age;
            if (wasAnsweredSince(m_relay.state().recentAnswers, fingerprint, at - m_options.answerClears)) {
                spokenFor.insert(fingerprint);
            }
            if (attributableDeaths(book, fingerprint).size() >= book.options.deathsToConvict) {
                toJudge.insert(fingerprint);
            }
        }
    }
    m_firstDeaths.onBookChanged();
    if (!spokenFor.empty()) {
        speakLater(std::move(spokenFor));
    }
    if (!toJudge.empty()) {
        judgeLater(std::move(toJudge));
    }
}

// Another router has been given its answer.
void SuspectKeeper::onCleared(std::uint64_t fingerprint)
{
    clearAllEvidence(m_relay.state().suspects, fingerprint);
    m_clearedAt[fingerprint] = Relay::now();
    const auto known = m_records.find(fingerprint);
    if (known != m_records.end() && (known->second.writing || known->second.ownWrite)) {
        remove(fingerprint);
    }
}

void SuspectKeeper::noteToldDeath(const SuspectNotice &notice)
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

// Many routers may have answered them: one that speaks first spares the others.
void SuspectKeeper::speakLater(std::set<std::uint64_t> fingerprints)
{
    const double lot = static_cast<double>(m_relay.random() % 1024) / 1024.0;
    const auto wait = std::chrono::duration_cast<Duration>(m_options.speakWithin * lot);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
    timer->async_wait([this, timer, fingerprints = std::move(fingerprints)](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        for (const std::uint64_t fingerprint : fingerprints) {
            if (m_relay.state().suspects.deathCount.count(fingerprint) != 0) {
                onWholeAnswer(fingerprint);
            }
        }
        tellCleared();
    });
}

void SuspectKeeper::onWholeAnswer(std::uint64_t fingerprint)
{
    RelayState &state = m_relay.state();
    forgetInterruptionsOf(state.crashWatch, fingerprint);
    m_labels.erase(fingerprint);
    m_ownTrials.erase(fingerprint);
    const auto known = m_records.find(fingerprint);
    const bool recorded = known != m_records.end() && known->second.revision != 0;
    if (verdictFor(state.suspects, fingerprint, Relay::now()) == Verdict::Unsuspected && !recorded) {
        return;
    }
    clearAllEvidence(state.suspects, fingerprint);
    ++m_relay.counters().suspectsCleared;
    m_cleared.insert(fingerprint);
    if (recorded) {
        tellCleared();
        logRequest("suspect_cleared", fingerprint);
        remove(fingerprint);
    }
    noteTrialEndpoints();
}

void SuspectKeeper::onDoubtfulAnswer(std::uint64_t fingerprint, const EndpointId &endpoint)
{
    const auto &endpoints = m_relay.state().endpoints.endpoints;
    const auto found = endpoints.find(endpoint);
    if (found == endpoints.end()
        || verdictFor(m_relay.state().suspects, fingerprint, Relay::now()) == Verdict::Unsuspected) {
        return;
    }
    const auto onPort = [this, fingerprint](ProbeOutcome outcome) {
        if (outcome == ProbeOutcome::Accepts) {
            onWholeAnswer(fingerprint);
        }
    };
    probeEndpoint(m_io, found->second.listed.address, m_options.probeLimit, onPort);
}

void SuspectKeeper::tellCleared()
{
    std::vector<SuspectNotice> notices;
    for (const std::uint64_t fingerprint : std::exchange(m_cleared, {})) {
        SuspectNotice notice;
        notice.fingerprint = fingerprint;
        notice.status = SuspectStatus::Cleared;
        notices.push_back(std::move(notice));
    }
    if (tell && !notices.empty()) {
        tell(notices);
    }
}

void SuspectKeeper::step()
{
    const TimePoint now = Relay::now();
    removeExpiredSuspects(m_relay.state().suspects, now);
    if (m_labels.size() >= m_options.maxLabels) {
        m_labels.clear();
    }
    noteContact();
    tellCleared();
    onListed();
    m_firstDeaths.onBookChanged();
    for (auto it = m_clearedAt.begin(); it != m_clearedAt.end();) {
        it = now >= it->second + m_options.copyLag ? m_clearedAt.erase(it) : std::next(it);
    }
    for (auto it = m_judged.begin(); it != m_judged.end();) {
        const bool over = m_records.count(it->first) == 0
            && remainingRefusal(m_relay.state().suspects, it->first, now) == Duration::zero();
        it = over ? m_judged.erase(it) : std::next(it);
    }
    if (!m_relay.state().platformInReach) {
        return;
    }
    for (const std::uint64_t fingerprint : std::exchange(m_unremoved, {})) {
        remove(fingerprint);
    }
    for (const std::uint64_t fingerprint : std::exchange(m_unwritten, {})) {
        keepRecord(fingerprint);
    }
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto &[fingerprint, known] = *it;
        const auto sound = attributableDeaths(m_relay.state().suspects, fingerprint);
        // One that shared its deaths with another may be told apart now that the other has been answered.
        if (!sound.empty() && now >= sound.back()->at + m_options.suspects.coincidenceWindow) {
            judgeNow(fingerprint);
        }
        const bool unused = known.revision == 0 && !known.writing && sound.empty();
        it = unused ? m_records.erase(it) : std::next(it);
    }
    for (const auto &[fingerprint, known] : m_records) {
        if (known.revision != 0 && now > known.seenAt + m_options.suspects.retention) {
            remove(fingerprint);
            return;
        }
    }
}

void SuspectKeeper::logRequest(std::string_view event, std::uint64_t fingerprint)
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
