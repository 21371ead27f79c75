// Suspects: which endpoints have died under which requests, and who is condemned for it.

#include "godwit/daemon/suspect_keeper.h"

#include "godwit/base/enum_names.h"
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

void SuspectKeeper::onCut(const InterruptedRequest &cut, std::function<void()> known)
{
    const EndpointState *endpoint = findIncarnation(m_relay.state().endpoints, cut.endpoint, cut.start);
    if (endpoint == nullptr || !acceptsNewRequests(*endpoint)) {
        // It ends as planned.
        if (cut.run.trial) {
            onTrialEnded(cut.run.fingerprint);
        }
        known();
        return;
    }
    if (m_labels.size() < m_options.maxLabels) {
        m_labels[cut.run.fingerprint] = cut.label;
    }
    auto &waiting = m_waiting[cut.endpoint];
    waiting.push_back(std::move(known));
    if (waiting.size() == 1) {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_options.knownWithin);
        timer->async_wait([this, timer, id = cut.endpoint](const boost::system::error_code &error) {
            if (!error) {
                releaseWaiting(id);
            }
        });
    }
    CrashDetector &watch = m_relay.state().crashWatch;
    if (recordInterruption(watch, endpoint->listed, cut.run)) {
        askPort(watch.interruptions.at(cut.endpoint));
    }
}

void SuspectKeeper::askPort(const EndpointInterruptions &cuts)
{
    probeEndpoint(m_io, cuts.address, m_options.probeLimit, [this, id = cuts.id](ProbeOutcome outcome) {
        CrashDetector &watch = m_relay.state().crashWatch;
        if (outcome != ProbeOutcome::Refuses) {
            for (const InterruptedAttempt &run : recordNoCrash(watch, id)) {
                onTrialEnded(run.fingerprint);
            }
        } else if (const auto death = takeCrash(watch, id)) {
            onDeath(*death, "port_refuses");
        }
        releaseWaiting(id);
    });
}

void SuspectKeeper::releaseWaiting(const EndpointId &endpoint)
{
    const auto found = m_waiting.find(endpoint);
    if (found == m_waiting.end()) {
        return;
    }
    const auto waiting = std::move(found->second);
    m_waiting.erase(found);
    for (const auto &known : waiting) {
        known();
    }
}

void SuspectKeeper::onListed()
{
    CrashDetector &watch = m_relay.state().crashWatch;
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

void SuspectKeeper::onDeath(const EndpointInterruptions &death, std::string_view sign)
{
    SuspectTracker &book = m_relay.state().suspects;
    const TimePoint now = Relay::now();
    removeExpiredSuspects(book, now);
    noteContact();
    const EndpointDeath noted{death.id, {}, death.dataCentre, death.probedSince, {}};
    std::set<std::uint64_t> fingerprints;
    std::vector<SuspectNotice> notices;
    for (const InterruptedAttempt &run : death.attempts) {
        if (run.trial) {
            m_ownTrials.erase(run.fingerprint);
        }
        const bool answeredLately =
            wasAnsweredSince(m_relay.state().recentAnswers, run.fingerprint, noted.at - m_options.answerClears);
        if (answeredLately) {
            if (run.trial) {
                keepRecord(run.fingerprint);
            }
            continue;
        }
        fingerprints.insert(run.fingerprint);
        const bool byItself = run.trial && book.connectedToPeers;
        if (!recordSuspect(book, noted, run.fingerprint, {run.sentAt, byItself, byItself})) {
            continue;
        }
        SuspectNotice notice;
        notice.fingerprint = run.fingerprint;
        notice.endpoint = death.id;
        notice.dataCentre = death.dataCentre;
        notice.age = now - noted.at;
        notice.ranFor = std::max(Duration::zero(), noted.at - run.sentAt);
        notice.trial = byItself;
        notices.push_back(std::move(notice));
    }
    ++m_relay.counters().endpointDeaths[death.service];
    logDeath(death, sign);
    // When many endpoints die at once nobody there is to blame, and telling of all would flood the routers.
    if (!isWidespreadFailure(book, noted.at)) {
        notices.resize(std::min(notices.size(), m_options.maxNoticesPerDeath));
        if (tell && !notices.empty()) {
            tell(notices);
        }
    }
    for (const std::uint64_t fingerprint : fingerprints) {
        keepRecord(fingerprint);
    }
    m_firstDeaths.onBookChanged();
    noteTrialEndpoints();
    judgeLater(std::move(fingerprints));
}

// Each request with the deaths that count against it and what is believed of it.
void SuspectKeeper::logDeath(const EndpointInterruptions &death, std::string_view sign) const
{
    const SuspectTracker &book = m_relay.state().suspects;
    std::string requests;
    for (std::size_t i = 0; i < std::min(death.attempts.size(), m_options.maxShown); ++i) {
        const std::uint64_t fingerprint = death.attempts[i].fingerprint;
        requests.append(requests.empty() ? "" : " ")
            .append(formatFingerprint(fingerprint))
            .append(1, ':')
            .append(std::to_string(attributableDeaths(book, fingerprint).size()))
            .append(1, ':')
            .append(enumName(VerdictNames, verdictFor(book, fingerprint, Relay::now())));
    }
    m_relay.log().write("endpoint_died",
                        {{"endpoint", std::string_view(death.id.value)},
                         {"service", std::string_view(death.service)},
                         {"sign", sign},
                         {"known_after_ms", toSeconds(Relay::now() - death.probedSince) * 1000},
                         {"under_way", static_cast<std::int64_t>(death.attempts.size())},
                         {"requests", std::string_view(requests)}});
}

void SuspectKeeper::judgeLater(std::set<std::uint64_t> fingerprints)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_options.suspects.coincidenceWindow);
    timer->async_wait([this, timer, fingerprints = std::move(fingerprints)](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        for (const std::uint64_t fingerprint : fingerprints) {
            judgeNow(fingerprint);
        }
    });
}

void SuspectKeeper::judgeNow(std::uint64_t fingerprint)
{
    SuspectTracker &book = m_relay.state().suspects;
    const TimePoint now = Relay::now();
    noteContact();
    const auto judged = m_judged.find(fingerprint);
    const bool nothingNew = judged != m_judged.end() && attributableDeaths(book, fingerprint).size() <= judged->second;
    if (nothingNew || remainingRefusal(book, fingerprint, now) > Duration::zero()
        || evaluateSuspect(book, fingerprint, now) != Verdict::Convicted) {
        return;
    }
    noteJudged(fingerprint);
    ++m_relay.counters().convictions;
    logRequest("suspect_convicted", fingerprint);
    SuspectNotice notice;
    notice.fingerprint = fingerprint;
    notice.status = SuspectStatus::Convicted;
    notice.refuseFor = remainingRefusal(book, fingerprint, now);
    if (tell) {
        tell({notice});
    }
    keepRecord(fingerprint);
}

// A verdict that has ended is given again for a further death only.
void SuspectKeeper::noteJudged(std::uint64_t fingerprint)
{
    m_judged[fingerprint] = attributableDeaths(m_relay.state().suspects, fingerprint).size();
}

} // namespace Godwit
