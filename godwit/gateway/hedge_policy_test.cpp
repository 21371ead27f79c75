#include "godwit/gateway/hedge_policy.h"

#include <catch2/catch.hpp>

#include <functional>
#include <vector>

using namespace Godwit;
using std::chrono::milliseconds;

namespace
{

const TimePoint Start = TimePoint(std::chrono::hours(1));
const HedgeKey Key{"plain", 0};

HedgeOptions enabled()
{
    HedgeOptions options;
    options.ratio = 0.1;
    return options;
}

// Facts under which a hedge is sent.
HedgeFacts permitted()
{
    HedgeFacts facts;
    facts.repeatable = true;
    facts.maxEndpoints = 2;
    facts.delay = milliseconds(100);
    facts.sinceSent = milliseconds(100);
    facts.allowance = {true, 100, 4, 10, 0};
    facts.idleEndpointKnown = true;
    facts.tokensCovered = true;
    return facts;
}

HedgeEndpointFacts permittedEndpoint()
{
    HedgeEndpointFacts facts;
    facts.found = true;
    facts.expectedTime = milliseconds(50);
    facts.remainingWait = milliseconds(50);
    return facts;
}

void recordMany(HedgeState &state, int count, Duration time, TimePoint now)
{
    for (int i = 0; i < count; ++i) {
        recordAnswerTime(state, enabled(), Key, time, now);
    }
}

} // namespace

TEST_CASE("each cause alone denies a hedge")
{
    // Guards against a cause that no longer denies, such as a second run of a request that may run only once.
    REQUIRE_FALSE(denyHedge(permitted(), enabled()));
    const std::vector<std::pair<HedgeDenial, std::function<void(HedgeFacts &)>>> cases = {
        {HedgeDenial::NotRepeatable,
         [](HedgeFacts &facts) {
             facts.repeatable = false;
         }},
        {HedgeDenial::SingleEndpoint,
         [](HedgeFacts &facts) {
             facts.maxEndpoints = 1;
         }},
        {HedgeDenial::EarlierAttempt,
         [](HedgeFacts &facts) {
             facts.earlierAttempts = 1;
         }},
        {HedgeDenial::AlreadyHedged,
         [](HedgeFacts &facts) {
             facts.hedged = true;
         }},
        {HedgeDenial::AnswerBegan,
         [](HedgeFacts &facts) {
             facts.answerBegan = true;
         }},
        {HedgeDenial::FewSamples,
         [](HedgeFacts &facts) {
             facts.delay.reset();
         }},
        {HedgeDenial::NotDue,
         [](HedgeFacts &facts) {
             facts.sinceSent = milliseconds(99);
         }},
        {HedgeDenial::SuspectRequest,
         [](HedgeFacts &facts) {
             facts.suspect = true;
         }},
        {HedgeDenial::TrialOpen,
         [](HedgeFacts &facts) {
             facts.trialOpen = true;
         }},
        {HedgeDenial::ShareUsed,
         [](HedgeFacts &facts) {
             facts.shareUsed = true;
         }},
        {HedgeDenial::AllowanceLow,
         [](HedgeFacts &facts) {
             facts.allowance.retries = 5;
         }},
        {HedgeDenial::AllowanceLow,
         [](HedgeFacts &facts) {
             facts.allowance.granted = false;
         }},
        {HedgeDenial::RoomShort,
         [](HedgeFacts &facts) {
             facts.roomShort = true;
         }},
        {HedgeDenial::NoIdleEndpoint,
         [](HedgeFacts &facts) {
             facts.idleEndpointKnown = false;
         }},
        {HedgeDenial::NearTotalsEnd,
         [](HedgeFacts &facts) {
             facts.nearTotalsEnd = true;
         }},
        {HedgeDenial::TokensShort,
         [](HedgeFacts &facts) {
             facts.tokensCovered = false;
         }},
    };
    for (const auto &[denial, change] : cases) {
        HedgeFacts facts = permitted();
        change(facts);
        CAPTURE(hedgeDenialName(denial));
        CHECK(denyHedge(facts, enabled()) == denial);
    }
}

TEST_CASE("each fault of the second endpoint alone denies a hedge")
{
    REQUIRE_FALSE(denyHedgeEndpoint(permittedEndpoint()));
    const std::vector<std::pair<HedgeDenial, std::function<void(HedgeEndpointFacts &)>>> cases = {
        {HedgeDenial::NoEndpoint,
         [](HedgeEndpointFacts &facts) {
             facts.found = false;
         }},
        {HedgeDenial::ColdEndpoint,
         [](HedgeEndpointFacts &facts) {
             facts.cold = true;
         }},
        {HedgeDenial::SuspectEndpoint,
         [](HedgeEndpointFacts &facts) {
             facts.suspect = true;
         }},
        {HedgeDenial::LeavingEndpoint,
         [](HedgeEndpointFacts &facts) {
             facts.leaving = true;
         }},
        {HedgeDenial::EndpointInBackoff,
         [](HedgeEndpointFacts &facts) {
             facts.inBackoff = true;
         }},
        {HedgeDenial::SlowerEndpoint,
         [](HedgeEndpointFacts &facts) {
             facts.expectedTime = milliseconds(51);
         }},
    };
    for (const auto &[denial, change] : cases) {
        HedgeEndpointFacts facts = permittedEndpoint();
        change(facts);
        CAPTURE(hedgeDenialName(denial));
        CHECK(denyHedgeEndpoint(facts) == denial);
    }
}

TEST_CASE("a hedge is due at the learned quantile, and never without enough samples")
{
    HedgeState state;
    CHECK_FALSE(hedgeDelay(state, enabled(), Key, Start));
    recordMany(state, 49, milliseconds(100), Start);
    CHECK_FALSE(hedgeDelay(state, enabled(), Key, Start));
    recordMany(state, 46, milliseconds(100), Start);
    recordMany(state, 5, std::chrono::seconds(2), Start);
    const auto delay = hedgeDelay(state, enabled(), Key, Start);
    REQUIRE(delay);
    CHECK(*delay >= milliseconds(100));
    CHECK(*delay <= milliseconds(115));
    // Prompts of another size are learned separately.
    CHECK_FALSE(hedgeDelay(state, enabled(), {"plain", octaveOf(1000)}, Start));
    // Halved once, the hundred samples still suffice; halved twice, they don't.
    CHECK(hedgeDelay(state, enabled(), Key, Start + std::chrono::seconds(10)));
    CHECK_FALSE(hedgeDelay(state, enabled(), Key, Start + std::chrono::seconds(20)));
}

TEST_CASE("a hedge of fast answers still waits for the least delay")
{
    HedgeState state;
    recordMany(state, 60, milliseconds(2), Start);
    CHECK(hedgeDelay(state, enabled(), Key, Start) == milliseconds(20));
}

TEST_CASE("hedges keep to their share of the requests of the window")
{
    // Guards the operators' limit: at 0.1, twenty requests allow two hedges.
    HedgeState state;
    CHECK(isShareUsed(state, enabled(), "plain", Start));
    for (int i = 0; i < 20; ++i) {
        countHedgeableRequest(state, enabled(), "plain", Start);
    }
    for (int i = 0; i < 2; ++i) {
        CHECK_FALSE(isShareUsed(state, enabled(), "plain", Start));
        recordHedge(state, enabled(), "plain", Start);
    }
    CHECK(isShareUsed(state, enabled(), "plain", Start));
    CHECK(isShareUsed(state, enabled(), "plain", Start + std::chrono::seconds(20)));
}

TEST_CASE("a rejection for lack of room stops hedges for a second")
{
    HedgeState state;
    state.roomShortAt["plain"] = Start;
    CHECK(isRoomShort(state, enabled(), "plain", Start + milliseconds(999)));
    CHECK_FALSE(isRoomShort(state, enabled(), "plain", Start + milliseconds(1000)));
    CHECK_FALSE(isRoomShort(state, enabled(), "other", Start));
}

TEST_CASE("an idle endpoint is one that the query permits, without requests and without backoff")
{
    EndpointTable table;
    ListedEndpoint a;
    a.id = EndpointId{"a"};
    a.service = "plain";
    replaceEndpoints(table, {a});
    ChoiceQuery query;
    query.service = "plain";
    CHECK(hasIdleEndpoint(table, query, Start));
    EndpointState &endpoint = table.endpoints.at(a.id);
    endpoint.inFlight = 1;
    CHECK_FALSE(hasIdleEndpoint(table, query, Start));
    endpoint.inFlight = 0;
    endpoint.backoffUntil = Start + milliseconds(1);
    CHECK_FALSE(hasIdleEndpoint(table, query, Start));
    endpoint.backoffUntil = Start;
    query.tried = {a.id};
    CHECK_FALSE(hasIdleEndpoint(table, query, Start));
}

TEST_CASE("the remaining wait is the rest of the expected prefill, or the time to the deadline once overdue")
{
    EngineLoad load;
    load.pending.push_back({7, 100, Start, Start + milliseconds(40), false});
    const Duration left = milliseconds(500);
    CHECK(remainingWait(load, 7, left, Start) == milliseconds(40));
    CHECK(remainingWait(load, 7, left, Start + milliseconds(41)) == left);
    CHECK(remainingWait(load, 0, left, Start) == left);
}
