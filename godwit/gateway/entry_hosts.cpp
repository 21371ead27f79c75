#include "godwit/gateway/entry_hosts.h"

#include "godwit/gateway/byte_rate_limiter.h"

#include <algorithm>

namespace Godwit
{

double requestCapacity(double cores, double linkMbps, const EntryHostOptions &options)
{
    return std::min(cores / options.coreSecondsPerRequest, bytesPerSecond(linkMbps) / options.linkBytesPerRequest);
}

double minAdvertisedCapacity(std::vector<EntryHost> hosts, const EntryHostOptions &options)
{
    std::sort(hosts.begin(), hosts.end(), [](const EntryHost &a, const EntryHost &b) {
        return a.capacity > b.capacity;
    });
    double load = 0;
    for (const EntryHost &host : hosts) {
        load += host.load;
    }
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const bool classEnds =
            i + 1 == hosts.size() || hosts[i + 1].capacity < options.sameClassRatio * hosts[i].capacity;
        const double each = load / static_cast<double>(i + 1);
        if (classEnds && each <= options.targetUtilization * hosts[i].capacity) {
            return hosts[i].capacity;
        }
    }
    return 0;
}

void avoidPartitioned(std::vector<EntryAddress> &hosts, double load, const EntryHostOptions &options)
{
    double capacity = 0;
    for (const EntryAddress &host : hosts) {
        capacity += host.advertised && !host.partitioned ? host.capacity : 0;
    }
    if (capacity <= 0 || options.targetUtilization * capacity < load) {
        return;
    }
    for (EntryAddress &host : hosts) {
        host.advertised = host.advertised && !host.partitioned;
    }
}

std::vector<std::string> addressesForRegions(const std::vector<EntryAddress> &hosts, const AllowedRegions &regions)
{
    std::vector<std::string> addresses;
    for (const AllowedRegions &allowed : {regions, AllowedRegions()}) {
        for (const bool advertisedOnly : {true, false}) {
            for (const EntryAddress &host : hosts) {
                if (isAllowed(allowed, host.region) && (host.advertised || !advertisedOnly)) {
                    addresses.push_back(host.address);
                }
            }
            if (!addresses.empty()) {
                return addresses;
            }
        }
    }
    return addresses;
}

} // namespace Godwit
