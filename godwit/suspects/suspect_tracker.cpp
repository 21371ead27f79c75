#include "godwit/suspects/suspect_tracker.h"

#include "godwit/suspects/suspect_key.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Godwit
{
namespace
{

bool wasInFlight(const EndpointDeath &death, std::uint64_t fingerprint)
{
    return std::binary_search(death.fingerprints.begin(), death.fingerprints.end(), fingerprint);
}

bool withinCoincidenceWindow(const SuspectTracker &tracker, TimePoint a, TimePoint b)
{
    return a - b <= tracker.options.coincidenceWindow && b - a <= tracker.options.coincidenceWindow;
}

EndpointDeath *findDeath(SuspectTracker &tracker, const EndpointId &endpoint, TimePoint at)
{
    for (auto it = tracker.deaths.rbegin(); it != tracker.deaths.rend(); ++it) {
        if (it->endpoint == endpoint && withinCoincidenceWindow(tracker, it->at, at)) {
            return &*it;
        }
    }
    return nullptr;
}

void decrementDeathCount(SuspectTracker &tracker, std::uint64_t fingerprint)
{
    const auto found = tracker.deathCount.find(fingerprint);
    if (found != tracker.deathCount.end() && --found->second == 0) {
        tracker.deathCount.erase(found);
    }
}

void removeOldestDeath(SuspectTracker &tracker)
{
    for (const auto fingerprint : tracker.deaths.front().fingerprints) {
        decrementDeathCount(tracker, fingerprint);
    }
    tracker.deaths.pop_front();
}

EndpointDeath &findOrInsertDeath(SuspectTracker &tracker, const EndpointDeath &death)
{
    if (auto *known = findDeath(tracker, death.endpoint, death.at)) {
        return *known;
    }
    if (tracker.deaths.size() >= tracker.options.maxDeaths) {
        removeOldestDeath(tracker);
    }
    const auto position = std::upper_bound(
        tracker.deaths.begin(), tracker.deaths.end(), death.at, [](TimePoint at, const EndpointDeath &other) {
            return at < other.at;
        });
    EndpointDeath newDeath = death;
    newDeath.fingerprints.clear();
    newDeath.sentAt.clear();
    newDeath.alwaysAttributed.clear();
    newDeath.trialFingerprints.clear();
    return *tracker.deaths.insert(position, std::move(newDeath));
}

// Other endpoints that died within the coincidence window without the fingerprint in flight.
struct Coincidence
{
    bool sameHost = false;
    std::size_t endpoints = 0;
};

Coincidence coincidenceWith(const SuspectTracker &tracker, const EndpointDeath &death, std::uint64_t fingerprint)
{
    Coincidence result;
    std::set<EndpointId> others;
    for (const auto &other : tracker.deaths) {
        // A death that is already attributed to a request does not indicate a network failure.
        if (other.endpoint == death.endpoint || !withinCoincidenceWindow(tracker, other.at, death.at)
            || wasInFlight(other, fingerprint) || !other.alwaysAttributed.empty()) {
            continue;
        }
        others.insert(other.endpoint);
        result.sameHost = result.sameHost || (!death.host.value.empty() && other.host == death.host);
    }
    result.endpoints = others.size();
    return result;
}

// A request crashes only the endpoint that runs it. When a host, switch or data centre fails, endpoints without a
// common request die together; without this rule, a request retried from one of them to another would be convicted.
bool isAttributable(const SuspectTracker &tracker, const EndpointDeath &death, std::uint64_t fingerprint)
{
    if (death.alwaysAttributed.count(fingerprint) != 0) {
        return true;
    }
    const auto coincidence = coincidenceWith(tracker, death, fingerprint);
    return !coincidence.sameHost && coincidence.endpoints < tracker.options.unrelatedDeathsThreshold;
}

// Whether the request may have been sent after the death `before`, and so may have caused both deaths. A request in
// flight at several endpoints that die together has caused at most one of these deaths. True if the send time is
// unknown.
bool wasSentAfter(const EndpointDeath &death, std::uint64_t fingerprint, const EndpointDeath &before)
{
    const auto sent = death.sentAt.find(fingerprint);
    return sent == death.sentAt.end() || sent->second >= before.at;
}

// Whether another fingerprint may have caused all of the deaths as well.
bool isAmbiguous(const std::vector<const EndpointDeath *> &deaths, std::uint64_t fingerprint)
{
    const auto &first = deaths.front()->fingerprints;
    return std::any_of(first.begin(), first.end(), [&](std::uint64_t other) {
        if (other == fingerprint || isPromptPart(other)) {
            return false;
        }
        for (std::size_t i = 1; i < deaths.size(); ++i) {
            if (!wasInFlight(*deaths[i], other) || !wasSentAfter(*deaths[i], other, *deaths[i - 1])) {
                return false;
            }
        }
        return true;
    });
}

// Whether `other` was in flight at all deaths of the fingerprint.
bool wasInFlightAtAllDeathsOf(const SuspectTracker &tracker, std::uint64_t fingerprint, std::uint64_t other)
{
    return std::all_of(tracker.deaths.begin(), tracker.deaths.end(), [&](const EndpointDeath &death) {
        return !wasInFlight(death, fingerprint) || wasInFlight(death, other);
    });
}

// Whether a part of a prompt is no other explanation for the deaths of the fingerprint: it may belong to it, or the
// fingerprint explains all deaths of the part as well.
bool isExplained(const SuspectTracker &tracker, std::uint64_t fingerprint, std::uint64_t part)
{
    return isPromptPart(part)
        && (wasInFlightAtAllDeathsOf(tracker, fingerprint, part)
            || wasInFlightAtAllDeathsOf(tracker, part, fingerprint));
}

// Whether no other request that was in flight at further deaths was at this endpoint. A request with one death is
// routed without restriction, also to an endpoint that runs a trial.
bool isOnlySuspectAt(const SuspectTracker &tracker, const EndpointDeath &death, std::uint64_t fingerprint)
{
    const auto isOtherSuspect = [&](std::uint64_t other) {
        return other != fingerprint && tracker.deathCount.at(other) > 1 && !isExplained(tracker, fingerprint, other);
    };
    // Covers all deaths of the endpoint: the times of deaths read from a stored record are unknown, so they are not
    // merged with the same deaths from notices.
    return std::none_of(tracker.deaths.begin(), tracker.deaths.end(), [&](const EndpointDeath &known) {
        return known.endpoint == death.endpoint
            && std::any_of(known.fingerprints.begin(), known.fingerprints.end(), isOtherSuspect);
    });
}

std::ptrdiff_t countIsolatedTrials(const SuspectTracker &tracker,
                                   const std::vector<const EndpointDeath *> &deaths,
                                   std::uint64_t fingerprint)
{
    return std::count_if(deaths.begin(), deaths.end(), [&](const EndpointDeath *death) {
        return isIsolatedTrial(tracker, *death, fingerprint);
    });
}

} // namespace

bool recordSuspect(SuspectTracker &tracker,
                   const EndpointDeath &death,
                   std::uint64_t fingerprint,
                   const InFlightRun &run)
{
    if (tracker.deathCount.size() >= tracker.options.maxFingerprints && tracker.deathCount.count(fingerprint) == 0) {
        return false;
    }
    EndpointDeath &known = findOrInsertDeath(tracker, death);
    if (run.sentAt) {
        auto &sentAt = known.sentAt.emplace(fingerprint, *run.sentAt).first->second;
        sentAt = std::min(sentAt, *run.sentAt);
    }
    if (run.alwaysAttributed || run.trial) {
        known.alwaysAttributed.insert(fingerprint);
    }
    if (run.trial) {
        known.trialFingerprints.insert(fingerprint);
    }
    auto &fingerprints = known.fingerprints;
    const auto position = std::lower_bound(fingerprints.begin(), fingerprints.end(), fingerprint);
    if (position != fingerprints.end() && *position == fingerprint) {
        return false;
    }
    fingerprints.insert(position, fingerprint);
    ++tracker.deathCount[fingerprint];
    return true;
}

void recordUnrelatedDeath(SuspectTracker &tracker, const EndpointDeath &death)
{
    findOrInsertDeath(tracker, death);
}

std::vector<std::uint64_t> retractDeath(SuspectTracker &tracker, const EndpointId &endpoint, TimePoint at)
{
    auto *death = findDeath(tracker, endpoint, at);
    if (!death) {
        return {};
    }
    auto fingerprints = death->fingerprints;
    for (const auto fingerprint : fingerprints) {
        decrementDeathCount(tracker, fingerprint);
    }
    tracker.deaths.erase(std::find_if(tracker.deaths.begin(), tracker.deaths.end(), [&](const EndpointDeath &other) {
        return &other == death;
    }));
    return fingerprints;
}

void clearEvidenceAt(SuspectTracker &tracker, const EndpointId &endpoint, std::uint64_t fingerprint)
{
    for (auto &death : tracker.deaths) {
        if (death.endpoint != endpoint || !wasInFlight(death, fingerprint)) {
            continue;
        }
        auto &list = death.fingerprints;
        list.erase(std::lower_bound(list.begin(), list.end(), fingerprint));
        death.sentAt.erase(fingerprint);
        death.alwaysAttributed.erase(fingerprint);
        death.trialFingerprints.erase(fingerprint);
        decrementDeathCount(tracker, fingerprint);
    }
}

void clearAllEvidence(SuspectTracker &tracker, std::uint64_t fingerprint)
{
    std::set<EndpointId> endpoints;
    for (const auto *death : deathsInvolving(tracker, fingerprint)) {
        endpoints.insert(death->endpoint);
    }
    for (const auto &endpoint : endpoints) {
        clearEvidenceAt(tracker, endpoint, fingerprint);
    }
    tracker.refusedUntil.erase(fingerprint);
}

Verdict verdictFor(const SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now)
{
    if (remainingRefusal(tracker, fingerprint, now) > Duration::zero()) {
        return Verdict::Convicted;
    }
    return tracker.deathCount.count(fingerprint) != 0 ? Verdict::Suspected : Verdict::Unsuspected;
}

Verdict evaluateSuspect(SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now)
{
    const auto attributable = attributableDeaths(tracker, fingerprint);
    const bool enoughEvidence = attributable.size() >= tracker.options.deathsToConvict
        && (!tracker.options.convictionRequiresTrial || countIsolatedTrials(tracker, attributable, fingerprint) > 0);
    if (!enoughEvidence || !tracker.connectedToPeers || isAmbiguous(attributable, fingerprint)) {
        return verdictFor(tracker, fingerprint, now);
    }
    recordConviction(tracker, fingerprint, now + refusalDurationFor(tracker, fingerprint));
    return Verdict::Convicted;
}

bool isIsolatedTrial(const SuspectTracker &tracker, const EndpointDeath &death, std::uint64_t fingerprint)
{
    return death.trialFingerprints.count(fingerprint) != 0 && isOnlySuspectAt(tracker, death, fingerprint);
}

std::optional<Duration> runTime(const EndpointDeath &death, std::uint64_t fingerprint)
{
    const auto sent = death.sentAt.find(fingerprint);
    return sent == death.sentAt.end() ? std::nullopt : std::optional(death.at - sent->second);
}

Duration refusalDurationFor(const SuspectTracker &tracker, std::uint64_t fingerprint)
{
    const SuspectOptions &options = tracker.options;
    const auto attributable = attributableDeaths(tracker, fingerprint);
    const bool repeated = options.convictionRequiresTrial ? countIsolatedTrials(tracker, attributable, fingerprint) > 1
                                                          : attributable.size() > options.deathsToConvict;
    return repeated ? options.refuseFor : options.firstRefuseFor;
}

std::vector<const EndpointDeath *> attributableDeaths(const SuspectTracker &tracker, std::uint64_t fingerprint)
{
    std::vector<const EndpointDeath *> attributable;
    std::optional<Duration> longestRun;
    for (const auto *death : deathsInvolving(tracker, fingerprint)) {
        const bool known = std::any_of(attributable.begin(), attributable.end(), [&](const EndpointDeath *other) {
            return other->endpoint == death->endpoint;
        });
        const bool follows = attributable.empty() || wasSentAfter(*death, fingerprint, *attributable.back());
        const auto ran = runTime(*death, fingerprint);
        // A request that crashes an endpoint within milliseconds does not run for seconds at another one.
        const bool ranMuchLonger =
            ran && longestRun && *ran > tracker.options.longerRunFactor * *longestRun + tracker.options.longerRunSlack;
        if (!known && follows && !ranMuchLonger && isAttributable(tracker, *death, fingerprint)) {
            attributable.push_back(death);
            longestRun = ran ? std::max(longestRun.value_or(*ran), *ran) : longestRun;
        }
    }
    return attributable;
}

void recordConviction(SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint until)
{
    if (tracker.refusedUntil.size() >= tracker.options.maxFingerprints
        && tracker.refusedUntil.count(fingerprint) == 0) {
        return;
    }
    auto &known = tracker.refusedUntil[fingerprint];
    known = std::max(known, until);
}

bool isWidespreadFailure(const SuspectTracker &tracker, TimePoint at)
{
    std::set<EndpointId> endpoints;
    std::optional<std::vector<std::uint64_t>> common;
    for (const auto &death : tracker.deaths) {
        if (!withinCoincidenceWindow(tracker, death.at, at)) {
            continue;
        }
        endpoints.insert(death.endpoint);
        if (!common) {
            common = death.fingerprints;
            continue;
        }
        std::vector<std::uint64_t> both;
        std::set_intersection(common->begin(),
                              common->end(),
                              death.fingerprints.begin(),
                              death.fingerprints.end(),
                              std::back_inserter(both));
        common = std::move(both);
    }
    return endpoints.size() > tracker.options.unrelatedDeathsThreshold && common->empty();
}

const EndpointDeath *lastDeathInvolving(const SuspectTracker &tracker, std::uint64_t fingerprint)
{
    const auto deaths = deathsInvolving(tracker, fingerprint);
    return deaths.empty() ? nullptr : deaths.back();
}

bool wasInFlightAtDeathOf(const SuspectTracker &tracker,
                          std::uint64_t fingerprint,
                          const EndpointId &endpoint,
                          const HostId &host)
{
    const auto deaths = deathsInvolving(tracker, fingerprint);
    return std::any_of(deaths.begin(), deaths.end(), [&](const EndpointDeath *death) {
        return death->endpoint == endpoint || (!host.value.empty() && death->host == host);
    });
}

std::vector<const EndpointDeath *> deathsInvolving(const SuspectTracker &tracker, std::uint64_t fingerprint)
{
    std::vector<const EndpointDeath *> deaths;
    if (tracker.deathCount.count(fingerprint) == 0) {
        return deaths;
    }
    for (const auto &death : tracker.deaths) {
        if (wasInFlight(death, fingerprint)) {
            deaths.push_back(&death);
        }
    }
    return deaths;
}

Duration remainingRefusal(const SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now)
{
    const auto found = tracker.refusedUntil.find(fingerprint);
    return found == tracker.refusedUntil.end() || found->second <= now ? Duration::zero() : found->second - now;
}

std::size_t suspectRank(const SuspectTracker &tracker, std::uint64_t fingerprint)
{
    const auto *death = lastDeathInvolving(tracker, fingerprint);
    if (!death) {
        return 0;
    }
    const auto count = [&](std::uint64_t suspect) {
        const auto found = tracker.deathCount.find(suspect);
        return found == tracker.deathCount.end() ? 0 : found->second;
    };
    const int own = count(fingerprint);
    return static_cast<std::size_t>(
        std::count_if(death->fingerprints.begin(), death->fingerprints.end(), [&](std::uint64_t other) {
            const int deaths = count(other);
            return deaths > own || (deaths == own && other < fingerprint);
        }));
}

void removeExpiredSuspects(SuspectTracker &tracker, TimePoint now)
{
    while (!tracker.deaths.empty() && tracker.deaths.front().at + tracker.options.retention < now) {
        removeOldestDeath(tracker);
    }
    for (auto it = tracker.refusedUntil.begin(); it != tracker.refusedUntil.end();) {
        it = it->second <= now ? tracker.refusedUntil.erase(it) : std::next(it);
    }
}

} // namespace Godwit
