#pragma once

// Estimates the prefill backlog of a model engine as time, and the prefill speed of the engines of a service.
//
// An engine prefills prompts sequentially, so a short prompt behind one of 50,000 tokens waits a second for its first
// event while the next engine is idle. The number of requests does not reveal this; the number of queued tokens does. A
// router knows its own prompts and their first events, and the other routers announce their long prompts to it. Speeds
// are learned from first events; nothing is configured per engine.
//
// Pure functions: time is passed in.
//
// Example:
//   beginPrefill(load, speed, id, 6000, now);
//   const Duration wait = queueDelay(load, now);  // For the next prompt.
//   finishPrefill(load, speed, id, now);            // The first event has arrived.

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Godwit
{

// Identifies a prompt sent by this router; 0 for prompts of other routers.
using PrefillId = std::uint64_t;

// Prefill speed of the engines of one service, learned from the fastest of them.
struct PrefillSpeed
{
    double millisecondsPerToken = 0; // 0: unknown.
};

// Expected times at one engine, from endpoint_speed.h.
struct EngineRate
{
    double fixedMilliseconds = 0; // From the end of the prefill to the first event.
    double millisecondsPerToken = 0; // 0: unknown.
    // Ratio of the times to count for a new prompt to the above.
    double discount = 1;
};

struct PendingPrefill
{
    PrefillId id = 0;
    Tokens tokens = 0;
    TimePoint sentAt;
    TimePoint expectedAt; // Expected time of the first event.
    bool queuedBehindOthers = false; // Was queued behind other prompts, so that its duration does not reveal the speed.
    // Likewise, estimated with EngineLoad::rate.
    TimePoint expectedAtRate;
    bool queuedAtRate = false;
    bool rateKnown = false; // Whether the engine's rate was known when it was sent.
};

struct EngineLoad
{
    std::deque<PendingPrefill> pending; // Ordered by send time.
    TimePoint busyUntil; // When all pending prefills are expected to be finished.
    double slowdown = 1; // Ratio of actual to expected time of this engine, as a moving average; at least 1.
    EngineRate rate;
    TimePoint busyUntilAtRate; // Like `busyUntil`, estimated with `rate`.
    bool usesRate = false; // Whether `rate` replaces the estimates from PrefillSpeed and `slowdown`.
};

// A prompt whose first event has arrived.
struct FinishedPrefill
{
    Tokens tokens = 0;
    Duration took{};
    bool queuedBehindOthers = false; // According to the rate of the engine.
    bool rateKnown = false; // Otherwise `queuedBehindOthers` disregards prompts of other routers.
};

// Returns how long a prompt sent now would wait until the engine starts its prefill.
Duration queueDelay(const EngineLoad &load, TimePoint now);

// Returns the time from the start of a prefill to its first event, as far as it is known.
Duration timeOfNewPrompt(const EngineLoad &load, const PrefillSpeed &speed, Tokens tokens);

// Returns how long the engine takes to prefill `tokens`.
Duration prefillTime(const EngineLoad &load, const PrefillSpeed &speed, Tokens tokens);

void beginPrefill(EngineLoad &load, const PrefillSpeed &speed, PrefillId id, Tokens tokens, TimePoint now);

// Records a prompt that another router has sent to the engine.
void recordRemotePrefill(EngineLoad &load, const PrefillSpeed &speed, Tokens tokens, TimePoint now);

// Call when the first event of a prompt arrives: the engine has finished it and all prompts before it. Updates the
// learned speeds. Unset if the prompt is not pending.
std::optional<FinishedPrefill> finishPrefill(EngineLoad &load, PrefillSpeed &speed, PrefillId id, TimePoint now);

// Call when an attempt has ended without an event.
void cancelPrefill(EngineLoad &load, const PrefillSpeed &speed, PrefillId id, TimePoint now);

} // namespace Godwit
