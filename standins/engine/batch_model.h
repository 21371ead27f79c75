#pragma once

// The model engine's continuous batch.
//
// All running sequences gain one token with each step. A step takes a base time, a time for each sequence in the batch
// and the prefill of the prompts that enter with it, less what the prefix cache holds. Sequences that ended or were
// cancelled are kept for a while, so that their streams can be resumed.
//
// Pure: time and random numbers are passed in.
//
// Example:
//   BatchModel model;
//   const SequenceHandle handle = submit(model, submission, now);
//   for (const Emission &emission : advance(model, *nextStep(model), draw)) { ... }

#include "standins/engine/prefix_cache.h"

#include "godwit/base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Godwit::Standins
{

using SequenceHandle = std::uint64_t;

struct BatchOptions
{
    std::size_t slots = 16;
    Duration stepBase = std::chrono::microseconds(2000);
    Duration stepPerSequence = std::chrono::microseconds(100);
    Duration prefillPerToken = std::chrono::microseconds(20);
    std::int64_t longestAnswer = 64; // Tokens of the longest answer that no limit cuts.
    Duration resumeKept = std::chrono::seconds(30); // How long an ended sequence can be resumed.
    Duration reportLag{}; // Of the load report.
    std::string crashWord; // A prompt that holds it crashes the engine when it enters the batch. Empty: none.
};

struct Submission
{
    std::string requestId;
    std::string prompt;
    std::int64_t maxTokens = 0;
    int priority = 0; // Higher goes first.
};

enum class SequenceState {
    Waiting,
    Running,
    Finished,
    Cancelled,
};

struct Sequence
{
    std::string requestId;
    std::vector<std::uint64_t> blocks;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; // What the whole answer will have.
    std::int64_t generated = 0;
    int priority = 0;
    bool cut = false; // The limit is shorter than the answer.
    bool crashes = false;
    bool counted = false; // As started.
    SequenceState state = SequenceState::Waiting;
};

// What the engine has done for one request id, over all its submissions.
struct ExecutionCount
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t resumed = 0;
    std::int64_t tokens = 0; // Generated, also for answers that nobody read.
    std::int64_t promptTokens = 0;
};

struct LoadSample
{
    TimePoint taken;
    std::size_t queued = 0;
    std::size_t running = 0;
    double cacheUsed = 0;
};

struct BatchModel
{
    BatchOptions options;
    PrefixCache cache;
    double slowFactor = 1; // Fault: every step takes so many times as long.
    bool crashed = false; // A crashing prompt has entered the batch.

    std::map<SequenceHandle, Sequence> sequences;
    std::map<std::string, SequenceHandle> lastOfRequest;
    std::set<std::tuple<int, SequenceHandle>> waiting; // Negative priority, then arrival.
    std::vector<SequenceHandle> running;
    std::deque<std::pair<TimePoint, SequenceHandle>> ended;
    std::optional<TimePoint> stepEnds;
    std::map<std::string, ExecutionCount> executions;
    std::deque<LoadSample> samples;
    SequenceHandle lastHandle = 0;
};

// One token, of a sequence that may have got its last one.
struct Emission
{
    SequenceHandle sequence = 0;
    std::int64_t index = 0;
    bool last = false;
};

SequenceHandle submit(BatchModel &model, const Submission &submission, TimePoint now, const Draw &draw);

// Takes the sequence out of the batch; it can be resumed while it is kept. No effect on one that has ended.
void cancel(BatchModel &model, SequenceHandle handle, TimePoint now);

// Finds the request's last sequence and lets it go on if it was cancelled. Absent when it is not kept any more or has
// not generated `fromToken` tokens.
std::optional<SequenceHandle> resume(
    BatchModel &model, const std::string &requestId, std::int64_t fromToken, TimePoint now, const Draw &draw);

// When the running step ends, if there is one.
std::optional<TimePoint> nextStep(const BatchModel &model);

// Carries out the steps that have ended by `now` and returns their tokens in order.
std::vector<Emission> advance(BatchModel &model, TimePoint now, const Draw &draw);

// The load as it was reported last: late by the report's lag.
LoadSample reportedLoad(BatchModel &model, TimePoint now);

} // namespace Godwit::Standins
