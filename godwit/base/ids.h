#pragma once

// The identifiers and the unit of account that all components share.

#include "godwit/base/strong_id.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace Godwit
{

// Prepaid units. Model calls count generated and prompt tokens; a service call costs what its route says.
using Tokens = std::int64_t;

using CustomerId = StrongId<struct CustomerTag, std::string>;
// Unique in the whole system, not only within its customer.
using BudgetId = StrongId<struct BudgetTag, std::string>;
using RouteId = StrongId<struct RouteTag, std::string>;
using EndpointId = StrongId<struct EndpointTag, std::string>;
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
// Data centres close to each other form a region.
using RegionId = StrongId<struct RegionTag, std::string>;
// The name of a host as its settings give it. It outlives a restart.
using HostId = StrongId<struct HostTag, std::string>;
// One run of one router process: host name, a dot and a random suffix. It never returns after a restart.
using Incarnation = StrongId<struct IncarnationTag, std::string>;
// One call in the memory of one router; never sent to another process.
using CallId = StrongId<struct CallTag, std::uint64_t>;

// A caller's idempotency key within its customer. Two calls with equal keys are the same request.
struct RequestKey
{
    CustomerId customer;
    std::string id;

    friend bool operator==(const RequestKey &a, const RequestKey &b)
    {
        return a.customer == b.customer && a.id == b.id;
    }
    friend bool operator<(const RequestKey &a, const RequestKey &b)
    {
        return std::tie(a.customer, a.id) < std::tie(b.customer, b.id);
    }
};

} // namespace Godwit
