#include "godwit/config/site_config.h"

#include <algorithm>

namespace Godwit
{
namespace
{

bool validAt(const KeyDigest &key, WallTime now)
{
    return !key.notAfter || now <= *key.notAfter;
}

} // namespace

const CustomerConfig *customerByKeyDigest(const SiteConfig &site, const std::string &digest, WallTime now)
{
    const auto indexed = site.customersByKey.find(digest);
    if (indexed == site.customersByKey.end()) {
        return nullptr;
    }
    const CustomerConfig *customer = findCustomer(site, indexed->second);
    if (customer == nullptr || !customer->enabled) {
        return nullptr;
    }
    const bool valid = std::any_of(customer->keys.begin(), customer->keys.end(), [&](const KeyDigest &key) {
        return key.digest == digest && validAt(key, now);
    });
    return valid ? customer : nullptr;
}

const OperatorToken *tokenByDigest(const SiteConfig &site, const std::string &digest, WallTime now)
{
    const auto indexed = site.tokensByDigest.find(digest);
    if (indexed == site.tokensByDigest.end()) {
        return nullptr;
    }
    const OperatorToken &token = site.tokens[indexed->second];
    return validAt(token.key, now) ? &token : nullptr;
}

const CustomerConfig *findCustomer(const SiteConfig &site, const CustomerId &id)
{
    const auto found = site.customers.find(id);
    return found == site.customers.end() ? nullptr : &found->second;
}

const RouteConfig *findRoute(const SiteConfig &site, const RouteId &id)
{
    const auto found = site.routes.find(id);
    return found == site.routes.end() || !found->second.enabled ? nullptr : &found->second;
}

const EndpointConfig *findEndpoint(const SiteConfig &site, const EndpointId &id)
{
    const auto found = site.endpoints.find(id);
    return found == site.endpoints.end() ? nullptr : &found->second;
}

std::vector<const EndpointConfig *> endpointsOf(const SiteConfig &site, const RouteId &route)
{
    std::vector<const EndpointConfig *> endpoints;
    const auto indexed = site.endpointsByRoute.find(route);
    if (indexed == site.endpointsByRoute.end()) {
        return endpoints;
    }
    for (const EndpointId &id : indexed->second) {
        const EndpointConfig *endpoint = findEndpoint(site, id);
        if (endpoint != nullptr && endpoint->enabled) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

} // namespace Godwit
