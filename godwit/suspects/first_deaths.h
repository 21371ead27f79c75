#pragma once

// Requests that one endpoint died under, as a single value in the platform's store for the whole fleet. A request with
// more deaths has a record of its own (suspect_record.h). Without this value, a request would never reach its second
// death if all routers restarted after each death.
//
// Pure functions; time is passed in.
//
// Example:
//   const auto deaths = collectFirstDeaths(tracker, now);
//   const std::string value = encodeFirstDeaths(deaths);

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/suspects/suspect_tracker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

struct FirstDeath
{
    std::uint64_t fingerprint = 0;
    EndpointId endpoint;
    Duration ranFor{}; // How long the request had been at the endpoint; zero if unknown.
    Duration age{}; // Time from the death until the value was encoded.
};

// Collects the requests that one endpoint died under: the latest deaths first and, of each death, the shortest runs
// first. Deaths in a widespread failure are omitted, and the number of entries is bounded.
std::vector<FirstDeath> collectFirstDeaths(const SuspectTracker &tracker, TimePoint now);

std::string encodeFirstDeaths(const std::vector<FirstDeath> &deaths);

// Returns nullopt for malformed text.
std::optional<std::vector<FirstDeath>> decodeFirstDeaths(const std::string &text);

// Records a death that another process observed, unless it is known already.
void recordFirstDeath(SuspectTracker &tracker, const FirstDeath &death, TimePoint now);

} // namespace Godwit
