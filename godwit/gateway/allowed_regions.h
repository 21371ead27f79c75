#pragma once

// The regions to which the operators restrict a route or a customer.
//
// Pure functions. Example:
//   AllowedRegions allowed;               // Unrestricted.
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

// Unset: unrestricted. An empty set allows no region; it results from restrictions that exclude each other.
using AllowedRegions = std::optional<std::set<RegionId>>;

// Intersects `allowed` with `regions`; an empty list adds no restriction.
void restrictTo(AllowedRegions &allowed, const std::vector<RegionId> &regions);

bool isAllowed(const AllowedRegions &allowed, const RegionId &region);

// Returns the region of a data centre, or an empty id if `regions` does not list the data centre.
RegionId regionOf(const std::map<DataCentreId, RegionId> &regions, const DataCentreId &dataCentre);

} // namespace Godwit
