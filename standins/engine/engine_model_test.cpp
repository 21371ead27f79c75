#include "standins/engine/answer_text.h"
#include "standins/engine/batch_model.h"
#include "standins/engine/order_model.h"
#include "standins/engine/prefix_cache.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration Second = std::chrono::seconds(1);

const Draw Never = [] {
    return 0.999;
};

BatchModel smallBatch()
{
    BatchModel model;
    model.options.slots = 2;
    model.options.stepBase = 10 * Millisecond;
    model.options.stepPerSequence = Millisecond;
    model.options.prefillPerToken = Millisecond;
    model.options.longestAnswer = 1000;
    return model;
}

Submission request(const std::string &id, std::int64_t maxTokens, int priority = 0, const std::string &prompt = "")
{
    return {id, prompt, maxTokens, priority};
}

// Runs the batch until it is empty and returns the tokens of each sequence in order.
std::map<SequenceHandle, std::vector<std::int64_t>> runToEnd(BatchModel &model)
{
    std::map<SequenceHandle, std::vector<std::int64_t>> tokens;
    while (const auto next = nextStep(model)) {
        for (const Emission &emission : advance(model, *next, Never)) {
            tokens[emission.sequence].push_back(emission.index);
        }
    }
    return tokens;
}

} // namespace

TEST_CASE("an answer is told by its request id and never longer than the limit")
{
    CHECK(answerText("r7", 3) == "r7:0 r7:1 r7:2 ");
    CHECK(promptTokens("") == 0);
    CHECK(promptTokens("12345") == 2);
    for (int i = 0; i < 100; ++i) {
        const std::int64_t length = naturalLength("id" + std::to_string(i), 5);
        CHECK(length >= 1);
        CHECK(length <= 5);
    }
}

TEST_CASE("every sequence gets each of its tokens once and in order")
{
    BatchModel model = smallBatch();
    const SequenceHandle a = submit(model, request("a", 3), Start, Never);
    const SequenceHandle b = submit(model, request("b", 5), Start, Never);
    const SequenceHandle c = submit(model, request("c", 2), Start, Never);
    const auto tokens = runToEnd(model);
    CHECK(tokens.at(a) == std::vector<std::int64_t>{0, 1, 2});
    CHECK(tokens.at(b) == std::vector<std::int64_t>{0, 1, 2, 3, 4});
    CHECK(tokens.at(c) == std::vector<std::int64_t>{0, 1});
    CHECK(model.executions.at("b").tokens == 5);
    CHECK(model.executions.at("c").finished == 1);
}

TEST_CASE("a step takes longer the fuller the batch is")
{
    BatchModel model = smallBatch();
    submit(model, request("a", 5), Start, Never);
    CHECK(nextStep(model) == Start + 11 * Millisecond);
    submit(model, request("b", 5), Start, Never);
    advance(model, Start + 11 * Millisecond, Never);
    CHECK(nextStep(model) == Start + 23 * Millisecond);
    model.slowFactor = 10;
    advance(model, Start + 23 * Millisecond, Never);
    CHECK(nextStep(model) == Start + 143 * Millisecond);
}

TEST_CASE("a waiting request of higher priority enters the batch first")
{
    BatchModel model = smallBatch();
    submit(model, request("a", 4), Start, Never);
    submit(model, request("b", 4), Start, Never);
    advance(model, *nextStep(model), Never); // Both are in the batch now.
    const SequenceHandle low = submit(model, request("low", 2, 1), Start, Never);
    const SequenceHandle high = submit(model, request("high", 2, 5), Start, Never);
    const SequenceHandle later = submit(model, request("later", 2, 5), Start, Never);
    std::vector<SequenceHandle> finished;
    while (const auto next = nextStep(model)) {
        for (const Emission &emission : advance(model, *next, Never)) {
            if (emission.last) {
                finished.push_back(emission.sequence);
            }
        }
    }
    REQUIRE(finished.size() == 5);
    CHECK(finished[2] == high);
    CHECK(finished[3] == later);
    CHECK(finished[4] == low);
}

TEST_CASE("a cancelled sequence frees its slot and goes on from where it was when it is resumed")
{
    BatchModel model = smallBatch();
    const SequenceHandle a = submit(model, request("a", 4), Start, Never);
    advance(model, *nextStep(model), Never);
    cancel(model, a, Start + Second);
    CHECK(model.running.empty());
    CHECK(runToEnd(model).empty());

    CHECK_FALSE(resume(model, "a", 2, Start + Second, Never));
    CHECK_FALSE(resume(model, "unknown", 0, Start + Second, Never));
    REQUIRE(resume(model, "a", 1, Start + Second, Never) == a);
    CHECK(runToEnd(model).at(a) == std::vector<std::int64_t>{1, 2, 3});
    CHECK(model.executions.at("a").started == 1);
    CHECK(model.executions.at("a").tokens == 4);
    CHECK(model.executions.at("a").resumed == 1);
}

TEST_CASE("an ended sequence can't be resumed once its time is over")
{
    BatchModel model = smallBatch();
    submit(model, request("a", 1), Start, Never);
    runToEnd(model);
    CHECK(resume(model, "a", 1, Start + Second, Never));
    CHECK_FALSE(resume(model, "a", 1, Start + 2 * model.options.resumeKept, Never));
    CHECK(model.sequences.empty());
}

TEST_CASE("the same id sent twice is executed twice")
{
    BatchModel model = smallBatch();
    submit(model, request("a", 1), Start, Never);
    submit(model, request("a", 1), Start, Never);
    runToEnd(model);
    CHECK(model.executions.at("a").started == 2);
    CHECK(model.executions.at("a").finished == 2);
}

TEST_CASE("a cached prefix saves its prefill")
{
    BatchModel model = smallBatch();
    const std::string prompt(128, 'x');
    submit(model, request("a", 1, 0, prompt), Start, Never);
    CHECK(nextStep(model) == Start + (11 + 32) * Millisecond);
    runToEnd(model);
    submit(model, request("b", 1, 0, prompt + "1234"), Start + Second, Never);
    CHECK(nextStep(model) == Start + Second + (11 + 1) * Millisecond);
}

TEST_CASE("a crashing prompt strikes when it enters the batch, not while it waits")
{
    BatchModel model = smallBatch();
    model.options.crashWord = "boom";
    submit(model, request("a", 1), Start, Never);
    submit(model, request("b", 1), Start, Never);
    submit(model, request("c", 1, 0, "now boom"), Start, Never);
    CHECK_FALSE(model.crashed);
    runToEnd(model);
    CHECK(model.crashed);
}

TEST_CASE("the load report is late by its lag")
{
    BatchModel model = smallBatch();
    model.options.reportLag = Second;
    submit(model, request("a", 900), Start, Never);
    CHECK(reportedLoad(model, Start + Second / 2).running == 0);
    CHECK(reportedLoad(model, Start + Second).running == 1);
    CHECK(reportedLoad(model, Start + Second).taken == Start);
}

TEST_CASE("the prefix cache forgets the least recently used blocks first")
{
    PrefixCache cache;
    cache.capacity = 2;
    useBlocks(cache, {1, 2}, Start, Never);
    CHECK(useBlocks(cache, {1, 2}, Start, Never) == 2);
    useBlocks(cache, {7}, Start, Never);
    CHECK(cache.blocks.count(1) == 1);
    CHECK(cache.blocks.count(2) == 0);
    CHECK(useBlocks(cache, {1, 2}, Start, Never) == 1);
}

TEST_CASE("cache events come late, in order, and a lost one shows as a gap")
{
    PrefixCache cache;
    cache.eventLag = Second;
    cache.eventGap = 0.5;
    double next = 0.9;
    const Draw draw = [&next] {
        return next;
    };
    useBlocks(cache, {10}, Start, draw);
    next = 0.1; // Lost.
    useBlocks(cache, {20}, Start, draw);
    next = 0.9;
    useBlocks(cache, {30}, Start, draw);

    CHECK(eventsAfter(cache, 0, Start).empty());
    const auto first = eventsAfter(cache, 0, Start + Second);
    REQUIRE(first.size() == 1);
    CHECK(first[0].block == 10);
    const auto second = eventsAfter(cache, 1, Start + Second);
    REQUIRE(second.size() == 1);
    CHECK(second[0].sequence == 3);
    CHECK(second[0].block == 30);
}

TEST_CASE("an old fencing number is refused only by an engine that checks it")
{
    OrderModel model;
    REQUIRE(giveOrder(model, {OrderKind::LoadModel, "m7", 7}, Start) == OrderOutcome::Accepted);
    CHECK(giveOrder(model, {OrderKind::LoadModel, "m8", 8}, Start) == OrderOutcome::Busy);
    const TimePoint later = Start + 2 * model.takes;
    CHECK(giveOrder(model, {OrderKind::LoadModel, "m6", 7}, later) == OrderOutcome::StaleFencing);
    CHECK(model.models == std::set<std::string>{"m7"});

    model.checkFencing = false;
    CHECK(giveOrder(model, {OrderKind::ChangeRole, "prefill", 6}, later) == OrderOutcome::Accepted);
    CHECK(model.history.back().stale);
    finishOrders(model, later + 2 * model.takes);
    CHECK(model.role == "prefill");
    CHECK_FALSE(model.current);
}
