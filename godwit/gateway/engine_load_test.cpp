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
const EngineSpeed Speed{0.02};

} // namespace

TEST_CASE("short requests don't wait behind long prompts while other engines are idle")
{
    // The caller's chat answer begins a second late although most engines are idle. Its router counts requests, and
    // the one with the fewest is just reading 50,000 tokens that another router has sent.
    const PlacementResult reading = Testing::playPlacement(PlacementLoad{}, Placement::ByReading);
    const PlacementResult requests = Testing::playPlacement(PlacementLoad{}, Placement::LeastInFlight);
    CHECK(reading.shortLate * 100 < reading.shorts);
    CHECK(reading.shortLate * 5 < requests.shortLate);
    CHECK(reading.reread * 3 < requests.reread);
}

TEST_CASE("slow engines get less without being told apart by name")
{
    PlacementLoad load;
    load.slowEngines = 0.25;
    const PlacementResult reading = Testing::playPlacement(load, Placement::ByReading);
    const PlacementResult before = Testing::playPlacement(load, Placement::SharedPartBound);
    CHECK(reading.shortLate * 2 < before.shortLate);
}

TEST_CASE("what waits at an engine is read in order, and a first event says how far it has come")
{
    EngineLoad load;
    EngineSpeed speed = Speed;
    beginRead(load, speed, 1, 10'000, Start);
    noteReadElsewhere(load, speed, 5'000, Start);
    beginRead(load, speed, 2, 1'000, Start);
    CHECK(waitOf(load, Start) == milliseconds(320));
    endRead(load, speed, 1, Start + milliseconds(100));
    CHECK(waitOf(load, Start + milliseconds(100)) < milliseconds(120));
    endRead(load, speed, 2, Start + milliseconds(150));
    CHECK(waitOf(load, Start + milliseconds(150)) == Duration::zero());
    CHECK(load.reads.empty());
}

TEST_CASE("an engine whose first event is overdue counts as behind by that much")
{
    EngineLoad load;
    beginRead(load, Speed, 1, 1'000, Start);
    CHECK(waitOf(load, Start + milliseconds(600)) > milliseconds(500));
    dropRead(load, Speed, 1, Start + milliseconds(600));
    CHECK(waitOf(load, Start + milliseconds(600)) == Duration::zero());
}

TEST_CASE("the speed is learnt from the quick reads, and an engine that takes longer is slow")
{
    EngineSpeed speed;
    EngineLoad quick;
    EngineLoad slow;
    TimePoint now = Start;
    for (ReadId id = 1; id <= 200; ++id) {
        beginRead(quick, speed, id, 2'000, now);
        beginRead(slow, speed, id, 2'000, now);
        endRead(quick, speed, id, now + milliseconds(40));
        endRead(slow, speed, id, now + milliseconds(160));
        now += milliseconds(500);
    }
    CHECK(speed.millisecondsPerToken == Approx(0.02).epsilon(0.1));
    CHECK(quick.slowness < 1.2);
    CHECK(slow.slowness > 3);
    CHECK(slow.slowness < 5);
}
