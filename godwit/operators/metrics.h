#pragma once

// Histograms and counters of one router, by customer and route, in the Prometheus text form.
//
// The number of series is bounded: customers beyond the bound share the series "other", so that a fleet with many
// thousand customers does not fill a small host.
//
// Example:
//   Metrics metrics;
//   record(metrics, finished);
//   std::string text = renderMetrics(metrics, gauges);
//
// Not thread-safe: the control thread owns it.

#include "godwit/kernel/kernel_messages.h"
#include "godwit/metrics/latency_series.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

struct CallSeries
{
    LatencySeries total;
    LatencySeries firstToken;
    LatencySeries untilDispatch; // From the caller's request to the endpoint: what the router adds before.
    LatencySeries billWait; // How long the end of the answer waited for its bill.
    std::uint64_t answered = 0;
    std::uint64_t replayed = 0;
    std::uint64_t forwarded = 0;
    std::int64_t billedTokens = 0;
    std::map<ErrorKind, std::uint64_t> errors;
};

struct SeriesKey
{
    std::string customer;
    std::string route;

    friend bool operator<(const SeriesKey &a, const SeriesKey &b)
    {
        return std::tie(a.customer, a.route) < std::tie(b.customer, b.route);
    }
};

struct Metrics
{
    std::size_t maxSeries = 512;
    std::map<SeriesKey, CallSeries> calls;
};

struct Gauge
{
    std::string_view name; // Such as "godwit_calls_in_flight".
    std::string_view help;
    double value = 0;
    bool counter = false;
};

void record(Metrics &metrics, const CallFinished &finished);

std::string renderMetrics(const Metrics &metrics, const std::vector<Gauge> &gauges);

} // namespace Godwit
