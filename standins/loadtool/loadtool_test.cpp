#include "standins/engine/answer_text.h"
#include "standins/loadtool/answer_check.h"
#include "standins/loadtool/tally.h"
#include "standins/loadtool/verify.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

constexpr const char *Id = "01a23848-e346-743e-93a7-3e6db65505a9";

std::string tokenEvent(const std::string &text)
{
    return "data: " + nlohmann::json{{"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}}.dump() + "\n\n";
}

std::string lastEvents(std::int64_t completion)
{
    const nlohmann::json last = {
        {"choices", {{{"index", 0}, {"delta", nlohmann::json::object()}}}},
        {"usage", {{"prompt_tokens", 7}, {"completion_tokens", completion}}},
    };
    return "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
}

CallRecord record(const std::string &id, LoadKind kind, CallOutcome outcome)
{
    CallRecord call;
    call.id = id;
    call.kind = kind;
    call.outcome = outcome;
    call.everyAttemptNotRun = outcome == CallOutcome::NotRun;
    return call;
}

void add(Tally &tally, const CallRecord &call)
{
    ++tally.started;
    addCall(tally, call, std::chrono::milliseconds(1));
}

// The found count of the check called `name`; it fails the test when there is none.
const Check &checkCalled(const std::vector<Check> &checks, const std::string &name)
{
    for (const auto &check : checks) {
        if (check.name == name) {
            return check;
        }
    }
    FAIL("no check is called " << name);
    return checks.front();
}

} // namespace

TEST_CASE("a streamed answer is whole with all its tokens, its usage and its closing event")
{
    ChatAnswer answer;
    const std::string stream = tokenEvent(tokenText(Id, 0)) + tokenEvent(tokenText(Id, 1)) + lastEvents(2);
    std::int64_t pieces = 0;
    for (const char byte : stream) { // Cut at every byte.
        pieces += feedStream(answer, std::string_view(&byte, 1));
    }
    CHECK(pieces == 2);
    CHECK(judgeChat(answer, Id) == AnswerVerdict::Whole);
    CHECK(answer.promptTokens == 7);
}

TEST_CASE("a cut, gapped, doubled or foreign answer is not whole")
{
    const auto judge = [](const std::string &stream) {
        ChatAnswer answer;
        feedStream(answer, stream);
        return judgeChat(answer, Id);
    };
    const std::string first = tokenEvent(tokenText(Id, 0));
    CHECK(judge(first + lastEvents(1)) == AnswerVerdict::Whole);
    CHECK(judge("") == AnswerVerdict::Incomplete);
    CHECK(judge(first) == AnswerVerdict::Incomplete);
    CHECK(judge(first + lastEvents(2)) == AnswerVerdict::Incomplete);
    CHECK(judge(first + tokenEvent(tokenText(Id, 2)) + lastEvents(2)) == AnswerVerdict::Incomplete);
    CHECK(judge(first + first + lastEvents(2)) == AnswerVerdict::Incomplete);
    CHECK(judge(first + tokenEvent(tokenText("another", 1)) + lastEvents(2)) == AnswerVerdict::Foreign);
    CHECK(judge(first + "data: {\"error\":{\"type\":\"answer_incomplete\"}}\n\n" + lastEvents(1))
          == AnswerVerdict::Incomplete);
}

TEST_CASE("a plain answer and a booking are told by the id")
{
    const auto plain = [](const std::string &text, std::int64_t completion) {
        const nlohmann::json body = {
            {"choices", {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}}}},
            {"usage", {{"prompt_tokens", 7}, {"completion_tokens", completion}}},
        };
        ChatAnswer answer;
        readPlain(answer, body.dump());
        return judgeChat(answer, Id);
    };
    CHECK(plain(answerText(Id, 3), 3) == AnswerVerdict::Whole);
    CHECK(plain(answerText(Id, 3), 4) == AnswerVerdict::Incomplete);
    CHECK(plain(answerText("other", 3), 3) == AnswerVerdict::Foreign);

    CHECK(judgeBooking(nlohmann::json{{"id", Id}, {"result", "booked"}}.dump(), Id) == AnswerVerdict::Whole);
    CHECK(judgeBooking(nlohmann::json{{"id", "other"}, {"result", "booked"}}.dump(), Id) == AnswerVerdict::Foreign);
    CHECK(judgeBooking("{", Id) == AnswerVerdict::Incomplete);
}

TEST_CASE("a refusal is read with its reason and what it says of the execution")
{
    const auto refusal = readRefusal(R"({"error":{"type":"budget_busy","not_run":true,"retry_after_ms":1500}})");
    REQUIRE(refusal);
    CHECK(refusal->type == "budget_busy");
    CHECK(refusal->notRun);
    CHECK(refusal->retryAfterMs == 1500);
    CHECK_FALSE(readRefusal(R"({"error":{"type":"x"}})")->notRun);
    CHECK_FALSE(readRefusal("<html>"));
}

TEST_CASE("percentiles come from the histogram within a bin's width")
{
    LatencyHistogram histogram = makeLatencyHistogram();
    CHECK(percentile(histogram, 0.5) == 0);
    for (int i = 1; i <= 1000; ++i) {
        addTime(histogram, std::chrono::milliseconds(i));
    }
    CHECK(percentile(histogram, 0.5) == Approx(500).epsilon(0.03));
    CHECK(percentile(histogram, 0.99) == Approx(990).epsilon(0.03));
    CHECK(entries(histogram) == 1000);
}

TEST_CASE("a booking that was said to be not run and ran is found")
{
    // The caller is told "not run" and books another sitter; the first booking was executed all the same.
    Tally tally;
    add(tally, record("lie", LoadKind::Booking, CallOutcome::NotRun));
    add(tally, record("truth", LoadKind::Booking, CallOutcome::NotRun));
    GroundTruth truth;
    addServiceExecutions(truth, {{"executions", {{"lie", 1}}}});
    const auto checks = verify(tally, truth);
    CHECK(checkCalled(checks, "bookings said to be not run that ran").found == 1);
    CHECK_FALSE(allHold(checks));
}

TEST_CASE("a booking that two services executed is found, and so is a confirmed one that none did")
{
    Tally tally;
    add(tally, record("twice", LoadKind::Booking, CallOutcome::Whole));
    add(tally, record("never", LoadKind::Booking, CallOutcome::Whole));
    GroundTruth truth;
    addServiceExecutions(truth, {{"executions", {{"twice", 1}}}});
    addServiceExecutions(truth, {{"executions", {{"twice", 1}}}});
    const auto checks = verify(tally, truth);
    CHECK(checkCalled(checks, "bookings executed more than once").found == 1);
    CHECK(checkCalled(checks, "confirmed bookings that were not executed").found == 1);
}

TEST_CASE("a chat that was refused after a broken attempt may have run; one that was only refused may not")
{
    Tally tally;
    CallRecord broken = record("broken first", LoadKind::PlainChat, CallOutcome::NotRun);
    broken.everyAttemptNotRun = false;
    add(tally, broken);
    add(tally, record("lie", LoadKind::PlainChat, CallOutcome::NotRun));
    GroundTruth truth;
    const nlohmann::json ran = {{"started", 1}, {"finished", 0}, {"tokens", 4}};
    addEngineExecutions(truth, {{"executions", {{"broken first", ran}, {"lie", ran}}}});
    CHECK(checkCalled(verify(tally, truth), "chats said to be not run that ran").found == 1);
}

TEST_CASE("bills are compared with what the whole answers cost")
{
    Tally tally;
    CallRecord chat = record("chat", LoadKind::PlainChat, CallOutcome::Whole);
    chat.tokens = 30;
    add(tally, chat);
    add(tally, record("booking", LoadKind::Booking, CallOutcome::Whole));
    GroundTruth truth;
    truth.bookingCost = 5;
    CHECK(spentByCallers(tally, truth.bookingCost) == 35);

    truth.budgets = {{"b", 200, 100, 135}};
    CHECK(allHold(verify(tally, truth)));

    truth.budgets = {{"b", 200, 100, 134}};
    CHECK(checkCalled(verify(tally, truth), "tokens of whole answers without a bill").found == 1);

    truth.budgets = {{"b", 200, 100, 136}};
    CHECK_FALSE(checkCalled(verify(tally, truth), "tokens billed without a whole answer").holds);
    add(tally, record("who knows", LoadKind::PlainChat, CallOutcome::Unknown));
    CHECK(checkCalled(verify(tally, truth), "tokens billed without a whole answer").holds);

    truth.budgets = {{"b", 130, 100, 135}};
    CHECK(checkCalled(verify(tally, truth), "tokens billed beyond the prepaid").found == 5);
}

TEST_CASE("a call without a record is found")
{
    Tally tally;
    tally.started = 1;
    CHECK_FALSE(allHold(verify(tally, {})));
}
