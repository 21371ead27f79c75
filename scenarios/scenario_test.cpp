#include "scenarios/oracle.h"
#include "scenarios/scenario_runner.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using namespace Godwit::Scenarios;

namespace
{

constexpr char Fleet[] = "seed 4\nfleet salt-lake a1 a2\nfleet howrah c1\ncustomer dolna budget 1000 slice 0.2\n"
                         "service booking price 10 time 50ms\nendpoint s1 howrah booking\n";

std::string mistakeIn(const std::string &text)
{
    LastReason reason;
    const auto scenario = parseScenario("test", text, reason);
    CHECK_FALSE(scenario);
    return reason ? reason->message : "";
}

Scenario parsed(const std::string &text)
{
    LastReason reason;
    auto scenario = parseScenario("test", text, reason);
    INFO((reason ? reason->message : ""));
    REQUIRE(scenario);
    return *scenario;
}

} // namespace

TEST_CASE("a mistake in a script names its line and its word")
{
    CHECK(mistakeIn("seed 1\nseed x") == "test: line 2, word 2 'x': expected a number");
    CHECK(mistakeIn("# all well\nwait soon") == "test: line 2, word 2 'soon': expected a time such as 5s, 200ms or 2m");
    CHECK(mistakeIn("dance").find("test: line 1, word 1 'dance': expected a statement") == 0);
    CHECK(mistakeIn(std::string(Fleet) + "kill a9") == "test: line 7, word 2 'a9': expected a router or an endpoint");
    CHECK(mistakeIn(std::string(Fleet) + "wait 5s now") == "test: line 7, word 3 'now': expected the end of the line");
    CHECK(mistakeIn(std::string(Fleet) + "wait")
          == "test: line 7, after 'wait': expected a time such as 5s, 200ms or 2m");
    CHECK(mistakeIn("patch p \"open").find("test: line 1, column 14: a quoted text") == 0);
    CHECK(
        mistakeIn(std::string(Fleet) + "load dolna booking 5/s for 1s cost 9..3 at a1").find("the smaller amount first")
        != std::string::npos);
    CHECK(mistakeIn(std::string(Fleet) + "call r1 dolna booking at a1\nexpect refused r1 tired").find("line 8, word 4")
          != std::string::npos);
    CHECK(mistakeIn("fault f\nwait 1s").find("expected 'end'") != std::string::npos);
}

TEST_CASE("equal seeds give equal runs, and other seeds others")
{
    const std::string body = "start\nload dolna booking 10/s for 2s at a1 c1 retry 1\nwait 1s\nkill a1\nwait 5s\n";
    const Scenario scenario = parsed(std::string(Fleet) + body);
    const auto first = runScenario(scenario, {});
    CHECK(first.failures == runScenario(scenario, {}).failures);
    CHECK(first.trace == runScenario(scenario, {}).trace);
    Scenario other = scenario;
    other.setup.seed = 5;
    CHECK(first.trace != runScenario(other, {}).trace);
}

TEST_CASE("a script with faults runs once for each, and once for each two")
{
    const Scenario scenario = parsed(std::string(Fleet) + "fault one\nkill a1\nend\nfault two\nkill c1\nend\nstrike");
    std::vector<std::string> names;
    for (const Variant &variant : variantsOf(scenario)) {
        names.push_back(variantName(scenario, variant));
    }
    CHECK(names == std::vector<std::string>{"one", "one + one", "one + two", "two", "two + two"});
}

TEST_CASE("a failed expectation names its line and what was found")
{
    const Scenario scenario =
        parsed(std::string(Fleet) + "start\ncall r1 dolna booking at a1\nwait 5s\nexpect run r1 2");
    const auto result = runScenario(scenario, {});
    CHECK(result.failures == std::vector<std::string>{"test: line 10 (expect run r1 2): runs of r1: 1 instead of 2"});
}

// Each of these tells the oracle of one broken promise; a check that can't fail would let all scenarios pass.
TEST_CASE("the oracle notices each broken promise")
{
    Oracle oracle;
    const TimePoint now{};
    const TimePoint later = now + std::chrono::seconds(1);
    oracle.declareBudget("dolna", 15);
    oracle.request("r1", "dolna", false, 10);
    oracle.tryStarts("r1", 1, now);
    const std::string whole = Oracle::answerOf("r1", 10);
    SECTION("nothing is wrong")
    {
        oracle.refuses("r1", 1, Execution::NotRun, now);
        oracle.tryStarts("r1", 2, later);
        oracle.runs("r1", 2, later);
        oracle.answers("r1", whole, true);
        oracle.checkOneBill("dolna", {15, 10, 0, 0});
        CHECK(oracle.violations().empty());
        return;
    }
    SECTION("a second run")
    {
        oracle.runs("r1", 1, now);
        oracle.runs("r1", 1, now);
    }
    SECTION("told \"not run\" after it ran")
    {
        oracle.runs("r1", 1, now);
        oracle.refuses("r1", 1, Execution::NotRun, later);
    }
    SECTION("told \"not run\" before it ran all the same")
    {
        oracle.refuses("r1", 1, Execution::NotRun, now);
        oracle.runs("r1", 1, later);
    }
    SECTION("told \"run\" without a run")
    {
        oracle.refuses("r1", 1, Execution::Run, now);
    }
    SECTION("another one's answer")
    {
        oracle.runs("r1", 1, now);
        oracle.answers("r1", Oracle::answerOf("r2", 10), true);
    }
    SECTION("half an answer")
    {
        oracle.runs("r1", 1, now);
        oracle.answers("r1", whole, false);
    }
    SECTION("answers worth more than was prepaid")
    {
        oracle.request("r2", "dolna", true, 10);
        oracle.tryStarts("r2", 1, now);
        oracle.runs("r1", 1, now);
        oracle.runs("r2", 1, now);
        oracle.answers("r1", whole, true);
        oracle.answers("r2", Oracle::answerOf("r2", 10), true);
    }
    SECTION("more billed and held than prepaid")
    {
        oracle.checkOverspend("dolna", BudgetFigures{15, 10, 0, 6});
    }
    SECTION("no bill for an answer")
    {
        oracle.runs("r1", 1, now);
        oracle.answers("r1", whole, true);
        oracle.checkOneBill("dolna", {15, 0, 0, 0});
    }
    SECTION("two bills for an answer")
    {
        oracle.runs("r1", 1, now);
        oracle.answers("r1", whole, true);
        oracle.checkOneBill("dolna", {30, 20, 0, 0});
    }
    SECTION("a bill for what never ran")
    {
        oracle.checkOneBill("dolna", {15, 10, 0, 0});
    }
    SECTION("a revision that goes back")
    {
        oracle.adopts("a1", 4);
        oracle.adopts("a1", 3);
    }
    CHECK(oracle.violations().size() == 1);
}
