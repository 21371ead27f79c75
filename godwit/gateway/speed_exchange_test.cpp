#include "godwit/gateway/speed_exchange.h"

#include "godwit/gateway/testing_engines.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Godwit;
using Testing::Placement;
using Testing::PlacementLoad;
using Testing::PlacementResult;
using Testing::SpeedSharing;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Service = "engine";
const TimePoint Start{seconds(50)};

EndpointTable engines(int count, bool shareSpeeds)
{
    std::vector<ListedEndpoint> listed;
    listed.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        listed.push_back({EndpointId{std::to_string(i)}, Service, "", DataCentreId{"north"}, 32, false, 7});
    }
    EndpointTable table;
    table.shareSpeeds = shareSpeeds;
    replaceEndpoints(table, listed);
    return table;
}

// Sends one prompt of `tokens` to an idle engine that answers after 0.1 s times `factor`.
void answer(EndpointTable &table, const char *id, double factor, TimePoint now)
{
    EndpointState &endpoint = table.endpoints.at(EndpointId{id});
    refreshRates(table, Service, now);
    beginPrefill(endpoint.load, table.prefillSpeeds[Service], 1, 5000, now);
    recordFirstEvent(table, endpoint, 1, now + Duration(static_cast<Duration::rep>(factor * 100'000)));
}

// The load that shared speeds respond to: 30 engines, fixed time 83 ms, 93.6 tokens per millisecond.
PlacementLoad engineLoad(SpeedSharing speeds)
{
    PlacementLoad load;
    load.routers = 8;
    load.engines = 30;
    load.tokensPerMillisecond = 93.6;
    load.fixedTime = milliseconds(83);
    load.fixedSizes = true;
    load.longPerSecond = 119;
    load.shortPerSecond = 48;
    load.length = seconds(20);
    load.speeds = speeds;
    return load;
}

PlacementLoad differentEngines(SpeedSharing speeds)
{
    PlacementLoad load = engineLoad(speeds);
    load.longPerSecond *= 1.3;
    load.shortPerSecond *= 1.3;
    load.slowFraction = 1.0 / 3;
    load.slowFactor = 1.7;
    load.usualFactor = 0.7;
    return load;
}

PlacementResult replay(const PlacementLoad &load)
{
    return Testing::simulatePlacement(load, Placement::ByPrefillTime);
}

} // namespace

TEST_CASE("with engines of different speeds, far fewer first events are late if routers share what they observe")
{
    // Guards against prompts that go to engines that are 1.7 times as slow as usual while those at 0.7 are free.
    PlacementLoad load = differentEngines(SpeedSharing::Off);
    const int off = replay(load).late;
    load.speeds = SpeedSharing::Shared;
    const int shared = replay(load).late;
    INFO("late without sharing " << off << ", with " << shared);
    CHECK(shared * 2 < off);
}

TEST_CASE("the same, while a sixth of the engines is 2.5 times as slow for 0.6 s")
{
    // Guards against engines at 0.7 that are avoided because of a slow moment, and against prompts that gather at an
    // engine that is slow at the moment.
    PlacementLoad load = differentEngines(SpeedSharing::Off);
    load.brieflySlowFraction = 1.0 / 6;
    const int off = replay(load).late;
    load.speeds = SpeedSharing::Shared;
    const int shared = replay(load).late;
    INFO("late without sharing " << off << ", with " << shared);
    CHECK(shared * 5 < off * 4);
}

TEST_CASE("with engines that are alike, the same endpoints are chosen with shared speeds as without")
{
    // Guards against changed choices at deployments whose engines do not differ.
    const PlacementResult off = replay(engineLoad(SpeedSharing::Off));
    const PlacementResult shared = replay(engineLoad(SpeedSharing::Shared));
    CHECK(off.requests > 3000);
    CHECK((shared.chosen == off.chosen));
}

TEST_CASE("without the setting no sample is kept, reported or taken")
{
    EndpointTable table = engines(1, false);
    for (int i = 0; i < 60; ++i) {
        answer(table, "0", 1, Start + seconds(i));
    }
    applySpeedReports(table, {{EndpointId{"0"}, 7, 3, 9}}, Start);
    CHECK(table.speeds.empty());
    CHECK(takeSpeedReports(table, MaxSpeedReports).empty());
    CHECK(table.endpoints.at(EndpointId{"0"}).speed.samples == 0);
    CHECK(takeSpeedChanges(table, Start).empty());
}

TEST_CASE("reports are bounded, and what did not fit goes with the next")
{
    EndpointTable table = engines(3, true);
    for (int i = 0; i < 60; ++i) {
        answer(table, "0", 1, Start + seconds(i));
    }
    TimePoint now = Start + seconds(70);
    for (const char *id : {"0", "1", "1", "2"}) {
        answer(table, id, 2, now);
        now += seconds(1);
    }
    const auto first = takeSpeedReports(table, 2);
    REQUIRE(first.size() == 2);
    CHECK(first[0].endpoint == EndpointId{"0"});
    CHECK(first[1].endpoint == EndpointId{"1"});
    CHECK(first[1].startedAt == 7);
    CHECK(first[1].samples == 2);
    CHECK(first[1].ratio == Approx(2).epsilon(0.05));
    const auto second = takeSpeedReports(table, 2);
    REQUIRE(second.size() == 1);
    CHECK(second[0].endpoint == EndpointId{"2"});
    CHECK(takeSpeedReports(table, 2).empty());
}

TEST_CASE("an engine that restarts begins without a ratio, and reports about its former run are ignored")
{
    EndpointTable table = engines(1, true);
    const EndpointId id{"0"};
    applySpeedReports(table, {{id, 7, 2, 9}}, Start);
    const auto changes = takeSpeedChanges(table, Start);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].outsideBand);
    ListedEndpoint restarted = table.endpoints.at(id).listed;
    restarted.startedAt = 8;
    replaceEndpoints(table, {restarted});
    applySpeedReports(table, {{id, 7, 2, 9}, {EndpointId{"unknown"}, 7, 2, 9}}, Start);
    CHECK(currentSpeed(table.endpoints.at(id).speed, {}, Start).samples == 0);
}

TEST_CASE("rates are used while an engine is outside the band and its ratio is not too old")
{
    EndpointTable table = engines(2, true);
    TimePoint now = Start;
    for (int i = 0; i < 60; ++i, now += seconds(1)) {
        answer(table, "0", 1, now);
    }
    applySpeedReports(table, {{EndpointId{"1"}, 7, 2, 9}}, now);
    refreshRates(table, Service, now);
    const auto loadOf = [&](const char *id) {
        return table.endpoints.at(EndpointId{id}).load;
    };
    CHECK(loadOf("0").usesRate);
    CHECK(loadOf("1").rate.millisecondsPerToken == Approx(2 * loadOf("0").rate.millisecondsPerToken));
    refreshRates(table, Service, now + seconds(20));
    CHECK_FALSE(loadOf("0").usesRate);
    CHECK_FALSE(loadOf("1").usesRate);
}
