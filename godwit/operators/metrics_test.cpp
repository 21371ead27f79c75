#include "godwit/operators/metrics.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

CallFinished finishedFor(const std::string &customer)
{
    CallFinished finished;
    finished.customer = CustomerId{customer};
    finished.route = RouteId{"chat"};
    finished.total = std::chrono::milliseconds(20);
    return finished;
}

} // namespace

TEST_CASE("answers and errors are counted apart, by customer and route")
{
    Metrics metrics;
    auto finished = finishedFor("a\"b");
    finished.billed = 30;
    record(metrics, finished);
    finished.error = ErrorKind::BudgetExhausted;
    finished.billed = 0;
    record(metrics, finished);
    const std::string text = renderMetrics(metrics, {Gauge{"godwit_calls_in_flight", "Calls.", 3}});
    CHECK(text.find("godwit_calls_answered_total{customer=\"a\\\"b\",route=\"chat\"} 1\n") != std::string::npos);
    CHECK(text.find("type=\"budget_exhausted\"} 1\n") != std::string::npos);
    CHECK(text.find("godwit_billed_tokens_total{customer=\"a\\\"b\",route=\"chat\"} 30\n") != std::string::npos);
    CHECK(text.find("godwit_call_seconds_count{customer=\"a\\\"b\",route=\"chat\"} 2\n") != std::string::npos);
    CHECK(text.find("godwit_calls_in_flight 3\n") != std::string::npos);
}

TEST_CASE("the number of series stays bounded")
{
    Metrics metrics;
    metrics.maxSeries = 4;
    for (int i = 0; i < 100; ++i) {
        record(metrics, finishedFor("customer-" + std::to_string(i)));
    }
    CHECK(metrics.calls.size() == 5);
    CHECK(metrics.calls.at(SeriesKey{"other", "chat"}).answered == 96);
}
