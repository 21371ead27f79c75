#pragma once

// Finds route, service and customer of a request in the document in force.
//
// Immutable after its making: connections share one table and take a new one with each version.
//
// Example:
//   const auto table = makeRouteTable(document);
//   const GatewayRoute *route = findRoute(*table, "desk.example", "/booking/7?x=1");

#include "godwit/gateway/allowed_regions.h"
#include "godwit/gateway/site_document.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Godwit
{

struct RouteTable
{
    SiteDocument document;
    // "host prefix" to the index in document.routes.
    std::unordered_map<std::string, std::size_t> routes;
    std::unordered_map<std::string, std::size_t> customersByKey;
    std::unordered_map<std::string, std::size_t> services;
    // By host, where some of its routes are bound to regions: those that all of them allow.
    std::unordered_map<std::string, AllowedRegions> regionsByHost;
};

std::shared_ptr<const RouteTable> makeRouteTable(SiteDocument document);

// The route with the longest prefix of the path of `target`, or null. `host` may carry a port and capitals.
const GatewayRoute *findRoute(const RouteTable &table, std::string_view host, std::string_view target);

// Where requests to `host` may be taken in, whichever of its routes they use. The host may carry a port and capitals.
AllowedRegions regionsOfHost(const RouteTable &table, std::string_view host);

// The customer that holds `key`, or null.
const PrepaidCustomer *findCustomer(const RouteTable &table, const std::string &key);

const GatewayService *findService(const RouteTable &table, const std::string &name);

// One of the route's services by weight. Equal for equal `seed`: a repeated attempt goes to the same service.
const std::string &pickService(const GatewayRoute &route, std::uint64_t seed);

} // namespace Godwit
