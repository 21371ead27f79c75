#pragma once

// Tracks requests that may crash endpoints: which requests were in flight when an endpoint died, and which are refused.
//
// A single death makes every request in flight at the endpoint a suspect and convicts none. A fingerprint is convicted
// when it is the only one present at SuspectOptions::deathsToConvict attributable deaths of different endpoints and was
// sent to each of them after the previous one had died. A death is attributable to a fingerprint unless it is part of a
// host or network failure, which is recognised by coincident deaths that do not involve the fingerprint. Callers
// evaluate a fingerprint only after SuspectOptions::coincidenceWindow, when such deaths have been observed. Where
// several routers send the same request, one of the deaths must also come from a trial
// (SuspectOptions::convictionRequiresTrial).
//
// Not thread-safe. Time is passed in.
//
// Example:
//   recordSuspect(tracker, death, call.fingerprint, {call.sentAt});
//   ...
//   if (evaluateSuspect(tracker, call.fingerprint, now) == Verdict::Convicted) { ...refuse... }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Godwit
{

struct SuspectOptions
{
    // Deaths no further apart than this may have a common cause.
    Duration coincidenceWindow = std::chrono::milliseconds(300);
    // How long a death counts as evidence. Longer than refuseFor, so that a request that returns after its refusal and
    // crashes another endpoint is refused again at once.
    Duration retention = std::chrono::hours(2);
    std::size_t deathsToConvict = 2;
    // Whether one of these deaths must come from a trial with no other suspect at that endpoint. Deaths that several
    // routers observed independently may all be caused by another request that was in flight at each endpoint as well.
    bool convictionRequiresTrial = false;
    // Duration of a refusal: firstRefuseFor after exactly deathsToConvict deaths, refuseFor after more. With
    // convictionRequiresTrial: after the first death in a trial, and after further ones.
    Duration firstRefuseFor = std::chrono::hours(1);
    Duration refuseFor = std::chrono::hours(1);
    // A death does not count when the request had run for longer than longerRunFactor times its longest run at the
    // earlier deaths, plus longerRunSlack.
    int longerRunFactor = 4;
    Duration longerRunSlack = std::chrono::seconds(1);
    // A death is not attributed to a fingerprint when at least this many other endpoints died within
    // coincidenceWindow without the fingerprint in flight. One such death on the same host suffices.
    std::size_t unrelatedDeathsThreshold = 2;
    std::size_t maxDeaths = 256;
    std::size_t maxFingerprints = 20'000;
};

struct EndpointDeath
{
    EndpointId endpoint;
    HostId host;
    DataCentreId dataCentre;
    TimePoint at;
    // Requests in flight, sorted. Empty for a failure to connect, which is evidence of a host failure only.
    std::vector<std::uint64_t> fingerprints;
    // When the calls in flight were sent, where known; the earliest call of each fingerprint.
    std::unordered_map<std::uint64_t, TimePoint> sentAt;
    // Fingerprints that the death counts against regardless of coincident deaths: it ended their trial, or was counted
    // before.
    std::set<std::uint64_t> alwaysAttributed;
    // Fingerprints whose trial the death ended.
    std::set<std::uint64_t> trialFingerprints;
};

// The run of a request that was in flight at a death.
struct InFlightRun
{
    std::optional<TimePoint> sentAt;
    bool alwaysAttributed = false; // See EndpointDeath::alwaysAttributed.
    bool trial = false; // See EndpointDeath::trialFingerprints. Implies alwaysAttributed.
};

enum class Verdict {
    Unsuspected,
    Suspected,
    Convicted,
};

struct SuspectTracker
{
    SuspectOptions options;
    // Whether notices from other routers arrive. Without them a death is weak evidence, since other routers may send
    // the same request and get it answered: no request is convicted, and one with enough deaths for a conviction is
    // deferred for firstRefuseFor before its next trial.
    bool connectedToPeers = true;
    // In order of time; at most SuspectOptions::maxDeaths.
    std::deque<EndpointDeath> deaths;
    std::unordered_map<std::uint64_t, TimePoint> refusedUntil;
    // Number of retained deaths per fingerprint. Makes the check of an unsuspected request a single look-up.
    std::unordered_map<std::uint64_t, int> deathCount;
};

// Records that `fingerprint` was in flight when the endpoint died. Merges with a recorded death of that endpoint within
// the coincidence window. Returns false if the fingerprint was already recorded for this death, or if it is not tracked
// because of SuspectOptions::maxFingerprints.
bool recordSuspect(SuspectTracker &tracker,
                   const EndpointDeath &death,
                   std::uint64_t fingerprint,
                   const InFlightRun &run = {});

// Records a failure that no request is suspected of.
void recordUnrelatedDeath(SuspectTracker &tracker, const EndpointDeath &death);

// Removes a death after it turned out that the endpoint had not died. Returns the fingerprints recorded for it.
std::vector<std::uint64_t> retractDeath(SuspectTracker &tracker, const EndpointId &endpoint, TimePoint at);

// Removes one fingerprint from all recorded deaths of `endpoint`.
void clearEvidenceAt(SuspectTracker &tracker, const EndpointId &endpoint, std::uint64_t fingerprint);

// Removes all evidence against a fingerprint and its conviction, after a complete answer or on an operator's request.
void clearAllEvidence(SuspectTracker &tracker, std::uint64_t fingerprint);

// Returns the verdict without re-evaluating the evidence. Suspected while a recorded death involves the fingerprint.
Verdict verdictFor(const SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now);

// Evaluates the evidence against a fingerprint and records a conviction. To be called once the coincidence window of
// its last death has passed.
Verdict evaluateSuspect(SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now);

// Records a conviction, for example one by another router. Never shortens a refusal. Ignored when
// SuspectOptions::maxFingerprints convictions are recorded already.
void recordConviction(SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint until);

// Whether more than SuspectOptions::unrelatedDeathsThreshold endpoints died within the coincidence window around `at`
// without a fingerprint common to all of them.
bool isWidespreadFailure(const SuspectTracker &tracker, TimePoint at);

// The latest death that the fingerprint was in flight at; nullptr if there is none. Valid until the tracker changes.
const EndpointDeath *lastDeathInvolving(const SuspectTracker &tracker, std::uint64_t fingerprint);

// Whether the fingerprint was in flight at a death of this endpoint or of another endpoint on `host`. An empty host
// matches none.
bool wasInFlightAtDeathOf(const SuspectTracker &tracker,
                          std::uint64_t fingerprint,
                          const EndpointId &endpoint,
                          const HostId &host);

// The deaths that the fingerprint was in flight at, earliest first. Valid until the tracker changes.
std::vector<const EndpointDeath *> deathsInvolving(const SuspectTracker &tracker, std::uint64_t fingerprint);

// The deaths that count as evidence against the fingerprint, one per endpoint, earliest first. Valid until the tracker
// changes.
std::vector<const EndpointDeath *> attributableDeaths(const SuspectTracker &tracker, std::uint64_t fingerprint);

// Whether the death ended a trial of the fingerprint with no other suspect at the endpoint.
bool isIsolatedTrial(const SuspectTracker &tracker, const EndpointDeath &death, std::uint64_t fingerprint);

// How long the earliest call of the fingerprint had been at the endpoint when it died; nullopt if unknown.
std::optional<Duration> runTime(const EndpointDeath &death, std::uint64_t fingerprint);

// How long the fingerprint is refused if convicted on the current evidence.
Duration refusalDurationFor(const SuspectTracker &tracker, std::uint64_t fingerprint);

// Remaining time of a conviction; zero if there is none.
Duration remainingRefusal(const SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now);

// Index of the fingerprint among those in flight at its latest death, ordered by decreasing number of deaths. Identical
// on all routers with the same evidence, so that each suspect can be tried at a different endpoint.
std::size_t suspectRank(const SuspectTracker &tracker, std::uint64_t fingerprint);

// Removes deaths older than SuspectOptions::retention, and expired convictions.
void removeExpiredSuspects(SuspectTracker &tracker, TimePoint now);

} // namespace Godwit
