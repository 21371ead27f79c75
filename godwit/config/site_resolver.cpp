#include "godwit/config/site_resolver.h"

#include "godwit/config/settings.h"

#include <algorithm>
#include <set>

namespace Godwit::internal
{
namespace
{

constexpr std::size_t DigestHexDigits = 64;
constexpr std::size_t MaxIdBytes = 128;
constexpr double MaxTokens = 1e15;
constexpr double MaxCount = 1e6;
constexpr double MaxRate = 1e9;

struct Context
{
    SiteConfig &site;
    UnknownKeys unknown;
    FaultList &faults;
};

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool isDigest(std::string_view text)
{
    return text.size() == DigestHexDigits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

// Calls `read(id, table reader)` for each table of the section `name`.
template<typename Read>
void readSection(const Context &context, TableReader &root, std::string_view name, Read read)
{
    const toml::table *section = root.table(name);
    if (section == nullptr) {
        return;
    }
    TableReader sectionReader(*section, root.pathOf(name), context.faults, context.unknown);
    for (const auto &[key, node] : *section) {
        const std::string id(key.str());
        if (id.empty() || id.size() > MaxIdBytes || !isPlainUtf8(id)) {
            context.faults.add(key.source(), sectionReader.pathOf(id), "an id needs 1 to 128 printable characters");
            continue;
        }
        if (const toml::table *entry = sectionReader.table(id)) {
            TableReader reader(*entry, sectionReader.pathOf(id), context.faults, context.unknown);
            read(id, reader);
            reader.finish();
        }
    }
}

KeyDigest readDigest(const std::string &name, TableReader &reader)
{
    KeyDigest key;
    key.name = name;
    key.digest = reader.requiredText("digest");
    if (!key.digest.empty() && !isDigest(key.digest)) {
        reader.fault("digest", "must be a SHA-256 in 64 lower-case hex digits; never write the key itself here");
    }
    if (const auto notAfter = reader.moment("not_after")) {
        key.notAfter = WallTime(std::chrono::milliseconds(*notAfter));
    }
    return key;
}

void readCustomer(const Context &context, const std::string &id, TableReader &reader)
{
    CustomerConfig customer;
    customer.id = CustomerId(id);
    customer.enabled = reader.boolean("enabled", true);
    customer.share = reader.number("share", customer.share, {0.001, MaxCount});
    customer.priorityCeiling =
        static_cast<int>(reader.integer("priority_ceiling", customer.priorityCeiling, {0.0, 9.0}));
    customer.requestsPerSecond = reader.number("requests_per_second", 0.0, {0.0, MaxRate});
    customer.burst = reader.number("burst", customer.requestsPerSecond, {0.0, MaxRate});
    customer.trade = reader.choice("budget_trade", customer.trade, BudgetTradeNames);
    customer.sliceFraction = reader.number("slice_fraction", customer.sliceFraction, {0.0001, 1.0});
    if (const std::string budget = reader.text("default_budget", ""); !budget.empty()) {
        customer.defaultBudget = BudgetId(budget);
    }
    readSection(context, reader, "keys", [&](const std::string &name, TableReader &keyReader) {
        KeyDigest key = readDigest(name, keyReader);
        const auto [known, fresh] = context.site.customersByKey.emplace(key.digest, customer.id);
        if (!fresh && isDigest(key.digest)) {
            keyReader.fault("digest", "is a key of customer \"" + known->second.value + "\" too; issue another key");
        }
        customer.keys.push_back(std::move(key));
    });
    context.site.customers.emplace(customer.id, std::move(customer));
}

void readRoute(const Context &context, const std::string &id, TableReader &reader)
{
    RouteConfig route;
    route.id = RouteId(id);
    route.enabled = reader.boolean("enabled", true);
    if (!reader.has("kind")) {
        reader.fault("kind", "is missing; write \"model\" or \"service\"");
    }
    route.kind = reader.choice("kind", route.kind, RouteKindNames);
    const bool isModel = route.kind == RouteKind::Model;
    route.model = isModel ? reader.requiredText("model") : "";
    route.path = isModel ? "" : reader.text("path", "/");
    if (isModel) {
        route.maxOutputDefault = reader.integer("max_output_default", route.maxOutputDefault, {1.0, MaxTokens});
        route.maxOutputCeiling = reader.integer(
            "max_output_ceiling", std::max(route.maxOutputCeiling, route.maxOutputDefault), {1.0, MaxTokens});
        if (route.maxOutputDefault > route.maxOutputCeiling) {
            reader.fault("max_output_default", "is above max_output_ceiling; lower it");
        }
    } else {
        route.pricePerCall = reader.integer("price_per_call", route.pricePerCall, {0.0, MaxTokens});
    }
    route.repeatable = reader.boolean("repeatable", isModel);
    route.deadline = fromSeconds(reader.number("deadline_seconds", toSeconds(route.deadline), {0.01, 86400.0}));
    context.site.routes.emplace(route.id, std::move(route));
}

void readEndpoint(const Context &context, const std::string &id, TableReader &reader)
{
    EndpointConfig endpoint;
    endpoint.id = EndpointId(id);
    endpoint.enabled = reader.boolean("enabled", true);
    endpoint.address = reader.requiredText("address");
    if (!endpoint.address.empty() && !isIpAndPort(endpoint.address)) {
        reader.fault("address", "must be an IP number and a port, such as \"10.0.0.7:9000\"");
    }
    for (const std::string &route : reader.texts("routes")) {
        if (context.site.routes.count(RouteId(route)) == 0) {
            reader.fault("routes", "names the route \"" + route + "\", which doesn't exist; create it first");
        }
        endpoint.routes.emplace_back(route);
        context.site.endpointsByRoute[RouteId(route)].push_back(endpoint.id);
    }
    if (endpoint.routes.empty()) {
        reader.fault("routes", "must name at least one route");
    }
    endpoint.dataCentre = DataCentreId(reader.requiredText("data_centre"));
    const auto &known = context.site.dataCentres;
    if (!known.empty() && !endpoint.dataCentre.value.empty() && known.count(endpoint.dataCentre) == 0) {
        reader.fault("data_centre", "is not among [data_centres]; correct it or add it there");
    }
    endpoint.slots = static_cast<int>(reader.integer("slots", endpoint.slots, {1.0, MaxCount}));
    endpoint.checksFencing = reader.boolean("checks_fencing", false);
    endpoint.group = reader.text("group", "");
    context.site.endpoints.emplace(endpoint.id, std::move(endpoint));
}

void readToken(const Context &context, const std::string &name, TableReader &reader)
{
    OperatorToken token;
    token.key = readDigest(name, reader);
    if (!reader.has("role")) {
        reader.fault("role", "is missing; write \"owner\" or \"customer\"");
    }
    token.role = reader.choice("role", token.role, OperatorRoleNames);
    token.customer = CustomerId(reader.text("customer", ""));
    const bool isCustomers = token.role == OperatorRole::Customer;
    if (isCustomers && context.site.customers.count(token.customer) == 0) {
        reader.fault("customer", "must name an existing customer; correct it or create the customer first");
    }
    if (!isCustomers && !token.customer.value.empty()) {
        reader.fault("customer", "makes no sense for an owner; remove it or set role = \"customer\"");
    }
    const bool fresh = context.site.tokensByDigest.emplace(token.key.digest, context.site.tokens.size()).second;
    if (!fresh) {
        reader.fault("digest", "belongs to another token too; issue another token");
    }
    context.site.tokens.push_back(std::move(token));
}

void readLimits(const Context &context, TableReader &root)
{
    const toml::table *table = root.table("limits");
    if (table == nullptr) {
        return;
    }
    RouterLimits &limits = context.site.limits;
    TableReader reader(*table, "limits", context.faults, context.unknown);
    const auto count = [&](std::string_view key, std::size_t fallback) {
        return static_cast<std::size_t>(reader.integer(key, static_cast<std::int64_t>(fallback), {1.0, MaxCount}));
    };
    limits.maxQueue = count("max_queue", limits.maxQueue);
    limits.maxInFlight = count("max_in_flight", limits.maxInFlight);
    limits.maxQueueSeconds = reader.number("max_queue_seconds", limits.maxQueueSeconds, {0.0, 3600.0});
    limits.addressTtlSeconds = reader.number("address_ttl_seconds", limits.addressTtlSeconds, {0.1, 3600.0});
    limits.addressesPerCustomer =
        static_cast<int>(reader.integer("addresses_per_customer", limits.addressesPerCustomer, {1.0, 64.0}));
    reader.finish();
}

} // namespace

void mergeTables(toml::table &base, toml::table &&over)
{
    for (auto &&[key, node] : over) {
        toml::table *below = base[key.str()].as_table();
        toml::table *above = node.as_table();
        if (below != nullptr && above != nullptr) {
            mergeTables(*below, std::move(*above));
        } else {
            // Erased and moved, not copied over: faults shall name the place in the overlay.
            base.erase(key.str());
            std::move(node).visit([&, name = key](auto &&value) {
                base.insert_or_assign(name, std::forward<decltype(value)>(value));
            });
        }
    }
}

std::optional<SiteConfig> readSite(const toml::table &merged, UnknownKeys unknown, FaultList &faults)
{
    SiteConfig site;
    const Context context{site, unknown, faults};
    TableReader root(merged, "", faults, unknown);
    readLimits(context, root);
    readSection(context, root, "data_centres", [&](const std::string &id, TableReader &reader) {
        site.dataCentres.emplace(DataCentreId(id), DataCentreConfig{DataCentreId(id), reader.text("region", "")});
    });
    readSection(context, root, "customers", [&](const std::string &id, TableReader &reader) {
        readCustomer(context, id, reader);
    });
    readSection(context, root, "routes", [&](const std::string &id, TableReader &reader) {
        readRoute(context, id, reader);
    });
    readSection(context, root, "endpoints", [&](const std::string &id, TableReader &reader) {
        readEndpoint(context, id, reader);
    });
    readSection(context, root, "tokens", [&](const std::string &id, TableReader &reader) {
        readToken(context, id, reader);
    });
    root.finish();
    if (!faults.empty()) {
        return std::nullopt;
    }
    return site;
}

} // namespace Godwit::internal
