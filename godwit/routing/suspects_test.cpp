#include "godwit/routing/routing.h"
#include "godwit/routing/sim_fleet.h"
#include "godwit/suspects/suspect_tracker.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace Godwit;
using namespace Godwit::Sim;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Seed = 20261202;
const TimePoint Start = TimePoint(1h);

EndpointDeath death(const std::string &endpoint, Duration after, const std::string &host = {})
{
    return {EndpointId(endpoint), HostId(host), DataCentreId("dc"), Start + after, {}};
}

FleetOptions smallFleet()
{
    std::printf("simulated fleet, seed %llu\n", static_cast<unsigned long long>(Seed));
    FleetOptions options;
    options.seed = Seed;
    options.rate = 30;
    return options;
}

} // namespace

TEST_CASE("a single death convicts no request")
{
    SuspectTracker tracker;
    recordSuspect(tracker, death("a", 0s), 7);
    CHECK(evaluateSuspect(tracker, 7, Start + 1s) == Verdict::Suspected);
    CHECK(verdictFor(tracker, 8, Start + 1s) == Verdict::Unsuspected);
}

TEST_CASE("the only request in flight at two deaths is convicted, and the conviction expires")
{
    SuspectTracker tracker;
    for (const std::uint64_t fingerprint : {7, 8, 9}) {
        recordSuspect(tracker, death("a", 0s), fingerprint);
    }
    for (const std::uint64_t fingerprint : {7, 10}) {
        recordSuspect(tracker, death("b", 1s), fingerprint);
    }
    CHECK(evaluateSuspect(tracker, 8, Start + 2s) == Verdict::Suspected);
    CHECK(evaluateSuspect(tracker, 7, Start + 2s) == Verdict::Convicted);
    CHECK(verdictFor(tracker, 7, Start + 10min) == Verdict::Convicted);
    removeExpiredSuspects(tracker, Start + 3h);
    CHECK(verdictFor(tracker, 7, Start + 3h) == Verdict::Unsuspected);
    CHECK(tracker.deathCount.empty());
}

TEST_CASE("two requests that share two deaths are not convicted until a third death separates them")
{
    SuspectTracker tracker;
    for (const char *endpoint : {"a", "b"}) {
        const auto after = endpoint[0] == 'a' ? 0s : 1s;
        recordSuspect(tracker, death(endpoint, after), 7);
        recordSuspect(tracker, death(endpoint, after), 8);
    }
    CHECK(evaluateSuspect(tracker, 7, Start + 2s) == Verdict::Suspected);
    CHECK(evaluateSuspect(tracker, 8, Start + 2s) == Verdict::Suspected);
    CHECK(suspectRank(tracker, 7) != suspectRank(tracker, 8));
    recordSuspect(tracker, death("c", 3s), 7);
    CHECK(evaluateSuspect(tracker, 8, Start + 4s) == Verdict::Suspected);
    CHECK(evaluateSuspect(tracker, 7, Start + 4s) == Verdict::Convicted);
}

TEST_CASE("two deaths of the same endpoint count once")
{
    SuspectTracker tracker;
    recordSuspect(tracker, death("a", 0s), 7);
    recordSuspect(tracker, death("a", 30s), 7);
    CHECK(evaluateSuspect(tracker, 7, Start + 40s) == Verdict::Suspected);
}

TEST_CASE("simultaneous deaths on one host do not count as separate evidence")
{
    // A host with two endpoints fails, and a request that was in flight at one of them is later in flight at the death
    // of an unrelated endpoint. The host failure must not count as evidence: otherwise the request would be convicted
    // and refused for an hour.
    for (const bool hostsKnown : {true, false}) {
        SuspectTracker tracker;
        recordSuspect(tracker, death("a", 0ms, hostsKnown ? "h1" : ""), 7);
        recordSuspect(tracker, death("b", 20ms, hostsKnown ? "h1" : ""), 8);
        recordSuspect(tracker, death("c", 5s, hostsKnown ? "h2" : ""), 7);
        CHECK((evaluateSuspect(tracker, 7, Start + 6s) == Verdict::Suspected) == hostsKnown);
    }
}

TEST_CASE("a failure of many endpoints counts as widespread unless they share a request")
{
    SuspectTracker tracker;
    recordSuspect(tracker, death("a", 0ms), 1);
    recordSuspect(tracker, death("b", 10ms), 2);
    CHECK_FALSE(isWidespreadFailure(tracker, Start));
    recordSuspect(tracker, death("c", 20ms), 3);
    CHECK(isWidespreadFailure(tracker, Start));
    for (const char *endpoint : {"a", "b", "c"}) {
        recordSuspect(tracker, death(endpoint, 10ms), 99);
    }
    CHECK_FALSE(isWidespreadFailure(tracker, Start));
}

TEST_CASE("a retracted death clears the requests recorded for it")
{
    SuspectTracker tracker;
    recordSuspect(tracker, death("a", 0s), 7);
    recordSuspect(tracker, death("b", 1s), 7);
    const auto cleared = retractDeath(tracker, EndpointId("b"), Start + 1s);
    CHECK(cleared == std::vector<std::uint64_t>{7});
    CHECK(evaluateSuspect(tracker, 7, Start + 2s) == Verdict::Suspected);
    clearEvidenceAt(tracker, EndpointId("a"), 7);
    CHECK(verdictFor(tracker, 7, Start + 2s) == Verdict::Unsuspected);
}

TEST_CASE("a crashing request takes down at most two endpoints fleet-wide, and no harmless request is refused")
{
    // Ten requests crash each engine that runs them, and each is sent six times by its caller, to any router. Each
    // router sees only the broken connections of its own calls. The calls that were in flight with such a request are
    // retried on separate engines, so that the second crash identifies it. Without the safeguard each send takes down
    // four engines.
    for (const bool fault : {false, true}) {
        auto options = smallFleet();
        options.poison.requests = 10;
        options.routing.faults.noSuspects = fault;
        Fleet fleet(options);
        fleet.run(300s);
        fleet.stopArrivals();
        fleet.run(60s);
        const auto result = fleet.result();
        CHECK((result.crashes <= 20) == !fault);
        CHECK(result.innocentsRefused == 0);
        if (!fault) {
            CHECK(result.poisonRefused == 60);
            CHECK(result.failed == 0);
        }
    }
}

TEST_CASE("without isolated trials, harmless requests are refused or the crashing request takes down more endpoints")
{
    auto options = smallFleet();
    options.poison.requests = 10;
    options.routing.faults.noIsolation = true;
    Fleet fleet(options);
    fleet.run(300s);
    const auto result = fleet.result();
    CHECK((result.crashes > 20 || result.innocentsRefused > 0));
}

TEST_CASE("conviction after one death refuses harmless requests")
{
    auto options = smallFleet();
    options.poison.requests = 3;
    options.routing.faults.convictOnFirstDeath = true;
    Fleet fleet(options);
    fleet.run(120s);
    CHECK(fleet.result().innocentsRefused > 0);
}

TEST_CASE("the failure of a data centre convicts no request, and its repeatable calls are retried elsewhere")
{
    // All engines of a data centre die within 200 ms, and shortly afterwards those of another one. Calls that were in
    // flight at both must be retried, not refused. Without the rule on widespread failures some are convicted.
    for (const bool fault : {false, true}) {
        auto options = smallFleet();
        options.rate = 15;
        options.engine.restartAfter = 25s;
        options.routing.maxQueueWait = 5s;
        options.routing.faults.ignoreHostFailures = fault;
        Fleet fleet(options);
        fleet.run(30s);
        fleet.failDataCentre(0, 200ms);
        fleet.run(100ms);
        fleet.failDataCentre(1, 200ms);
        fleet.run(60s);
        const auto result = fleet.result();
        CHECK((result.innocentsRefused == 0) == !fault);
        if (!fault) {
            CHECK(result.failed == 0);
        }
    }
}
