#pragma once

// What the callers saw: one record for each call, latency histograms and counts.
//
// Example:
//   Tally tally(customerCount);
//   addCall(tally, record, latency);
//   merge(total, tally);
//   percentile(total.latency[0], 0.99);

#include "standins/loadtool/load_spec.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Godwit::Standins
{

enum class CallOutcome {
    Whole, // The whole answer, and its own.
    NotRun, // Refused, and said to have not been run.
    Unknown, // Refused or broken off, without a word that it was not run.
    Incomplete, // An answer that ended early or does not add up.
    Foreign, // Another request's answer.
};

constexpr EnumName<CallOutcome> CallOutcomeNames[] = {
    {CallOutcome::Whole, "whole"},
    {CallOutcome::NotRun, "not_run"},
    {CallOutcome::Unknown, "unknown"},
    {CallOutcome::Incomplete, "incomplete"},
    {CallOutcome::Foreign, "foreign"},
};

constexpr std::size_t CallOutcomeCount = sizeof(CallOutcomeNames) / sizeof(CallOutcomeNames[0]);

// How one call ended for its caller, after all its attempts.
struct CallRecord
{
    std::string id;
    LoadKind kind = LoadKind::PlainChat;
    std::size_t customer = 0; // Its place in the spec.
    CallOutcome outcome = CallOutcome::Unknown;
    std::string reason; // Of the last refusal, or how the connection broke.
    int attempts = 0;
    bool everyAttemptNotRun = true;
    std::int64_t tokens = 0; // Prompt and completion, as a whole answer's usage says.
};

using LatencyHistogram = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>>;

// Microseconds, from 10 us to 1000 s in steps of 2.3%.
LatencyHistogram makeLatencyHistogram();

// The value below which `fraction` of the entries lie, in milliseconds; 0 without entries.
double percentile(const LatencyHistogram &histogram, double fraction);

std::uint64_t entries(const LatencyHistogram &histogram);

struct Tally
{
    Tally();

    std::vector<CallRecord> calls;
    std::array<LatencyHistogram, LoadKindCount> latency; // Of whole answers, from the planned arrival.
    LatencyHistogram firstToken; // Of whole streamed answers, from the planned arrival.
    LatencyHistogram betweenTokens;
    std::array<std::array<std::uint64_t, CallOutcomeCount>, LoadKindCount> outcomes{};
    std::map<std::string, std::uint64_t> reasons; // Of all refused or broken attempts.
    std::map<std::string, std::string> examples; // The first message with each reason.
    std::uint64_t started = 0; // Each of them has a record in the end.
    std::uint64_t attempts = 0;
    std::uint64_t resent = 0; // Requests that met a closed idle connection and went over another.
    std::uint64_t notSent = 0; // Over the limit of calls in flight: the tool could not keep up.
    std::uint64_t addressLookups = 0;
    std::uint64_t addressFailures = 0;
};

// Adds a finished call; `latency` counts for whole answers.
void addCall(Tally &tally, CallRecord record, Duration latency);

void addTime(LatencyHistogram &histogram, Duration time);

// Adds `from` to `into`.
void merge(Tally &into, Tally &&from);

} // namespace Godwit::Standins
