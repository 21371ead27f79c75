#include "godwit/gateway/allowed_regions.h"

namespace Godwit
{

void restrictTo(AllowedRegions &allowed, const std::vector<RegionId> &regions)
{
    if (regions.empty()) {
        return;
    }
    std::set<RegionId> both;
    for (const RegionId &region : regions) {
        if (isAllowed(allowed, region)) {
            both.insert(region);
        }
    }
    allowed = std::move(both);
}

bool isAllowed(const AllowedRegions &allowed, const RegionId &region)
{
    return !allowed || allowed->count(region) != 0;
}

RegionId regionOf(const std::map<DataCentreId, RegionId> &regions, const DataCentreId &dataCentre)
{
    const auto found = regions.find(dataCentre);
    return found == regions.end() ? RegionId() : found->second;
}

} // namespace Godwit
