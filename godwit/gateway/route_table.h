#pragma once

// Lookup of the route, service and customer of a request in the current document.
//
// Immutable after construction: connections share one table, which is replaced with each version of the document.
//
// Example:
//   const auto table = makeRouteTable(document);
//   const GatewayRoute *route = findRoute(*table, "desk.example", "/booking/7?x=1");

#include "godwit/gateway/allowed_regions.h"
#include "godwit/gateway/site_document.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Godwit
{

struct RouteTable
{
    SiteDocument document;
    // From "host prefix" to the index in document.routes.
    std::unordered_map<std::string, std::size_t> routes;
    std::unordered_map<std::string, std::size_t> customersByKey;
    std::unordered_map<std::string, std::size_t> services;
    // Regions that all region-restricted routes of a host allow, by host. Hosts without such routes are missing.
    std::unordered_map<std::string, AllowedRegions> regionsByHost;
    // By the index in document.routes: the priority of the most urgent route that shares a service with the route.
    std::vector<int> mostUrgentPriorities;
    // Whether there are routes whose requests are deferrable unless the customer has a priority of its own.
    bool hasDeferrableRoutes = false;
};

std::shared_ptr<const RouteTable> makeRouteTable(SiteDocument document);

// Returns the route with the longest matching prefix of the path of `target`, or null. `host` may include a port and
// upper-case letters.
const GatewayRoute *findRoute(const RouteTable &table, std::string_view host, std::string_view target);

// Returns the regions where requests to `host` may be accepted on any of its routes. `host` may include a port and
// upper-case letters.
AllowedRegions regionsOfHost(const RouteTable &table, std::string_view host);

// Returns the customer with this key, or null.
const PrepaidCustomer *findCustomer(const RouteTable &table, const std::string &key);

const GatewayService *findService(const RouteTable &table, const std::string &name);

// Whether requests of the route, which must be one of the table's, may be deferred while the router's link is busy:
// there are more urgent requests to the same service, by two ranks of priority or more. `customerPriority` replaces
// that of the route. No request is deferrable if no route is.
bool isDeferrable(const RouteTable &table, const GatewayRoute &route, std::optional<int> customerPriority);

// Selects one of the route's services by weight. The result is the same for the same `seed`, so that repeated attempts
// go to the same service.
const std::string &pickService(const GatewayRoute &route, std::uint64_t seed);

} // namespace Godwit
