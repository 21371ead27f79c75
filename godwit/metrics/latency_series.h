#pragma once

// A latency histogram with its sum and count, and its Prometheus text form.
//
// Example:
//   LatencySeries series;
//   addSample(series, std::chrono::milliseconds(20));
//   renderHistogram(out, "godwit_call_seconds", "customer=\"desk\"", series);
//
// Not thread-safe.

#include "godwit/base/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace Godwit
{

// Seconds on a logarithmic axis from 0.1 ms to 10 minutes.
using SecondsAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using SecondsHistogram = decltype(boost::histogram::make_histogram(std::declval<SecondsAxis>()));

struct LatencySeries
{
    LatencySeries();

    SecondsHistogram seconds;
    double sum = 0;
    std::uint64_t count = 0;
};

void addSample(LatencySeries &series, Duration duration);

// Buckets, sum and count, one line each. `labels` stands between the braces and may not be empty.
void renderHistogram(std::ostream &out, std::string_view name, const std::string &labels, const LatencySeries &series);

// A label's value, escaped as the text form asks.
std::string escapeLabel(std::string_view value);

} // namespace Godwit
