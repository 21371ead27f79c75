#include "godwit/gateway/endpoint_speed.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace Godwit;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start{seconds(50)};

// 83 ms and 93.6 tokens per millisecond, times `factor`.
Duration timeOf(Tokens tokens, double factor)
{
    return Duration(static_cast<Duration::rep>((83 + static_cast<double>(tokens) / 93.6) * factor * 1000));
}

bool isUsed(const EngineSpeed &speed, TimePoint now)
{
    const CurrentSpeed current = currentSpeed(speed, {}, now);
    return isOutsideBand(current.ratio, current.samples, {});
}

double ratioOf(const EngineSpeed &speed, TimePoint now)
{
    return currentSpeed(speed, {}, now).ratio;
}

} // namespace

TEST_CASE("fixed time and time per token are learned although a third of the prompts waits in unknown queues")
{
    // Guards against engines that look fast only because the expected time includes the queues of other engines.
    ServiceTimes times;
    std::mt19937_64 random(7);
    constexpr Tokens sizes[] = {826, 9190, 9190, 39600};
    for (int i = 0; i < 600; ++i) {
        const Tokens tokens = sizes[random() % 4];
        const Duration queue = random() % 3 == 0 ? milliseconds(random() % 400) : Duration::zero();
        recordServiceTime(times, tokens, timeOf(tokens, 1) + queue);
    }
    CHECK(times.fixedMilliseconds == Approx(83).epsilon(0.1));
    CHECK(times.millisecondsPerToken == Approx(1 / 93.6).epsilon(0.1));
}

TEST_CASE("prompts of one size give an expected time for that size")
{
    // Guards against a division by zero where the fixed time can't be told apart from the time per token.
    ServiceTimes times;
    for (int i = 0; i < 100; ++i) {
        recordServiceTime(times, 826, milliseconds(92));
    }
    REQUIRE(expectedTime(times, 826));
    CHECK(toSeconds(*expectedTime(times, 826)) == Approx(0.092).epsilon(0.01));
}

TEST_CASE("a slow moment does not make a good engine look slow")
{
    // Guards against an engine that is 2.5 times as slow for 0.6 s being avoided for seconds afterwards.
    EngineSpeed speed;
    TimePoint now = Start;
    for (int i = 0; i < 40; ++i, now += milliseconds(180)) {
        recordSpeedSample(speed, 1, now);
    }
    for (int i = 0; i < 3; ++i, now += milliseconds(180)) {
        recordSpeedSample(speed, 2.5, now);
        CHECK_FALSE(isUsed(speed, now));
    }
}

TEST_CASE("one late sample after a pause does not make a good engine look slow")
{
    EngineSpeed speed;
    for (int i = 0; i < 5; ++i) {
        recordSpeedSample(speed, 1, Start);
    }
    recordSpeedSample(speed, 2.5, Start + seconds(10));
    CHECK(ratioOf(speed, Start + seconds(10)) < 1.25);
}

TEST_CASE("an engine that stays slow, or becomes fast again, is noticed within seconds")
{
    EngineSpeed speed;
    TimePoint now = Start;
    const auto observe = [&](double ratio, Duration length) {
        for (const TimePoint end = now + length; now < end; now += milliseconds(180)) {
            recordSpeedSample(speed, ratio, now);
        }
    };
    observe(1, seconds(4));
    observe(1.7, seconds(3));
    CHECK(isUsed(speed, now));
    observe(1.7, seconds(3));
    CHECK(ratioOf(speed, now) > 1.5);
    observe(1, seconds(2));
    CHECK(ratioOf(speed, now) < 1.25);
}

TEST_CASE("a ratio is used with four samples and outside of the band only")
{
    EngineSpeed speed;
    for (int i = 0; i < 3; ++i) {
        recordSpeedSample(speed, 1.7, Start);
    }
    CHECK_FALSE(isUsed(speed, Start));
    recordPeerSpeed(speed, 1.7, 1, Start);
    CHECK(isUsed(speed, Start));
    CHECK_FALSE(isOutsideBand(1.25, 9, {}));
    CHECK_FALSE(isOutsideBand(0.8, 9, {}));
    CHECK(isOutsideBand(0.79, 9, {}));
}

TEST_CASE("a ratio counts half after 5 s and not at all after 15 s")
{
    // Guards against an engine that is avoided for good since no prompt goes there any more.
    EngineSpeed speed;
    recordPeerSpeed(speed, 4, 6, Start);
    CHECK(ratioOf(speed, Start) == Approx(4));
    CHECK(ratioOf(speed, Start + seconds(5)) == Approx(2));
    CHECK(currentSpeed(speed, {}, Start + seconds(5)).age == seconds(5));
    CHECK(currentSpeed(speed, {}, Start + seconds(16)).samples == 0);
    CHECK(ratioOf(speed, Start + seconds(16)) == 1);
}

TEST_CASE("a report counts by its samples")
{
    EngineSpeed speed;
    recordSpeedSample(speed, 1, Start);
    recordPeerSpeed(speed, 1.2, 3, Start);
    CHECK(ratioOf(speed, Start) == Approx(std::exp(std::log(1.2) * 3 / 4)));
    CHECK(currentSpeed(speed, {}, Start).samples == 4);
}
