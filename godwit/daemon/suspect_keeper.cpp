#include "godwit/daemon/suspect_keeper.h"

#include "godwit/base/enum_names.h"
#include "godwit/relay/endpoint_probe.h"
#include "godwit/suspects/suspect_admission.h"

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

constexpr const char *FirstDeathsName = "first"; // No fingerprint.

// With so many deaths a request is worth a record: the next run of it is a trial.
std::size_t deathsToRecord(const SuspectBook &book)
{
    return book.options.deathsToConvict - 1;
}

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
    m_relay.onCut = [this](const RequestCut &cut, std::function<void()> known) {
        onCut(cut, std::move(known));
    };
    m_relay.onTrialWanted = [this](const TrialWish &wish, std::function<void(bool)> done) {
        onTrialWanted(wish, std::move(done));
    };
    m_relay.onTrialEnded = [this](std::uint64_t fingerprint) {
        onTrialEnded(fingerprint);
    };
    m_relay.onDoubtfulAnswer = [this](std::uint64_t fingerprint, const EndpointId &endpoint) {
        onDoubtfulAnswer(fingerprint, endpoint);
    };
    m_relay.onWholeAnswer = [this](std::uint64_t fingerprint) {
        onWholeAnswer(fingerprint);
    };
}

void SuspectKeeper::onCut(const RequestCut &cut, std::function<void()> known)
{
    const EndpointState *endpoint = findStart(m_relay.state().endpoints, cut.endpoint, cut.start);
    if (endpoint == nullptr || !takesNewWork(*endpoint)) {
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
    CrashWatch &watch = m_relay.state().crashWatch;
    if (noteCut(watch, endpoint->listed, cut.run)) {
        askPort(watch.cuts.at(cut.endpoint));
    }
}

void SuspectKeeper::askPort(const EndpointCuts &cuts)
{
    probeEndpoint(m_io, cuts.address, m_options.probeLimit, [this, id = cuts.id](ProbeOutcome outcome) {
        CrashWatch &watch = m_relay.state().crashWatch;
        if (outcome != ProbeOutcome::Refuses) {
            for (const CutRun &run : noteNoDeath(watch, id)) {
                onTrialEnded(run.fingerprint);
            }
        } else if (const auto death = takeDeath(watch, id)) {
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
    CrashWatch &watch = m_relay.state().crashWatch;
    if (watch.cuts.empty()) {
        return;
    }
    std::vector<ListedEndpoint> listed;
    for (const auto &[id, endpoint] : m_relay.state().endpoints.endpoints) {
        if (!endpoint.gone) {
            listed.push_back(endpoint.listed);
        }
    }
    for (const EndpointCuts &death : takeReplaced(watch, listed, Relay::now())) {
        onDeath(death, "address_taken");
    }
}

void SuspectKeeper::onDeath(const EndpointCuts &death, std::string_view sign)
{
    SuspectBook &book = m_relay.state().suspects;
    const TimePoint now = Relay::now();
    forgetOldSuspects(book, now);
    noteContact();
    const EndpointDeath noted{death.id, {}, death.dataCentre, death.askedFrom, {}};
    std::set<std::uint64_t> fingerprints;
    std::vector<SuspectNotice> notices;
    for (const CutRun &run : death.runs) {
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
        const bool byItself = run.trial && book.hearsFleet;
        if (!noteSuspect(book, noted, run.fingerprint, {run.sentAt, byItself, byItself})) {
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
void SuspectKeeper::logDeath(const EndpointCuts &death, std::string_view sign) const
{
    const SuspectBook &book = m_relay.state().suspects;
    std::string requests;
    for (std::size_t i = 0; i < std::min(death.runs.size(), m_options.maxShown); ++i) {
        const std::uint64_t fingerprint = death.runs[i].fingerprint;
        requests.append(requests.empty() ? "" : " ")
            .append(fingerprintText(fingerprint))
            .append(1, ':')
            .append(std::to_string(soundDeaths(book, fingerprint).size()))
            .append(1, ':')
            .append(enumName(VerdictNames, verdictOn(book, fingerprint, Relay::now())));
    }
    m_relay.log().write("endpoint_died",
                        {{"endpoint", std::string_view(death.id.value)},
                         {"service", std::string_view(death.service)},
                         {"sign", sign},
                         {"known_after_ms", toSeconds(Relay::now() - death.askedFrom) * 1000},
                         {"under_way", static_cast<std::int64_t>(death.runs.size())},
                         {"requests", std::string_view(requests)}});
}

void SuspectKeeper::noteContact()
{
    m_relay.state().suspects.hearsFleet = !hearsFleet || hearsFleet();
}

void SuspectKeeper::judgeLater(std::set<std::uint64_t> fingerprints)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, m_options.suspects.settle);
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
    SuspectBook &book = m_relay.state().suspects;
    const TimePoint now = Relay::now();
    noteContact();
    const auto judged = m_judged.find(fingerprint);
    const bool nothingNew = judged != m_judged.end() && soundDeaths(book, fingerprint).size() <= judged->second;
    if (nothingNew || refusedFor(book, fingerprint, now) > Duration::zero()
        || judge(book, fingerprint, now) != Verdict::Convicted) {
        return;
    }
    noteJudged(fingerprint);
    ++m_relay.counters().convictions;
    logRequest("suspect_convicted", fingerprint);
    SuspectNotice notice;
    notice.fingerprint = fingerprint;
    notice.status = SuspectStatus::Convicted;
    notice.refuseFor = refusedFor(book, fingerprint, now);
    if (tell) {
        tell({notice});
    }
    keepRecord(fingerprint);
}

// A verdict that has ended is given again for a further death only.
void SuspectKeeper::noteJudged(std::uint64_t fingerprint)
{
    m_judged[fingerprint] = soundDeaths(m_relay.state().suspects, fingerprint).size();
}

void SuspectKeeper::onNotices(const std::vector<SuspectNotice> &notices)
{
    SuspectBook &book = m_relay.state().suspects;
    const TimePoint now = Relay::now();
    std::set<std::uint64_t> toJudge;
    std::set<std::uint64_t> spokenFor;
    for (const SuspectNotice &notice : notices) {
        const std::uint64_t fingerprint = notice.fingerprint;
        if (notice.status == SuspectStatus::Convicted) {
            recordConviction(book, fingerprint, now + std::min(notice.refuseFor, book.options.refuseFor));
            noteJudged(fingerprint);
        } else if (notice.status == SuspectStatus::Cleared) {
            pardon(book, fingerprint);
            const auto known = m_records.find(fingerprint);
            if (known != m_records.end() && (known->second.writing || known->second.ownWrite)) {
                remove(fingerprint);
            }
        } else {
            const TimePoint at = now - notice.age;
            InFlight run;
            run.trial = notice.trial;
            if (notice.ranFor) {
                run.sentAt = at - *notice.ranFor;
            }
            noteSuspect(book, {notice.endpoint, notice.host, notice.dataCentre, at, {}}, fingerprint, run);
            if (wasAnsweredSince(m_relay.state().recentAnswers, fingerprint, at - m_options.answerClears)) {
                spokenFor.insert(fingerprint);
            }
            if (soundDeaths(book, fingerprint).size() >= book.options.deathsToConvict) {
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

void SuspectKeeper::onTrialWanted(const TrialWish &wish, std::function<void(bool)> done)
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

void SuspectKeeper::claimTrial(const TrialWish &wish, std::function<void(bool)> done)
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
    if (found != endpoints.end() && !found->second.gone) {
        return Relay::now() >= known.seenAt + m_options.trialLimit;
    }
    // Its router has told nothing, and the endpoint is no more.
    SuspectBook &book = m_relay.state().suspects;
    noteSuspect(book,
                {trial->endpoint, {}, {}, Relay::now(), {}},
                fingerprint,
                {std::nullopt, book.hearsFleet, book.hearsFleet});
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

void SuspectKeeper::onWholeAnswer(std::uint64_t fingerprint)
{
    RelayState &state = m_relay.state();
    forgetCutsOf(state.crashWatch, fingerprint);
    m_labels.erase(fingerprint);
    m_ownTrials.erase(fingerprint);
    const auto known = m_records.find(fingerprint);
    const bool recorded = known != m_records.end() && known->second.revision != 0;
    if (verdictOn(state.suspects, fingerprint, Relay::now()) == Verdict::Unsuspected && !recorded) {
        return;
    }
    pardon(state.suspects, fingerprint);
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
        || verdictOn(m_relay.state().suspects, fingerprint, Relay::now()) == Verdict::Unsuspected) {
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

void SuspectKeeper::keepRecord(std::uint64_t fingerprint)
{
    const SuspectBook &book = m_relay.state().suspects;
    const auto found = m_records.find(fingerprint);
    const bool recorded = found != m_records.end() && found->second.revision != 0;
    const bool worthIt = soundDeaths(book, fingerprint).size() >= deathsToRecord(book);
    if (!recorded && !worthIt) {
        return;
    }
    const SuspectRecord record = recordOf(fingerprint);
    if (!recorded && !hasRoomFor(record.label)) {
        ++m_relay.counters().suspectsUnrecorded;
        return;
    }
    if (m_records[fingerprint].writing) {
        m_unwritten.insert(fingerprint);
        return;
    }
    write(fingerprint, record, [this, fingerprint](StoreStatus status) {
        if (status != StoreStatus::Ok) {
            m_unwritten.insert(fingerprint);
        }
    });
}

bool SuspectKeeper::hasRoomFor(const SuspectLabel &label) const
{
    const auto ofCustomer = std::count_if(m_records.begin(), m_records.end(), [&label](const auto &entry) {
        return entry.second.record.label.customer == label.customer;
    });
    return m_records.size() < m_options.maxRecords
        && static_cast<std::size_t>(ofCustomer) < m_options.maxRecordsPerCustomer;
}

SuspectRecord SuspectKeeper::recordOf(std::uint64_t fingerprint)
{
    const SuspectBook &book = m_relay.state().suspects;
    SuspectRecord record;
    const auto known = m_records.find(fingerprint);
    if (known != m_records.end() && known->second.revision != 0) {
        record = known->second.record;
    } else if (const auto label = m_labels.find(fingerprint); label != m_labels.end()) {
        record.label = label->second;
    }
    record.deaths.clear();
    for (const EndpointDeath *death : soundDeaths(book, fingerprint)) {
        record.deaths.push_back({death->endpoint,
                                 runTime(*death, fingerprint).value_or(Duration::zero()),
                                 death->tried.count(fingerprint) != 0});
    }
    record.convicted = refusedFor(book, fingerprint, Relay::now()) > Duration::zero();
    const auto own = m_ownTrials.find(fingerprint);
    if (own != m_ownTrials.end()) {
        record.trial = SuspectTrial{m_options.self, own->second};
    } else if (record.trial) {
        const auto &counted = record.deaths;
        const bool ended = record.trial->router == m_options.self
            || std::any_of(counted.begin(), counted.end(), [&record](const SuspectDeath &death) {
                               return death.endpoint == record.trial->endpoint;
                           });
        if (ended) {
            record.trial.reset();
        }
    }
    return record;
}

void SuspectKeeper::write(std::uint64_t fingerprint, const SuspectRecord &record, std::function<void(StoreStatus)> done)
{
    KnownRecord &known = m_records[fingerprint];
    known.writing = true;
    StoreTransaction transaction;
    transaction.conditions.push_back({keyOf(fingerprint), known.revision});
    transaction.puts.push_back({keyOf(fingerprint), encodeSuspectRecord(record), 0});
    m_store.transact(transaction, [this, fingerprint, record, done = std::move(done)](const StoreWriteReply &reply) {
        KnownRecord &written = m_records[fingerprint];
        written.writing = false;
        if (reply.status == StoreStatus::Ok) {
            written.record = record;
            written.revision = reply.revision;
            written.seenAt = Relay::now();
            written.inCopy = false;
            written.ownWrite = true;
        } else if (reply.status == StoreStatus::ConditionFailed) {
            takeStanding(fingerprint, reply);
        }
        done(reply.status);
    });
}

void SuspectKeeper::remove(std::uint64_t fingerprint)
{
    KnownRecord &known = m_records[fingerprint];
    if (known.writing) {
        m_unremoved.insert(fingerprint);
        return;
    }
    known.writing = true;
    StoreTransaction transaction;
    transaction.conditions.push_back({keyOf(fingerprint), known.revision});
    transaction.removals.push_back(keyOf(fingerprint));
    m_store.transact(transaction, [this, fingerprint](const StoreWriteReply &reply) {
        m_records[fingerprint].writing = false;
        if (reply.status == StoreStatus::Ok) {
            forgetRecord(fingerprint, reply.revision);
            return;
        }
        if (reply.status == StoreStatus::ConditionFailed) {
            takeStanding(fingerprint, reply);
        }
        if (m_records.count(fingerprint) != 0) {
            m_unremoved.insert(fingerprint);
        }
    });
}

void SuspectKeeper::takeStanding(std::uint64_t fingerprint, const StoreWriteReply &reply)
{
    if (!reply.standing) {
        return;
    }
    for (const StoreItem &item : *reply.standing) {
        if (item.key == keyOf(fingerprint)) {
            take(fingerprint, item);
            return;
        }
    }
    m_records[fingerprint].revision = 0;
}

void SuspectKeeper::take(std::uint64_t fingerprint, const StoreItem &item)
{
    const auto removed = m_removedAt.find(fingerprint);
    if (removed != m_removedAt.end() && item.revision <= removed->second) {
        return;
    }
    const auto known = m_records.find(fingerprint);
    if (known != m_records.end() && item.revision <= known->second.revision) {
        return;
    }
    const auto record = decodeSuspectRecord(item.value);
    if (!record) {
        m_relay.log().write("suspect_unreadable", {{"key", std::string_view(item.key)}});
        return;
    }
    const TimePoint now = Relay::now();
    KnownRecord &taken = m_records[fingerprint];
    taken.record = *record;
    taken.revision = item.revision;
    taken.seenAt = now;
    taken.ownWrite = false;
    SuspectBook &book = m_relay.state().suspects;
    // Before all that comes from here on, and one after another.
    TimePoint at = now - book.options.settle;
    for (auto death = record->deaths.rbegin(); death != record->deaths.rend(); ++death) {
        at -= std::chrono::seconds(1);
        InFlight run;
        run.certain = true;
        run.trial = death->trial;
        if (death->ranFor > Duration::zero()) {
            run.sentAt = at - death->ranFor;
        }
        if (!hadPartInDeathOf(book, fingerprint, death->endpoint, {})) {
            noteSuspect(book, {death->endpoint, {}, {}, at, {}}, fingerprint, run);
        }
        at -= death->ranFor;
    }
    if (record->convicted && refusedFor(book, fingerprint, now) == Duration::zero()) {
        recordConviction(book, fingerprint, now + termFor(book, fingerprint));
        noteJudged(fingerprint);
    }
}

void SuspectKeeper::onRecords(const std::map<std::string, StoreItem> &items)
{
    std::map<std::uint64_t, std::uint64_t> revisions;
    for (const auto &[key, item] : items) {
        m_firstDeaths.onItem(item);
        if (const auto fingerprint = fingerprintOf(key.substr(std::min(key.size(), m_options.prefix.size())))) {
            revisions[*fingerprint] = item.revision;
            take(*fingerprint, item);
        }
    }
    std::vector<std::uint64_t> gone;
    for (auto &[fingerprint, known] : m_records) {
        const auto found = revisions.find(fingerprint);
        if (found != revisions.end()) {
            known.inCopy = found->second == known.revision;
        } else if (known.inCopy && !known.writing) {
            gone.push_back(fingerprint);
        }
    }
    for (const std::uint64_t fingerprint : gone) {
        // An operator or another router has lifted it.
        logRequest("suspect_lifted", fingerprint);
        pardon(m_relay.state().suspects, fingerprint);
        forgetRecord(fingerprint, m_records.at(fingerprint).revision);
    }
    noteTrialEndpoints();
}

void SuspectKeeper::forgetRecord(std::uint64_t fingerprint, std::uint64_t revision)
{
    m_records.erase(fingerprint);
    m_judged.erase(fingerprint);
    m_unwritten.erase(fingerprint);
    m_unremoved.erase(fingerprint);
    if (m_removedAt.size() >= m_options.maxRecords) {
        m_removedAt.erase(m_removedAt.begin());
    }
    m_removedAt[fingerprint] = revision;
}

void SuspectKeeper::step()
{
    const TimePoint now = Relay::now();
    forgetOldSuspects(m_relay.state().suspects, now);
    if (m_labels.size() >= m_options.maxLabels) {
        m_labels.clear();
    }
    noteContact();
    tellCleared();
    onListed();
    m_firstDeaths.onBookChanged();
    for (auto it = m_judged.begin(); it != m_judged.end();) {
        const bool over =
            m_records.count(it->first) == 0 && refusedFor(m_relay.state().suspects, it->first, now) == Duration::zero();
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
        const auto sound = soundDeaths(m_relay.state().suspects, fingerprint);
        // One that shared its deaths with another may be told apart now that the other has been answered.
        if (!sound.empty() && now >= sound.back()->at + m_options.suspects.settle) {
            judgeNow(fingerprint);
        }
        const bool unused = known.revision == 0 && !known.writing && sound.empty();
        it = unused ? m_records.erase(it) : std::next(it);
    }
    for (const auto &[fingerprint, known] : m_records) {
        if (known.revision != 0 && now > known.seenAt + m_options.suspects.memory) {
            remove(fingerprint);
            return;
        }
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

std::string SuspectKeeper::keyOf(std::uint64_t fingerprint) const
{
    return m_options.prefix + fingerprintText(fingerprint);
}

void SuspectKeeper::logRequest(std::string_view event, std::uint64_t fingerprint)
{
    const SuspectRecord record = recordOf(fingerprint);
    const std::string text = fingerprintText(fingerprint);
    const Duration refused = refusedFor(m_relay.state().suspects, fingerprint, Relay::now());
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
