#pragma once

// The first death under each request, as one value of the platform's store for the whole fleet. A further death has a
// record of its own (suspect_record.h). Without this value a request under which all routers ended after each death
// would never be at its second.
//
// Pure: time is passed in.
//
// Example:
//   const auto deaths = firstDeathsIn(book, now);
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
    Duration ranFor{}; // How long the request had been there; zero where that is not known.
    Duration age{}; // Since the death, when the value was made.
};

// Of requests that one endpoint died under: the latest deaths, and of each the runs that were shortest. What took part
// in a failure of many endpoints is left out.
std::vector<FirstDeath> collectFirstDeaths(const SuspectTracker &tracker, TimePoint now);

std::string encodeFirstDeaths(const std::vector<FirstDeath> &deaths);

// nullopt for text that is no such value.
std::optional<std::vector<FirstDeath>> decodeFirstDeaths(const std::string &text);

// Notes a death that another process saw, unless it is known.
void recordFirstDeath(SuspectTracker &tracker, const FirstDeath &death, TimePoint now);

} // namespace Godwit
