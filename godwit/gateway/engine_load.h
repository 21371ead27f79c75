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
//   beginRead(load, speed, id, 6000, now);
//   const Duration wait = waitOf(load, now);  // For whoever comes next.
//   endRead(load, speed, id, now);            // Its first event has come.

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <deque>

namespace Godwit
{

// Names one send of this router; 0 stands for sends of other routers.
using ReadId = std::uint64_t;

// How fast the engines of one service read, learnt from the quick ones among them.
struct EngineSpeed
{
    double millisecondsPerToken = 0; // 0: nothing has been learnt yet.
};

struct PendingRead
{
    ReadId id = 0;
    Tokens tokens = 0;
    TimePoint sentAt;
    TimePoint expectedAt; // When its first event should come.
    bool behindOthers = false; // Other prompts were before it, so that its time tells no speed.
};

struct EngineLoad
{
    std::deque<PendingRead> reads; // In the order of sending.
    TimePoint readsUntil; // When all of them should have been read.
    double slowness = 1; // How much longer this engine takes than expected, as an average of late.
};

// How long a prompt that is sent now waits until the engine begins to read it.
Duration waitOf(const EngineLoad &load, TimePoint now);

// How long the engine takes to read so much.
Duration readingTime(const EngineLoad &load, const EngineSpeed &speed, Tokens tokens);

void beginRead(EngineLoad &load, const EngineSpeed &speed, ReadId id, Tokens tokens, TimePoint now);

// Another router has sent a prompt there.
void noteReadElsewhere(EngineLoad &load, const EngineSpeed &speed, Tokens tokens, TimePoint now);

// The first event of a send has come: it and all before it have been read. Learns from how long it took.
void endRead(EngineLoad &load, EngineSpeed &speed, ReadId id, TimePoint now);

// The send has ended without an event.
void dropRead(EngineLoad &load, const EngineSpeed &speed, ReadId id, TimePoint now);

} // namespace Godwit
