#pragma once

// Which requests were under way at an endpoint when their connections ended, until it is known whether it has died.
//
// A connection that ends proves no death: the endpoint's others go on. A port that refuses does, and so does another
// endpoint at the same address, if later. An endpoint that leaves, or is listed no more, ends as planned.
//
// Pure: time is passed in.
//
// Example:
//   if (recordInterruption(watch, endpoint, run, now)) { ...ask the endpoint's port... }
//   if (const auto death = takeCrash(watch, endpoint.id)) { ...its runs were under way... }

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
    // An endpoint that starts at once accepts again before its port is asked; its new entry comes within this time.
    Duration replacementTimeout = std::chrono::seconds(8);
    std::size_t maxAttemptsPerEndpoint = 256;
};

// One run that ended with its connection.
struct InterruptedAttempt
{
    std::uint64_t fingerprint = 0;
    TimePoint sentAt;
    TimePoint interruptedAt;
    bool trial = false; // Of a request that is tried by itself.
};

struct EndpointInterruptions
{
    EndpointId id;
    std::string service;
    std::string address;
    DataCentreId dataCentre;
    bool probing = false; // Its port has been asked and has not answered.
    TimePoint probedSince; // The first cut that the open or latest question is about.
    std::vector<InterruptedAttempt> attempts;
};

struct CrashDetector
{
    CrashDetectorOptions options;
    std::map<EndpointId, EndpointInterruptions> interruptions;
};

// Returns whether the endpoint's port is to be asked now; an open question serves this cut as well.
bool recordInterruption(CrashDetector &detector, const ListedEndpoint &endpoint, const InterruptedAttempt &attempt);

// The endpoint's port refuses: it has died, with the runs that were cut since its port was asked.
std::optional<EndpointInterruptions> takeCrash(CrashDetector &detector, const EndpointId &endpoint);

// The endpoint's port accepts, or doesn't answer. Returns the trials among the runs that were asked for.
std::vector<InterruptedAttempt> recordNoCrash(CrashDetector &detector, const EndpointId &endpoint);

// Endpoints whose address another one has now, with the runs that were cut last. Forgets cuts that are too old to be
// explained.
std::vector<EndpointInterruptions> takeReplacedEndpoints(CrashDetector &detector,
                                                         const std::vector<ListedEndpoint> &listed,
                                                         TimePoint now);

// A request was answered whole, so that none of its cuts was its doing.
void forgetInterruptionsOf(CrashDetector &detector, std::uint64_t fingerprint);

} // namespace Godwit
