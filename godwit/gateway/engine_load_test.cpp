#include "godwit/gateway/engine_load.h"

#include "godwit/gateway/testing_engines.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using Testing::Placement;
using Testing::PlacementLoad;
using Testing::PlacementResult;

namespace
{

using std::chrono::milliseconds;

const TimePoint Start{std::chrono::seconds(50)};
const PrefillSpeed Speed{0.02};

} // namespace

TEST_CASE("short requests don't wait behind long prompts while other engines are idle")
{
    // Guards against a first event that is a second late although most engines are idle. It happens if the router
    // counts requests and the engine with the fewest is prefilling 50,000 tokens that another router has sent.
    const PlacementResult reading = Testing::simulatePlacement(PlacementLoad{}, Placement::ByPrefillTime);
    const PlacementResult requests = Testing::simulatePlacement(PlacementLoad{}, Placement::LeastInFlight);
    CHECK(reading.shortLate * 100 < reading.shorts);
    CHECK(reading.shortLate * 5 < requests.shortLate);
    CHECK(reading.recomputedTokens * 3 < requests.recomputedTokens);
}

TEST_CASE("slow engines receive fewer requests without being configured as slow")
{
    PlacementLoad load;
    load.slowFraction = 0.25;
    const PlacementResult reading = Testing::simulatePlacement(load, Placement::ByPrefillTime);
    const PlacementResult before = Testing::simulatePlacement(load, Placement::BoundedAffinity);
    CHECK(reading.shortLate * 2 < before.shortLate);
}

TEST_CASE("pending prefills are processed in order, and a first event completes all before it")
{
    EngineLoad load;
    PrefillSpeed speed = Speed;
    beginPrefill(load, speed, 1, 10'000, Start);
    recordRemotePrefill(load, speed, 5'000, Start);
    beginPrefill(load, speed, 2, 1'000, Start);
    CHECK(queueDelay(load, Start) == milliseconds(320));
    finishPrefill(load, speed, 1, Start + milliseconds(100));
    CHECK(queueDelay(load, Start + milliseconds(100)) < milliseconds(120));
    finishPrefill(load, speed, 2, Start + milliseconds(150));
    CHECK(queueDelay(load, Start + milliseconds(150)) == Duration::zero());
    CHECK(load.pending.empty());
}

TEST_CASE("an overdue first event adds to the queue delay of the engine")
{
    EngineLoad load;
    beginPrefill(load, Speed, 1, 1'000, Start);
    CHECK(queueDelay(load, Start + milliseconds(600)) > milliseconds(500));
    cancelPrefill(load, Speed, 1, Start + milliseconds(600));
    CHECK(queueDelay(load, Start + milliseconds(600)) == Duration::zero());
}

TEST_CASE("the speed is learned from the fast prefills, and a slower engine gets a slowdown factor")
{
    PrefillSpeed speed;
    EngineLoad quick;
    EngineLoad slow;
    TimePoint now = Start;
    for (PrefillId id = 1; id <= 200; ++id) {
        beginPrefill(quick, speed, id, 2'000, now);
        beginPrefill(slow, speed, id, 2'000, now);
        finishPrefill(quick, speed, id, now + milliseconds(40));
        finishPrefill(slow, speed, id, now + milliseconds(160));
        now += milliseconds(500);
    }
    CHECK(speed.millisecondsPerToken == Approx(0.02).epsilon(0.1));
    CHECK(quick.slowdown < 1.2);
    CHECK(slow.slowdown > 3);
    CHECK(slow.slowdown < 5);
}
