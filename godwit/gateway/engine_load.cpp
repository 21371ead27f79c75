#include "godwit/gateway/engine_load.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// Prompts shorter than this tell little of the speed: most of their time is the way there and back.
constexpr Tokens MinInformativeTokens = 500;
// The estimate follows quicker engines at once and drifts towards slower ones: waits that this router doesn't know of
// make most observations too long, so the quick ones are the true ones.
constexpr double FasterWeight = 0.3;
constexpr double DriftPerPrefill = 1.003;
// Weight of the newest read in an engine's slowness, and the most that one read may say.
constexpr double SlowdownWeight = 0.1;
constexpr double MaxSlowdown = 8;
// Shorter expectations than this are lost in the noise of the network.
constexpr Duration MinExpectedTime = std::chrono::milliseconds(10);
// A first event may be so late without a sign that the engine is behind.
constexpr Duration LatenessTolerance = std::chrono::milliseconds(30);

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

Duration fromMilliseconds(double milliseconds)
{
    return Duration(static_cast<Duration::rep>(milliseconds * 1000));
}

// What was heard of others' sends is taken to be read when its time is over.
void dropFinishedRemotePrefills(EngineLoad &load, TimePoint now)
{
    if (now < load.busyUntil) {
        return;
    }
    load.pending.erase(std::remove_if(load.pending.begin(),
                                      load.pending.end(),
                                      [](const PendingPrefill &prefill) {
                                          return prefill.id == 0;
                                      }),
                       load.pending.end());
}

void append(EngineLoad &load, const PrefillSpeed &speed, PrefillId id, Tokens tokens, TimePoint now)
{
    dropFinishedRemotePrefills(load, now);
    PendingPrefill prefill;
    prefill.id = id;
    prefill.tokens = tokens;
    prefill.sentAt = now;
    prefill.queuedBehindOthers = load.busyUntil > now || !load.pending.empty();
    load.busyUntil = std::max(load.busyUntil, now) + prefillTime(load, speed, tokens);
    prefill.expectedAt = load.busyUntil;
    load.pending.push_back(prefill);
}

std::deque<PendingPrefill>::iterator find(EngineLoad &load, PrefillId id)
{
    return std::find_if(load.pending.begin(), load.pending.end(), [id](const PendingPrefill &prefill) {
        return prefill.id == id;
    });
}

void learnSpeed(PrefillSpeed &speed, const PendingPrefill &prefill, Duration took)
{
    if (prefill.queuedBehindOthers || prefill.tokens < MinInformativeTokens) {
        return;
    }
    const double observed = milliseconds(took) / static_cast<double>(prefill.tokens);
    double &known = speed.millisecondsPerToken;
    if (known <= 0) {
        known = observed;
    } else if (observed < known) {
        known += FasterWeight * (observed - known);
    } else {
        known = std::min(observed, known * DriftPerPrefill);
    }
}

void learnSlowdown(EngineLoad &load, const PendingPrefill &prefill, Duration took)
{
    const Duration expected = prefill.expectedAt - prefill.sentAt;
    if (expected < MinExpectedTime) {
        return;
    }
    // What was expected reckoned with the slowness known so far.
    const double observed = load.slowdown * milliseconds(took) / milliseconds(expected);
    load.slowdown += SlowdownWeight * (std::min(observed, MaxSlowdown) - load.slowdown);
    load.slowdown = std::max(load.slowdown, 1.0);
}

} // namespace

Duration queueDelay(const EngineLoad &load, TimePoint now)
{
    Duration wait = std::max<Duration>(load.busyUntil - now, Duration::zero());
    for (const PendingPrefill &prefill : load.pending) {
        if (prefill.id != 0) {
            // An event that is overdue says that the engine is behind, at least by so much.
            return wait + std::max<Duration>(now - prefill.expectedAt - LatenessTolerance, Duration::zero());
        }
    }
    return wait;
}

Duration prefillTime(const EngineLoad &load, const PrefillSpeed &speed, Tokens tokens)
{
    return fromMilliseconds(static_cast<double>(tokens) * speed.millisecondsPerToken * load.slowdown);
}

void beginPrefill(EngineLoad &load, const PrefillSpeed &speed, PrefillId id, Tokens tokens, TimePoint now)
{
    append(load, speed, id, tokens, now);
}

void recordRemotePrefill(EngineLoad &load, const PrefillSpeed &speed, Tokens tokens, TimePoint now)
{
    append(load, speed, 0, tokens, now);
}

void finishPrefill(EngineLoad &load, PrefillSpeed &speed, PrefillId id, TimePoint now)
{
    const auto found = find(load, id);
    if (found == load.pending.end()) {
        return;
    }
    const PendingPrefill prefill = *found;
    const Duration took = now - prefill.sentAt;
    learnSpeed(speed, prefill, took);
    learnSlowdown(load, prefill, took);
    load.pending.erase(load.pending.begin(), std::next(found));
    load.busyUntil = now;
    for (const PendingPrefill &later : load.pending) {
        load.busyUntil += prefillTime(load, speed, later.tokens);
    }
}

void cancelPrefill(EngineLoad &load, const PrefillSpeed &speed, PrefillId id, TimePoint now)
{
    const auto found = find(load, id);
    if (found == load.pending.end()) {
        return;
    }
    load.busyUntil = std::max(now, load.busyUntil - prefillTime(load, speed, found->tokens));
    load.pending.erase(found);
}

} // namespace Godwit
