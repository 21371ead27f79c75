#pragma once

// The answer to callers that ask which router hosts to use.
//
// Rendezvous hashing keeps a customer on few hosts, so that its budget is held in few slices, and moves only the
// customers of a host that goes away. A host whose load is above the bound passes on a part of its callers. A pure
// function of its arguments: all routers give a customer the same hosts from the same view of the fleet.
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
    // Any measure of the traffic that it carries, in the same unit for all routers.
    double load = 0;
};

struct AddressOptions
{
    // The customer's part of the whole fleet's traffic, from 0 to 1.
    double customerShare = 0;
    // Hosts that even the smallest customer is given: one to use and others to turn to when it fails.
    int minHosts = 2;
    // Hosts given for each host's worth of the customer's traffic.
    double spread = 1.5;
    // A host's load may reach this multiple of the mean before callers are passed on.
    double loadBound = 1.25;
    // The caller's data centre, when it is known; its hosts come first in the answer.
    DataCentreId callerDataCentre;
    // Differs from answer to answer, such as a random number: spreads a customer's callers over its hosts.
    std::uint64_t selector = 0;
    Duration ttl = std::chrono::seconds(30);
};

struct AddressAnswer
{
    // In the order in which the caller should try them. Empty when no router is live.
    std::vector<std::string> addresses;
    // When the caller should ask again.
    Duration ttl{};
};

// Chooses among the `live` routers for a caller of `customer`. Leaving hosts are given only when no other is live.
AddressAnswer chooseAddresses(const std::vector<RouterAddress> &live,
                              const CustomerId &customer,
                              const AddressOptions &options);

} // namespace Godwit
