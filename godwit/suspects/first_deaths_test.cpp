#include "godwit/suspects/first_deaths.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1h);

void recordDeath(
    SuspectTracker &tracker, const std::string &endpoint, Duration after, std::uint64_t fingerprint, Duration ranFor)
{
    const EndpointDeath death{EndpointId(endpoint), {}, DataCentreId("dc"), Start + after, {}};
    recordSuspect(tracker, death, fingerprint, {Start + after - ranFor});
}

// The tracker of a process that starts now and reads the value.
SuspectTracker restoreTracker(const std::string &value, TimePoint now)
{
    SuspectTracker tracker;
    const auto deaths = decodeFirstDeaths(value);
    REQUIRE(deaths);
    for (const FirstDeath &death : *deaths) {
        recordFirstDeath(tracker, death, now);
    }
    return tracker;
}

} // namespace

TEST_CASE("a first death counts in a process started later, and a second death follows it")
{
    SuspectTracker tracker;
    recordDeath(tracker, "a", 0s, 7, 40ms);
    SuspectTracker later = restoreTracker(encodeFirstDeaths(collectFirstDeaths(tracker, Start + 1s)), Start + 2s);
    REQUIRE(attributableDeaths(later, 7).size() == 1);
    CHECK(runTime(*attributableDeaths(later, 7)[0], 7) == Duration(40ms));
    recordDeath(later, "b", 3s, 7, 40ms);
    CHECK(attributableDeaths(later, 7).size() == 2);
    recordFirstDeath(later, {7, EndpointId{"b"}, 40ms, 0s}, Start + 4s);
    CHECK(later.deathCount.at(7) == 2);
}

TEST_CASE("first deaths omit requests with more than one death")
{
    SuspectTracker tracker;
    recordDeath(tracker, "a", 0s, 7, 40ms);
    recordDeath(tracker, "a", 0s, 8, 60ms);
    recordDeath(tracker, "b", 1s, 7, 40ms);
    const auto deaths = collectFirstDeaths(tracker, Start + 2s);
    REQUIRE(deaths.size() == 1);
    CHECK(deaths[0].fingerprint == 8);
}

// Guards against suspecting requests for a network failure after all routers have restarted.
TEST_CASE("first deaths omit widespread failures")
{
    SuspectTracker tracker;
    for (std::uint64_t i = 0; i < 6; ++i) {
        recordDeath(tracker, "e" + std::to_string(i), 10ms * i, i + 1, 1s);
    }
    CHECK(collectFirstDeaths(tracker, Start + 1s).empty());
}

TEST_CASE("first deaths are bounded, with the latest deaths and the shortest runs first")
{
    SuspectTracker tracker;
    for (std::uint64_t i = 0; i < 100; ++i) {
        recordDeath(tracker, "a", 0s, i + 1, 100ms - 1ms * i);
    }
    recordDeath(tracker, "b", 1s, 200, 1s);
    const auto deaths = collectFirstDeaths(tracker, Start + 2s);
    REQUIRE(deaths.size() == 33);
    CHECK(deaths[0].fingerprint == 200);
    CHECK(deaths[1].fingerprint == 100);
    CHECK(collectFirstDeaths(tracker, Start + 1h).empty());
}

TEST_CASE("malformed first deaths are rejected")
{
    for (const char *text :
         {"", "[]", "{}", R"({"deaths":[["zz","a",1,1]]})", R"({"deaths":[["0000000000000007"]]})"}) {
        CHECK_FALSE(decodeFirstDeaths(text));
    }
}
