#pragma once

// What the operators have put in force, as the gateway works with it.
//
// The adapter of the platform decodes the operators' own format into these values once; nothing here knows that
// format. A document is complete: a newer version replaces an older one as a whole.

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

// How often a request may run.
enum class GatewayRouteKind {
    Idempotent, // Any number of times.
    NonIdempotent, // Once at most.
    Streaming, // Once at most, unless the route's streams may be resumed. The answer is a series of events.
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
    std::string pathPrefix; // Begins and ends with a slash.
    GatewayRouteKind kind = GatewayRouteKind::NonIdempotent;
    // The longest that a caller is kept waiting for the end of its answer.
    Duration timeout = std::chrono::seconds(30);
    // Within this time the answer (of a stream: its first event) is worth most.
    Duration latencyTarget = std::chrono::seconds(1);
    int priority = 0; // 0 is the most urgent.
    std::vector<WeightedService> services; // At least one.
    int maxEndpoints = 1; // On how many endpoints one request may run.
    bool open = false; // Needs no customer's key.
    bool cachesPrompts = false; // Requests name the parts of their prompt; keep those together.
    bool resumable = false; // A stream may go on at another endpoint after its last event.
    std::vector<RegionId> allowedRegions; // The only ones whose endpoints may run it; empty: all.
};

// How a model engine batches, for services that have one.
struct EngineTraits
{
    int slots = 0;
    Tokens cacheTokens = 0;
    Tokens tokensPerEvent = 1; // Output tokens that one event of a stream holds at most.
};

struct GatewayService
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; // From all callers together; 0: not bounded.
    std::optional<EngineTraits> engine;
    ColdStartLimit coldStart;
};

// What a caller may send, and how long it may take.
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
    std::optional<int> priority; // Goes before the route's priority.
    std::optional<Tokens> prepaid; // All that the customer may use; absent: not bounded.
    std::vector<RegionId> allowedRegions; // As of a route; both bind.
};

struct SiteDocument
{
    std::uint64_t version = 0;
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    std::vector<PrepaidCustomer> customers;
    bool keysRequired = false; // The document names customers: requests need a key unless their route is open.
    CallerLimits limits;
};

} // namespace Godwit
