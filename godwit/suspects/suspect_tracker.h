#pragma once

// Requests that may crash endpoints: who was in flight when an endpoint died, and who is to be refused.
//
// One death makes all calls in flight there suspects and condemns nobody. A fingerprint is convicted when it is the
// only one found at SuspectOptions::deathsToConvict sound deaths of different endpoints, each of which it reached after
// the one before. A death is sound when it is no part of a failure of a host or of the network, which shows by deaths
// at the same moment that the fingerprint had no part in. Judgement waits until such deaths must have shown
// (SuspectOptions::settle). Where several routers send the same request, one of the deaths must be of a trial besides
// (SuspectOptions::trialConvicts).
//
// Example:
//   noteSuspect(book, death, call.fingerprint, now);
//   ...
//   if (judge(book, call.fingerprint, now) == Verdict::Convicted) { ...refuse... }

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
    // Deaths so close together may have one cause.
    Duration coincidenceWindow = std::chrono::milliseconds(300);
    // How long a death counts against those who were in flight. Longer than refuseFor: a request that comes back after
    // its refusal and crashes a further endpoint is refused again at once.
    Duration retention = std::chrono::hours(2);
    std::size_t deathsToConvict = 2;
    // Whether one of them must be of a trial, with no other suspect at that endpoint. Deaths that routers saw apart may
    // all be of another request, which met this one at each of them.
    bool convictionRequiresTrial = false;
    // How long a fingerprint is refused that was convicted with just so many deaths, and with more; where trials
    // convict, at the first one and at a further one.
    Duration firstRefuseFor = std::chrono::hours(1);
    Duration refuseFor = std::chrono::hours(1);
    // A death after a run that was so much longer than those at the deaths before does not count.
    int longerRunFactor = 4;
    Duration longerRunSlack = std::chrono::seconds(1);
    // So many deaths at once that a fingerprint had no part in clear it.
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
    // Who was in flight, sorted. Empty for a failure to connect, which is evidence of a host failure only.
    std::vector<std::uint64_t> fingerprints;
    // When the calls were sent that died here, where that is known; the earliest of a fingerprint.
    std::unordered_map<std::uint64_t, TimePoint> sentAt;
    // Of these fingerprints it was a trial, or the death was counted before: no coincidence speaks for them.
    std::set<std::uint64_t> alwaysAttributed;
    // Of these it was a trial.
    std::set<std::uint64_t> trialFingerprints;
};

// How a call came to be in flight at a death.
struct InFlightRun
{
    std::optional<TimePoint> sentAt;
    bool alwaysAttributed = false; // As EndpointDeath::certain.
    bool trial = false; // As EndpointDeath::tried; such a death is certain.
};

enum class Verdict {
    Unsuspected,
    Suspected,
    Convicted,
};

struct SuspectTracker
{
    SuspectOptions options;
    // Whether what other routers see reaches this one. Without their answers, and while they send it too, a death says
    // little of a request: nobody is convicted, and what looks guilty waits.
    bool connectedToPeers = true;
    // By time; bounded.
    std::deque<EndpointDeath> deaths;
    std::unordered_map<std::uint64_t, TimePoint> refusedUntil;
    // In how many deaths a fingerprint stands, so that innocents cost one look-up.
    std::unordered_map<std::uint64_t, int> deathCount;
};

// Notes that `fingerprint` was in flight when the endpoint died; joins a death of that endpoint at about that time.
// Returns whether this was new.
bool recordSuspect(SuspectTracker &tracker,
                   const EndpointDeath &death,
                   std::uint64_t fingerprint,
                   const InFlightRun &run = {});

// Notes a failure that nobody is suspected of.
void recordUnrelatedDeath(SuspectTracker &tracker, const EndpointDeath &death);

// Takes a death back: the endpoint had not died. Returns the fingerprints that it held.
std::vector<std::uint64_t> retractDeath(SuspectTracker &tracker, const EndpointId &endpoint, TimePoint at);

// Takes all deaths of `endpoint` back for one fingerprint.
void clearEvidenceAt(SuspectTracker &tracker, const EndpointId &endpoint, std::uint64_t fingerprint);

// Takes everything back that is held against a fingerprint: an answer of it came whole, or an operator says so.
void clearAllEvidence(SuspectTracker &tracker, std::uint64_t fingerprint);

// What is known by now. Suspected while a death counts against it or is not settled.
Verdict verdictFor(const SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now);

// Decides on a fingerprint whose last death has settled; a conviction is recorded.
Verdict evaluateSuspect(SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now);

// Records another router's conviction.
void recordConviction(SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint until);

// Whether many endpoints that share no fingerprint died at about `at`.
bool isWidespreadFailure(const SuspectTracker &tracker, TimePoint at);

// The latest death that the fingerprint had part in.
const EndpointDeath *lastDeathInvolving(const SuspectTracker &tracker, std::uint64_t fingerprint);

// Whether the fingerprint had part in a death of this endpoint or of another one of its host.
bool wasInFlightAtDeathOf(const SuspectTracker &tracker,
                          std::uint64_t fingerprint,
                          const EndpointId &endpoint,
                          const HostId &host);

// The deaths that the fingerprint had part in, the earliest first.
std::vector<const EndpointDeath *> deathsInvolving(const SuspectTracker &tracker, std::uint64_t fingerprint);

// The sound deaths of different endpoints that count against it, the earliest first.
std::vector<const EndpointDeath *> attributableDeaths(const SuspectTracker &tracker, std::uint64_t fingerprint);

// Whether the death was of a trial of the fingerprint, in which it was the only suspect.
bool isIsolatedTrial(const SuspectTracker &tracker, const EndpointDeath &death, std::uint64_t fingerprint);

// How long the earliest call of a fingerprint had been there when the endpoint died, where that is known.
std::optional<Duration> runTime(const EndpointDeath &death, std::uint64_t fingerprint);

// How long a fingerprint is refused that is convicted by what is known now.
Duration refusalDurationFor(const SuspectTracker &tracker, std::uint64_t fingerprint);

// How long a conviction still holds; zero when there is none.
Duration remainingRefusal(const SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now);

// The place of the fingerprint among all that share its latest death, the most suspected first. Equal at all routers
// that know the same deaths, so that each suspect can be tried at an endpoint of its own.
std::size_t suspectRank(const SuspectTracker &tracker, std::uint64_t fingerprint);

// Drops what is too old to count.
void removeExpiredSuspects(SuspectTracker &tracker, TimePoint now);

} // namespace Godwit
