#pragma once

// Collects attempts whose connections to an endpoint broke, until it is known whether the endpoint has crashed.
//
// A broken connection alone does not prove a crash, because the endpoint's other connections may continue. A port that
// refuses connections does, and so does, later, another endpoint that is listed with the same address. Endpoints that
// are draining or no longer listed end as planned.
//
// Pure functions: time is passed in.
//
// Example:
//   if (recordInterruption(detector, endpoint, attempt)) { ... probe the endpoint's port ... }
//   if (const auto crash = takeCrash(detector, endpoint.id)) { ... crash->attempts were in flight ... }

#include "godwit/base/time.h"
#include "godwit/gateway/endpoint_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

struct CrashDetectorOptions
{
    // A quickly restarted endpoint accepts connections again before its port is probed. Its new entry in the list is
    // expected within this time.
    Duration replacementTimeout = std::chrono::seconds(8);
    // Each request counts once for itself and once for each shared part of its prompt.
    std::size_t maxAttemptsPerEndpoint = 1024;
};

// An attempt whose connection broke.
struct InterruptedAttempt
{
    std::uint64_t fingerprint = 0; // Of the request; see request_identity.h.
    TimePoint sentAt;
    TimePoint interruptedAt;
    bool trial = false; // A suspect request was run in isolation.
};

struct EndpointInterruptions
{
    EndpointId id;
    std::string service;
    std::string address;
    DataCentreId dataCentre;
    bool probing = false; // A probe of its port is in flight.
    TimePoint probedSince; // The first interruption covered by the current or latest probe.
    std::vector<InterruptedAttempt> attempts;
};

struct CrashDetector
{
    CrashDetectorOptions options;
    std::map<EndpointId, EndpointInterruptions> interruptions;
};

// Records an interrupted attempt. Returns whether the endpoint's port has to be probed now; a probe in flight covers
// this attempt as well.
bool recordInterruption(CrashDetector &detector, const ListedEndpoint &endpoint, const InterruptedAttempt &attempt);

// Call when the endpoint's port refuses connections: the endpoint has crashed. Removes and returns its entry with the
// attempts that were interrupted since `probedSince`.
std::optional<EndpointInterruptions> takeCrash(CrashDetector &detector, const EndpointId &endpoint);

// Call when the endpoint's port accepts connections or the probe timed out. Returns those of the endpoint's attempts
// that are trials, once.
std::vector<InterruptedAttempt> recordNoCrash(CrashDetector &detector, const EndpointId &endpoint);

// Removes and returns the endpoints whose address now belongs to another endpoint, with the attempts interrupted since
// `probedSince`. Also drops entries that are older than `replacementTimeout`.
std::vector<EndpointInterruptions> takeReplacedEndpoints(CrashDetector &detector,
                                                         const std::vector<ListedEndpoint> &listed,
                                                         TimePoint now);

// Call when a request has received a complete response: it caused none of its interruptions.
void forgetInterruptionsOf(CrashDetector &detector, std::uint64_t fingerprint);

} // namespace Godwit
