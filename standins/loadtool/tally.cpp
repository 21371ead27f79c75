#include "standins/loadtool/tally.h"

#include <iterator>
#include <utility>

namespace Godwit::Standins
{

namespace
{

constexpr int BinsPerDecade = 100;
constexpr int Decades = 8;
constexpr double ShortestUs = 10;
constexpr double LongestUs = 1e9;
constexpr double UsPerMs = 1000;

} // namespace

LatencyHistogram makeLatencyHistogram()
{
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    return boost::histogram::make_histogram(Axis(BinsPerDecade * Decades, ShortestUs, LongestUs));
}

std::uint64_t entries(const LatencyHistogram &histogram)
{
    double sum = 0;
    for (int bin = -1; bin <= histogram.axis(0).size(); ++bin) {
        sum += histogram.at(bin);
    }
    return static_cast<std::uint64_t>(sum);
}

double percentile(const LatencyHistogram &histogram, double fraction)
{
    const auto total = static_cast<double>(entries(histogram));
    if (total == 0) {
        return 0;
    }
    const auto &axis = histogram.axis(0);
    double seen = 0;
    for (int bin = -1; bin <= axis.size(); ++bin) {
        seen += histogram.at(bin);
        if (seen >= fraction * total && seen > 0) {
            return axis.bin(bin < 0 ? 0 : bin).upper() / UsPerMs;
        }
    }
    return LongestUs / UsPerMs;
}

Tally::Tally()
    : firstToken(makeLatencyHistogram())
    , betweenTokens(makeLatencyHistogram())
{
    latency.fill(makeLatencyHistogram());
}

void addTime(LatencyHistogram &histogram, Duration time)
{
    histogram(static_cast<double>(time.count()));
}

void addCall(Tally &tally, CallRecord record, Duration latency)
{
    const auto kind = static_cast<std::size_t>(record.kind);
    ++tally.outcomes[kind][static_cast<std::size_t>(record.outcome)];
    if (record.outcome == CallOutcome::Whole) {
        addTime(tally.latency[kind], latency);
    }
    tally.calls.push_back(std::move(record));
}

void merge(Tally &into, Tally &&from)
{
    into.calls.insert(
        into.calls.end(), std::make_move_iterator(from.calls.begin()), std::make_move_iterator(from.calls.end()));
    for (std::size_t kind = 0; kind < LoadKindCount; ++kind) {
        into.latency[kind] += from.latency[kind];
        for (std::size_t outcome = 0; outcome < CallOutcomeCount; ++outcome) {
            into.outcomes[kind][outcome] += from.outcomes[kind][outcome];
        }
    }
    into.firstToken += from.firstToken;
    into.betweenTokens += from.betweenTokens;
    for (const auto &[reason, count] : from.reasons) {
        into.reasons[reason] += count;
    }
    into.examples.insert(from.examples.begin(), from.examples.end());
    into.started += from.started;
    into.attempts += from.attempts;
    into.resent += from.resent;
    into.notSent += from.notSent;
    into.addressLookups += from.addressLookups;
    into.addressFailures += from.addressFailures;
}

} // namespace Godwit::Standins
