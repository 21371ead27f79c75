#include "godwit/metrics/latency_series.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace Godwit;

TEST_CASE("a histogram's buckets add up to its count, samples outside the axis included")
{
    LatencySeries series;
    addSample(series, Duration(1));
    addSample(series, std::chrono::milliseconds(20));
    addSample(series, std::chrono::hours(1));
    std::ostringstream out;
    renderHistogram(out, "seconds", "customer=\"desk\"", series);
    const std::string text = out.str();
    CHECK(text.find("seconds_bucket{customer=\"desk\",le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("seconds_count{customer=\"desk\"} 3\n") != std::string::npos);
    CHECK(text.find("le=\"600\"} 2\n") != std::string::npos);
}

TEST_CASE("a label's value can't end the label")
{
    CHECK(escapeLabel("a\"b\\c\nd") == "a\\\"b\\\\c d");
}
