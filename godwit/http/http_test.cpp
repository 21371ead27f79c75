#include "godwit/http/address.h"
#include "godwit/http/error_body.h"
#include "godwit/http/event_stream.h"
#include "godwit/http/target.h"

#include <catch2/catch.hpp>

using namespace Godwit;

TEST_CASE("addresses are IP numbers with a port")
{
    LastReason reason;
    CHECK(formatAddress(*parseAddress("127.0.0.1:80", reason)) == "127.0.0.1:80");
    CHECK(formatAddress(*parseAddress("[::1]:0", reason)) == "[::1]:0");
    for (const char *bad : {"", "host:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:80x", "127.0.0.1:70000", ":80"}) {
        CHECK_FALSE(parseAddress(bad, reason));
        CHECK(reason->message.find("ip:port") != std::string::npos);
    }
}

TEST_CASE("an error keeps its kind, execution and retry time through JSON")
{
    const Error error{
        ErrorKind::BudgetBusy, "held \"elsewhere\" \xff", Execution::Unknown, std::chrono::milliseconds(1500)};
    const auto back = errorFromJson(errorToJson(error));
    REQUIRE(back);
    CHECK(back->kind == ErrorKind::BudgetBusy);
    CHECK(back->execution == Execution::Unknown);
    CHECK(back->retryAfter == Duration(1500000));
    CHECK_FALSE(errorFromJson("{}"));
    CHECK_FALSE(errorFromJson("nonsense"));
    CHECK(retryAfterSeconds(std::chrono::milliseconds(1500)) == "2");
    CHECK(retryAfterSeconds(Duration(0)) == "1");
}

TEST_CASE("events are whole whatever the cuts between reads")
{
    // The endpoint's bytes arrive cut at any place; the caller must get each event once and whole.
    const std::string stream =
        "data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventSplitter splitter;
        std::vector<std::string> events;
        for (const auto &part : {stream.substr(0, cut), stream.substr(cut)}) {
            appendBytes(splitter, part);
            while (auto event = takeEvent(splitter)) {
                events.push_back(*event);
            }
        }
        REQUIRE(events.size() == 3);
        CHECK(events[0] + events[1] + events[2] == stream);
        CHECK_FALSE(usageOfEvent(events[0]));
        CHECK(usageOfEvent(events[1])->completion == 4);
        CHECK(isDoneEvent(events[2]));
        CHECK(pendingBytes(splitter) == 0);
    }
    CHECK_FALSE(usageOfEvent("data: {\"text\":\"\\\"usage\\\":{}\"}\n\n"));
    CHECK_FALSE(usageOfEvent("data: {\"usage\":null}\n\n"));
}

TEST_CASE("the place where a stream's bytes stop is known at each byte")
{
    // Guards against a part of an event, or of its number, being taken for an event, and against events that were taken
    // already being left over.
    const std::string event = "id: 12\ndata: a\n\n";
    const std::size_t numberBegins = std::string("id:").size();
    const std::size_t numberEnds = std::string("id: 12").size();
    for (std::size_t cut = 0; cut <= event.size(); ++cut) {
        for (const bool first : {true, false}) {
            EventSplitter splitter;
            appendBytes(splitter, (first ? "" : event) + event.substr(0, cut));
            int taken = 0;
            while (takeEvent(splitter)) {
                ++taken;
            }
            const bool whole = cut == event.size();
            CHECK(taken == (first ? 0 : 1) + (whole ? 1 : 0));
            StreamPosition expected = StreamPosition::InsideEvent;
            if (whole || cut == 0) {
                expected = taken > 0 ? StreamPosition::AtEdge : StreamPosition::BeforeFirst;
            } else if (cut >= numberBegins && cut <= numberEnds) {
                expected = StreamPosition::InsideNumber;
            }
            INFO(cut);
            CHECK(positionIn(splitter) == expected);
            CHECK(takePending(splitter) == (whole ? "" : event.substr(0, cut)));
            CHECK(pendingBytes(splitter) == 0);
        }
    }
    EventSplitter blank;
    appendBytes(blank, event + "\r\n");
    takeEvent(blank);
    CHECK(positionIn(blank) == StreamPosition::AtEdge);
}

TEST_CASE("targets are decoded and broken escapes refused")
{
    const auto target = parseTarget("/v1/kv/budgets%2F7?expect=3&lease=a%20b&flag");
    REQUIRE(target);
    CHECK(target->segments == std::vector<std::string>{"v1", "kv", "budgets/7"});
    CHECK(target->query.at("lease") == "a b");
    CHECK(target->query.count("flag") == 1);
    CHECK_FALSE(parseTarget("/a%2"));
    CHECK_FALSE(parseTarget("/a?b=%zz"));
    CHECK(percentEncode("budgets/7 x") == "budgets%2F7%20x");
}
