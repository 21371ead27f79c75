#include "godwit/suspects/suspects.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Godwit
{
namespace
{

bool holds(const EndpointDeath &death, std::uint64_t fingerprint)
{
    return std::binary_search(death.fingerprints.begin(), death.fingerprints.end(), fingerprint);
}

bool sameTime(const SuspectBook &book, TimePoint a, TimePoint b)
{
    return a - b <= book.options.settle && b - a <= book.options.settle;
}

EndpointDeath *findDeath(SuspectBook &book, const EndpointId &endpoint, TimePoint at)
{
    for (auto it = book.deaths.rbegin(); it != book.deaths.rend(); ++it) {
        if (it->endpoint == endpoint && sameTime(book, it->at, at)) {
            return &*it;
        }
    }
    return nullptr;
}

void forgetCount(SuspectBook &book, std::uint64_t fingerprint)
{
    const auto found = book.deathCount.find(fingerprint);
    if (found != book.deathCount.end() && --found->second == 0) {
        book.deathCount.erase(found);
    }
}

void dropFirstDeath(SuspectBook &book)
{
    for (const auto fingerprint : book.deaths.front().fingerprints) {
        forgetCount(book, fingerprint);
    }
    book.deaths.pop_front();
}

EndpointDeath &deathFor(SuspectBook &book, const EndpointDeath &death)
{
    if (auto *known = findDeath(book, death.endpoint, death.at)) {
        return *known;
    }
    if (book.deaths.size() >= book.options.maxDeaths) {
        dropFirstDeath(book);
    }
    const auto place = std::upper_bound(
        book.deaths.begin(), book.deaths.end(), death.at, [](TimePoint at, const EndpointDeath &other) {
            return at < other.at;
        });
    EndpointDeath fresh = death;
    fresh.fingerprints.clear();
    fresh.sentAt.clear();
    fresh.certain.clear();
    fresh.tried.clear();
    return *book.deaths.insert(place, std::move(fresh));
}

// Deaths at the same moment that the fingerprint had no part in: of this host, and of any other endpoint.
struct Coincidence
{
    bool sameHost = false;
    std::size_t endpoints = 0;
};

Coincidence coincidenceWith(const SuspectBook &book, const EndpointDeath &death, std::uint64_t fingerprint)
{
    Coincidence result;
    std::set<EndpointId> others;
    for (const auto &other : book.deaths) {
        // A death that is laid to a request is no sign of a failure of the network.
        if (other.endpoint == death.endpoint || !sameTime(book, other.at, death.at) || holds(other, fingerprint)
            || !other.certain.empty()) {
            continue;
        }
        others.insert(other.endpoint);
        result.sameHost = result.sameHost || (!death.host.value.empty() && other.host == death.host);
    }
    result.endpoints = others.size();
    return result;
}

// A request crashes the endpoint that runs it and no other. When a host, a switch or a data centre goes, endpoints die
// together that share no request; without this rule whoever was retried from one of them to another is condemned.
bool isSound(const SuspectBook &book, const EndpointDeath &death, std::uint64_t fingerprint)
{
    if (death.certain.count(fingerprint) != 0) {
        return true;
    }
    const auto coincidence = coincidenceWith(book, death, fingerprint);
    return !coincidence.sameHost && coincidence.endpoints < book.options.unrelatedDeaths;
}

// Whether a call was sent there only after `before`, so that it may be what ended both. One that was in flight at
// several endpoints when they died together has ended one of them at most.
bool cameAfter(const EndpointDeath &death, std::uint64_t fingerprint, const EndpointDeath &before)
{
    const auto sent = death.sentAt.find(fingerprint);
    return sent == death.sentAt.end() || sent->second >= before.at;
}

// Whether another fingerprint may be to blame for all of the deaths as well.
bool isAmbiguous(const std::vector<const EndpointDeath *> &deaths, std::uint64_t fingerprint)
{
    const auto &first = deaths.front()->fingerprints;
    return std::any_of(first.begin(), first.end(), [&](std::uint64_t other) {
        if (other == fingerprint) {
            return false;
        }
        for (std::size_t i = 1; i < deaths.size(); ++i) {
            if (!holds(*deaths[i], other) || !cameAfter(*deaths[i], other, *deaths[i - 1])) {
                return false;
            }
        }
        return true;
    });
}

// Whether no other request was at this death that has part in another one. A suspect of one death goes anywhere, also
// to the endpoint of a trial.
bool isAloneAt(const SuspectBook &book, const EndpointDeath &death, std::uint64_t fingerprint)
{
    const auto isOtherSuspect = [&](std::uint64_t other) {
        return other != fingerprint && book.deathCount.at(other) > 1;
    };
    // What came from a record stands apart from what was told: its time is not known.
    return std::none_of(book.deaths.begin(), book.deaths.end(), [&](const EndpointDeath &known) {
        return known.endpoint == death.endpoint
            && std::any_of(known.fingerprints.begin(), known.fingerprints.end(), isOtherSuspect);
    });
}

std::ptrdiff_t trialsOf(const SuspectBook &book,
                        const std::vector<const EndpointDeath *> &deaths,
                        std::uint64_t fingerprint)
{
    return std::count_if(deaths.begin(), deaths.end(), [&](const EndpointDeath *death) {
        return isTrialOf(book, *death, fingerprint);
    });
}

} // namespace

bool noteSuspect(SuspectBook &book, const EndpointDeath &death, std::uint64_t fingerprint, const InFlight &run)
{
    if (book.deathCount.size() >= book.options.maxFingerprints && book.deathCount.count(fingerprint) == 0) {
        return false;
    }
    EndpointDeath &known = deathFor(book, death);
    if (run.sentAt) {
        auto &sentAt = known.sentAt.emplace(fingerprint, *run.sentAt).first->second;
        sentAt = std::min(sentAt, *run.sentAt);
    }
    if (run.certain || run.trial) {
        known.certain.insert(fingerprint);
    }
    if (run.trial) {
        known.tried.insert(fingerprint);
    }
    auto &fingerprints = known.fingerprints;
    const auto place = std::lower_bound(fingerprints.begin(), fingerprints.end(), fingerprint);
    if (place != fingerprints.end() && *place == fingerprint) {
        return false;
    }
    fingerprints.insert(place, fingerprint);
    ++book.deathCount[fingerprint];
    return true;
}

void noteUnrelatedDeath(SuspectBook &book, const EndpointDeath &death)
{
    deathFor(book, death);
}

std::vector<std::uint64_t> clearDeath(SuspectBook &book, const EndpointId &endpoint, TimePoint at)
{
    auto *death = findDeath(book, endpoint, at);
    if (!death) {
        return {};
    }
    auto fingerprints = death->fingerprints;
    for (const auto fingerprint : fingerprints) {
        forgetCount(book, fingerprint);
    }
    book.deaths.erase(std::find_if(book.deaths.begin(), book.deaths.end(), [&](const EndpointDeath &other) {
        return &other == death;
    }));
    return fingerprints;
}

void clearSuspect(SuspectBook &book, const EndpointId &endpoint, std::uint64_t fingerprint)
{
    for (auto &death : book.deaths) {
        if (death.endpoint != endpoint || !holds(death, fingerprint)) {
            continue;
        }
        auto &list = death.fingerprints;
        list.erase(std::lower_bound(list.begin(), list.end(), fingerprint));
        death.sentAt.erase(fingerprint);
        death.certain.erase(fingerprint);
        death.tried.erase(fingerprint);
        forgetCount(book, fingerprint);
    }
}

void pardon(SuspectBook &book, std::uint64_t fingerprint)
{
    std::set<EndpointId> endpoints;
    for (const auto *death : deathsOf(book, fingerprint)) {
        endpoints.insert(death->endpoint);
    }
    for (const auto &endpoint : endpoints) {
        clearSuspect(book, endpoint, fingerprint);
    }
    book.refusedUntil.erase(fingerprint);
}

Verdict verdictOn(const SuspectBook &book, std::uint64_t fingerprint, TimePoint now)
{
    if (refusedFor(book, fingerprint, now) > Duration::zero()) {
        return Verdict::Convicted;
    }
    return book.deathCount.count(fingerprint) != 0 ? Verdict::Suspected : Verdict::Unsuspected;
}

Verdict judge(SuspectBook &book, std::uint64_t fingerprint, TimePoint now)
{
    const auto sound = soundDeaths(book, fingerprint);
    const bool shown = sound.size() >= book.options.deathsToConvict
        && (!book.options.trialConvicts || trialsOf(book, sound, fingerprint) > 0);
    if (!shown || !book.hearsFleet || isAmbiguous(sound, fingerprint)) {
        return verdictOn(book, fingerprint, now);
    }
    recordConviction(book, fingerprint, now + termFor(book, fingerprint));
    return Verdict::Convicted;
}

bool isTrialOf(const SuspectBook &book, const EndpointDeath &death, std::uint64_t fingerprint)
{
    return death.tried.count(fingerprint) != 0 && isAloneAt(book, death, fingerprint);
}

std::optional<Duration> runTime(const EndpointDeath &death, std::uint64_t fingerprint)
{
    const auto sent = death.sentAt.find(fingerprint);
    return sent == death.sentAt.end() ? std::nullopt : std::optional(death.at - sent->second);
}

Duration termFor(const SuspectBook &book, std::uint64_t fingerprint)
{
    const SuspectOptions &options = book.options;
    const auto sound = soundDeaths(book, fingerprint);
    const bool again =
        options.trialConvicts ? trialsOf(book, sound, fingerprint) > 1 : sound.size() > options.deathsToConvict;
    return again ? options.refuseFor : options.firstRefuseFor;
}

std::vector<const EndpointDeath *> soundDeaths(const SuspectBook &book, std::uint64_t fingerprint)
{
    std::vector<const EndpointDeath *> sound;
    std::optional<Duration> longestRun;
    for (const auto *death : deathsOf(book, fingerprint)) {
        const bool known = std::any_of(sound.begin(), sound.end(), [&](const EndpointDeath *other) {
            return other->endpoint == death->endpoint;
        });
        const bool follows = sound.empty() || cameAfter(*death, fingerprint, *sound.back());
        const auto ran = runTime(*death, fingerprint);
        // What kills its endpoint within a moment does not run for seconds elsewhere.
        const bool outlived =
            ran && longestRun && *ran > book.options.longerRunFactor * *longestRun + book.options.longerRunSlack;
        if (!known && follows && !outlived && isSound(book, *death, fingerprint)) {
            sound.push_back(death);
            longestRun = ran ? std::max(longestRun.value_or(*ran), *ran) : longestRun;
        }
    }
    return sound;
}

void recordConviction(SuspectBook &book, std::uint64_t fingerprint, TimePoint until)
{
    if (book.refusedUntil.size() >= book.options.maxFingerprints && book.refusedUntil.count(fingerprint) == 0) {
        return;
    }
    auto &known = book.refusedUntil[fingerprint];
    known = std::max(known, until);
}

bool isWidespreadFailure(const SuspectBook &book, TimePoint at)
{
    std::set<EndpointId> endpoints;
    std::optional<std::vector<std::uint64_t>> common;
    for (const auto &death : book.deaths) {
        if (!sameTime(book, death.at, at)) {
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
    return endpoints.size() > book.options.unrelatedDeaths && common->empty();
}

const EndpointDeath *lastDeathOf(const SuspectBook &book, std::uint64_t fingerprint)
{
    const auto deaths = deathsOf(book, fingerprint);
    return deaths.empty() ? nullptr : deaths.back();
}

bool hadPartInDeathOf(const SuspectBook &book,
                      std::uint64_t fingerprint,
                      const EndpointId &endpoint,
                      const HostId &host)
{
    const auto deaths = deathsOf(book, fingerprint);
    return std::any_of(deaths.begin(), deaths.end(), [&](const EndpointDeath *death) {
        return death->endpoint == endpoint || (!host.value.empty() && death->host == host);
    });
}

std::vector<const EndpointDeath *> deathsOf(const SuspectBook &book, std::uint64_t fingerprint)
{
    std::vector<const EndpointDeath *> deaths;
    if (book.deathCount.count(fingerprint) == 0) {
        return deaths;
    }
    for (const auto &death : book.deaths) {
        if (holds(death, fingerprint)) {
            deaths.push_back(&death);
        }
    }
    return deaths;
}

Duration refusedFor(const SuspectBook &book, std::uint64_t fingerprint, TimePoint now)
{
    const auto found = book.refusedUntil.find(fingerprint);
    return found == book.refusedUntil.end() || found->second <= now ? Duration::zero() : found->second - now;
}

std::size_t suspectRank(const SuspectBook &book, std::uint64_t fingerprint)
{
    const auto *death = lastDeathOf(book, fingerprint);
    if (!death) {
        return 0;
    }
    const auto count = [&](std::uint64_t suspect) {
        const auto found = book.deathCount.find(suspect);
        return found == book.deathCount.end() ? 0 : found->second;
    };
    const int own = count(fingerprint);
    return static_cast<std::size_t>(
        std::count_if(death->fingerprints.begin(), death->fingerprints.end(), [&](std::uint64_t other) {
            const int deaths = count(other);
            return deaths > own || (deaths == own && other < fingerprint);
        }));
}

void forgetOldSuspects(SuspectBook &book, TimePoint now)
{
    while (!book.deaths.empty() && book.deaths.front().at + book.options.memory < now) {
        dropFirstDeath(book);
    }
    for (auto it = book.refusedUntil.begin(); it != book.refusedUntil.end();) {
        it = it->second <= now ? book.refusedUntil.erase(it) : std::next(it);
    }
}

} // namespace Godwit
