#include "godwit/budget/testing/test_fleet.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

const auto NoViolation = Catch::Equals("");

std::uint64_t refusedFor(const SimulatedFleet &fleet, ErrorKind kind)
{
    const auto found = fleet.refusals.find(kind);
    return found == fleet.refusals.end() ? 0 : found->second;
}

Tokens heldBy(const SimulatedFleet &fleet, const Incarnation &router)
{
    const BudgetView view = fleet.view("b");
    const auto held = view.held.find(router);
    return held == view.held.end() ? 0 : held->second;
}

} // namespace

TEST_CASE("calm: answers are released within milliseconds, each is billed once and all slices come back")
{
    TestFleet fleet(1'000'000);
    for (int i = 0; i < 60; ++i) {
        fleet.call(i % 2 == 0 ? "a1" : "b2", simpleCall("r" + std::to_string(i)));
        fleet.runFor(20ms);
    }
    fleet.runFor(110ms);
    CHECK(fleet.answers.size() == 60);
    CHECK_THAT(fleet.violations(), NoViolation);
    fleet.drainAll();
    CHECK(fleet.view("b").billed == 6000);
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("refusals name what is true of the budget")
{
    TestFleet fleet(1000);
    SimulatedCall first = simpleCall("first");
    first.runTime = 10s;
    fleet.call("a1", first);
    fleet.runFor(50ms);

    SECTION("more than is left anywhere")
    {
        SimulatedCall call = simpleCall("large");
        call.worstCase = 1001;
        fleet.call("b1", call);
        fleet.runFor(50ms);
        CHECK(refusedFor(fleet, ErrorKind::BudgetExhausted) == 1);
    }
    SECTION("the rest is reserved by a call under way, whose router is named")
    {
        std::vector<Incarnation> holders;
        SimulatedCall call = simpleCall("whole");
        call.worstCase = 1000;
        call.onRefused = [&](const ReservationRefused &refusal) {
            holders = refusal.holders;
            CHECK(refusal.error.retryAfter);
        };
        fleet.call("b1", call);
        fleet.runFor(400ms);
        CHECK(refusedFor(fleet, ErrorKind::BudgetBusy) == 1);
        CHECK(holders == std::vector<Incarnation>{fleet.router("a1").agent.self});
    }
    SECTION("no such budget")
    {
        SimulatedCall call = simpleCall("other");
        call.budget = "none";
        fleet.call("b1", call);
        fleet.runFor(50ms);
        CHECK(refusedFor(fleet, ErrorKind::UnknownBudget) == 1);
    }
    SECTION("the platform answers nothing and the caller's patience ends")
    {
        fleet.kv.silent = true;
        SimulatedCall call = simpleCall("slow");
        call.patience = 300ms;
        fleet.call("b1", call);
        fleet.runFor(301ms);
        CHECK(refusedFor(fleet, ErrorKind::PlatformAway) == 1);
    }
    SECTION("the platform is known to be away: at once")
    {
        fleet.kv.down = true;
        fleet.call("b1", simpleCall("one"));
        fleet.runFor(500ms);
        CHECK(refusedFor(fleet, ErrorKind::PlatformAway) == 1);
        fleet.call("b1", simpleCall("two"));
        CHECK(refusedFor(fleet, ErrorKind::PlatformAway) == 2);
    }
}

TEST_CASE("a cancelled call is not billed and its reservation is free at once")
{
    TestFleet fleet(200);
    BudgetAgent agent = fleet.router("a1").agent;
    std::vector<BudgetAction> out;
    SimulatedCall call = simpleCall("cut");
    call.runTime = 10min;
    fleet.call("a1", call);
    fleet.runFor(50ms);
    REQUIRE(fleet.granted == 1);
    cancelReservation(fleet.router("a1").agent, CallId{1}, fleet.now, out);
    fleet.call("a1", simpleCall("next"));
    fleet.runFor(300ms);
    CHECK(fleet.answers.count("next") == 1);
    fleet.runFor(11min);
    CHECK(fleet.answers.count("cut") == 0);
}

TEST_CASE("an answer of the platform is lost after the write took effect")
{
    // The caller sees its answer late or as usual, never a second bill. A draw, an append or a fold takes effect and
    // its answer is lost; the router reads again, finds its mark and goes on from what the record says.
    TestFleet fleet(1'000'000);
    for (int i = 0; i < 40; ++i) {
        fleet.kv.loseAnswers = 1 + i % 2;
        fleet.call(i % 2 == 0 ? "a1" : "b1", simpleCall("r" + std::to_string(i)));
        fleet.runFor(700ms);
    }
    CHECK_THAT(fleet.violations(), NoViolation);
    CHECK(fleet.answers.size() == 40);
    fleet.drainAll();
    CHECK(fleet.view("b").billed == 4000);
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("answers go out during a platform outage, on the word of routers in other data centres")
{
    // The caller sees no difference. The router has a slice from before; the platform goes down; bills are copied to
    // two witnesses in other data centres and appended when the platform is back.
    TestFleet fleet(1'000'000);
    fleet.callMany("a1", "before", 20, 50ms);
    fleet.kv.down = true;
    fleet.callMany("a1", "during", 100, 50ms);
    CHECK(fleet.answers.size() == 120);
    CHECK(fleet.refused == 0);

    SECTION("and the router lives on")
    {
        fleet.kv.down = false;
        fleet.runFor(10s);
        CHECK(fleet.view("b").billed == 12'000);
    }
    SECTION("and the router dies before the platform is back: a witness has its bills")
    {
        fleet.kill("a1");
        fleet.kv.down = false;
        fleet.announcePeers();
        fleet.declareGone("a1");
        fleet.runFor(5s);
        CHECK(fleet.view("b").billed == 12'000);
    }
    fleet.drainAll();
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("a router dies together with its witnesses: its slice stays charged until an operator decides")
{
    // Nobody can tell what the dead router released, or whether it is only cut off and still serving. Its slice stays
    // charged, so the others can't spend it; the operator who knows that the hosts are off resolves it.
    TestFleet fleet(100'000);
    fleet.callMany("a1", "before", 20, 50ms);
    const Incarnation gone = fleet.router("a1").agent.self;
    const WitnessGroups witnesses = fleet.ledger(gone)->witnesses;
    REQUIRE(witnesses.far.size() == 2);
    REQUIRE(witnesses.near.size() == 1);
    fleet.kill("a1");
    for (const char *host : TestFleet::Hosts) {
        const Incarnation &own = fleet.router(host).agent.self;
        if (own == witnesses.far[0] || own == witnesses.far[1] || own == witnesses.near[0]) {
            fleet.kill(host);
        }
    }
    fleet.announcePeers();
    fleet.declareGone("a1");
    fleet.runFor(1h);
    const Tokens charged = heldBy(fleet, gone);
    CHECK(charged > 0);
    REQUIRE(fleet.ledger(gone));
    CHECK(fleet.ledger(gone)->state == LedgerState::Closing);

    CHECK(fleet.resolve(gone));
    fleet.runFor(1min);
    CHECK(heldBy(fleet, gone) == 0);
    CHECK(fleet.ledger(gone)->state == LedgerState::Closed);
    CHECK(fleet.ledger(gone)->shards.empty());
    CHECK_THAT(fleet.violations(), NoViolation);
}

TEST_CASE("a router is paused past its closing and resumes")
{
    // The caller of the paused router gets no last chunk and an error that says that the call ran; it repeats the
    // call elsewhere. The others close the paused router and spend its slice; when it resumes it finds its mark
    // gone and stops.
    TestFleet fleet(10'000);
    fleet.callMany("a1", "before", 20, 50ms);
    SimulatedCall open = simpleCall("open");
    fleet.call("a1", open);
    fleet.runFor(50ms);
    fleet.pause("a1");
    fleet.declareGone("a1");
    fleet.runFor(20s);
    fleet.call("b1", open);
    fleet.callMany("b1", "after", 60, 50ms);
    fleet.resume("a1");
    fleet.runFor(1s);
    fleet.callMany("a1", "resumed", 5, 50ms);
    CHECK(fleet.router("a1").closed);
    CHECK(fleet.lost == 1);
    CHECK(fleet.answers.at("open").times == 1);
    CHECK(refusedFor(fleet, ErrorKind::Draining) == 5);
    CHECK_THAT(fleet.violations(), NoViolation);
    fleet.drainAll();
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("a data centre is cut off from the platform and the others for half an hour")
{
    // Callers on both sides keep getting answers. The cut side releases on the word of its own data centre; the
    // other side believes it dead, starts to close it and can't, so its slices stay charged. When the cut ends, the
    // routers reopen their ledgers and lose no call.
    TestFleet fleet(10'000'000);
    for (int i = 0; i < 100; ++i) {
        fleet.call(TestFleet::Hosts[i % 6], simpleCall("before" + std::to_string(i)));
        fleet.runFor(50ms);
    }
    fleet.cut({"a1", "a2"});
    fleet.runFor(3s);
    fleet.announcePeers();
    fleet.declareGone("a1");
    fleet.declareGone("a2");
    for (int i = 0; i < 1800; ++i) {
        fleet.call(TestFleet::Hosts[i % 6], simpleCall("during" + std::to_string(i)));
        fleet.runFor(1s);
        REQUIRE_THAT(fleet.violations(), NoViolation);
    }
    CHECK(fleet.refused == 0);
    CHECK(fleet.answers.size() == 1900);
    CHECK(heldBy(fleet, fleet.router("a1").agent.self) > 0);
    fleet.heal();
    fleet.announcePeers();
    fleet.runFor(30s);
    CHECK_FALSE(fleet.router("a1").closed);
    CHECK_FALSE(fleet.router("a2").closed);
    CHECK(fleet.lost == 0);
    CHECK(fleet.view("b").billed == 190'000);
    fleet.drainAll();
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("a cut router spends its slice and no more")
{
    TestFleet fleet(20'000);
    fleet.callMany("a1", "before", 20, 50ms);
    fleet.cut({"a1", "a2"});
    fleet.callMany("a1", "during", 300, 50ms);
    fleet.callMany("b1", "other", 300, 50ms);
    CHECK(fleet.refused > 0);
    CHECK_THAT(fleet.violations(), NoViolation);
    fleet.heal();
    fleet.runFor(30s);
    fleet.drainAll();
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("a caller repeats its request")
{
    TestFleet fleet(1'000'000);
    fleet.call("a1", simpleCall("same"));

    SECTION("at another router while the first runs: billed once")
    {
        fleet.call("b1", simpleCall("same"));
        fleet.runFor(20s);
        CHECK(fleet.answers.at("same").times == 2);
    }
    SECTION("at the same router after the first was billed: the agent says so")
    {
        fleet.runFor(20s);
        BudgetAgent &agent = fleet.router("a1").agent;
        std::vector<BudgetAction> out;
        const RequestKey key{CustomerId{"c"}, "same"};
        reserve(agent, {CallId{99}, key, BudgetId{"b"}, 200, fleet.now + 1s}, fleet.now, out);
        out.clear();
        settle(agent, CallId{99}, 100, fleet.now, out);
        REQUIRE(std::holds_alternative<BillDurable>(out.at(0)));
        CHECK(std::get<BillDurable>(out.at(0)).duplicate);
        CHECK(std::get<BillDurable>(out.at(0)).billed == 0);
    }
    fleet.drainAll();
    CHECK(fleet.view("b").billed == 100);
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("a top-up after exhaustion is spent within a second")
{
    TestFleet fleet(1000);
    fleet.callMany("a1", "first", 20, 50ms);
    CHECK(fleet.answers.size() < 20);
    const auto apply = [](ShardRecord &shard, LastReason &reason) {
        return topUp(shard, BudgetId{"b"}, "order-2", 5000, reason);
    };
    CHECK(fleet.change("b", apply));
    CHECK(fleet.change("b", apply));
    CHECK(fleet.view("b").prepaid == 6000);
    fleet.runFor(300ms);
    const std::size_t before = fleet.answers.size();
    fleet.callMany("a1", "second", 20, 50ms);
    CHECK(fleet.answers.size() == before + 20);
    CHECK_THAT(fleet.violations(), NoViolation);
}

TEST_CASE("a reduction below what is held is taken as slices come back")
{
    TestFleet fleet(10'000);
    fleet.callMany("a1", "first", 20, 50ms);
    CHECK(fleet.change("b", [](ShardRecord &shard, LastReason &reason) {
        return reduce(shard, BudgetId{"b"}, "refund", 9000, reason);
    }));
    CHECK(fleet.view("b").prepaid > 1000);
    fleet.callMany("a1", "second", 40, 50ms);
    fleet.runFor(5min);
    CHECK(fleet.view("b").reduction == 0);
    CHECK(fleet.view("b").prepaid < 10'000);
    CHECK_THAT(fleet.violations(), NoViolation);
    fleet.drainAll();
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("idle slices go back, and at once when another router's calls want them")
{
    TestFleet fleet(100'000);
    fleet.callMany("a1", "first", 20, 50ms);
    const Incarnation holder = fleet.router("a1").agent.self;
    const Tokens held = heldBy(fleet, holder);
    CHECK(held > 60'000);

    SECTION("idle")
    {
        fleet.runFor(4min);
        CHECK(heldBy(fleet, holder) == 0);
    }
    SECTION("wanted")
    {
        SimulatedCall large = simpleCall("large");
        large.worstCase = 11'000;
        fleet.call("b1", large);
        fleet.runFor(400ms);
        CHECK(fleet.answers.count("large") == 1);
        CHECK(heldBy(fleet, holder) < held);
    }
}

TEST_CASE("the end of a budget is gathered at one router, and the others name it")
{
    // Six routers have demand for a budget of a few calls. Parts of it at each of them would be too small for any
    // call, so one gets it all; a call that comes to another router is refused with that one's name and served there.
    TestFleet fleet(3000);
    for (int i = 0; i < 40; ++i) {
        SimulatedCall call = simpleCall("r" + std::to_string(i));
        call.forwards = 2;
        fleet.call(TestFleet::Hosts[i % 6], call);
        fleet.runFor(300ms);
    }
    CHECK(fleet.released("b") > 2800);
    CHECK(refusedFor(fleet, ErrorKind::BudgetBusy) == 0);
    CHECK_THAT(fleet.violations(), NoViolation);
    fleet.drainAll();
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("too many bills that can be recorded nowhere refuse new calls until they can")
{
    // A single router has no witness. With the platform down no answer is released; new calls are refused, not run,
    // so that the answers which wait stay few.
    SimulatedFleet fleet(testOptions(), 7);
    fleet.addRouter("a1", "a");
    fleet.createBudget("b", 1'000'000);
    fleet.announcePeers();
    fleet.call("a1", simpleCall("first"));
    fleet.runFor(1s);
    fleet.kv.down = true;
    for (int i = 0; i < 100; ++i) {
        fleet.call("a1", simpleCall("r" + std::to_string(i)));
        fleet.runFor(100ms);
    }
    CHECK(fleet.answers.size() == 1);
    CHECK(refusedFor(fleet, ErrorKind::PlatformAway) > 70);
    fleet.kv.down = false;
    fleet.runFor(3s);
    CHECK(fleet.answers.size() == fleet.granted);
    fleet.call("a1", simpleCall("last"));
    fleet.runFor(1s);
    CHECK(fleet.answers.count("last") == 1);
}

TEST_CASE("a drained router leaves nothing behind, also when answers are lost")
{
    TestFleet fleet(1'000'000);
    fleet.callMany("a1", "first", 20, 50ms);
    SimulatedCall open = simpleCall("open");
    open.runTime = 5s;
    fleet.call("a1", open);
    fleet.runFor(50ms);
    const Incarnation drained = fleet.router("a1").agent.self;
    fleet.kv.loseAnswers = 2;
    fleet.drain("a1");
    fleet.call("a1", simpleCall("refused"));
    CHECK(refusedFor(fleet, ErrorKind::Draining) == 1);
    fleet.runFor(4s);
    CHECK_FALSE(budgetsDrained(fleet.router("a1").agent));
    fleet.runFor(6s);
    CHECK(budgetsDrained(fleet.router("a1").agent));
    CHECK(fleet.answers.count("open") == 1);
    CHECK_FALSE(fleet.ledger(drained));
    CHECK(heldBy(fleet, drained) == 0);
    CHECK_FALSE(fleet.router("a1").closed);
    CHECK_THAT(fleet.violations(true), NoViolation);
}

TEST_CASE("all routers are replaced at once: the new ones close what the old ones left")
{
    // Nobody is left who could report the old ones gone, or who has their copies. What their ledgers name stays in
    // doubt; the orphans are found by their marks in the shard records.
    TestFleet fleet(1'000'000);
    fleet.callMany("a1", "first", 20, 50ms);
    const Incarnation old = fleet.router("a1").agent.self;
    fleet.runFor(10s);
    for (const char *host : TestFleet::Hosts) {
        fleet.restart(host);
    }
    fleet.announcePeers();
    fleet.callMany("b1", "second", 20, 50ms);
    fleet.runFor(3min);
    REQUIRE(fleet.ledger(old));
    CHECK(fleet.ledger(old)->state == LedgerState::Closing);
    CHECK(fleet.resolve(old));
    fleet.runFor(2min);
    CHECK(heldBy(fleet, old) == 0);
    CHECK(fleet.view("b").billed == 4000);
}

TEST_CASE("the write that creates a ledger is held up until after the ledger was closed")
{
    // Found by the fuzzer. A router's first write is held up, a second one creates the ledger, the others wrongly
    // close it. If they deleted it, the first write would bring it back, and the router would release an answer on
    // the word of a ledger that nobody looks at any more: an answer without a bill.
    TestFleet fleet(20'000);
    fleet.callMany("a2", "warm", 5, 50ms);
    fleet.runFor(10s);
    fleet.kv.delayWrites = 1;
    // Until even the last of the closers has looked.
    fleet.kv.delay = 14s;
    SimulatedCall call = simpleCall("late");
    call.runTime = 15s;
    fleet.call("a1", call);
    fleet.runFor(900ms);
    REQUIRE(fleet.granted == 6);
    fleet.declareGone("a1");
    fleet.runFor(30s);
    CHECK(fleet.router("a1").closed);
    fleet.announcePeers();
    fleet.runFor(10s);
    fleet.drainAll();
    CHECK_THAT(fleet.violations(true), NoViolation);
}
