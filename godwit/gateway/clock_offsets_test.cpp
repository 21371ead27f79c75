#include "godwit/gateway/clock_offsets.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const ClockOffsetOptions Options;
const TimePoint Start = TimePoint(hours(5));
constexpr const char *Peer = "router-2.1";

// A peer whose clock is ahead by `ahead`, and whose answers need the given times in each direction.
struct Exchange
{
    Duration ahead{};
    Duration there = milliseconds(4);
    Duration back = milliseconds(4);
};

// Returns the time of the answer's arrival.
TimePoint exchange(ClockOffsets &offsets, const Exchange &exchange, TimePoint askedAt)
{
    const TimePoint answeredAt = askedAt + exchange.there;
    recordClockExchange(offsets, Options, Peer, askedAt, answeredAt + exchange.ahead, answeredAt + exchange.back);
    return answeredAt + exchange.back;
}

} // namespace

TEST_CASE("a peer's time is converted to no later than its actual time")
{
    const Duration ahead = GENERATE(Duration(hours(2)), Duration(0), -Duration(hours(3)));
    ClockOffsets offsets;
    const TimePoint now = exchange(offsets, {ahead}, Start);
    const TimePoint actual = Start + milliseconds(1);
    const auto converted = toLocalTime(offsets, Options, Peer, actual + ahead, now);
    REQUIRE(converted.has_value());
    CHECK(*converted <= actual);
    CHECK(*converted >= actual - milliseconds(4));
    CHECK_FALSE(toLocalTime(offsets, Options, "router-3.1", actual, now).has_value());
}

// Guards against dating a message by a question that was on its way for seconds.
TEST_CASE("an exchange that took longer does not replace a precise bound")
{
    ClockOffsets offsets;
    exchange(offsets, {seconds(10)}, Start);
    const Exchange slow{seconds(10), seconds(3), seconds(0)};
    const TimePoint now = exchange(offsets, slow, Start + seconds(5));
    const TimePoint actual = now - milliseconds(500);
    CHECK(*toLocalTime(offsets, Options, Peer, actual + seconds(10), now) >= actual - milliseconds(4));
}

// Guards against a bound that is used after the clocks have drifted apart.
TEST_CASE("a bound expires, and the next exchange replaces it")
{
    ClockOffsets offsets;
    const TimePoint measured = exchange(offsets, {seconds(1)}, Start);
    const TimePoint later = measured + Options.validity;
    CHECK_FALSE(toLocalTime(offsets, Options, Peer, later, later).has_value());
    const TimePoint now = exchange(offsets, {seconds(2)}, later);
    CHECK(*toLocalTime(offsets, Options, Peer, now + seconds(2), now) <= now);
}

TEST_CASE("a converted time is not later than the present")
{
    ClockOffsets offsets;
    const TimePoint now = exchange(offsets, {}, Start);
    CHECK(*toLocalTime(offsets, Options, Peer, now + hours(1), now) == now);
}

TEST_CASE("a peer is asked until a precise bound is known, once in a while")
{
    ClockOffsets offsets;
    CHECK(startClockExchange(offsets, Options, Peer, Start));
    CHECK_FALSE(startClockExchange(offsets, Options, Peer, Start + milliseconds(300)));
    CHECK(startClockExchange(offsets, Options, Peer, Start + Options.retryInterval));
    const Exchange slow{seconds(0), milliseconds(700), milliseconds(700)};
    const TimePoint first = exchange(offsets, slow, Start + seconds(2));
    CHECK(startClockExchange(offsets, Options, Peer, first));
    const TimePoint second = exchange(offsets, {}, first);
    CHECK_FALSE(startClockExchange(offsets, Options, Peer, second + Options.retryInterval));
    CHECK(startClockExchange(offsets, Options, Peer, second + Options.validity));
}
