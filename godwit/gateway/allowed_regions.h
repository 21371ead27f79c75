#pragma once

// The regions to which the operators have bound a route or a customer.
//
// Pure. Example:
//   AllowedRegions allowed;               // Anywhere.
//   restrictTo(allowed, route.allowedRegions);
//   restrictTo(allowed, customer.allowedRegions);
//   if (isAllowed(allowed, endpoint.region)) { ... }

#include "godwit/base/ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Godwit
{

// Unset: anywhere. An empty set: nowhere, when two bounds exclude each other.
using AllowedRegions = std::optional<std::set<RegionId>>;

// Keeps those that `regions` names too; an empty list binds nothing.
void restrictTo(AllowedRegions &allowed, const std::vector<RegionId> &regions);

bool isAllowed(const AllowedRegions &allowed, const RegionId &region);

// The region of a data centre; empty when it is not among `regions`.
RegionId regionOf(const std::map<DataCentreId, RegionId> &regions, const DataCentreId &dataCentre);

} // namespace Godwit
