#include "standins/engine/batch_model.h"

#include "standins/engine/answer_text.h"

#include <algorithm>

namespace Godwit::Standins
{

namespace
{

void sampleLoad(BatchModel &model, TimePoint now)
{
    const double used = model.cache.capacity == 0
        ? 0
        : static_cast<double>(model.cache.blocks.size()) / static_cast<double>(model.cache.capacity);
    model.samples.push_back({now, model.waiting.size(), model.running.size(), used});
    while (model.samples.size() > 1 && model.samples[1].taken + model.options.reportLag <= now) {
        model.samples.pop_front();
    }
}

// Forgets the sequences that ended too long ago to be resumed.
void forgetOld(BatchModel &model, TimePoint now)
{
    while (!model.ended.empty() && model.ended.front().first + model.options.resumeKept < now) {
        const SequenceHandle oldest = model.ended.front().second;
        model.ended.pop_front();
        const auto found = model.sequences.find(oldest);
        const bool resumed = found != model.sequences.end()
            && (found->second.state == SequenceState::Waiting || found->second.state == SequenceState::Running);
        if (found == model.sequences.end() || resumed) {
            continue;
        }
        const auto last = model.lastOfRequest.find(found->second.requestId);
        if (last != model.lastOfRequest.end() && last->second == oldest) {
            model.lastOfRequest.erase(last);
        }
        model.sequences.erase(found);
    }
}

void countStart(BatchModel &model, Sequence &sequence)
{
    if (sequence.counted) {
        return;
    }
    sequence.counted = true;
    ExecutionCount &count = model.executions[sequence.requestId];
    ++count.started;
    count.promptTokens = sequence.promptTokens;
}

// Lets a waiting sequence into the batch and returns the prompt tokens that its prefill has to compute.
std::int64_t admit(BatchModel &model, SequenceHandle handle, TimePoint now, const Draw &draw)
{
    Sequence &sequence = model.sequences.at(handle);
    sequence.state = SequenceState::Running;
    model.running.push_back(handle);
    countStart(model, sequence);
    model.crashed = model.crashed || sequence.crashes;
    const std::size_t cached = useBlocks(model.cache, sequence.blocks, now, draw);
    return std::max<std::int64_t>(0, sequence.promptTokens - static_cast<std::int64_t>(cached) * BlockTokens);
}

void startStep(BatchModel &model, TimePoint now, const Draw &draw)
{
    std::int64_t prefill = 0;
    while (!model.waiting.empty() && model.running.size() < model.options.slots) {
        const SequenceHandle next = std::get<1>(*model.waiting.begin());
        model.waiting.erase(model.waiting.begin());
        prefill += admit(model, next, now, draw);
    }
    sampleLoad(model, now);
    if (model.running.empty()) {
        model.stepEnds.reset();
        return;
    }
    const Duration plain = model.options.stepBase
        + model.options.stepPerSequence * static_cast<std::int64_t>(model.running.size())
        + model.options.prefillPerToken * prefill;
    const auto slowed = static_cast<std::int64_t>(static_cast<double>(plain.count()) * model.slowFactor);
    model.stepEnds = now + Duration(std::max<std::int64_t>(1, slowed));
}

void finishStep(BatchModel &model, TimePoint now, std::vector<Emission> &emissions)
{
    std::vector<SequenceHandle> stillRunning;
    for (const SequenceHandle handle : model.running) {
        Sequence &sequence = model.sequences.at(handle);
        const std::int64_t index = sequence.generated++;
        ExecutionCount &count = model.executions[sequence.requestId];
        ++count.tokens;
        const bool last = sequence.generated >= sequence.outputTokens;
        emissions.push_back({handle, index, last});
        if (!last) {
            stillRunning.push_back(handle);
            continue;
        }
        sequence.state = SequenceState::Finished;
        ++count.finished;
        model.ended.emplace_back(now, handle);
    }
    model.running.swap(stillRunning);
}

void enqueue(BatchModel &model, SequenceHandle handle, TimePoint now, const Draw &draw)
{
    Sequence &sequence = model.sequences.at(handle);
    sequence.state = SequenceState::Waiting;
    model.waiting.emplace(-sequence.priority, handle);
    sampleLoad(model, now);
    if (!model.stepEnds) {
        startStep(model, now, draw);
    }
}

} // namespace

SequenceHandle submit(BatchModel &model, const Submission &submission, TimePoint now, const Draw &draw)
{
    forgetOld(model, now);
    const SequenceHandle handle = ++model.lastHandle;
    Sequence &sequence = model.sequences[handle];
    sequence.requestId = submission.requestId;
    sequence.blocks = prefixBlocks(submission.prompt);
    sequence.promptTokens = promptTokens(submission.prompt);
    sequence.priority = submission.priority;
    const std::int64_t natural = naturalLength(submission.requestId, model.options.longestAnswer);
    sequence.outputTokens = std::min(natural, submission.maxTokens);
    sequence.cut = submission.maxTokens < natural;
    const std::string &crashWord = model.options.crashWord;
    sequence.crashes = !crashWord.empty() && submission.prompt.find(crashWord) != std::string::npos;
    model.lastOfRequest[submission.requestId] = handle;
    enqueue(model, handle, now, draw);
    return handle;
}

void cancel(BatchModel &model, SequenceHandle handle, TimePoint now)
{
    const auto found = model.sequences.find(handle);
    if (found == model.sequences.end()) {
        return;
    }
    Sequence &sequence = found->second;
    if (sequence.state == SequenceState::Waiting) {
        model.waiting.erase({-sequence.priority, handle});
    } else if (sequence.state == SequenceState::Running) {
        model.running.erase(std::remove(model.running.begin(), model.running.end(), handle), model.running.end());
    } else {
        return;
    }
    sequence.state = SequenceState::Cancelled;
    ++model.executions[sequence.requestId].cancelled;
    model.ended.emplace_back(now, handle);
    sampleLoad(model, now);
}

std::optional<SequenceHandle> resume(
    BatchModel &model, const std::string &requestId, std::int64_t fromToken, TimePoint now, const Draw &draw)
{
    forgetOld(model, now);
    const auto found = model.lastOfRequest.find(requestId);
    if (found == model.lastOfRequest.end()) {
        return std::nullopt;
    }
    const Sequence &sequence = model.sequences.at(found->second);
    if (fromToken < 0 || fromToken > sequence.generated) {
        return std::nullopt;
    }
    ++model.executions[requestId].resumed;
    if (sequence.state == SequenceState::Cancelled) {
        enqueue(model, found->second, now, draw);
    }
    return found->second;
}

std::optional<TimePoint> nextStep(const BatchModel &model)
{
    return model.stepEnds;
}

std::vector<Emission> advance(BatchModel &model, TimePoint now, const Draw &draw)
{
    std::vector<Emission> emissions;
    while (model.stepEnds && *model.stepEnds <= now) {
        const TimePoint ended = *model.stepEnds;
        finishStep(model, ended, emissions);
        startStep(model, ended, draw);
    }
    return emissions;
}

LoadSample reportedLoad(BatchModel &model, TimePoint now)
{
    LoadSample reported;
    reported.taken = now - model.options.reportLag;
    for (const auto &sample : model.samples) {
        if (sample.taken + model.options.reportLag > now) {
            break;
        }
        reported = sample;
    }
    // The load has been the same since the sample, so the report is as young as the lag allows.
    reported.taken = now - model.options.reportLag;
    return reported;
}

} // namespace Godwit::Standins
