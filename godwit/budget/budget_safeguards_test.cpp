// Each safeguard of the budgets against the failure that it is for: the oracle finds nothing wrong with it and
// something wrong without it.

#include "godwit/budget/testing/test_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

const auto NoViolation = Catch::Equals("");

using Fault = bool BudgetFaults::*;

BudgetOptions withFaults(std::initializer_list<Fault> faults, BudgetOptions options = testOptions())
{
    for (const Fault fault : faults) {
        options.faults.*fault = true;
    }
    return options;
}

// The hosts of a group of witnesses.
std::vector<std::string> hostsOf(SimulatedFleet &fleet, const std::vector<Incarnation> &group)
{
    std::vector<std::string> hosts;
    for (const char *host : TestFleet::Hosts) {
        if (std::find(group.begin(), group.end(), fleet.router(host).agent.self) != group.end()) {
            hosts.emplace_back(host);
        }
    }
    return hosts;
}

// Gives `host` a slice that lasts for the rest of a test.
void warmUp(TestFleet &fleet, const std::string &host)
{
    fleet.callMany(host, "warm-" + host, 20, 50ms);
    fleet.runFor(10s);
}

std::string closeAndDrain(TestFleet &fleet, const std::string &gone)
{
    fleet.announcePeers();
    fleet.declareGone(gone);
    fleet.runFor(30s);
    fleet.drainAll();
    return fleet.violations(true);
}

// What is wrong when released and billed amounts are compared, for tests that keep few request keys.
std::string totalsDiffer(const TestFleet &fleet)
{
    const Tokens difference = fleet.view("b").billed - fleet.released("b");
    return difference == 0 ? "" : "billed and released differ by " + std::to_string(difference);
}

} // namespace

TEST_CASE("safeguard: a bill is recorded before its answer is released")
{
    // The caller has its whole answer, and nobody bills it: the router dies just after it settles the call, and the
    // copies for its witnesses and the append to its ledger are lost on the way.
    const auto scenario = [](const BudgetOptions &options) {
        TestFleet fleet(1'000'000, options);
        warmUp(fleet, "a1");
        fleet.lossPercent = 100;
        fleet.router("a1").serviceAway = true;
        fleet.call("a1", simpleCall("last"));
        fleet.runFor(100ms);
        fleet.kill("a1");
        fleet.lossPercent = 0;
        return closeAndDrain(fleet, "a1");
    };
    CHECK_THAT(scenario(testOptions()), NoViolation);
    CHECK_THAT(scenario(withFaults({&BudgetFaults::releaseBeforeRecord})), !NoViolation);
}

TEST_CASE("safeguard: a router whose mark is gone stops")
{
    // A paused router is closed and its slice is spent by others. It resumes and bills from the slice that it still
    // remembers: the caller gets an answer that the record can't charge.
    const auto scenario = [](const BudgetOptions &options) {
        TestFleet fleet(5000, options);
        warmUp(fleet, "a1");
        fleet.call("a1", simpleCall("open"));
        fleet.runFor(50ms);
        fleet.pause("a1");
        fleet.declareGone("a1");
        fleet.runFor(20s);
        fleet.callMany("b1", "other", 40, 50ms);
        fleet.runFor(10s);
        fleet.resume("a1");
        fleet.runFor(20s);
        fleet.drainAll();
        return fleet.violations(true);
    };
    CHECK_THAT(scenario(testOptions()), NoViolation);
    CHECK_THAT(scenario(withFaults({&BudgetFaults::ignoreClosing})), !NoViolation);
}

namespace
{

// A router loses the platform, but not the others, which believe it gone and close it while it serves.
std::string closedWhileServing(const BudgetOptions &options)
{
    TestFleet fleet(1'000'000, options);
    warmUp(fleet, "a1");
    fleet.router("a1").serviceAway = true;
    fleet.declareGone("a1");
    fleet.runFor(10s);
    fleet.callMany("a1", "late", 20, 50ms);
    fleet.runFor(10s);
    fleet.kill("a1");
    return closeAndDrain(fleet, "a1");
}

} // namespace

TEST_CASE("safeguard: a sealed witness takes no more copies")
{
    // The closer has the tail from a witness and gives the slice back. The closed router, cut from the platform,
    // goes on and asks the same witness to vouch for new bills: its callers would have answers that nobody bills.
    CHECK_THAT(closedWhileServing(testOptions()), NoViolation);
    CHECK_THAT(closedWhileServing(withFaults({&BudgetFaults::ignoreSeal})), !NoViolation);
}

TEST_CASE("safeguard: a closer hears a witness before it gives slices back")
{
    // The platform is down while a router releases on its witnesses' word. It dies; whoever closes it by its ledger
    // alone loses those bills.
    const auto scenario = [](const BudgetOptions &options) {
        TestFleet fleet(1'000'000, options);
        warmUp(fleet, "a1");
        fleet.kv.down = true;
        fleet.callMany("a1", "during", 20, 50ms);
        fleet.kill("a1");
        fleet.kv.down = false;
        return closeAndDrain(fleet, "a1");
    };
    CHECK_THAT(scenario(testOptions()), NoViolation);
    CHECK_THAT(scenario(withFaults({&BudgetFaults::closeWithoutSeal})), !NoViolation);
}

TEST_CASE("safeguard: a release needs the word of a whole group")
{
    // One witness is out of reach while the router releases; the router dies together with the other one. The closer
    // gets the tail from the first, which has nothing.
    const auto scenario = [](const BudgetOptions &options) {
        TestFleet fleet(1'000'000, options);
        fleet.kill("a2");
        fleet.announcePeers();
        warmUp(fleet, "a1");
        const auto witnesses = hostsOf(fleet, fleet.ledger(fleet.router("a1").agent.self)->witnesses.far);
        fleet.kv.down = true;
        fleet.cut({witnesses.at(0)});
        fleet.callMany("a1", "during", 20, 50ms);
        fleet.kill("a1");
        fleet.kill(witnesses.at(1));
        fleet.heal();
        fleet.kv.down = false;
        return closeAndDrain(fleet, "a1");
    };
    CHECK_THAT(scenario(testOptions()), NoViolation);
    CHECK_THAT(scenario(withFaults({&BudgetFaults::releaseOnOneWitness})), !NoViolation);
}

TEST_CASE("safeguard: the mark tells a closer which bills were folded")
{
    // The router has folded its bills, which still stand in its ledger, and dies. Few request keys are kept, so only
    // the mark keeps the closer from folding them again.
    const auto scenario = [](const BudgetOptions &options) {
        TestFleet fleet(1'000'000, options);
        fleet.callMany("a1", "r", 100, 50ms);
        fleet.kv.down = true;
        fleet.runFor(10ms);
        fleet.kill("a1");
        fleet.kv.down = false;
        fleet.announcePeers();
        fleet.declareGone("a1");
        fleet.runFor(30s);
        return totalsDiffer(fleet);
    };
    BudgetOptions options = testOptions();
    options.billedKeysKept = 1;
    options.ledgerInterval = 4s;
    options.foldInterval = 1s;
    CHECK_THAT(scenario(options), NoViolation);
    CHECK_THAT(scenario(withFaults({&BudgetFaults::skipFoldMark}, options)), !NoViolation);
}

TEST_CASE("safeguard: a lost answer is read again, not repeated")
{
    // The fold takes effect and its answer is lost. Folding again would bill each of its calls twice once the
    // request keys have been pushed out by others.
    const auto scenario = [](const BudgetOptions &options) {
        TestFleet fleet(1'000'000, options);
        warmUp(fleet, "a1");
        for (int i = 0; i < 20; ++i) {
            fleet.kv.loseAnswers = 1;
            fleet.callMany("a1", "r" + std::to_string(i) + "-", 20, 50ms);
        }
        fleet.kv.loseAnswers = 0;
        fleet.runFor(30s);
        return totalsDiffer(fleet);
    };
    BudgetOptions options = testOptions();
    options.billedKeysKept = 1;
    options.ledgerInterval = 1h;
    CHECK_THAT(scenario(options), NoViolation);
    CHECK_THAT(scenario(withFaults({&BudgetFaults::repeatUnknownWrites}, options)), !NoViolation);
}

TEST_CASE("safeguard: an equal request key is billed once")
{
    // The first router's answer is slow; the caller repeats its request at another one and gets both answers.
    const auto scenario = [](const BudgetOptions &options) {
        TestFleet fleet(1'000'000, options);
        fleet.call("a1", simpleCall("same"));
        fleet.call("b1", simpleCall("same"));
        fleet.runFor(20s);
        fleet.drainAll();
        return fleet.violations(true);
    };
    CHECK_THAT(scenario(testOptions()), NoViolation);
    CHECK_THAT(scenario(withFaults({&BudgetFaults::skipDuplicateKeys})), !NoViolation);
}

TEST_CASE("safeguard: an amount is not spent while its return may take effect")
{
    // An idle router returns its slice; the write is held up in the network and its answer is missing. A call comes,
    // is served from the slice, and then the write takes effect: another router draws and spends the same amount.
    const auto scenario = [](const BudgetOptions &options) {
        TestFleet fleet(2000, options);
        fleet.call("a1", simpleCall("warm"));
        fleet.runFor(110s);
        fleet.kv.delayWrites = 1;
        fleet.kv.delay = 10s;
        while (fleet.kv.delayWrites > 0) {
            fleet.runFor(1ms);
        }
        fleet.router("a1").serviceAway = true;
        fleet.callMany("a1", "idle", 6, 50ms);
        fleet.runFor(20s);
        fleet.callMany("b1", "other", 30, 50ms);
        fleet.router("a1").serviceAway = false;
        fleet.runFor(30s);
        fleet.drainAll();
        return fleet.violations(true);
    };
    CHECK_THAT(scenario(testOptions()), NoViolation);
    CHECK_THAT(scenario(withFaults({&BudgetFaults::spendWhileReturning})), !NoViolation);
}

TEST_CASE("safeguard: new witnesses count once the ledger names them for sure")
{
    // Both witnesses are cut off; the router names others, but its write reaches nobody. It releases on the new ones'
    // word and dies. The closer asks the witnesses that the ledger names, the old ones.
    const auto scenario = [](const BudgetOptions &options) {
        TestFleet fleet(1'000'000, options);
        fleet.kill("a2");
        fleet.announcePeers();
        warmUp(fleet, "a1");
        const auto witnesses = hostsOf(fleet, fleet.ledger(fleet.router("a1").agent.self)->witnesses.far);
        fleet.router("a1").serviceAway = true;
        fleet.cut({witnesses.at(0), witnesses.at(1)});
        fleet.announcePeers();
        fleet.callMany("a1", "during", 20, 50ms);
        fleet.kill("a1");
        fleet.heal();
        return closeAndDrain(fleet, "a1");
    };
    CHECK_THAT(scenario(testOptions()), NoViolation);
    CHECK_THAT(scenario(withFaults({&BudgetFaults::keepOldWitnesses})), !NoViolation);
}
