#include "godwit/gateway/engine_load.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// The time of shorter prompts is dominated by the network round trip and says little about the speed.
constexpr Tokens MinInformativeTokens = 500;
// The estimate adapts to faster observations quickly and drifts slowly towards slower ones. Queueing that this router
// does not know of lengthens most observations, so the fast ones are the accurate ones.
constexpr double FasterWeight = 0.3;
constexpr double DriftPerPrefill = 1.003;
// Weight of the newest prefill in the slowdown of an engine, and the upper bound for one observation.
constexpr double SlowdownWeight = 0.1;
constexpr double MaxSlowdown = 8;
// Shorter expected times are within the noise of the network.
constexpr Duration MinExpectedTime = std::chrono::milliseconds(10);
// Delay of a first event that does not yet indicate that the engine is behind.
constexpr Duration LatenessTolerance = std::chrono::milliseconds(30);
// Prompts ahead of another are assumed to take this multiple of their expected time at the engine's rate: it may be
// slow at the moment, and short prompts of other routers are not announced. With 1, prompts gather at engines that are
// slow for some tenths of a second.
constexpr double QueueMargin = 2;

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

Duration fromMilliseconds(double milliseconds)
{
    return Duration(static_cast<Duration::rep>(milliseconds * 1000));
}

bool hasRate(const EngineLoad &load)
{
    return load.rate.millisecondsPerToken > 0;
}

Duration timeWithoutRate(const EngineLoad &load, const PrefillSpeed &speed, Tokens tokens)
{
    return fromMilliseconds(static_cast<double>(tokens) * speed.millisecondsPerToken * load.slowdown);
}

Duration timeAtRate(const EngineLoad &load, Tokens tokens)
{
    return fromMilliseconds(static_cast<double>(tokens) * load.rate.millisecondsPerToken);
}

// Time that a prompt is assumed to delay the next ones.
Duration queuedTimeAtRate(const EngineLoad &load, Tokens tokens)
{
    return fromMilliseconds(static_cast<double>(tokens) * load.rate.millisecondsPerToken * QueueMargin);
}

bool hasOwnPending(const EngineLoad &load)
{
    return std::any_of(load.pending.begin(), load.pending.end(), [](const PendingPrefill &prefill) {
        return prefill.id != 0;
    });
}

// Prompts announced by other routers are assumed to be finished at their expected time.
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
    // As long as the rate is unknown, only this router's own prompts show that the engine is busy.
    prefill.rateKnown = hasRate(load);
    prefill.queuedAtRate = hasRate(load) ? load.busyUntilAtRate > now : hasOwnPending(load);
    load.busyUntil = std::max(load.busyUntil, now) + timeWithoutRate(load, speed, tokens);
    prefill.expectedAt = load.busyUntil;
    const TimePoint startsAt = std::max(load.busyUntilAtRate, now);
    prefill.expectedAtRate = startsAt + timeAtRate(load, tokens) + fromMilliseconds(load.rate.fixedMilliseconds);
    load.busyUntilAtRate = startsAt + queuedTimeAtRate(load, tokens);
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
    // The expected time already includes the current slowdown.
    const double observed = load.slowdown * milliseconds(took) / milliseconds(expected);
    load.slowdown += SlowdownWeight * (std::min(observed, MaxSlowdown) - load.slowdown);
    load.slowdown = std::max(load.slowdown, 1.0);
}

} // namespace

Duration queueDelay(const EngineLoad &load, TimePoint now)
{
    Duration wait = std::max<Duration>((load.usesRate ? load.busyUntilAtRate : load.busyUntil) - now, Duration::zero());
    for (const PendingPrefill &prefill : load.pending) {
        if (prefill.id != 0) {
            // An overdue event shows that the engine is behind by at least this much.
            const TimePoint expectedAt = load.usesRate ? prefill.expectedAtRate : prefill.expectedAt;
            return wait + std::max<Duration>(now - expectedAt - LatenessTolerance, Duration::zero());
        }
    }
    return wait;
}

Duration timeOfNewPrompt(const EngineLoad &load, const PrefillSpeed &speed, Tokens tokens)
{
    if (!load.usesRate) {
        return timeWithoutRate(load, speed, tokens);
    }
    const double expected = load.rate.fixedMilliseconds + static_cast<double>(tokens) * load.rate.millisecondsPerToken;
    return fromMilliseconds(expected * load.rate.discount);
}

Duration prefillTime(const EngineLoad &load, const PrefillSpeed &speed, Tokens tokens)
{
    return load.usesRate ? timeAtRate(load, tokens) : timeWithoutRate(load, speed, tokens);
}

void beginPrefill(EngineLoad &load, const PrefillSpeed &speed, PrefillId id, Tokens tokens, TimePoint now)
{
    append(load, speed, id, tokens, now);
}

void recordRemotePrefill(EngineLoad &load, const PrefillSpeed &speed, Tokens tokens, TimePoint now)
{
    append(load, speed, 0, tokens, now);
}

std::optional<FinishedPrefill> finishPrefill(EngineLoad &load, PrefillSpeed &speed, PrefillId id, TimePoint now)
{
    const auto found = find(load, id);
    if (found == load.pending.end()) {
        return std::nullopt;
    }
    const PendingPrefill prefill = *found;
    const Duration took = now - prefill.sentAt;
    learnSpeed(speed, prefill, took);
    learnSlowdown(load, prefill, took);
    load.pending.erase(load.pending.begin(), std::next(found));
    load.busyUntil = now;
    load.busyUntilAtRate = now - fromMilliseconds(load.rate.fixedMilliseconds);
    for (const PendingPrefill &later : load.pending) {
        load.busyUntil += timeWithoutRate(load, speed, later.tokens);
        load.busyUntilAtRate = std::max(load.busyUntilAtRate, later.sentAt) + queuedTimeAtRate(load, later.tokens);
    }
    return FinishedPrefill{prefill.tokens, took, prefill.queuedAtRate, prefill.rateKnown};
}

void cancelPrefill(EngineLoad &load, const PrefillSpeed &speed, PrefillId id, TimePoint now)
{
    const auto found = find(load, id);
    if (found == load.pending.end()) {
        return;
    }
    load.busyUntil = std::max(now, load.busyUntil - timeWithoutRate(load, speed, found->tokens));
    load.busyUntilAtRate = std::max(now, load.busyUntilAtRate - queuedTimeAtRate(load, found->tokens));
    load.pending.erase(found);
}

} // namespace Godwit
