#include "godwit/config/site_resolver.h"

#include "godwit/config/settings.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Godwit::internal
{
namespace
{

constexpr std::size_t DigestHexDigits = 64;
constexpr std::size_t MaxIdBytes = 128;
constexpr double MaxTokens = 1e15;
constexpr double MaxCount = 1e6;
constexpr double MaxRate = 1e9;

using Places = std::map<std::string, toml::source_region>;

struct Context
{
    SiteConfig &site;
    UnknownKeys unknown;
    FaultList &faults;
    Places &places; // Of values that refer to other objects.
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

void notePlace(const Context &context, const TableReader &reader, std::string_view key)
{
    if (const auto place = reader.placeOf(key)) {
        context.places.emplace(reader.pathOf(key), *place);
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

void readKeys(const Context &context, TableReader &reader, CustomerConfig &customer)
{
    const toml::table *keys = reader.table("keys");
    if (keys == nullptr) {
        return;
    }
    TableReader keysReader(*keys, reader.pathOf("keys"), context.faults, context.unknown);
    for (const auto &[key, node] : *keys) {
        const std::string name(key.str());
        if (const toml::table *entry = keysReader.table(name)) {
            TableReader keyReader(*entry, keysReader.pathOf(name), context.faults, context.unknown);
            customer.keys.push_back(readDigest(name, keyReader));
            notePlace(context, keyReader, "digest");
            keyReader.finish();
        }
    }
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
    const double byTrade = customer.trade == BudgetTrade::LittleHeld ? LittleHeldFraction : FewRefusalsFraction;
    customer.sliceFraction = reader.number("slice_fraction", byTrade, {0.0001, 1.0});
    if (const std::string budget = reader.text("default_budget", ""); !budget.empty()) {
        customer.defaultBudget = BudgetId(budget);
    }
    readKeys(context, reader, customer);
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
        endpoint.routes.emplace_back(route);
    }
    if (endpoint.routes.empty()) {
        reader.fault("routes", "must name at least one route");
    }
    endpoint.dataCentre = DataCentreId(reader.requiredText("data_centre"));
    endpoint.slots = static_cast<int>(reader.integer("slots", endpoint.slots, {1.0, MaxCount}));
    endpoint.checksFencing = reader.boolean("checks_fencing", false);
    endpoint.group = reader.text("group", "");
    notePlace(context, reader, "routes");
    notePlace(context, reader, "data_centre");
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
    if (!isCustomers && !token.customer.value.empty()) {
        reader.fault("customer", "makes no sense for an owner; remove it or set role = \"customer\"");
    }
    notePlace(context, reader, "digest");
    notePlace(context, reader, "customer");
    context.site.tokens.push_back(std::move(token));
}

void readLimits(const Context &context, TableReader &reader)
{
    RouterLimits &limits = context.site.limits;
    const auto count = [&](std::string_view key, std::size_t fallback) {
        return static_cast<std::size_t>(reader.integer(key, static_cast<std::int64_t>(fallback), {1.0, MaxCount}));
    };
    limits.maxQueue = count("max_queue", limits.maxQueue);
    limits.maxInFlight = count("max_in_flight", limits.maxInFlight);
    limits.maxQueueSeconds = reader.number("max_queue_seconds", limits.maxQueueSeconds, {0.0, 3600.0});
    limits.addressTtlSeconds = reader.number("address_ttl_seconds", limits.addressTtlSeconds, {0.1, 3600.0});
    limits.addressesPerCustomer =
        static_cast<int>(reader.integer("addresses_per_customer", limits.addressesPerCustomer, {1.0, 64.0}));
}

void readDataCentre(const Context &context, const std::string &id, TableReader &reader)
{
    context.site.dataCentres.emplace(DataCentreId(id), DataCentreConfig{DataCentreId(id), reader.text("region", "")});
}

using ReadObject = void (*)(const Context &, const std::string &, TableReader &);

struct SectionReader
{
    std::string_view section;
    ReadObject read;
};

constexpr SectionReader SectionReaders[] = {
    {"data_centres", readDataCentre},
    {"customers", readCustomer},
    {"routes", readRoute},
    {"endpoints", readEndpoint},
    {"tokens", readToken},
};

constexpr std::string_view LimitsName = "limits";

void refuseUnknownObject(const Context &context, const toml::table &table, const std::string &name)
{
    if (context.unknown == UnknownKeys::Ignore) {
        return;
    }
    std::string nearest(LimitsName);
    for (const std::string_view section : SectionNames) {
        nearest = editDistance(name, section) < editDistance(name, nearest) ? std::string(section) : nearest;
    }
    context.faults.add(table.source(), name, "unknown table; did you mean \"" + nearest + "\"?");
}

void readObject(const Context &context, const std::string &name, const toml::table &table)
{
    TableReader reader(table, name, context.faults, context.unknown);
    const auto keys = splitPath(name).value_or(std::vector<std::string>{name});
    if (keys.size() == 1 && name == LimitsName) {
        readLimits(context, reader);
        reader.finish();
        return;
    }
    const auto section = std::find_if(std::begin(SectionReaders), std::end(SectionReaders), [&](const auto &row) {
        return keys.size() == 2 && row.section == keys[0];
    });
    if (section == std::end(SectionReaders)) {
        refuseUnknownObject(context, table, name);
        return;
    }
    const std::string &id = keys[1];
    if (id.empty() || id.size() > MaxIdBytes || !isPlainUtf8(id)) {
        context.faults.add(table.source(), name, "an id needs 1 to 128 printable characters");
        return;
    }
    section->read(context, id, reader);
    reader.finish();
}

void eraseObject(SiteConfig &site, const std::string &name)
{
    const auto keys = splitPath(name).value_or(std::vector<std::string>{name});
    if (keys.size() == 1 && name == LimitsName) {
        site.limits = RouterLimits{};
    }
    if (keys.size() != 2) {
        return;
    }
    const std::string &id = keys[1];
    if (keys[0] == "customers") {
        site.customers.erase(CustomerId(id));
    } else if (keys[0] == "routes") {
        site.routes.erase(RouteId(id));
    } else if (keys[0] == "endpoints") {
        site.endpoints.erase(EndpointId(id));
    } else if (keys[0] == "data_centres") {
        site.dataCentres.erase(DataCentreId(id));
    } else if (keys[0] == "tokens") {
        const auto isIt = [&](const OperatorToken &token) {
            return token.key.name == id;
        };
        site.tokens.erase(std::remove_if(site.tokens.begin(), site.tokens.end(), isIt), site.tokens.end());
    }
}

using Objects = std::map<std::string, std::shared_ptr<const std::string>>;

// The names of objects that differ between two files; all of `after` when there is no `before`.
void addDifferences(const ConfigFile *before, const ConfigFile *after, std::set<std::string> &names)
{
    static const Objects none;
    const Objects &old = before == nullptr ? none : before->objects;
    const Objects &fresh = after == nullptr ? none : after->objects;
    if (&old == &fresh) {
        return;
    }
    auto a = old.begin();
    auto b = fresh.begin();
    while (a != old.end() || b != fresh.end()) {
        if (b == fresh.end() || (a != old.end() && a->first < b->first)) {
            names.insert((a++)->first);
        } else if (a == old.end() || b->first < a->first) {
            names.insert((b++)->first);
        } else {
            if (a->second != b->second && *a->second != *b->second) {
                names.insert(a->first);
            }
            ++a;
            ++b;
        }
    }
}

std::optional<toml::table> takeObject(const ConfigFile *file,
                                      ParsedObjects *parsed,
                                      const std::string &name,
                                      std::string_view fileName,
                                      FaultList &faults)
{
    if (parsed != nullptr) {
        const auto found = parsed->find(name);
        return found == parsed->end() ? toml::table{} : std::move(found->second);
    }
    return file == nullptr ? toml::table{} : parseObject(*file, name, fileName, faults);
}

void readDifferences(const SiteSources &sources, const Context &context, const std::set<std::string> &names)
{
    for (const std::string &name : names) {
        eraseObject(context.site, name);
        const bool inBase = sources.base->objects.count(name) > 0;
        const bool inOverlay = sources.overlay && sources.overlay->objects.count(name) > 0;
        if (!inBase && !inOverlay) {
            continue;
        }
        auto table = takeObject(sources.base.get(), sources.parsedBase, name, "base", context.faults);
        auto over = takeObject(sources.overlay.get(), sources.parsedOverlay, name, sources.site.value, context.faults);
        if (!table || !over) {
            continue;
        }
        if (inBase) {
            mergeTables(*table, std::move(*over));
        } else {
            table = std::move(over);
        }
        readObject(context, name, *table);
    }
}

void addReferenceFault(const Context &context, const std::string &key, std::string_view what)
{
    const auto place = context.places.find(key);
    context.faults.add(place == context.places.end() ? toml::source_region{} : place->second, key, what);
}

void indexEndpoints(const Context &context)
{
    SiteConfig &site = context.site;
    site.endpointsByRoute.clear();
    for (const auto &[id, endpoint] : site.endpoints) {
        const std::string name = joinPath({"endpoints", id.value});
        for (const RouteId &route : endpoint.routes) {
            if (site.routes.count(route) == 0) {
                addReferenceFault(context,
                                  name + ".routes",
                                  "names the route \"" + route.value + "\", which doesn't exist; create it first");
            }
            site.endpointsByRoute[route].push_back(id);
        }
        const bool declared = site.dataCentres.empty() || site.dataCentres.count(endpoint.dataCentre) > 0;
        if (!declared && !endpoint.dataCentre.value.empty()) {
            addReferenceFault(
                context, name + ".data_centre", "is not among [data_centres]; correct it or add it there");
        }
    }
}

void indexCustomers(const Context &context)
{
    SiteConfig &site = context.site;
    site.customersByKey.clear();
    for (const auto &[id, customer] : site.customers) {
        for (const KeyDigest &key : customer.keys) {
            const auto [known, fresh] = site.customersByKey.emplace(key.digest, id);
            if (!fresh && isDigest(key.digest)) {
                addReferenceFault(context,
                                  joinPath({"customers", id.value, "keys", key.name, "digest"}),
                                  "is a key of customer \"" + known->second.value + "\" too; issue another key");
            }
        }
    }
}

void indexTokens(const Context &context)
{
    SiteConfig &site = context.site;
    site.tokensByDigest.clear();
    for (std::size_t i = 0; i < site.tokens.size(); ++i) {
        const OperatorToken &token = site.tokens[i];
        const std::string name = joinPath({"tokens", token.key.name});
        if (token.role == OperatorRole::Customer && site.customers.count(token.customer) == 0) {
            addReferenceFault(
                context, name + ".customer", "must name an existing customer; correct it or create the customer first");
        }
        if (!site.tokensByDigest.emplace(token.key.digest, i).second) {
            addReferenceFault(context, name + ".digest", "belongs to another token too; issue another token");
        }
    }
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

std::optional<SiteConfig> buildSite(const SiteSources &sources, FaultList &faults)
{
    SiteConfig site;
    std::set<std::string> names;
    const SiteConfig *previous = sources.previous;
    if (previous != nullptr) {
        site = *previous;
    }
    addDifferences(previous == nullptr ? nullptr : previous->base.get(), sources.base.get(), names);
    addDifferences(previous == nullptr ? nullptr : previous->overlay.get(), sources.overlay.get(), names);
    Places places;
    const Context context{site, sources.unknown, faults, places};
    readDifferences(sources, context, names);
    indexCustomers(context);
    indexEndpoints(context);
    indexTokens(context);
    if (!faults.empty()) {
        return std::nullopt;
    }
    site.site = sources.site;
    site.base = sources.base;
    site.overlay = sources.overlay;
    return site;
}

} // namespace Godwit::internal
