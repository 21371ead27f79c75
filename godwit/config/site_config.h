#pragma once

// The configuration of one site, typed and ready for lookup by the request path.
//
// Example:
//   if (const CustomerConfig *customer = customerByKeyDigest(site, digest, wallNow)) {
//       const RouteConfig *route = findRoute(site, RouteId{"shortlist"});
//   }

#include "godwit/base/enum_names.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Godwit
{

struct ConfigFile;

// What a customer weighs more when a budget runs low.
enum class BudgetTrade {
    FewRefusals, // Large held slices and forwarding: fewer false refusals, more platform calls near the end.
    LittleHeld, // Small held slices: less is stranded in a partition, more false refusals.
};

constexpr double FewRefusalsFraction = 0.9;
constexpr double LittleHeldFraction = 0.5;

constexpr EnumName<BudgetTrade> BudgetTradeNames[] = {
    {BudgetTrade::FewRefusals, "few_refusals"},
    {BudgetTrade::LittleHeld, "little_held"},
};

enum class RouteKind {
    Model,
    Service,
};

constexpr EnumName<RouteKind> RouteKindNames[] = {
    {RouteKind::Model, "model"},
    {RouteKind::Service, "service"},
};

enum class OperatorRole {
    Owner, // Sees and changes everything.
    Customer, // Sees and changes what belongs to one customer.
};

constexpr EnumName<OperatorRole> OperatorRoleNames[] = {
    {OperatorRole::Owner, "owner"},
    {OperatorRole::Customer, "customer"},
};

// The SHA-256 of a key or token in lower-case hex. Two digests with overlapping times make a rotation.
struct KeyDigest
{
    std::string name;
    std::string digest;
    std::optional<WallTime> notAfter; // Valid up to and including this moment.
};

struct CustomerConfig
{
    CustomerId id;
    std::vector<KeyDigest> keys;
    double share = 1.0; // Weight in the fair share of slots; greater than 0.
    int priorityCeiling = 5; // 0 (lowest) to 9; requests that ask for more get this.
    double requestsPerSecond = 0.0; // 0: no limit.
    double burst = 0.0; // Requests above the rate that may come at once.
    BudgetTrade trade = BudgetTrade::FewRefusals;
    // The part of a budget's rest that one router may hold, up to its own demand; 0 to 1. The trade decides it unless
    // it is written. docs/BUDGETS.md has the measured curve.
    double sliceFraction = FewRefusalsFraction;
    std::optional<BudgetId> defaultBudget;
    bool enabled = true;
};

struct RouteConfig
{
    RouteId id;
    RouteKind kind = RouteKind::Model;
    std::string model; // The engine's name of the model; empty for services.
    std::string path; // What a service is called under; empty for models.
    Tokens maxOutputDefault = 512;
    Tokens maxOutputCeiling = 4096;
    Tokens pricePerCall = 0; // Services only.
    bool repeatable = true; // What a request is when it doesn't say; services default to false.
    Duration deadline = std::chrono::seconds(60); // Default time for the whole answer.
    bool enabled = true;
};

struct EndpointConfig
{
    EndpointId id;
    std::string address; // "ip:port".
    std::vector<RouteId> routes;
    DataCentreId dataCentre;
    int slots = 8;
    bool checksFencing = false; // The engine refuses orders with an old fencing number.
    std::string group; // Engine group for orders; empty: takes no orders.
    bool enabled = true;
};

struct OperatorToken
{
    KeyDigest key;
    OperatorRole role = OperatorRole::Customer;
    CustomerId customer; // Empty for owners.
};

struct DataCentreConfig
{
    DataCentreId id;
    std::string region;
};

struct RouterLimits
{
    std::size_t maxQueue = 1024; // Calls that wait for a slot, per router.
    double maxQueueSeconds = 5.0; // The longest expected wait that is still queued.
    std::size_t maxInFlight = 4096;
    double addressTtlSeconds = 10.0; // How long callers keep an address answer.
    int addressesPerCustomer = 2; // Hosts over which one customer is spread.
};

struct SiteConfig
{
    std::uint64_t revision = 0;
    DataCentreId site;
    std::map<CustomerId, CustomerConfig> customers;
    std::map<RouteId, RouteConfig> routes;
    std::map<EndpointId, EndpointConfig> endpoints;
    std::map<DataCentreId, DataCentreConfig> dataCentres;
    std::vector<OperatorToken> tokens;
    RouterLimits limits;
    // Indexes, built by resolveSite().
    std::unordered_map<std::string, CustomerId> customersByKey;
    std::unordered_map<std::string, std::size_t> tokensByDigest;
    std::map<RouteId, std::vector<EndpointId>> endpointsByRoute;
    // What it was read from, so that the next revision's site reads only what differs.
    std::shared_ptr<const ConfigFile> base;
    std::shared_ptr<const ConfigFile> overlay; // Null: none.
};

// Returns the enabled customer with this key digest, valid at `now`; null when there is none. One hash lookup.
const CustomerConfig *customerByKeyDigest(const SiteConfig &site, const std::string &digest, WallTime now);

// Returns the token with this digest, valid at `now`, or null.
const OperatorToken *tokenByDigest(const SiteConfig &site, const std::string &digest, WallTime now);

const CustomerConfig *findCustomer(const SiteConfig &site, const CustomerId &id);

// Returns the enabled route, or null.
const RouteConfig *findRoute(const SiteConfig &site, const RouteId &id);

const EndpointConfig *findEndpoint(const SiteConfig &site, const EndpointId &id);

// Returns the enabled endpoints of `route` in all data centres, in the order of their ids.
std::vector<const EndpointConfig *> endpointsOf(const SiteConfig &site, const RouteId &route);

} // namespace Godwit
