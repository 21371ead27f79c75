#include "godwit/suspects/first_deaths.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start = TimePoint(1h);

void die(SuspectBook &book, const std::string &endpoint, Duration after, std::uint64_t fingerprint, Duration ranFor)
{
    const EndpointDeath death{EndpointId(endpoint), {}, DataCentreId("dc"), Start + after, {}};
    noteSuspect(book, death, fingerprint, {Start + after - ranFor});
}

// As a process that starts now reads it.
SuspectBook readAnew(const std::string &value, TimePoint now)
{
    SuspectBook book;
    const auto deaths = decodeFirstDeaths(value);
    REQUIRE(deaths);
    for (const FirstDeath &death : *deaths) {
        noteFirstDeath(book, death, now);
    }
    return book;
}

} // namespace

TEST_CASE("a first death counts at a process that started after it, and a second one follows it")
{
    SuspectBook book;
    die(book, "a", 0s, 7, 40ms);
    SuspectBook later = readAnew(encodeFirstDeaths(firstDeathsIn(book, Start + 1s)), Start + 2s);
    REQUIRE(soundDeaths(later, 7).size() == 1);
    CHECK(runTime(*soundDeaths(later, 7)[0], 7) == Duration(40ms));
    die(later, "b", 3s, 7, 40ms);
    CHECK(soundDeaths(later, 7).size() == 2);
    noteFirstDeath(later, {7, EndpointId{"b"}, 40ms, 0s}, Start + 4s);
    CHECK(later.deathCount.at(7) == 2);
}

TEST_CASE("first deaths leave out requests with a record of their own")
{
    SuspectBook book;
    die(book, "a", 0s, 7, 40ms);
    die(book, "a", 0s, 8, 60ms);
    die(book, "b", 1s, 7, 40ms);
    const auto deaths = firstDeathsIn(book, Start + 2s);
    REQUIRE(deaths.size() == 1);
    CHECK(deaths[0].fingerprint == 8);
}

// Guards against holding requests to account for a failure of the network after all routers have started anew.
TEST_CASE("first deaths leave out what failed together")
{
    SuspectBook book;
    for (std::uint64_t i = 0; i < 6; ++i) {
        die(book, "e" + std::to_string(i), 10ms * i, i + 1, 1s);
    }
    CHECK(firstDeathsIn(book, Start + 1s).empty());
}

TEST_CASE("first deaths are few, the latest and the shortest runs first")
{
    SuspectBook book;
    for (std::uint64_t i = 0; i < 100; ++i) {
        die(book, "a", 0s, i + 1, 100ms - 1ms * i);
    }
    die(book, "b", 1s, 200, 1s);
    const auto deaths = firstDeathsIn(book, Start + 2s);
    REQUIRE(deaths.size() == 33);
    CHECK(deaths[0].fingerprint == 200);
    CHECK(deaths[1].fingerprint == 100);
    CHECK(firstDeathsIn(book, Start + 1h).empty());
}

TEST_CASE("a value of first deaths that can't be read says so")
{
    for (const char *text :
         {"", "[]", "{}", R"({"deaths":[["zz","a",1,1]]})", R"({"deaths":[["0000000000000007"]]})"}) {
        CHECK_FALSE(decodeFirstDeaths(text));
    }
}
