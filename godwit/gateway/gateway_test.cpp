#include "godwit/gateway/endpoint_table.h"
#include "godwit/gateway/read_schedule.h"
#include "godwit/gateway/retry_budget.h"
#include "godwit/gateway/route_table.h"

#include "godwit/gateway/byte_rate_limiter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace Godwit;

namespace
{

GatewayRoute makeRoute(const char *name, const char *host, const char *prefix)
{
    GatewayRoute route;
    route.name = RouteId{name};
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{"s", 1}};
    return route;
}

std::string routeName(const RouteTable &table, const char *host, const char *target)
{
    const GatewayRoute *route = findRoute(table, host, target);
    return route == nullptr ? "none" : route->name.value;
}

std::vector<ListedEndpoint> threeEndpoints()
{
    std::vector<ListedEndpoint> listed;
    for (const char *id : {"a", "b", "c"}) {
        listed.push_back({EndpointId{id}, "s", "10.0.0.1:80", DataCentreId{"north"}, 4, false});
    }
    return listed;
}

ChoiceQuery queryFor(std::string_view affinity = {})
{
    ChoiceQuery query;
    query.service = "s";
    query.affinity = affinity;
    return query;
}

const TimePoint Start{std::chrono::seconds(50)};

} // namespace

TEST_CASE("the route with the longest matching prefix is selected")
{
    SiteDocument document;
    document.routes = {makeRoute("root", "a.example", "/"),
                       makeRoute("one", "a.example", "/one/"),
                       makeRoute("deep", "a.example", "/one/two/"),
                       makeRoute("other", "b.example", "/one/")};
    const auto table = makeRouteTable(document);
    CHECK(routeName(*table, "a.example", "/one/two/x?y=/z/") == "deep");
    CHECK(routeName(*table, "A.Example:8080", "/one/twofold") == "one");
    CHECK(routeName(*table, "a.example", "/one") == "root");
    CHECK(routeName(*table, "b.example", "/one/") == "other");
    CHECK(routeName(*table, "b.example", "/") == "none");
    CHECK(routeName(*table, "c.example", "/one/") == "none");
    CHECK(routeName(*table, "a.example", "") == "none");
}

TEST_CASE("requests are deferrable from two ranks below the most urgent route of their service")
{
    // Guards against deferring the only kind of request that a service gets, or requests that are nearly as urgent.
    SiteDocument document;
    document.routes = {makeRoute("question", "a", "/q/"),
                       makeRoute("summary", "a", "/s/"),
                       makeRoute("batch", "a", "/b/"),
                       makeRoute("order", "a", "/o/")};
    document.routes[1].priority = 1;
    document.routes[2].priority = 2;
    document.routes[3].priority = 2;
    document.routes[3].services = {{"plain", 1}};
    const auto table = makeRouteTable(document);
    const auto deferrable = [&table](std::size_t route, std::optional<int> customerPriority) {
        return isDeferrable(*table, table->document.routes[route], customerPriority);
    };
    CHECK(table->hasDeferrableRoutes);
    CHECK_FALSE(deferrable(0, {}));
    CHECK_FALSE(deferrable(1, {}));
    CHECK(deferrable(2, {}));
    CHECK_FALSE(deferrable(3, {}));
    CHECK(deferrable(0, 2));
    CHECK_FALSE(deferrable(2, 1));
    document.routes.erase(document.routes.begin() + 2);
    const auto without = makeRouteTable(document);
    CHECK_FALSE(without->hasDeferrableRoutes);
    CHECK_FALSE(isDeferrable(*without, without->document.routes[0], 5));
}

TEST_CASE("random delays and lost messages never extend the gap between reads beyond the bound")
{
    // Guards against refusing a key that the operators added 3.5 s ago. It happened when all watches missed the change
    // and the random read times of eight routers all fell just before it.
    const ReadScheduleOptions options;
    constexpr int routers = 8;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> draw(0, 1);
    std::array<TimePoint, routers> due{};
    for (TimePoint &at : due) {
        at = nextReadTime(options, Start, routers, draw(random));
    }
    TimePoint before = Start;
    for (int turn = 0; turn < 5000; ++turn) {
        const TimePoint at = *std::min_element(due.begin(), due.end());
        CHECK(at - before <= maxReadGap(options, routers));
        before = at;
        for (TimePoint &own : due) {
            const bool notified = own == at || draw(random) < 0.7;
            own = notified ? nextReadTime(options, at, routers, draw(random)) : own;
        }
    }
    CHECK(maxReadGap(options, routers) < std::chrono::milliseconds(1200));
    CHECK(maxReadGap(options, 400) < std::chrono::milliseconds(1500));
    CHECK(maxReadGap(options, 1) == options.interval);
}

TEST_CASE("services are selected by weight, and the same seed selects the same service")
{
    GatewayRoute route = makeRoute("r", "h", "/");
    route.services = {{"heavy", 90}, {"light", 10}};
    int light = 0;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        CHECK(pickService(route, seed) == pickService(route, seed));
        light += pickService(route, seed) == "light" ? 1 : 0;
    }
    CHECK(light == 100);
}

TEST_CASE("draining and delisted endpoints receive no new requests but keep those in flight")
{
    EndpointTable table;
    replaceEndpoints(table, threeEndpoints());
    beginAttempt(table.endpoints.at(EndpointId{"a"}));
    auto listed = threeEndpoints();
    listed[1].draining = true;
    listed.erase(listed.begin());
    replaceEndpoints(table, listed);
    for (std::uint64_t i = 0; i < 20; ++i) {
        const EndpointState *chosen = chooseEndpoint(table, queryFor(), {}, i, Start).endpoint;
        REQUIRE(chosen != nullptr);
        CHECK(chosen->listed.id == EndpointId{"c"});
    }
    REQUIRE(table.endpoints.count(EndpointId{"a"}) == 1);
    endAttempt(table.endpoints.at(EndpointId{"a"}), AttemptFeedback::Good, {}, Start);
    replaceEndpoints(table, listed);
    CHECK(table.endpoints.count(EndpointId{"a"}) == 0);
}

TEST_CASE("a restarted endpoint is reset, and attempts of its former incarnation no longer find it")
{
    // Guards against avoiding a healthy endpoint, and against a negative load. Both happen if an endpoint crashes with
    // requests in flight, returns under the same id, and inherits the state of its former process.
    EndpointTable table;
    auto listed = threeEndpoints();
    listed[0].startedAt = 1000;
    replaceEndpoints(table, listed);
    EndpointState &before = table.endpoints.at(EndpointId{"a"});
    beginAttempt(before);
    beginAttempt(before);
    endAttempt(before, AttemptFeedback::Unreachable, {}, Start);
    listed[0].startedAt = 2000;
    CHECK(replaceEndpoints(table, listed) == std::vector<EndpointId>{EndpointId{"a"}});
    CHECK(replaceEndpoints(table, listed).empty());
    const EndpointState &after = table.endpoints.at(EndpointId{"a"});
    CHECK(after.inFlight == 0);
    CHECK(after.consecutiveFailures == 0);
    CHECK(after.backoffUntil <= Start);
    CHECK(findIncarnation(table, EndpointId{"a"}, 1000) == nullptr);
    CHECK(findIncarnation(table, EndpointId{"a"}, 2000) == &after);
}

TEST_CASE("prompts with a shared prefix go to one endpoint until its prefill backlog is too long")
{
    EndpointTable table;
    replaceEndpoints(table, threeEndpoints());
    PrefillSpeed &speed = table.prefillSpeeds["s"];
    speed.millisecondsPerToken = 0.02;
    ChoiceQuery query = queryFor("prompt");
    query.promptTokens = 1'500;
    query.sharedTokens = 500;
    query.latencyTarget = std::chrono::milliseconds(400);
    const ChoiceOptions options;
    const EndpointId preferred = chooseEndpoint(table, query, options, 1, Start).endpoint->listed.id;
    CHECK(chooseEndpoint(table, query, options, 77, Start).endpoint->listed.id == preferred);
    EndpointState &preferredState = table.endpoints.at(preferred);
    beginPrefill(preferredState.load, speed, 1, 2'000, Start);
    CHECK(chooseEndpoint(table, query, options, 77, Start).endpoint == &preferredState);
    CHECK(chooseEndpoint(table, query, options, 77, Start).uncachedTokens == 1'000);
    beginPrefill(preferredState.load, speed, 2, 50'000, Start);
    const Choice second = chooseEndpoint(table, query, options, 77, Start);
    CHECK(second.endpoint != &preferredState);
    CHECK(second.uncachedTokens == 1'500);
    // The prefix is now cached there as well.
    CHECK(chooseEndpoint(table, query, options, 5, Start).endpoint == second.endpoint);
    CHECK(chooseEndpoint(table, query, options, 5, Start).uncachedTokens == 1'000);
}

TEST_CASE("an unreachable endpoint is used during its backoff only if no other is left")
{
    EndpointTable table;
    replaceEndpoints(table, threeEndpoints());
    const ChoiceOptions options;
    EndpointState &bad = table.endpoints.at(EndpointId{"a"});
    beginAttempt(bad);
    endAttempt(bad, AttemptFeedback::Unreachable, options, Start);
    for (std::uint64_t i = 0; i < 20; ++i) {
        CHECK(chooseEndpoint(table, queryFor(), options, i, Start).endpoint->listed.id != EndpointId{"a"});
    }
    ChoiceQuery others = queryFor();
    others.tried = {EndpointId{"b"}, EndpointId{"c"}};
    CHECK(chooseEndpoint(table, others, options, 1, Start).endpoint->listed.id == EndpointId{"a"});
    others.tried.push_back(EndpointId{"a"});
    CHECK(chooseEndpoint(table, others, options, 1, Start).endpoint == nullptr);
}

TEST_CASE("retries are limited to a fraction of the requests in the window plus the slack")
{
    RetryBudgetOptions rules;
    rules.slack = 8;
    rules.usedRatioFraction = 1;
    rules.usedSlackFraction = 1;
    RetryBudget budget;
    for (int i = 0; i < 100; ++i) {
        countRequest(budget, rules, Start);
    }
    int taken = 0;
    while (taken < 1000 && tryTakeRetry(budget, rules, 1.0 / 8, Start + std::chrono::seconds(1)).granted) {
        ++taken;
    }
    CHECK(taken == 21);
    CHECK_FALSE(tryTakeRetry(budget, rules, 1.0 / 8, Start + std::chrono::seconds(5)).granted);
    CHECK(tryTakeRetry(budget, rules, 1.0 / 8, Start + std::chrono::seconds(13)).granted);
}

TEST_CASE("a region-restricted request only goes to endpoints in its regions")
{
    // Guards against processing a prompt in a region that its route or customer excludes.
    EndpointTable table;
    auto listed = threeEndpoints();
    listed[0].region = RegionId{"east"};
    listed[1].region = RegionId{"west"};
    replaceEndpoints(table, listed);
    ChoiceQuery query = queryFor();
    restrictTo(query.regions, {});
    CHECK_FALSE(query.regions);
    restrictTo(query.regions, {RegionId{"west"}, RegionId{"north"}});
    for (std::uint64_t random = 0; random < 6; ++random) {
        REQUIRE(chooseEndpoint(table, query, {}, random, Start).endpoint != nullptr);
        CHECK(chooseEndpoint(table, query, {}, random, Start).endpoint->listed.id == EndpointId{"b"});
    }
    restrictTo(query.regions, {RegionId{"east"}});
    CHECK(chooseEndpoint(table, query, {}, 1, Start).endpoint == nullptr);
}

TEST_CASE("a host is restricted to the regions that all of its restricted routes allow")
{
    SiteDocument document;
    document.routes = {makeRoute("free", "a.example", "/"),
                       makeRoute("one", "a.example", "/one/"),
                       makeRoute("two", "A.example", "/two/"),
                       makeRoute("other", "b.example", "/")};
    document.routes[1].allowedRegions = {RegionId{"east"}, RegionId{"west"}};
    document.routes[2].allowedRegions = {RegionId{"west"}};
    const auto table = makeRouteTable(document);
    CHECK(regionsOfHost(*table, "a.example:80") == std::set<RegionId>{RegionId{"west"}});
    CHECK_FALSE(regionsOfHost(*table, "b.example"));
}

TEST_CASE("bytes beyond the burst are refused until the backlog has drained")
{
    // Guards against one kind of message saturating the link.
    const ByteRateLimit rate{100'000, 1000};
    ByteRateLimiter limiter;
    const TimePoint now{std::chrono::seconds(100)};
    CHECK(tryTakeBytes(limiter, rate, 50'000, now));
    CHECK_FALSE(tryTakeBytes(limiter, rate, 1, now + std::chrono::milliseconds(480)));
    CHECK(tryTakeBytes(limiter, rate, 50'000, now + std::chrono::milliseconds(495)));
    CHECK_FALSE(tryTakeBytes(limiter, rate, 1, now + std::chrono::milliseconds(980)));
}
