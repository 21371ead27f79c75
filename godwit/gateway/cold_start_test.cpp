#include "godwit/gateway/cold_start.h"

#include "godwit/gateway/endpoint_table.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace Godwit;

namespace
{

constexpr const char *Service = "engine";
const TimePoint Start{std::chrono::seconds(50)};

ListedEndpoint endpoint(const char *id, TimePoint coldUntil = {})
{
    ListedEndpoint listed;
    listed.id = EndpointId{id};
    listed.service = Service;
    listed.dataCentre = DataCentreId{"north"};
    listed.slots = 64;
    listed.coldUntil = coldUntil;
    return listed;
}

ChoiceQuery anyPrompt()
{
    ChoiceQuery query;
    query.service = Service;
    query.promptTokens = 500;
    query.latencyTarget = std::chrono::milliseconds(500);
    return query;
}

// Several routers, each with its own endpoint table and its own requests. Each share has exactly one holder.
struct Fleet
{
    Fleet(int routers, const std::vector<ListedEndpoint> &listed, const ColdStartLimit &limit)
        : tables(static_cast<std::size_t>(routers))
    {
        const ColdStartBounds bounds{1.5, 5};
        for (EndpointTable &table : tables) {
            replaceEndpoints(table, listed);
            table.coldPlans[Service] = planColdStart(limit, bounds);
        }
        for (std::size_t i = 0; i < LimitShareCount; ++i) {
            tables[i * tables.size() / LimitShareCount].usableShares.set(i);
        }
    }

    // Sends `perSecond` requests in total through all routers. Returns the maximum that each endpoint received within
    // any second.
    std::map<std::string, std::size_t> mostInSecond(int perSecond, Duration length)
    {
        std::map<std::string, std::deque<TimePoint>> sent;
        std::map<std::string, std::size_t> most;
        const auto requests = static_cast<int>(toSeconds(length) * perSecond);
        for (int i = 0; i < requests; ++i) {
            const TimePoint now = Start + Duration(i * 1'000'000LL / perSecond);
            EndpointTable &table = tables[static_cast<std::size_t>(i) * 7 % tables.size()];
            const Choice choice = chooseEndpoint(table, anyPrompt(), {}, static_cast<std::uint64_t>(i) * 13, now);
            if (choice.endpoint == nullptr) {
                ++refused;
                continue;
            }
            beginAttempt(*choice.endpoint);
            const std::string id = choice.endpoint->listed.id.value;
            auto &times = sent[id];
            times.push_back(now);
            while (times.front() + std::chrono::seconds(1) <= now) {
                times.pop_front();
            }
            most[id] = std::max(most[id], times.size());
        }
        return most;
    }

    std::vector<EndpointTable> tables;
    int refused = 0;
};

} // namespace

TEST_CASE("a fleet of any size keeps a cold endpoint within its limit")
{
    // Guards against crashing an endpoint that has just started and looks idle to every router.
    const ColdStartLimit limit{17, std::chrono::seconds(3)};
    constexpr std::size_t bound = 30; // 17 times 1.5, plus 5.
    for (const int routers : {1, 6, 87, 400}) {
        const TimePoint warm = Start + std::chrono::seconds(3);
        Fleet fleet(routers, {endpoint("busy"), endpoint("cold", warm)}, limit);
        for (EndpointTable &table : fleet.tables) {
            table.endpoints.at(EndpointId{"busy"}).inFlight = 64;
        }
        const auto most = fleet.mostInSecond(900, std::chrono::seconds(3));
        INFO(routers << " routers");
        CHECK(most.at("cold") <= bound);
        CHECK(most.at("cold") >= 5);
    }
}

TEST_CASE("requests beyond the limit are refused while all endpoints are cold, and nextWarmAt tells until when")
{
    // Guards against crashing all endpoints in turn when they restart together under full load.
    const TimePoint warm = Start + std::chrono::seconds(3);
    Fleet fleet(
        20, {endpoint("a", warm), endpoint("b", warm + std::chrono::seconds(1))}, {10, std::chrono::seconds(3)});
    for (const auto &[id, count] : fleet.mostInSecond(400, std::chrono::seconds(3))) {
        CHECK(count <= 10 * 1.5 + 5);
    }
    CHECK(fleet.refused > 900);
    CHECK(nextWarmAt(fleet.tables[0], Service, Start) == warm);
    CHECK_FALSE(nextWarmAt(fleet.tables[0], Service, warm));
    CHECK_FALSE(nextWarmAt(fleet.tables[0], "another", Start));
}

TEST_CASE("a warm endpoint is not limited")
{
    Fleet fleet(6, {endpoint("a", Start)}, {17, std::chrono::seconds(3)});
    CHECK(fleet.mostInSecond(400, std::chrono::seconds(2)).at("a") == 400);
    CHECK(fleet.refused == 0);
}

TEST_CASE("a cold endpoint of a service without a limit is not limited")
{
    Fleet fleet(6, {endpoint("a", Start + std::chrono::seconds(9))}, {17, std::chrono::seconds(3)});
    for (EndpointTable &table : fleet.tables) {
        table.coldPlans.clear();
    }
    CHECK(fleet.mostInSecond(400, std::chrono::seconds(2)).at("a") == 400);
}

TEST_CASE("an outdated listing never shortens the cold period")
{
    EndpointTable table;
    replaceEndpoints(table, {endpoint("a", Start + std::chrono::seconds(3))});
    replaceEndpoints(table, {endpoint("a", Start)});
    CHECK(isCold(table.endpoints.at(EndpointId{"a"}).cold, Start + std::chrono::seconds(2)));
}

TEST_CASE("a limit without room for a steady rate yields no permits")
{
    const EndpointId id{"e"};
    const ShareSet all = ShareSet().set();
    CHECK(countPermits(planColdStart({1, std::chrono::seconds(3)}, {1, 0}), id, all) == 0);
    ColdState state;
    const ColdStartPlan plan = planColdStart({2, std::chrono::seconds(3)}, {1.5, 5});
    const int permits = countPermits(plan, id, all);
    CHECK(permits == 2);
    CHECK(maySendWhileCold(state, permits, Start));
    recordColdSend(state, plan, permits, Start);
    CHECK_FALSE(maySendWhileCold(state, permits, Start + std::chrono::milliseconds(490)));
    CHECK(maySendWhileCold(state, permits, Start + std::chrono::milliseconds(510)));
}

TEST_CASE("a router without shares sends nothing to cold endpoints")
{
    const ColdStartPlan plan = planColdStart({17, std::chrono::seconds(3)}, {1.5, 5});
    const int permits = countPermits(plan, EndpointId{"e"}, {});
    CHECK(permits == 0);
    CHECK_FALSE(maySendWhileCold({}, permits, Start));
}

TEST_CASE("routers without contact to each other keep a cold endpoint within its limit")
{
    const ColdStartLimit limit{17, std::chrono::seconds(3)};
    const TimePoint warm = Start + std::chrono::seconds(3);
    const int routers = GENERATE(3, 8, 60);
    Fleet fleet(routers, {endpoint("busy"), endpoint("cold", warm)}, limit);
    for (EndpointTable &table : fleet.tables) {
        table.endpoints.at(EndpointId{"busy"}).inFlight = 64;
    }
    CHECK(fleet.mostInSecond(900, std::chrono::seconds(3))["cold"] <= 30);
}
