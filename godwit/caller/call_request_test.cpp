#include "godwit/caller/call_request.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Godwit;

namespace
{

CallHttpRequest chatRequest(std::string_view body)
{
    CallHttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.authorization = "Bearer secret";
    request.body = body;
    return request;
}

} // namespace

TEST_CASE("a chat call carries its model, limit and prefix hashes")
{
    const std::string longText(300, 'x');
    const std::string body =
        R"({"model":"m","messages":[{"role":"user","content":")" + longText + R"("}],"max_tokens":7,"stream":true})";
    LastReason reason;
    const auto parsed = parseCall(chatRequest(body), reason);
    REQUIRE(parsed);
    CHECK(parsed->arrived.routeName == "m");
    CHECK(parsed->arrived.maxOutput == 7);
    CHECK(parsed->streamed);
    CHECK(parsed->arrived.prefixHashes.size() == 4);
    CHECK(parsed->arrived.promptBound >= 300);
    CHECK_FALSE(parsed->arrived.idempotencyKey.empty());
    // SHA-256 of "secret".
    CHECK(parsed->arrived.keyDigest == "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b");
    const auto sent = nlohmann::json::parse(withOutputLimit(parsed->body, 5, true));
    CHECK(sent["max_tokens"] == 5);
    CHECK(sent["stream_options"]["include_usage"] == true);
}

TEST_CASE("the caller's own limit never outlives the reserved one")
{
    // A caller that names its limit by the newer key must not generate beyond what was reserved.
    const auto sent = nlohmann::json::parse(withOutputLimit(R"({"max_completion_tokens":900})", 5, false));
    CHECK(sent["max_tokens"] == 5);
    CHECK_FALSE(sent.contains("max_completion_tokens"));
}

TEST_CASE("bad chat bodies get a typed error that names the fault")
{
    struct Bad
    {
        const char *body;
        const char *says;
    };
    const Bad rows[] = {
        {"", "JSON"},
        {"[]", "JSON"},
        {R"({"messages":[{}]})", "model"},
        {R"({"model":"m"})", "messages"},
        {R"({"model":"m","messages":[]})", "messages"},
        {R"({"model":"m","messages":[1]})", "messages"},
        {R"({"model":"m","messages":[{}],"max_tokens":0})", "max_tokens"},
        {R"({"model":"m","messages":[{}],"max_tokens":"9"})", "max_tokens"},
        {R"({"model":"m","messages":[{}],"stream":1})", "stream"},
        {R"({"model":"m","messages":[{}],"n":2})", "'n'"},
    };
    for (const auto &row : rows) {
        LastReason reason;
        CHECK_FALSE(parseCall(chatRequest(row.body), reason));
        REQUIRE(reason);
        CHECK(reason->kind == ErrorKind::MalformedRequest);
        CHECK(reason->execution == Execution::NotRun);
        CHECK(reason->message.find(row.says) != std::string::npos);
    }
}

TEST_CASE("bad headers get a typed error that names the header")
{
    const auto fails = [](auto change, const char *says) {
        auto request = chatRequest(R"({"model":"m","messages":[{"content":"x"}]})");
        change(request);
        LastReason reason;
        CHECK_FALSE(parseCall(request, reason));
        REQUIRE(reason);
        CHECK(reason->message.find(says) != std::string::npos);
    };
    fails(
        [](auto &r) {
            r.authorization = "Basic x";
        },
        "Authorization");
    fails(
        [](auto &r) {
            r.authorization = "Bearer ";
        },
        "Authorization");
    fails(
        [](auto &r) {
            r.priority = "12";
        },
        "Godwit-Priority");
    fails(
        [](auto &r) {
            r.deadlineMs = "-4";
        },
        "Godwit-Deadline-Ms");
    fails(
        [](auto &r) {
            r.repeatable = "yes";
        },
        "Godwit-Repeatable");
    fails(
        [](auto &r) {
            r.createdAt = "now";
        },
        "Godwit-Created-At");
    fails(
        [](auto &r) {
            r.firstSend = "maybe";
        },
        "Godwit-First-Send");
    fails(
        [](auto &r) {
            r.idempotencyKey = "a b";
        },
        "Idempotency-Key");
    fails(
        [](auto &r) {
            r.method = "GET";
        },
        "POST");
}

TEST_CASE("a service call names its route in the path and keeps the rest")
{
    auto request = chatRequest("{}");
    request.target = "/v1/services/booking/call/slots?day=3";
    request.repeatable = "false";
    LastReason reason;
    const auto parsed = parseCall(request, reason);
    REQUIRE(parsed);
    CHECK(parsed->arrived.kind == CallKind::Service);
    CHECK(parsed->arrived.routeName == "booking");
    CHECK(parsed->target == "/call/slots?day=3");
    CHECK(parsed->arrived.repeatable == false);
    request.target = "/v1/services/";
    CHECK_FALSE(parseCall(request, reason));
}
