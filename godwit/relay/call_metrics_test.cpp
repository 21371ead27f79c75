#include "godwit/relay/call_metrics.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

CallRecord recordOf(const std::string &customer, CallEnd end)
{
    return CallRecord{CustomerId{customer}, GatewayRouteKind::Streaming, end, std::chrono::milliseconds(20), {}};
}

} // namespace

TEST_CASE("calls are counted by customer, kind and outcome, with their latencies")
{
    CallMetrics metrics;
    CallRecord answered = recordOf("desk", CallEnd::Answered);
    answered.firstAnswer = std::chrono::milliseconds(5);
    recordCall(metrics, answered);
    recordCall(metrics, recordOf("desk", CallEnd::Refused));
    const std::string text = renderCalls(metrics);
    const std::string labels = "{customer=\"desk\",kind=\"streaming\"";
    CHECK(text.find("godwit_calls_ended_total" + labels + ",end=\"answered\"} 1\n") != std::string::npos);
    CHECK(text.find("godwit_calls_ended_total" + labels + ",end=\"refused\"} 1\n") != std::string::npos);
    CHECK(text.find("godwit_calls_ended_total" + labels + ",end=\"caller_left\"} 0\n") != std::string::npos);
    CHECK(text.find("godwit_call_seconds_count" + labels + "} 2\n") != std::string::npos);
    CHECK(text.find("godwit_first_answer_seconds_count" + labels + "} 1\n") != std::string::npos);
}

TEST_CASE("charges are counted by call outcome and whether any event was forwarded")
{
    // Without the split, a budget consumed by calls that delivered nothing looks like a busy customer.
    CallMetrics metrics;
    recordCharge(metrics, {CustomerId{"desk"}, GatewayRouteKind::Streaming, CallEnd::CallerDisconnected, false, 700});
    recordCharge(metrics, {CustomerId{"desk"}, GatewayRouteKind::Streaming, CallEnd::CallerDisconnected, true, 40});
    const std::string text = renderCalls(metrics);
    const std::string series =
        "godwit_tokens_charged_total{customer=\"desk\",kind=\"streaming\",end=\"caller_left\",events=";
    CHECK(text.find(series + "\"none\"} 700\n") != std::string::npos);
    CHECK(text.find(series + "\"some\"} 40\n") != std::string::npos);
}

TEST_CASE("the number of series is bounded")
{
    CallMetrics metrics;
    metrics.maxSeries = 4;
    for (int i = 0; i < 100; ++i) {
        recordCall(metrics, recordOf("customer-" + std::to_string(i), CallEnd::Answered));
    }
    CHECK(metrics.series.size() == 5);
    CHECK(metrics.series.at({"other", GatewayRouteKind::Streaming}).total.count == 96);
}
