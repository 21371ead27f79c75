#pragma once

// The configuration of the operators, as used by the gateway.
//
// The platform's adapter decodes the operators' format into these types once; nothing here depends on that format. A
// document is complete: a newer version replaces an older one as a whole.

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/gateway/cold_start.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Godwit
{

// How often a request may be executed.
enum class GatewayRouteKind {
    Idempotent, // Any number of times.
    NonIdempotent, // At most once.
    Streaming, // At most once, unless the route's streams are resumable. The response is an event stream.
};

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

struct GatewayRoute
{
    RouteId name;
    std::string host; // Lower case, without a port.
    std::string pathPrefix; // Starts and ends with a slash.
    GatewayRouteKind kind = GatewayRouteKind::NonIdempotent;
    // Longest time until the end of the response.
    Duration timeout = std::chrono::seconds(30);
    // Target time until the response, or the first event of a stream.
    Duration latencyTarget = std::chrono::seconds(1);
    int priority = 0; // 0 is the most urgent.
    std::vector<WeightedService> services; // At least one.
    int maxEndpoints = 1; // Number of endpoints on which one request may be executed.
    bool open = false; // Requires no customer key.
    bool cachesPrompts = false; // Requests declare their prompt segments; send equal prefixes to the same endpoint.
    bool resumable = false; // A stream may be resumed at another endpoint after its last event.
    std::vector<RegionId> allowedRegions; // Regions whose endpoints may execute its requests; empty: all.
};

// Properties of the model engine of a service.
struct EngineTraits
{
    int slots = 0; // Requests that run concurrently.
    Tokens cacheTokens = 0;
    Tokens tokensPerEvent = 1; // Maximum number of output tokens in one event of a stream.
};

struct GatewayService
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; // Of all callers together; 0: unlimited.
    std::optional<EngineTraits> engine;
    ColdStartLimit coldStart;
};

// Limits for what a caller sends, and for how long it takes.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 1024UL * 1024;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

struct PrepaidCustomer
{
    CustomerId name;
    std::vector<std::string> keys;
    std::optional<int> priority; // Overrides the priority of the route.
    std::optional<Tokens> prepaid; // Total that the customer may use; unset: unlimited.
    std::vector<RegionId> allowedRegions; // As for a route; both restrictions apply.
};

struct SiteDocument
{
    std::uint64_t version = 0;
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    std::vector<PrepaidCustomer> customers;
    bool keysRequired = false; // The document defines customers: requests require a key unless their route is open.
    CallerLimits limits;
};

} // namespace Godwit
