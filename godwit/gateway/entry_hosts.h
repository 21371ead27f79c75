#pragma once

// Which hosts callers are told of.
//
// Callers choose among the addresses of an answer by lot, so that each listed host gets the same part of the load,
// whatever it can take. Where hosts differ much, a host with a tenth of a core and a slow link gets as many requests as
// one with half a core, chokes, and its callers wait for seconds while the large hosts are idle. So only the large
// hosts are listed as long as they can carry everything; else all are.
//
// Pure. Example:
//   const double least = minAdvertisedCapacity(hosts, options);
//   if (host.capacity >= least) { ... list it ... }

#include "godwit/gateway/allowed_regions.h"

#include <string>
#include <vector>

namespace Godwit
{

struct EntryHost
{
    double capacity = 0; // Requests a second that it can take.
    double load = 0; // Requests a second that it lately got.
};

struct EntryHostOptions
{
    // Processor time of one request with all its events, and bytes that it moves over the host's link both ways, both
    // measured at a router that served a usual mix: 1 ms, and some 9 KB each way.
    double coreSecondsPerRequest = 0.001;
    double linkBytesPerRequest = 20'000;
    // Hosts are of one kind when the smaller has at least this part of the larger's capacity.
    double sameClassRatio = 0.5;
    // Hosts are planned to be loaded up to this part of their capacity, so that a burst of 1.5 times and the loss of
    // some of them still fit.
    double targetUtilization = 0.5;
};

// Requests a second that a host with these limits can take.
double requestCapacity(double cores, double linkMbps, const EntryHostOptions &options);

// The least capacity that a listed host has. All hosts of the largest kind are listed.
double minAdvertisedCapacity(std::vector<EntryHost> hosts, const EntryHostOptions &options);

// A router that takes requests.
struct EntryAddress
{
    std::string address;
    RegionId region;
    bool advertised = false; // Callers are told of it as long as one of these is left.
};

// Where a caller should connect: routers in `regions` before all others, and of those the listed ones.
std::vector<std::string> addressesForRegions(const std::vector<EntryAddress> &hosts, const AllowedRegions &regions);

} // namespace Godwit
