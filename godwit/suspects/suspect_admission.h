#pragma once

// Decides whether a request may be sent, given the endpoints that died while running it.
//
// A suspected request runs as a trial: one run in the fleet at a time, at an endpoint without a trial of another
// suspect. Each further death is then evidence against a single request, and no more endpoints are lost than a
// conviction needs.

#include "godwit/suspects/suspect_tracker.h"

#include <vector>

namespace Godwit
{

enum class Admission {
    Unrestricted,
    Trial, // Only as a trial: the only run of the request in the fleet.
    Deferred, // Its last death may be part of a wider failure, or notices of other routers are missing.
    Refused, // Convicted, for remainingRefusal().
};

Admission admissionFor(const SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now);

// Whether a trial leaves the service a live endpoint for other requests. `endpoints` are those that the service lists;
// two of them must be alive, since a request that crashes each endpoint it runs on would otherwise leave none. True
// regardless once `maxWait` has passed since the last death of the request, since some services never have two
// endpoints.
bool hasSpareEndpointForTrial(const SuspectTracker &tracker,
                              std::uint64_t fingerprint,
                              const std::vector<EndpointId> &endpoints,
                              Duration maxWait,
                              TimePoint now);

} // namespace Godwit
