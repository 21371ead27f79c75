#include "godwit/gateway/route_table.h"

#include <algorithm>
#include <cctype>

namespace Godwit
{
namespace
{

std::string normalizeHost(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string text(host);
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key.push_back(' ');
    key.append(prefix);
    return key;
}

// Number of ranks of priority from which on a request can wait for more urgent ones. A route that is one rank less
// urgent serves people as well.
constexpr int DeferrableRanks = 2;

bool isLessUrgent(int priority, int mostUrgent)
{
    return priority >= mostUrgent + DeferrableRanks;
}

void findDeferrableRoutes(RouteTable &table)
{
    const auto &routes = table.document.routes;
    std::unordered_map<std::string_view, int> mostUrgent;
    for (const GatewayRoute &route : routes) {
        for (const WeightedService &entry : route.services) {
            const auto [found, isNew] = mostUrgent.emplace(entry.service, route.priority);
            found->second = std::min(found->second, route.priority);
        }
    }
    for (const GatewayRoute &route : routes) {
        int priority = route.priority;
        for (const WeightedService &entry : route.services) {
            priority = std::min(priority, mostUrgent[entry.service]);
        }
        table.mostUrgentPriorities.push_back(priority);
        table.hasDeferrableRoutes |= isLessUrgent(route.priority, priority);
    }
}

} // namespace

std::shared_ptr<const RouteTable> makeRouteTable(SiteDocument document)
{
    auto table = std::make_shared<RouteTable>();
    table->document = std::move(document);
    const SiteDocument &site = table->document;
    for (std::size_t i = 0; i < site.routes.size(); ++i) {
        const GatewayRoute &route = site.routes[i];
        table->routes.emplace(routeKey(normalizeHost(route.host), route.pathPrefix), i);
        if (!route.allowedRegions.empty()) {
            restrictTo(table->regionsByHost[normalizeHost(route.host)], route.allowedRegions);
        }
    }
    for (std::size_t i = 0; i < site.customers.size(); ++i) {
        for (const std::string &key : site.customers[i].keys) {
            table->customersByKey.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < site.services.size(); ++i) {
        table->services.emplace(site.services[i].name, i);
    }
    findDeferrableRoutes(*table);
    return table;
}

const GatewayRoute *findRoute(const RouteTable &table, std::string_view host, std::string_view target)
{
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    std::string key = routeKey(normalizeHost(host), path);
    const std::size_t hostLength = key.size() - path.size();
    // Prefixes begin and end with a slash, so only positions of slashes can be the end of one.
    for (auto slash = key.rfind('/'); slash != std::string::npos && slash >= hostLength; slash = key.rfind('/')) {
        key.resize(slash + 1);
        const auto found = table.routes.find(key);
        if (found != table.routes.end()) {
            return &table.document.routes[found->second];
        }
        key.resize(slash);
    }
    return nullptr;
}

AllowedRegions regionsOfHost(const RouteTable &table, std::string_view host)
{
    const auto found = table.regionsByHost.find(normalizeHost(host));
    return found == table.regionsByHost.end() ? AllowedRegions() : found->second;
}

const PrepaidCustomer *findCustomer(const RouteTable &table, const std::string &key)
{
    const auto found = table.customersByKey.find(key);
    return found == table.customersByKey.end() ? nullptr : &table.document.customers[found->second];
}

const GatewayService *findService(const RouteTable &table, const std::string &name)
{
    const auto found = table.services.find(name);
    return found == table.services.end() ? nullptr : &table.document.services[found->second];
}

bool isDeferrable(const RouteTable &table, const GatewayRoute &route, std::optional<int> customerPriority)
{
    const auto index = static_cast<std::size_t>(&route - table.document.routes.data());
    return table.hasDeferrableRoutes
        && isLessUrgent(customerPriority.value_or(route.priority), table.mostUrgentPriorities[index]);
}

const std::string &pickService(const GatewayRoute &route, std::uint64_t seed)
{
    std::uint64_t total = 0;
    for (const WeightedService &entry : route.services) {
        total += entry.weight;
    }
    std::uint64_t point = total == 0 ? 0 : seed % total;
    for (const WeightedService &entry : route.services) {
        if (point < entry.weight) {
            return entry.service;
        }
        point -= entry.weight;
    }
    return route.services.front().service;
}

} // namespace Godwit
