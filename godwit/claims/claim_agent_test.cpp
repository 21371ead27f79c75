#include "godwit/claims/claim_agent.h"
#include "godwit/claims/test_claim_world.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace Godwit;
using namespace Godwit::Test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Seed = 20261202;

ClaimWorld makeWorld(std::size_t routers, const ClaimOptions &options = {})
{
    std::printf("claim world, seed %llu\n", static_cast<unsigned long long>(Seed));
    return ClaimWorld(Seed, options, routers);
}

void checkRefused(const CallRecord &call, ErrorKind kind, Execution execution)
{
    REQUIRE(call.error);
    CHECK(errorName(call.error->kind) == errorName(kind));
    CHECK(executionName(call.error->execution) == executionName(execution));
}

} // namespace

TEST_CASE("a request runs once and a repeat at another router gets its answer")
{
    auto world = makeWorld(2);
    const auto key = world.newKey();
    const auto first = world.call(0, key, true);
    world.run(1s);
    CHECK(world.calls[first].outcome == ClaimOutcome::Ran);
    CHECK(world.calls[first].finished);
    const auto second = world.call(1, key, false);
    world.run(1s);
    CHECK(world.calls[second].replay == world.answers[key]);
    CHECK(world.executions[key] == 1);
    CHECK(world.violations.empty());
}

TEST_CASE("a repeat while the first call runs is told so, and gets the answer when it comes back")
{
    auto world = makeWorld(2);
    world.runTime = 2s;
    const auto key = world.newKey();
    world.call(0, key, true);
    world.run(500ms);
    const auto second = world.call(1, key, false);
    const auto third = world.call(0, key, false);
    world.run(100ms);
    checkRefused(world.calls[second], ErrorKind::InProgress, Execution::Unknown);
    checkRefused(world.calls[third], ErrorKind::InProgress, Execution::Unknown);
    CHECK(world.calls[second].error->retryAfter);
    world.run(3s);
    const auto fourth = world.call(1, key, false);
    world.run(1s);
    CHECK(world.calls[fourth].replay == world.answers[key]);
    CHECK(world.executions[key] == 1);
}

TEST_CASE("many claims of one shard share writes")
{
    ClaimOptions options;
    options.shardCount = 1;
    auto world = makeWorld(1, options);
    for (int i = 0; i < 500; ++i) {
        world.call(0, world.newKey(), true);
    }
    world.run(2s);
    CHECK(world.executions.size() == 500);
    CHECK(world.routers[0].agent.counters.writes <= 20);
    CHECK(world.violations.empty());
}

TEST_CASE("a claim whose write took effect without an answer is found again and runs once")
{
    // The caller waits. The claim's write reaches the platform, its answer doesn't; the router reads the record again
    // and finds its own claim. Granting without that look would run what another router claimed first.
    auto world = makeWorld(2);
    world.kv.lostAnswers = 1;
    const auto key = world.newKey();
    const auto first = world.call(0, key, true);
    world.run(1ms);
    world.kv.lostAnswers = 0;
    world.run(1s);
    CHECK(world.calls[first].outcome == ClaimOutcome::Ran);
    CHECK(world.executions[key] == 1);
    CHECK(world.violations.empty());
}

TEST_CASE("a write without an answer that lost against another router's claim grants nothing")
{
    // Both routers claim one id at the same moment and both writes go unanswered; the platform took the first one.
    // Each reads again: one finds itself, the other is refused. Granting on the lost answer runs it twice.
    for (const bool fault : {false, true}) {
        ClaimOptions options;
        options.faults.grantOnUnknownWrite = fault;
        options.recordFreshFor = 1h;
        auto world = makeWorld(2, options);
        const auto warm = world.newKey();
        world.call(0, warm, true);
        world.call(1, warm, true);
        world.run(1s);
        RequestKey key = world.newKey();
        while (claimShard(key, options.shardCount) != claimShard(warm, options.shardCount)) {
            key = world.newKey();
        }
        world.violations.clear();
        world.kv.lostAnswers = 1;
        world.call(0, key, true);
        world.call(1, key, false);
        world.run(1ms);
        world.kv.lostAnswers = 0;
        world.run(2s);
        CHECK(world.violations.empty() == !fault);
        CHECK(world.executions[key] == (fault ? 2 : 1));
    }
}

TEST_CASE("a write that lands long after its lost answer leaves no claim behind")
{
    // The caller is refused because the platform is away; the claim's write is still on its way and lands later. The
    // router takes it back, so that the caller's repeat runs. Without that the id looks "in progress" until it is old.
    for (const bool fault : {false, true}) {
        ClaimOptions options;
        options.faults.forgetLostWrites = fault;
        auto world = makeWorld(2, options);
        world.giveUpAfter = 100ms;
        const auto key = world.newKey();
        const auto first = world.call(0, key, true);
        world.run(1500us);
        world.kv.lateWrites = 1;
        world.run(20ms);
        world.kv.lateWrites = 0;
        world.kv.away = true;
        world.run(2500ms);
        checkRefused(world.calls[first], ErrorKind::PlatformAway, Execution::NotRun);
        world.kv.away = false;
        world.run(10s);
        const auto second = world.call(1, key, false);
        world.run(2s);
        CHECK(world.calls[second].granted == !fault);
        CHECK(world.executions[key] == (fault ? 0 : 1));
        CHECK(world.violations.empty());
    }
}

TEST_CASE("a claim of a router that is gone is answered unknown and never run again")
{
    // Router 0 is granted the claim and pauses before it sends; the others see it as gone. The caller's repeat is told
    // "unknown". When router 0 goes on, its late send is the only run. Taking the claim over runs it twice.
    for (const bool fault : {false, true}) {
        ClaimOptions options;
        options.faults.takeOverGoneClaims = fault;
        auto world = makeWorld(2, options);
        world.sendAfterCheck = 100ms;
        const auto key = world.newKey();
        world.call(0, key, true);
        world.run(50ms);
        world.pause(0, 20s);
        world.declareGone(0);
        world.run(1s);
        const auto second = world.call(1, key, false);
        world.run(1s);
        if (!fault) {
            checkRefused(world.calls[second], ErrorKind::OutcomeUnknown, Execution::Unknown);
        }
        world.run(30s);
        CHECK(world.executions[key] == (fault ? 2 : 1));
        CHECK(world.violations.empty() == !fault);
        const auto third = world.call(1, key, false);
        world.run(1s);
        CHECK((fault || world.calls[third].replay.has_value()));
    }
}

TEST_CASE("a grant that waited too long is not sent, and the claim is taken back")
{
    // The router is paused between the grant and the check for longer than a grant is valid. It sends nothing, its
    // answer "not run" is true, and the caller's repeat runs.
    auto world = makeWorld(2);
    world.sendDelay = 10ms;
    const auto key = world.newKey();
    const auto first = world.call(0, key, true);
    world.run(5ms);
    REQUIRE(world.calls[first].granted);
    world.pause(0, 60s);
    world.run(61s);
    CHECK(world.calls[first].outcome == ClaimOutcome::NotRun);
    CHECK(world.executions[key] == 0);
    world.call(1, key, false);
    world.run(1s);
    CHECK(world.executions[key] == 1);
    CHECK(world.violations.empty());
}

TEST_CASE("nothing is sent before the claim stands in the platform")
{
    // Two routers take the same id at once. Sending before the write is answered runs it twice.
    for (const bool fault : {false, true}) {
        ClaimOptions options;
        options.faults.grantBeforeWrite = fault;
        auto world = makeWorld(2, options);
        const auto key = world.newKey();
        world.call(0, key, true);
        world.call(1, key, false);
        world.run(2s);
        CHECK(world.executions[key] == (fault ? 2 : 1));
        CHECK(world.violations.empty() == !fault);
    }
}

TEST_CASE("with the platform away a repeat of what ran is never told that it did not run")
{
    // The first call ran at router 0, which died with the answer. The platform goes away. Router 1 knows nothing of
    // the request; "not run" would make the caller issue a second voucher. Only a caller who vouches that it never
    // sent the id is told "not run".
    for (const bool fault : {false, true}) {
        ClaimOptions options;
        options.faults.notRunWithoutProof = fault;
        auto world = makeWorld(2, options);
        const auto key = world.newKey();
        world.call(0, key, true);
        world.run(100ms);
        world.kill(0);
        world.kv.away = true;
        world.call(1, world.newKey(), true);
        world.run(1s);
        const auto repeat = world.call(1, key, false);
        const auto fresh = world.call(1, world.newKey(), true);
        world.run(1ms);
        REQUIRE(world.calls[repeat].error);
        CHECK(world.calls[repeat].error->retryAfter);
        checkRefused(world.calls[fresh], ErrorKind::PlatformAway, Execution::NotRun);
        CHECK(world.violations.empty() == !fault);
    }
}

TEST_CASE("when the platform comes back claims are granted again without a restart")
{
    auto world = makeWorld(1);
    world.kv.away = true;
    const auto first = world.call(0, world.newKey(), true);
    world.run(60s);
    checkRefused(world.calls[first], ErrorKind::PlatformAway, Execution::NotRun);
    world.kv.away = false;
    world.run(5s);
    const auto second = world.call(0, world.newKey(), true);
    world.run(1s);
    CHECK(world.calls[second].outcome == ClaimOutcome::Ran);
}

TEST_CASE("an outcome that can't be recorded lets its call go and is recorded later")
{
    // The request ran, then the platform goes away. The call waits for the record no longer than the patience; the
    // outcome is written when the platform is back, and a repeat gets the answer.
    auto world = makeWorld(2);
    const auto key = world.newKey();
    const auto first = world.call(0, key, true);
    world.run(100ms);
    world.kv.away = true;
    world.run(5s);
    CHECK_FALSE(world.calls[first].finished);
    world.run(10s);
    CHECK(world.calls[first].finished);
    world.kv.away = false;
    world.run(10s);
    const auto second = world.call(1, key, false);
    world.run(1s);
    CHECK(world.calls[second].replay == world.answers[key]);
}

TEST_CASE("an id that shows no age, or one of the future, is malformed; one that is too old is unknown")
{
    auto world = makeWorld(1);
    const auto ageless = world.call(0, {CustomerId("dolna"), "voucher-1"}, true);
    const auto future = world.call(0, world.newKey(-5min), false);
    const auto old = world.call(0, world.newKey(2h), true);
    const auto spaced = world.call(0, {CustomerId("dolna"), "a b"}, false);
    world.run(1s);
    checkRefused(world.calls[ageless], ErrorKind::MalformedRequest, Execution::NotRun);
    checkRefused(world.calls[future], ErrorKind::MalformedRequest, Execution::Unknown);
    checkRefused(world.calls[old], ErrorKind::IdTooOld, Execution::Unknown);
    checkRefused(world.calls[spaced], ErrorKind::MalformedRequest, Execution::NotRun);
}

TEST_CASE("a claim that was dropped by age can't be run again by a router with a slow clock")
{
    // Router 1's clock is 15 minutes slow, far beyond the allowed skew. Router 0 drops the old claim; the caller's very
    // late repeat reaches router 1, whose clock calls the id young. The record's horizon refuses it all the same.
    for (const bool fault : {false, true}) {
        ClaimOptions options;
        options.shardCount = 1;
        options.faults.trimWithoutHorizon = fault;
        auto world = makeWorld(2, options);
        world.routers[1].clockError = -15min;
        const auto key = world.newKey();
        world.call(0, key, true);
        world.run(40min);
        world.call(0, world.newKey(), true);
        world.run(1s);
        const auto late = world.call(1, key, false);
        world.run(1s);
        CHECK(world.executions[key] == (fault ? 2 : 1));
        if (!fault) {
            checkRefused(world.calls[late], ErrorKind::IdTooOld, Execution::Unknown);
        }
    }
}

TEST_CASE("a router whose clock is far ahead does not make others refuse new ids")
{
    ClaimOptions options;
    options.shardCount = 1;
    auto world = makeWorld(2, options);
    const auto before = world.newKey();
    world.call(1, before, true);
    world.run(1s);
    world.routers[0].clockError = 24h;
    world.call(0, world.newKey(), true);
    world.run(1s);
    const auto fresh = world.call(1, world.newKey(), true);
    world.run(1s);
    CHECK(world.calls[fresh].outcome == ClaimOutcome::Ran);
    world.call(1, before, false);
    world.run(1s);
    CHECK(world.executions[before] == 1);
}

TEST_CASE("an old record answers no repeat")
{
    // Router 1 has seen router 0's claim; since then router 0 has taken it back. Router 1 looks again before it says
    // "in progress". From its old record it would say so for ever.
    for (const bool fault : {false, true}) {
        ClaimOptions options;
        options.faults.trustStaleRecord = fault;
        options.recordFreshFor = 1h;
        auto world = makeWorld(2, options);
        world.sendDelay = 3s;
        world.endpointRejects = 1;
        const auto key = world.newKey();
        world.call(0, key, true);
        world.run(100ms);
        const auto second = world.call(1, key, false);
        world.run(100ms);
        checkRefused(world.calls[second], ErrorKind::InProgress, Execution::Unknown);
        world.run(5s);
        const auto third = world.call(1, key, false);
        world.run(1s);
        CHECK(world.calls[third].granted == !fault);
    }
}

TEST_CASE("the same id with another body is refused")
{
    auto world = makeWorld(2);
    const auto key = world.newKey();
    world.call(0, key, true, 1);
    world.run(1s);
    const auto other = world.call(1, key, false, 2);
    world.run(1s);
    checkRefused(world.calls[other], ErrorKind::PayloadDiffers, Execution::Run);
    CHECK(world.executions[key] == 1);
}

TEST_CASE("a long answer is not kept, and a repeat learns that it ran")
{
    ClaimOptions options;
    options.maxAnswerBytes = 10;
    auto world = makeWorld(2, options);
    const auto key = world.newKey();
    world.call(0, key, true);
    world.run(1s);
    const auto second = world.call(1, key, false);
    world.run(1s);
    checkRefused(world.calls[second], ErrorKind::OutcomeUnknown, Execution::Run);
}

TEST_CASE("a full record gives up answers first, then refuses new claims, and stays within its bound")
{
    ClaimOptions options;
    options.shardCount = 1;
    options.maxRecordBytes = 20'000;
    options.writesPerSecond = 1000;
    auto world = makeWorld(2, options);
    std::vector<RequestKey> keys;
    for (int i = 0; i < 200; ++i) {
        keys.push_back(world.newKey());
        world.call(0, keys.back(), true);
        world.run(20ms);
    }
    world.run(2s);
    CHECK(world.kv.largestValue <= options.maxRecordBytes);
    CHECK(world.kv.largestValue > options.maxRecordBytes / 2);
    checkRefused(world.calls.back(), ErrorKind::Overloaded, Execution::NotRun);
    for (const auto &key : keys) {
        world.call(1, key, false);
    }
    world.run(5s);
    CHECK(world.violations.empty());
}

TEST_CASE("a call that is taken back before its grant frees the id")
{
    auto world = makeWorld(1);
    auto &agent = world.routers[0].agent;
    const auto key = world.newKey();
    const auto first = world.call(0, key, true);
    world.run(2500us);
    std::vector<ClaimAction> actions;
    finishClaim(agent, CallId(first), ClaimOutcome::NotRun, {}, WallTime(1764360000000ms), world.now, actions);
    world.run(1s);
    CHECK_FALSE(world.calls[first].granted);
    world.call(0, key, false);
    world.run(1s);
    CHECK(world.executions[key] == 1);
}

TEST_CASE("a draining router refuses new claims and is drained once its outcomes are recorded")
{
    auto world = makeWorld(1);
    const auto key = world.newKey();
    world.call(0, key, true);
    world.run(50ms);
    std::vector<ClaimAction> actions;
    drainClaims(world.routers[0].agent, world.now, actions);
    CHECK_FALSE(claimsDrained(world.routers[0].agent));
    const auto late = world.call(0, world.newKey(), false);
    world.run(2s);
    checkRefused(world.calls[late], ErrorKind::Draining, Execution::Unknown);
    CHECK(claimsDrained(world.routers[0].agent));
}

TEST_CASE("an unreadable record is never written over")
{
    ClaimOptions options;
    options.shardCount = 1;
    auto world = makeWorld(1, options);
    world.kv.values["claims/0"] = {7, "not a record"};
    const auto first = world.call(0, world.newKey(), true);
    world.run(2s);
    checkRefused(world.calls[first], ErrorKind::Internal, Execution::Unknown);
    CHECK(world.kv.values["claims/0"].version == 7);
}

TEST_CASE("replies that come twice or to nobody are ignored")
{
    auto world = makeWorld(1);
    auto &agent = world.routers[0].agent;
    std::vector<ClaimAction> actions;
    onKvReply(agent, {ClaimTagSpace | 99, KvStatus::Ok, 5, {}}, world.now, actions);
    ClaimRequest request;
    request.call = CallId(1);
    request.key = world.newKey();
    request.wallNow = WallTime(1764360000000ms);
    request.giveUpAt = world.now + 5s;
    claim(agent, request, world.now, actions);
    REQUIRE(actions.size() == 1);
    const auto read = std::get<KvCommand>(actions[0]);
    CHECK(read.tag >> 56 == 0x02);
    actions.clear();
    onKvReply(agent, {read.tag, KvStatus::NotFound, 0, {}}, world.now, actions);
    REQUIRE(actions.size() == 1);
    const auto write = std::get<KvCommand>(actions[0]);
    CHECK(write.verb == KvVerb::CompareAndSwap);
    actions.clear();
    onKvReply(agent, {read.tag, KvStatus::Ok, 1, {}}, world.now, actions);
    CHECK(actions.empty());
    onKvReply(agent, {write.tag, KvStatus::Ok, 1, {}}, world.now, actions);
    onKvReply(agent, {write.tag, KvStatus::Ok, 1, {}}, world.now, actions);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<ClaimGranted>(actions[0]).call == CallId(1));
}
