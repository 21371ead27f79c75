#include "standins/common/loop_test.h"
#include "standins/engine/answer_text.h"
#include "standins/engine/engine_service.h"
#include "standins/loadtool/answer_check.h"
#include "standins/loadtool/load_worker.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

using Json = nlohmann::json;
using Yield = boost::asio::yield_context;

constexpr int LongestAnswer = 4000;

BatchModel fastBatch()
{
    BatchModel batch;
    batch.options.stepBase = std::chrono::microseconds(500);
    batch.options.longestAnswer = LongestAnswer;
    return batch;
}

struct Engine
{
    boost::asio::io_context context{1};
    EngineService service{context, fastBatch(), OrderModel{}, 100, 1};
    HttpServer server{
        context, parseAddress("127.0.0.1:0"), {}, [this](const HttpRequest &request, const ResponderPtr &responder) {
            service.handle(request, responder);
        }};
};

ClientRequest chat(const std::string &id, bool streamed, int maxTokens)
{
    const Json body = {
        {"model", "m"},
        {"messages", {{{"role", "user"}, {"content", "hello"}}}},
        {"max_tokens", maxTokens},
        {"stream", streamed},
    };
    ClientRequest request = makeRequest("POST", "/v1/chat/completions", body.dump());
    request.set("Godwit-Request-Id", id);
    return request;
}

ClientRequest resumeOf(const std::string &id, int fromToken)
{
    return makeRequest("POST", "/v1/resume", Json{{"request_id", id}, {"from_token", fromToken}}.dump());
}

// Sends a request whose answer is streamed and collects the stream.
Exchange stream(HttpClient &client,
                const Engine &engine,
                const ClientRequest &request,
                ChatAnswer &answer,
                Duration timeout,
                const Yield &yield)
{
    return client.send(
        addressText(engine.server.address()),
        request,
        timeout,
        [&answer](std::string_view bytes) {
            feedStream(answer, bytes);
        },
        yield);
}

Json executionsOf(HttpClient &client, const Engine &engine, const std::string &id, const Yield &yield)
{
    const auto counts = ask(client, engine.server, makeRequest("GET", "/control/executions?id=" + id), yield);
    return Json::parse(counts.body).at("executions").value(id, Json());
}

constexpr Duration LongTimeout = std::chrono::seconds(20);

} // namespace

TEST_CASE("streamed and plain answers are whole and told by their ids")
{
    Engine engine;
    runOnLoop(engine.context, [&](HttpClient &client, const Yield &yield) {
        ChatAnswer streamed;
        CHECK(stream(client, engine, chat("first-id", true, 5), streamed, LongTimeout, yield).complete);
        CHECK(judgeChat(streamed, "first-id") == AnswerVerdict::Whole);
        CHECK(judgeChat(streamed, "second-id") == AnswerVerdict::Foreign);

        ChatAnswer plain;
        readPlain(plain, ask(client, engine.server, chat("second-id", false, 5), yield).body);
        CHECK(judgeChat(plain, "second-id") == AnswerVerdict::Whole);
    });
}

TEST_CASE("a caller that leaves cancels its request, and a resume completes the same answer")
{
    // The first reader goes away in the middle of its stream, as when a router dies. The engine stops working on it.
    // Another reader asks for the rest; both parts together are the one whole answer, generated once.
    const std::string id = "parent-16";
    REQUIRE(naturalLength(id, LongestAnswer) > 2000); // Longer than the first reader stays.
    Engine engine;
    runOnLoop(engine.context, [&](HttpClient &client, const Yield &yield) {
        ChatAnswer cut;
        const auto first =
            stream(client, engine, chat(id, true, LongestAnswer), cut, std::chrono::milliseconds(300), yield);
        CHECK_FALSE(first.complete);
        REQUIRE(cut.pieces > 0);
        REQUIRE(judgeChat(cut, id) == AnswerVerdict::Incomplete);

        const auto from = static_cast<int>(cut.pieces);
        CHECK(stream(client, engine, resumeOf(id, from), cut, LongTimeout, yield).complete);
        CHECK(judgeChat(cut, id) == AnswerVerdict::Whole);
        const Json count = executionsOf(client, engine, id, yield);
        CHECK(count.at("started") == 1);
        CHECK(count.at("cancelled") == 1);
        CHECK(count.at("resumed") == 1);
        CHECK(count.at("tokens") == *cut.completionTokens);
    });
}

TEST_CASE("an unknown stream or a token that was not generated yet can't be resumed")
{
    Engine engine;
    runOnLoop(engine.context, [&](HttpClient &client, const Yield &yield) {
        const auto unknown = ask(client, engine.server, resumeOf("nobody", 0), yield);
        CHECK(unknown.status == 404);
        CHECK(unknown.notRunHeader);
        ask(client, engine.server, chat("id-1", false, 2), yield);
        CHECK(ask(client, engine.server, resumeOf("id-1", 3000), yield).status == 404);
    });
}

TEST_CASE("a stream breaks after the bytes that the fault names")
{
    Engine engine;
    runOnLoop(engine.context, [&](HttpClient &client, const Yield &yield) {
        ask(client, engine.server, makeRequest("POST", "/control/faults", R"({"reset_after_bytes":1000})"), yield);
        ChatAnswer cut;
        CHECK_FALSE(stream(client, engine, chat("id-1", true, 400), cut, LongTimeout, yield).complete);
        CHECK(cut.pieces > 0);
        CHECK_FALSE(cut.done);
    });
}

TEST_CASE("a refused request is said to be not run, and was not")
{
    Engine engine;
    runOnLoop(engine.context, [&](HttpClient &client, const Yield &yield) {
        ask(client, engine.server, makeRequest("POST", "/control/faults", R"({"refuse":true})"), yield);
        const auto refused = ask(client, engine.server, chat("id-1", false, 2), yield);
        CHECK(refused.status == 503);
        CHECK(refused.notRunHeader);
        CHECK(executionsOf(client, engine, "id-1", yield).is_null());
    });
}

TEST_CASE("the load tool's callers get whole answers of their own from an engine")
{
    Engine engine;
    std::thread serving([&engine] {
        engine.context.run();
    });
    LoadSpec spec;
    spec.targets = {addressText(engine.server.address())};
    spec.direct = true;
    spec.rate = 100;
    spec.duration = std::chrono::milliseconds(500);
    spec.mix = {{1, 1, 0}};
    spec.maxTokens = 8;
    spec.customers = {{"a", "key-a", 2}, {"b", "key-b", 1}};
    LoadWorker worker(spec, 0);
    worker.run();
    engine.context.stop();
    serving.join();

    const Tally tally = worker.takeTally();
    CHECK(tally.started > 10);
    CHECK(tally.calls.size() == tally.started);
    for (const auto &call : tally.calls) {
        CHECK(call.outcome == CallOutcome::Whole);
        CHECK(call.attempts == 1);
    }
    CHECK(entries(tally.firstToken) == entries(tally.latency[0]));
}

TEST_CASE("the load tool repeats a broken call and reports one that never succeeds")
{
    Engine engine;
    std::thread serving([&engine] {
        engine.context.run();
    });
    LoadSpec spec;
    spec.targets = {addressText(engine.server.address())};
    spec.direct = true;
    spec.connections = 1;
    spec.duration = std::chrono::milliseconds(1);
    spec.mix = {{0, 0, 1}}; // The engine has no bookings: it answers 404, not run.
    spec.customers = {{"a", "key-a", 1}};
    LoadWorker refused(spec, 0);
    refused.run();
    engine.context.stop();
    serving.join();
    const Tally notRun = refused.takeTally();
    REQUIRE_FALSE(notRun.calls.empty());
    CHECK(notRun.calls[0].outcome == CallOutcome::NotRun);
    CHECK(notRun.calls[0].everyAttemptNotRun);

    spec.targets = {"127.0.0.1:1"}; // Nothing listens there.
    spec.attempts = 3;
    LoadWorker unreachable(spec, 0);
    unreachable.run();
    const Tally broken = unreachable.takeTally();
    REQUIRE_FALSE(broken.calls.empty());
    CHECK(broken.calls[0].outcome == CallOutcome::Unknown);
    CHECK(broken.calls[0].reason == "connect_failed");
    CHECK(broken.calls[0].attempts == 3);
}
