#include "godwit/suspects/suspect_admission.h"

#include <algorithm>

namespace Godwit
{

Admission admissionFor(const SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now)
{
    switch (verdictFor(tracker, fingerprint, now)) {
    case Verdict::Unsuspected:
        return Admission::Unrestricted;
    case Verdict::Convicted:
        return Admission::Refused;
    case Verdict::Suspected:
        break;
    }
    const auto attributable = attributableDeaths(tracker, fingerprint);
    if (attributable.size() + 1 < tracker.options.deathsToConvict) {
        return Admission::Unrestricted;
    }
    const bool waitsForPeers = !tracker.connectedToPeers && attributable.size() >= tracker.options.deathsToConvict;
    const Duration wait = waitsForPeers ? tracker.options.firstRefuseFor : tracker.options.coincidenceWindow;
    return now < attributable.back()->at + wait ? Admission::Deferred : Admission::Trial;
}

bool hasSpareEndpointForTrial(const SuspectTracker &tracker,
                              std::uint64_t fingerprint,
                              const std::vector<EndpointId> &endpoints,
                              Duration maxWait,
                              TimePoint now)
{
    constexpr std::ptrdiff_t minLiveEndpoints = 2;
    const auto alive = std::count_if(endpoints.begin(), endpoints.end(), [&tracker](const EndpointId &endpoint) {
        return std::none_of(tracker.deaths.begin(), tracker.deaths.end(), [&endpoint](const EndpointDeath &death) {
            return death.endpoint == endpoint;
        });
    });
    const EndpointDeath *last = lastDeathInvolving(tracker, fingerprint);
    return alive >= minLiveEndpoints || last == nullptr || now >= last->at + maxWait;
}

} // namespace Godwit
