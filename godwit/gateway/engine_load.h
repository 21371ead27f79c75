#pragma once

// What a model engine has still to read, as time, and how fast engines of a service read.
//
// An engine reads prompts one after the other, so a short prompt behind one of 50,000 tokens waits a second for its
// first event while the engine next to it is idle. Counting requests doesn't show that; counting unread tokens does.
// This router knows its own sends and their first events, and hears from the other routers of their long prompts.
// What an engine can do is learnt from first events: nothing here is configured for one.
//
// Pure: time is passed in.
//
// Example:
//   beginPrefill(load, speed, id, 6000, now);
//   const Duration wait = queueDelay(load, now);  // For whoever comes next.
//   finishPrefill(load, speed, id, now);            // Its first event has come.

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <deque>

namespace Godwit
{

// Names one send of this router; 0 stands for sends of other routers.
using PrefillId = std::uint64_t;

// How fast the engines of one service read, learnt from the quick ones among them.
struct PrefillSpeed
{
    double millisecondsPerToken = 0; // 0: nothing has been learnt yet.
};

struct PendingPrefill
{
    PrefillId id = 0;
    Tokens tokens = 0;
    TimePoint sentAt;
    TimePoint expectedAt; // When its first event should come.
    bool queuedBehindOthers = false; // Other prompts were before it, so that its time tells no speed.
};

struct EngineLoad
{
    std::deque<PendingPrefill> pending; // In the order of sending.
    TimePoint busyUntil; // When all of them should have been read.
    double slowdown = 1; // How much longer this engine takes than expected, as an average of late.
};

// How long a prompt that is sent now waits until the engine begins to read it.
Duration queueDelay(const EngineLoad &load, TimePoint now);

// How long the engine takes to read so much.
Duration prefillTime(const EngineLoad &load, const PrefillSpeed &speed, Tokens tokens);

void beginPrefill(EngineLoad &load, const PrefillSpeed &speed, PrefillId id, Tokens tokens, TimePoint now);

// Another router has sent a prompt there.
void recordRemotePrefill(EngineLoad &load, const PrefillSpeed &speed, Tokens tokens, TimePoint now);

// The first event of a send has come: it and all before it have been read. Learns from how long it took.
void finishPrefill(EngineLoad &load, PrefillSpeed &speed, PrefillId id, TimePoint now);

// The send has ended without an event.
void cancelPrefill(EngineLoad &load, const PrefillSpeed &speed, PrefillId id, TimePoint now);

} // namespace Godwit
