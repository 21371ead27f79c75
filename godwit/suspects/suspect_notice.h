#pragma once

// Notices that routers exchange about requests that may crash endpoints.

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <optional>

namespace Godwit
{

enum class SuspectStatus {
    Suspected, // The request was in flight at an endpoint that died.
    Cleared, // That death doesn't count. Without an endpoint: no death counts, since the request was answered
             // completely.
    Convicted, // The request crashed several endpoints in succession; refuse it.
};

struct SuspectNotice
{
    // Hash of customer, route and body, as in PendingCall::fingerprint.
    std::uint64_t fingerprint = 0;
    SuspectStatus status = SuspectStatus::Suspected;
    // The endpoint that died, its host (empty if unknown) and its data centre.
    EndpointId endpoint;
    HostId host;
    DataCentreId dataCentre;
    // For Suspected, if known: how long the request had been at the endpoint.
    std::optional<Duration> ranFor;
    // For Suspected: the request ran there as a trial.
    bool trial = false;
    // Time since the death, or since the verdict.
    Duration age{};
    // For Convicted: the remaining time of the refusal.
    Duration refuseFor{};
};

} // namespace Godwit
