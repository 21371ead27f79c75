#pragma once

// Selects the hosts that are advertised to callers.
//
// Callers pick randomly among the advertised addresses, so each advertised host receives the same share of the load,
// regardless of its capacity. If hosts differ widely, a host with a tenth of a core and a slow link receives as many
// requests as one with half a core. It is overloaded, and its callers wait for seconds while the large hosts are idle.
// Therefore only the large hosts are advertised as long as they can carry the whole load, and all hosts otherwise.
//
// Pure functions. Example:
//   const double least = minAdvertisedCapacity(hosts, options);
//   if (host.capacity >= least) { ... advertise it ... }

#include "godwit/gateway/allowed_regions.h"

#include <string>
#include <vector>

namespace Godwit
{

struct EntryHost
{
    double capacity = 0; // Requests per second that it can serve.
    double load = 0; // Requests per second that it recently received.
};

struct EntryHostOptions
{
    // Processor time of one request with all its events, and the bytes that it moves over the host's link in both
    // directions. A typical mix of requests takes 1 ms and about 9 KB in each direction.
    double coreSecondsPerRequest = 0.001;
    double linkBytesPerRequest = 20'000;
    // Hosts belong to the same size class if the smaller has at least this fraction of the larger one's capacity.
    double sameClassRatio = 0.5;
    // Planned load as a fraction of the capacity. Leaves room for a burst of 1.5 times the load and the loss of some
    // hosts.
    double targetUtilization = 0.5;
};

// Requests per second that a host with these limits can serve.
double requestCapacity(double cores, double linkMbps, const EntryHostOptions &options);

// Returns the lowest capacity of an advertised host. All hosts of the largest size class are advertised.
double minAdvertisedCapacity(std::vector<EntryHost> hosts, const EntryHostOptions &options);

// A router that accepts requests.
struct EntryAddress
{
    std::string address;
    RegionId region;
    bool advertised = false; // Preferred over hosts that are not advertised.
    double capacity = 0; // Requests per second that the host can serve.
    bool partitioned = false; // Reaches endpoints only through other routers, which other hosts do not need.
};

// Withdraws the advertisement of partitioned hosts if the other advertised hosts can carry `load` requests per second.
void avoidPartitioned(std::vector<EntryAddress> &hosts, double load, const EntryHostOptions &options);

// Returns the addresses to which a caller should connect: the advertised hosts in `regions`, or else the other hosts
// there, or else hosts of any region by the same rule.
std::vector<std::string> addressesForRegions(const std::vector<EntryAddress> &hosts, const AllowedRegions &regions);

} // namespace Godwit
