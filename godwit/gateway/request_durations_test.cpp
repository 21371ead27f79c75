#include "godwit/gateway/request_durations.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const TimePoint Start{std::chrono::hours(1)};
const RouteId Route{"chat"};

// Requests of the route that took 0.4 s, but for one that took `longest`.
RequestDurations durationsOf(int requests, Duration longest, TimePoint at = Start)
{
    RequestDurations durations;
    for (int i = 1; i < requests; ++i) {
        recordDuration(durations, {}, Route, milliseconds(400), at);
    }
    recordDuration(durations, {}, Route, longest, at);
    return durations;
}

bool endsInTime(const RequestDurations &durations, Duration timeLeft, Duration untilEnd, TimePoint now = Start)
{
    return isExpectedToEnd(durations, {}, Route, {now + timeLeft, now + untilEnd}, now);
}

} // namespace

TEST_CASE("a request whose deadline is before the end is expected to end in time, whatever was recorded")
{
    CHECK(endsInTime({}, seconds(2), seconds(3)));
    CHECK(endsInTime(durationsOf(30, seconds(60)), seconds(2), seconds(3)));
}

TEST_CASE("a request that may outlast the process is not expected to end without a record of its route")
{
    // Guards against requests that are passed on, and cut, because nothing is known of how long they take.
    CHECK_FALSE(endsInTime({}, seconds(10), seconds(3)));
    CHECK_FALSE(endsInTime(durationsOf(19, milliseconds(400)), seconds(10), seconds(3)));
    CHECK(endsInTime(durationsOf(20, milliseconds(400)), seconds(10), seconds(3)));
    const RequestDurations durations = durationsOf(20, milliseconds(400));
    CHECK_FALSE(isExpectedToEnd(durations, {}, RouteId{"other"}, {Start + seconds(10), Start + seconds(3)}, Start));
}

TEST_CASE("the longest recent request counts, with a margin")
{
    const RequestDurations durations = durationsOf(100, seconds(2));
    CHECK(expectedDuration(durations, {}, Route, Start) == milliseconds(2500));
    CHECK(endsInTime(durations, seconds(10), milliseconds(2600)));
    CHECK_FALSE(endsInTime(durations, seconds(10), milliseconds(2599)));
}

TEST_CASE("durations count until the end of the next window")
{
    // Guards against a route that is judged by requests of long ago.
    RequestDurations durations = durationsOf(20, seconds(2));
    CHECK(expectedDuration(durations, {}, Route, Start + milliseconds(59'999)));
    CHECK_FALSE(expectedDuration(durations, {}, Route, Start + seconds(60)));
    SECTION("requests of both windows count")
    {
        recordDuration(durations, {}, Route, milliseconds(100), Start + seconds(30));
        CHECK(expectedDuration(durations, {}, Route, Start + seconds(30)) == milliseconds(2500));
        CHECK_FALSE(expectedDuration(durations, {}, Route, Start + seconds(60)));
    }
    SECTION("a window without requests is not skipped")
    {
        recordDuration(durations, {}, Route, milliseconds(100), Start + seconds(70));
        CHECK_FALSE(expectedDuration(durations, {}, Route, Start + seconds(70)));
    }
    SECTION("routes without recent requests are removed")
    {
        recordDuration(durations, {}, RouteId{"other"}, milliseconds(100), Start + seconds(59));
        CHECK(durations.routes.size() == 2);
        recordDuration(durations, {}, RouteId{"third"}, milliseconds(100), Start + seconds(60));
        CHECK(durations.routes.size() == 2);
    }
}
