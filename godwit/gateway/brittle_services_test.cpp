#include "godwit/gateway/brittle_services.h"

#include "godwit/gateway/endpoint_table.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Godwit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const TimePoint Start{seconds(100)};
const std::string Service = "plain";
const BrittleOptions Options;

BrittleServices brittleService(int maxRejections = 4)
{
    BrittleServices services;
    recordResponse(services, Options, Service, maxRejections, Start);
    return services;
}

int placesOfAll(std::size_t routers, int slots, const BrittleServices &services, TimePoint now)
{
    int sum = 0;
    for (std::size_t rank = 0; rank < routers; ++rank) {
        sum += placesAt(services, Options, EndpointId{"i-1"}, slots, {routers, rank, routers}, now);
    }
    return sum;
}

EndpointTable tableOf(std::size_t endpoints, int slots)
{
    EndpointTable table;
    std::vector<ListedEndpoint> listed;
    for (std::size_t i = 0; i < endpoints; ++i) {
        ListedEndpoint endpoint;
        endpoint.id = EndpointId{"i-" + std::to_string(i)};
        endpoint.service = Service;
        endpoint.slots = slots;
        listed.push_back(endpoint);
    }
    replaceEndpoints(table, listed);
    return table;
}

ChoiceQuery anyRequest()
{
    ChoiceQuery query;
    query.service = Service;
    return query;
}

// Sends as many requests as the table permits, none of which ends.
int sendAll(EndpointTable &table, TimePoint now)
{
    int sent = 0;
    for (Choice choice = chooseEndpoint(table, anyRequest(), {}, 0, now); choice.endpoint != nullptr && sent < 1000;
         choice = chooseEndpoint(table, anyRequest(), {}, 0, now)) {
        beginAttempt(*choice.endpoint);
        ++sent;
    }
    return sent;
}

} // namespace

// Guards against routers that exceed an endpoint's room together.
TEST_CASE("the routers' places at a brittle endpoint add up to its slots")
{
    const BrittleServices services = brittleService();
    for (const std::size_t routers : {1UL, 3UL, 8UL, 87UL, 400UL}) {
        for (const int slots : {1, 6, 8, 96}) {
            CAPTURE(routers, slots);
            CHECK(placesOfAll(routers, slots, services, Start) == slots);
        }
    }
}

// Guards against a router that ignores the limit when it knows no place of its own.
TEST_CASE("routers without places stay below the tolerated rejections together")
{
    EndpointTable table = tableOf(6, 8);
    recordResponse(table.brittle, Options, Service, 4, Start);
    table.position = {8, std::nullopt, 87};
    int sent = 0;
    for (TimePoint now = Start; now < Start + seconds(29); now += milliseconds(10)) {
        const Choice choice = chooseEndpoint(table, anyRequest(), {}, 0, now);
        sent += choice.endpoint != nullptr ? 1 : 0;
    }
    // 87 such routers, 6 endpoints that tolerate 4 rejections a second each.
    CHECK(sent > 0);
    CHECK(87.0 * sent / 29 <= 6 * 4);
}

// Guards against a limit that stays in force, or that one response lifts while others say otherwise.
TEST_CASE("a service stays brittle while its endpoints say so, and for seconds afterwards")
{
    BrittleServices services = brittleService();
    CHECK(isBrittle(services, Options, Service, Start + seconds(20)));
    recordResponse(services, Options, Service, std::nullopt, Start + milliseconds(100));
    CHECK(isBrittle(services, Options, Service, Start + seconds(1)));
    CHECK_FALSE(isBrittle(services, Options, Service, Start + seconds(3)));
    CHECK_FALSE(isBrittle(services, Options, "other", Start));
    recordResponse(services, Options, Service, 2, Start + seconds(4));
    CHECK(isBrittle(services, Options, Service, Start + seconds(5)));
    CHECK(brittleReports(services, Options, Start + seconds(5)).size() == 1);
}

// Guards against reports that keep each other alive between routers.
TEST_CASE("a report of another router is as old as what it reports")
{
    BrittleServices services;
    CHECK(applyBrittleReport(services, Options, {Service, 4, seconds(20)}, Start));
    CHECK(isBrittle(services, Options, Service, Start + seconds(9)));
    CHECK_FALSE(isBrittle(services, Options, Service, Start + seconds(11)));
    CHECK_FALSE(applyBrittleReport(services, Options, {Service, 4, seconds(31)}, Start + seconds(11)));
}

// Guards against rejections that go on because each router has only seen a few of them.
TEST_CASE("an endpoint that rejects requests gets none for a while and has less room")
{
    BrittleServices services = brittleService(4);
    const EndpointId id{"i-1"};
    recordRejection(services, Options, id, Start);
    CHECK_FALSE(isRejecting(services, Options, Service, id, Start));
    recordRejection(services, Options, id, Start + milliseconds(1));
    CHECK(isRejecting(services, Options, Service, id, Start + milliseconds(1)));
    CHECK(isRejecting(services, Options, Service, id, Start + seconds(1)));
    CHECK_FALSE(isRejecting(services, Options, Service, id, Start + milliseconds(1300)));
    CHECK(placesOfAll(4, 8, services, Start) == 6);
    CHECK(placesOfAll(4, 8, services, Start + seconds(2)) == 8);
    services.services[Service].maxRejections = 0;
    recordRejection(services, Options, id, Start + seconds(4));
    CHECK(isRejecting(services, Options, Service, id, Start + seconds(4)));
}

// Guards against routers that restart together and send more than there is room for before the first response.
TEST_CASE("requests to a service are limited until its first response")
{
    EndpointTable table = tableOf(3, 8);
    table.position = {4, 1, 4};
    table.brittleOptions.limitUnknown = true;
    CHECK(sendAll(table, Start) == 6);
    recordResponse(table.brittle, Options, Service, std::nullopt, Start);
    CHECK(sendAll(table, Start) == 1000);
}

// Guards against a choice that prefers endpoints in backoff to waiting for a place.
TEST_CASE("requests to a brittle service are sent to free places only")
{
    EndpointTable table = tableOf(3, 8);
    CHECK(sendAll(table, Start) == 1000);
    table = tableOf(3, 8);
    recordResponse(table.brittle, Options, Service, 4, Start);
    table.position = {1, 0, 1};
    table.endpoints.at(EndpointId{"i-0"}).backoffUntil = Start + seconds(1);
    CHECK(sendAll(table, Start) == 16);
    CHECK(countPlaces(table, Service, Start) == 16);
}
