#include "godwit/gateway/hedge_policy.h"

#include <catch2/catch.hpp>

#include <utility>
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
    const std::pair<HedgeDenial, bool HedgeFacts::*> flags[] = {
        {HedgeDenial::NotRepeatable, &HedgeFacts::repeatable},
        {HedgeDenial::AlreadyHedged, &HedgeFacts::hedged},
        {HedgeDenial::AnswerBegan, &HedgeFacts::answerBegan},
        {HedgeDenial::SuspectRequest, &HedgeFacts::suspect},
        {HedgeDenial::TrialOpen, &HedgeFacts::trialOpen},
        {HedgeDenial::EndsLate, &HedgeFacts::endsLate},
        {HedgeDenial::ShareUsed, &HedgeFacts::shareUsed},
        {HedgeDenial::RoomShort, &HedgeFacts::roomShort},
        {HedgeDenial::NoIdleEndpoint, &HedgeFacts::idleEndpointKnown},
        {HedgeDenial::NearTotalsEnd, &HedgeFacts::nearTotalsEnd},
        {HedgeDenial::TokensShort, &HedgeFacts::tokensCovered},
    };
    std::vector<std::pair<HedgeDenial, HedgeFacts>> cases;
    for (const auto &[denial, flag] : flags) {
        cases.emplace_back(denial, permitted());
        cases.back().second.*flag = !(permitted().*flag);
    }
    const auto caseOf = [&cases](HedgeDenial denial) -> HedgeFacts & {
        return cases.emplace_back(denial, permitted()).second;
    };
    caseOf(HedgeDenial::SingleEndpoint).maxEndpoints = 1;
    caseOf(HedgeDenial::EarlierAttempt).earlierAttempts = 1;
    caseOf(HedgeDenial::FewSamples).delay.reset();
    caseOf(HedgeDenial::NotDue).sinceSent = milliseconds(99);
    caseOf(HedgeDenial::AllowanceLow).allowance.retries = 5;
    caseOf(HedgeDenial::AllowanceLow).allowance.granted = false;
    for (const auto &[denial, facts] : cases) {
        CAPTURE(hedgeDenialName(denial));
        CHECK(denyHedge(facts, enabled()) == denial);
    }
}

TEST_CASE("each fault of the second endpoint alone denies a hedge")
{
    const std::pair<HedgeDenial, bool HedgeEndpointFacts::*> flags[] = {
        {HedgeDenial::NoEndpoint, &HedgeEndpointFacts::found},
        {HedgeDenial::ColdEndpoint, &HedgeEndpointFacts::cold},
        {HedgeDenial::SuspectEndpoint, &HedgeEndpointFacts::suspect},
        {HedgeDenial::LeavingEndpoint, &HedgeEndpointFacts::leaving},
        {HedgeDenial::EndpointInBackoff, &HedgeEndpointFacts::inBackoff},
    };
    HedgeEndpointFacts facts;
    facts.found = true;
    facts.expectedTime = facts.remainingWait = milliseconds(50);
    REQUIRE_FALSE(denyHedgeEndpoint(facts));
    for (const auto &[denial, flag] : flags) {
        HedgeEndpointFacts changed = facts;
        changed.*flag = !(facts.*flag);
        CAPTURE(hedgeDenialName(denial));
        CHECK(denyHedgeEndpoint(changed) == denial);
    }
    facts.expectedTime = milliseconds(51);
    CHECK(denyHedgeEndpoint(facts) == HedgeDenial::SlowerEndpoint);
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
    // Prompts of another size are learned separately; the least delay is kept.
    const HedgeKey other{"plain", octaveOf(1000)};
    CHECK_FALSE(hedgeDelay(state, enabled(), other, Start));
    for (int i = 0; i < 60; ++i) {
        recordAnswerTime(state, enabled(), other, milliseconds(2), Start);
    }
    CHECK(hedgeDelay(state, enabled(), other, Start) == milliseconds(20));
    // Halved once, the hundred samples still suffice; halved twice, they don't.
    CHECK(hedgeDelay(state, enabled(), Key, Start + std::chrono::seconds(10)));
    CHECK_FALSE(hedgeDelay(state, enabled(), Key, Start + std::chrono::seconds(20)));
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
