#pragma once

// Chooses the router hosts that a caller should use.
//
// Rendezvous hashing keeps each customer on few hosts, so that its budget is divided into few parts, and moves only the
// customers of a host that fails. A host whose load exceeds the bound diverts a part of its callers. A pure function of
// its arguments: all routers choose the same hosts for a customer from the same view of the fleet.
//
// Example:
//   const AddressAnswer answer = chooseAddresses(live, customer, options);
//   // The caller connects to answer.addresses.front(), and to the next one when that fails.

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Godwit
{

struct RouterAddress
{
    HostId host;
    DataCentreId dataCentre;
    // What callers connect to, such as "10.0.1.7:8080".
    std::string address;
    bool leaving = false;
    // Traffic of the router, in any unit that is the same for all routers.
    double load = 0;
};

struct AddressOptions
{
    // Fraction of the traffic of the whole fleet that is of this customer, from 0 to 1.
    double customerShare = 0;
    // Least number of hosts in the answer, also for the smallest customer: one to use and the others as fallbacks.
    int minHosts = 2;
    // Hosts in the answer for each host's worth of the customer's traffic.
    double spread = 1.5;
    // Callers are diverted from a host whose load exceeds this multiple of the mean.
    double loadBound = 1.25;
    // Data centre of the caller, empty when unknown. Its hosts come first in the answer.
    DataCentreId callerDataCentre;
    // Should differ between answers, such as a random number or a counter. Spreads the callers of a customer over its
    // hosts.
    std::uint64_t selector = 0;
    Duration ttl = std::chrono::seconds(30);
};

struct AddressAnswer
{
    // In the order of preference. Empty when no router is live.
    std::vector<std::string> addresses;
    // Time after which the caller should request a new answer.
    Duration ttl{};
};

// Chooses among the `live` routers for a caller of `customer`. Leaving hosts are included only when all hosts are
// leaving.
AddressAnswer chooseAddresses(const std::vector<RouterAddress> &live,
                              const CustomerId &customer,
                              const AddressOptions &options);

} // namespace Godwit
