#include "godwit/operators/admin_api.h"

#include "godwit/base/enum_names.h"
#include "godwit/http/error_body.h"
#include "godwit/http/target.h"
#include "godwit/operators/budget_changes.h"

#include <nlohmann/json.hpp>

namespace Godwit
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t MaxNameBytes = 128;

constexpr EnumName<RouterStage> RouterStageNames[] = {
    {RouterStage::Serving, "serving"},
    {RouterStage::Leaving, "leaving"},
    {RouterStage::Draining, "draining"},
    {RouterStage::Drained, "drained"},
    {RouterStage::Lost, "lost"},
};

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

AdminResponse okResponse(const Json &json)
{
    AdminResponse response;
    response.body = dump(json);
    return response;
}

AdminResponse errorResponse(const Error &error)
{
    AdminResponse response;
    response.status = static_cast<unsigned>(errorStatus(error.kind));
    response.body = errorToJson(error);
    response.retryAfter = error.retryAfter;
    return response;
}

Error malformed(std::string message)
{
    return Error{ErrorKind::MalformedRequest, std::move(message)};
}

bool isName(const std::string &text)
{
    if (text.empty() || text.size() > MaxNameBytes) {
        return false;
    }
    for (const char c : text) {
        if (c <= ' ' || c > '~' || c == '"' || c == '\\') {
            return false;
        }
    }
    return true;
}

std::optional<std::string> textOf(const Json &body, const char *key)
{
    const auto found = body.find(key);
    if (found == body.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

// Reads a name such as an id; fills `reason` with what it must be.
std::optional<std::string> nameOf(const Json &body, const char *key, LastReason &reason)
{
    auto text = textOf(body, key);
    if (!text || !isName(*text)) {
        reason = malformed(
            std::string("'") + key
            + "' must be a string of 1 to 128 printable ASCII characters without spaces, quotes and backslashes");
        return std::nullopt;
    }
    return text;
}

std::optional<Tokens> amountOf(const Json &body, const char *key, LastReason &reason)
{
    constexpr Tokens mostTokens = 1'000'000'000'000'000; // Sums of many budgets still fit 64 bits.
    const auto found = body.find(key);
    const bool whole = found != body.end() && found->is_number_integer()
        && !(found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(mostTokens));
    if (!whole || found->get<Tokens>() < 0 || found->get<Tokens>() > mostTokens) {
        reason = malformed(std::string("'") + key + "' must be a whole number of tokens from 0 to 10^15");
        return std::nullopt;
    }
    return found->get<Tokens>();
}

Json viewToJson(const BudgetView &view)
{
    Json held = Json::object();
    for (const auto &[incarnation, amount] : view.held) {
        held[incarnation.value] = amount;
    }
    return {{"budget", view.budget.value},
            {"customer", view.customer.value},
            {"prepaid", view.prepaid},
            {"billed", view.billed},
            {"free", view.free},
            {"pending_reduction", view.reduction},
            {"held", std::move(held)}};
}

Json routersToJson(const Kernel &kernel)
{
    Json rows = Json::array();
    rows.push_back({{"host", kernel.options.host.value},
                    {"incarnation", kernel.options.self.value},
                    {"data_centre", kernel.options.dataCentre.value},
                    {"state", enumName(RouterStageNames, kernel.stage)},
                    {"self", true}});
    for (const auto &member : liveRouters(kernel.membership, true)) {
        rows.push_back({{"host", member.host.value},
                        {"incarnation", member.incarnation.value},
                        {"data_centre", member.dataCentre.value},
                        {"state",
                         member.draining                            ? "leaving"
                             : member.status == MemberStatus::Alive ? "serving"
                                                                    : "suspected"},
                        {"self", false}});
    }
    return rows;
}

Json statusToJson(const Kernel &kernel)
{
    return {{"host", kernel.options.host.value},
            {"incarnation", kernel.options.self.value},
            {"data_centre", kernel.options.dataCentre.value},
            {"state", enumName(RouterStageNames, kernel.stage)},
            {"config_revision", configRevision(kernel.config)},
            {"calls_in_flight", kernel.calls.size()},
            {"calls_queued", queuedCalls(kernel.routing)},
            {"routers_linked", kernel.linked.size()},
            {"ready", isReady(kernel)}};
}

Json customersToJson(const SiteConfig &site, const AdminIdentity &who)
{
    Json rows = Json::array();
    for (const auto &[id, customer] : site.customers) {
        if (checkCustomer(who, id)) {
            continue;
        }
        rows.push_back({{"customer", id.value},
                        {"share", customer.share},
                        {"budget", customer.defaultBudget ? customer.defaultBudget->value : ""},
                        {"keys", customer.keys.size()},
                        {"requests_per_second", customer.requestsPerSecond},
                        {"slice_fraction", customer.sliceFraction},
                        {"enabled", customer.enabled}});
    }
    return rows;
}

Json routesToJson(const SiteConfig &site)
{
    Json rows = Json::array();
    for (const auto &[id, route] : site.routes) {
        rows.push_back({{"route", id.value},
                        {"kind", enumName(RouteKindNames, route.kind)},
                        {"model", route.model},
                        {"price_per_call", route.pricePerCall},
                        {"repeatable", route.repeatable},
                        {"endpoints", endpointsOf(site, id).size()},
                        {"enabled", route.enabled}});
    }
    return rows;
}

Json endpointsToJson(const SiteConfig &site)
{
    Json rows = Json::array();
    for (const auto &[id, endpoint] : site.endpoints) {
        Json routes = Json::array();
        for (const auto &route : endpoint.routes) {
            routes.push_back(route.value);
        }
        rows.push_back({{"endpoint", id.value},
                        {"address", endpoint.address},
                        {"data_centre", endpoint.dataCentre.value},
                        {"slots", endpoint.slots},
                        {"checks_fencing", endpoint.checksFencing},
                        {"routes", std::move(routes)},
                        {"enabled", endpoint.enabled}});
    }
    return rows;
}

Json historyToJson(const ConfigDocument &document)
{
    Json rows = Json::array();
    for (const auto &entry : document.history) {
        rows.push_back({{"revision", entry.revision},
                        {"id", entry.id},
                        {"author", entry.author},
                        {"site", entry.site},
                        {"path", entry.path},
                        {"at_ms", entry.at.time_since_epoch().count()}});
    }
    return rows;
}

} // namespace

// One request with what is known of its sender.
struct AdminApi::Context
{
    const AdminRequest &request;
    Target target;
    std::string section; // The path's part after /admin/v1/.
    AdminIdentity who;
};

AdminApi::AdminApi(AdminEnvironment environment)
    : m_environment(std::move(environment))
{
}

void AdminApi::handle(const AdminRequest &request, const AdminReply &reply)
{
    auto target = parseTarget(request.target);
    if (!target) {
        reply(errorResponse(malformed("the path has a broken percent escape")));
        return;
    }
    const auto &segments = target->segments;
    const Kernel &kernel = m_environment.kernel();
    if (segments.size() == 1 && segments[0] == "healthz") {
        reply(okResponse({{"alive", true}}));
        return;
    }
    if (segments.size() == 1 && segments[0] == "readyz") {
        AdminResponse response = okResponse({{"ready", isReady(kernel)}});
        response.status = isReady(kernel) ? 200 : 503;
        reply(std::move(response));
        return;
    }
    if (segments.size() == 1 && segments[0] == "metrics") {
        reply(AdminResponse{200, "text/plain; version=0.0.4", m_environment.metricsText(), std::nullopt});
        return;
    }
    if (segments.size() < 3 || segments[0] != "admin" || segments[1] != "v1") {
        reply(errorResponse(Error{ErrorKind::UnknownObject, "there is no " + request.target}));
        return;
    }
    const auto wallNow = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto who = identify(kernel.site.get(), request.tokenDigest, m_environment.bootstrapDigest, wallNow);
    if (!who) {
        reply(errorResponse(Error{ErrorKind::Unauthenticated, "the token is missing, unknown or no longer valid"}));
        return;
    }
    const std::string section = segments[2];
    handleAdmin(Context{request, std::move(*target), section, *who}, reply);
}

void AdminApi::handleAdmin(const Context &context, const AdminReply &reply)
{
    const std::size_t depth = context.target.segments.size();
    if (context.section == "budgets" && (depth == 4 || depth == 5)) {
        handleBudget(context, reply);
    } else if (context.section == "config" && depth <= 4) {
        handleConfig(context, reply);
    } else if (context.section == "ledgers" && depth == 5 && context.request.method == "POST") {
        handleResolveDoubt(context, reply);
    } else if (context.section == "drain" && depth == 3 && context.request.method == "POST") {
        if (auto refusal = checkOwner(context.who)) {
            reply(errorResponse(*refusal));
            return;
        }
        m_environment.audit(context.who.name, "drain", "started");
        m_environment.post(DrainRequested{});
        reply(okResponse({{"draining", true}}));
    } else if (depth == 3 && context.request.method == "GET") {
        handleRead(context, reply);
    } else {
        reply(errorResponse(
            Error{ErrorKind::UnknownObject, "there is no " + context.request.method + " " + context.request.target}));
    }
}

void AdminApi::handleRead(const Context &context, const AdminReply &reply)
{
    const Kernel &kernel = m_environment.kernel();
    if (context.section == "status") {
        reply(okResponse(statusToJson(kernel)));
        return;
    }
    if (context.section == "routers") {
        reply(okResponse({{"routers", routersToJson(kernel)}}));
        return;
    }
    const bool known = context.section == "customers" || context.section == "routes" || context.section == "endpoints";
    if (!known) {
        reply(errorResponse(Error{ErrorKind::UnknownObject, "there is no " + context.request.target}));
        return;
    }
    if (!kernel.site) {
        reply(errorResponse(Error{ErrorKind::NotConfigured, "no configuration has reached this router yet"}));
        return;
    }
    if (context.section == "customers") {
        reply(okResponse({{"customers", customersToJson(*kernel.site, context.who)}}));
    } else if (context.section == "routes") {
        reply(okResponse({{"routes", routesToJson(*kernel.site)}}));
    } else {
        reply(okResponse({{"endpoints", endpointsToJson(*kernel.site)}}));
    }
}

void AdminApi::handleConfig(const Context &context, const AdminReply &reply)
{
    const auto &segments = context.target.segments;
    if (segments.size() == 4 && segments[3] == "patches" && context.request.method == "POST") {
        handlePatch(context, reply);
        return;
    }
    if (auto refusal = checkOwner(context.who)) {
        reply(errorResponse(*refusal));
        return;
    }
    const auto &document = currentDocument(m_environment.kernel().config);
    const bool history = segments.size() == 4 && segments[3] == "history";
    if (context.request.method != "GET" || (segments.size() == 4 && !history)) {
        reply(errorResponse(
            Error{ErrorKind::UnknownObject, "there is no " + context.request.method + " " + context.request.target}));
        return;
    }
    if (!document) {
        reply(okResponse(history ? Json{{"history", Json::array()}} : Json{{"revision", 0}, {"text", ""}}));
        return;
    }
    if (history) {
        reply(okResponse({{"history", historyToJson(*document)}}));
        return;
    }
    const auto query = [&context](const char *key) {
        const auto found = context.target.query.find(key);
        return found == context.target.query.end() ? std::string() : found->second;
    };
    const std::string site = query("site");
    const std::string path = query("path");
    const auto text = valueAt(*document, site, path);
    if (!text) {
        reply(errorResponse(
            Error{ErrorKind::UnknownObject,
                  "nothing stands at '" + path + "' of " + (site.empty() ? "the base" : "site '" + site + "'")}));
        return;
    }
    Json sites = Json::array();
    for (const auto &[id, overlay] : document->overlays) {
        sites.push_back(id.value);
    }
    reply(okResponse({{"revision", document->revision},
                      {"last_changed", lastChanged(*document, site, path)},
                      {"sites", std::move(sites)},
                      {"text", *text}}));
}

void AdminApi::handlePatch(const Context &context, const AdminReply &reply)
{
    const auto body = Json::parse(context.request.body, nullptr, false);
    LastReason reason;
    if (!body.is_object()) {
        reply(errorResponse(malformed("the body is not a JSON object")));
        return;
    }
    const auto id = nameOf(body, "id", reason);
    const auto revision = id ? amountOf(body, "expected_revision", reason) : std::nullopt;
    if (!id || !revision) {
        reply(errorResponse(*reason));
        return;
    }
    const auto value = body.find("value");
    if (value != body.end() && !value->is_string() && !value->is_null()) {
        reply(errorResponse(malformed("'value' must be TOML text in a string, or null to remove")));
        return;
    }
    ConfigPatch patch;
    patch.id = *id;
    patch.site = textOf(body, "site").value_or("");
    patch.path = textOf(body, "path").value_or("");
    patch.value = textOf(body, "value");
    patch.expectedRevision = static_cast<std::uint64_t>(*revision);
    patch.author = context.who.name;
    patch.at = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    if (auto refusal = checkPatch(context.who, patch.site, patch.path)) {
        reply(errorResponse(*refusal));
        return;
    }
    const std::uint64_t ticket = m_nextTicket++;
    const std::string what =
        "patch " + patch.id + " of " + (patch.site.empty() ? "base" : patch.site) + ":" + patch.path;
    m_waitingPatches[ticket] = [this, reply, who = context.who.name, what](AdminResponse response) {
        m_environment.audit(who, what, response.status == 200 ? "accepted" : "refused");
        reply(std::move(response));
    };
    m_environment.post(PatchSubmitted{ticket, std::move(patch)});
}

void AdminApi::onChangeAnswered(const ChangeAnswered &answered)
{
    const auto found = m_waitingPatches.find(answered.ticket);
    if (found == m_waitingPatches.end()) {
        return;
    }
    const AdminReply reply = std::move(found->second);
    m_waitingPatches.erase(found);
    reply(answered.error ? errorResponse(*answered.error) : okResponse({{"revision", answered.revision}}));
}

void AdminApi::handleBudget(const Context &context, const AdminReply &reply)
{
    const auto &segments = context.target.segments;
    if (!isName(segments[3])) {
        reply(errorResponse(malformed(
            "a budget's name has 1 to 128 printable ASCII characters without spaces, quotes and backslashes")));
        return;
    }
    if (segments.size() == 4 && context.request.method == "GET") {
        showOneBudget(context, reply);
        return;
    }
    const bool create = segments.size() == 4 && context.request.method == "PUT";
    const bool change = segments.size() == 5 && context.request.method == "POST"
        && (segments[4] == "top-ups" || segments[4] == "reductions");
    if (!create && !change) {
        reply(errorResponse(
            Error{ErrorKind::UnknownObject, "there is no " + context.request.method + " " + context.request.target}));
        return;
    }
    if (auto refusal = checkOwner(context.who)) {
        reply(errorResponse(*refusal));
        return;
    }
    changeBudget(context, create ? "create" : segments[4], reply);
}

void AdminApi::showOneBudget(const Context &context, const AdminReply &reply)
{
    const BudgetId budget{context.target.segments[3]};
    const AdminIdentity who = context.who;
    const auto key = budgetShardKey(budget, m_environment.kernel().options.budget.shardCount);
    readShard(
        m_environment.platform, key, [reply, who, budget](const std::optional<ShardRecord> &shard, LastReason reason) {
            const auto view = shard ? showBudget(*shard, budget, reason) : std::nullopt;
            if (view) {
                const auto refusal = checkCustomer(who, view->customer);
                reply(refusal ? errorResponse(*refusal) : okResponse(viewToJson(*view)));
                return;
            }
            // A customer's operator learns nothing of names that are not its own.
            const auto refusal = checkOwner(who);
            reply(errorResponse(refusal ? *refusal : *reason));
        });
}

void AdminApi::changeBudget(const Context &context, const std::string &kind, const AdminReply &reply)
{
    const BudgetId budget{context.target.segments[3]};
    const auto body = Json::parse(context.request.body, nullptr, false);
    LastReason reason;
    if (!body.is_object()) {
        reply(errorResponse(malformed("the body is not a JSON object")));
        return;
    }
    const auto operation = nameOf(body, "operation", reason);
    const auto amount = operation ? amountOf(body, kind == "create" ? "prepaid" : "amount", reason) : std::nullopt;
    if (!operation || !amount) {
        reply(errorResponse(*reason));
        return;
    }
    std::optional<std::string> customer = kind == "create" ? nameOf(body, "customer", reason) : std::string();
    if (!customer) {
        reply(errorResponse(*reason));
        return;
    }
    const auto change = [=](ShardRecord &shard, LastReason &why) {
        if (kind == "create") {
            return createBudget(shard, budget, CustomerId{*customer}, *amount, *operation, why);
        }
        return kind == "top-ups" ? topUp(shard, budget, *operation, *amount, why)
                                 : reduce(shard, budget, *operation, *amount, why);
    };
    const std::string what = kind + " " + budget.value + " " + std::to_string(*amount) + " as " + *operation;
    const auto key = budgetShardKey(budget, m_environment.kernel().options.budget.shardCount);
    changeShard(
        m_environment.platform,
        key,
        change,
        [this, reply, budget, what, who = context.who.name](const std::optional<ShardRecord> &shard, LastReason why) {
            const auto view = shard ? showBudget(*shard, budget, why) : std::nullopt;
            m_environment.audit(who, what, view ? "done" : "refused");
            reply(view ? okResponse(viewToJson(*view)) : errorResponse(*why));
        });
}

void AdminApi::handleResolveDoubt(const Context &context, const AdminReply &reply)
{
    const auto &segments = context.target.segments;
    if (segments[4] != "resolve-doubt") {
        reply(errorResponse(Error{ErrorKind::UnknownObject, "there is no " + context.request.target}));
        return;
    }
    if (auto refusal = checkOwner(context.who)) {
        reply(errorResponse(*refusal));
        return;
    }
    const std::string incarnation = segments[3];
    resolveDoubtOf(m_environment.platform,
                   Incarnation{incarnation},
                   [this, reply, incarnation, who = context.who.name](const LastReason &reason) {
                       m_environment.audit(who, "resolve-doubt " + incarnation, reason ? "refused" : "done");
                       reply(reason ? errorResponse(*reason) : okResponse({{"resolved", incarnation}}));
                   });
}

} // namespace Godwit
