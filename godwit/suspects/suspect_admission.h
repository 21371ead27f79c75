#pragma once

// Whether a request may be sent, by what endpoints did under it before.
//
// A request that may be to blame is tried by itself: one run of it in the fleet at a time, at an endpoint where no
// other suspect is tried. So each further death speaks against one request alone, and there are no more of them than it
// takes to be sure.

#include "godwit/suspects/suspect_tracker.h"

#include <vector>

namespace Godwit
{

enum class Admission {
    Unrestricted,
    Trial, // Only as the fleet's one run of it.
    Deferred, // Its last death may still turn out to be part of a larger failure, or others may know better.
    Refused, // Convicted.
};

Admission admissionFor(const SuspectTracker &tracker, std::uint64_t fingerprint, TimePoint now);

// Whether the service can spare an endpoint for a trial. Of `endpoints`, those that it lists, one more must be alive:
// else a request that takes down each one that it runs on would leave none for all others. After `patience` since its
// last death it is tried all the same, since some services never have two.
bool hasSpareEndpointForTrial(const SuspectTracker &tracker,
                              std::uint64_t fingerprint,
                              const std::vector<EndpointId> &endpoints,
                              Duration maxWait,
                              TimePoint now);

} // namespace Godwit
