#include "godwit/gateway/engine_load.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// Prompts shorter than this tell little of the speed: most of their time is the way there and back.
constexpr Tokens LeastTelling = 500;
// The estimate follows quicker engines at once and drifts towards slower ones: waits that this router doesn't know of
// make most observations too long, so the quick ones are the true ones.
constexpr double QuickerWeight = 0.3;
constexpr double DriftPerRead = 1.003;
// Weight of the newest read in an engine's slowness, and the most that one read may say.
constexpr double SlownessWeight = 0.1;
constexpr double MostSlowness = 8;
// Shorter expectations than this are lost in the noise of the network.
constexpr Duration LeastExpected = std::chrono::milliseconds(10);
// A first event may be so late without a sign that the engine is behind.
constexpr Duration Punctual = std::chrono::milliseconds(30);

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

Duration fromMilliseconds(double milliseconds)
{
    return Duration(static_cast<Duration::rep>(milliseconds * 1000));
}

// What was heard of others' sends is taken to be read when its time is over.
void forgetRead(EngineLoad &load, TimePoint now)
{
    if (now < load.readsUntil) {
        return;
    }
    load.reads.erase(std::remove_if(load.reads.begin(),
                                    load.reads.end(),
                                    [](const PendingRead &read) {
                                        return read.id == 0;
                                    }),
                     load.reads.end());
}

void append(EngineLoad &load, const EngineSpeed &speed, ReadId id, Tokens tokens, TimePoint now)
{
    forgetRead(load, now);
    PendingRead read;
    read.id = id;
    read.tokens = tokens;
    read.sentAt = now;
    read.behindOthers = load.readsUntil > now || !load.reads.empty();
    load.readsUntil = std::max(load.readsUntil, now) + readingTime(load, speed, tokens);
    read.expectedAt = load.readsUntil;
    load.reads.push_back(read);
}

std::deque<PendingRead>::iterator find(EngineLoad &load, ReadId id)
{
    return std::find_if(load.reads.begin(), load.reads.end(), [id](const PendingRead &read) {
        return read.id == id;
    });
}

void learnSpeed(EngineSpeed &speed, const PendingRead &read, Duration took)
{
    if (read.behindOthers || read.tokens < LeastTelling) {
        return;
    }
    const double observed = milliseconds(took) / static_cast<double>(read.tokens);
    double &known = speed.millisecondsPerToken;
    if (known <= 0) {
        known = observed;
    } else if (observed < known) {
        known += QuickerWeight * (observed - known);
    } else {
        known = std::min(observed, known * DriftPerRead);
    }
}

void learnSlowness(EngineLoad &load, const PendingRead &read, Duration took)
{
    const Duration expected = read.expectedAt - read.sentAt;
    if (expected < LeastExpected) {
        return;
    }
    // What was expected reckoned with the slowness known so far.
    const double observed = load.slowness * milliseconds(took) / milliseconds(expected);
    load.slowness += SlownessWeight * (std::min(observed, MostSlowness) - load.slowness);
    load.slowness = std::max(load.slowness, 1.0);
}

} // namespace

Duration waitOf(const EngineLoad &load, TimePoint now)
{
    Duration wait = std::max<Duration>(load.readsUntil - now, Duration::zero());
    for (const PendingRead &read : load.reads) {
        if (read.id != 0) {
            // An event that is overdue says that the engine is behind, at least by so much.
            return wait + std::max<Duration>(now - read.expectedAt - Punctual, Duration::zero());
        }
    }
    return wait;
}

Duration readingTime(const EngineLoad &load, const EngineSpeed &speed, Tokens tokens)
{
    return fromMilliseconds(static_cast<double>(tokens) * speed.millisecondsPerToken * load.slowness);
}

void beginRead(EngineLoad &load, const EngineSpeed &speed, ReadId id, Tokens tokens, TimePoint now)
{
    append(load, speed, id, tokens, now);
}

void noteReadElsewhere(EngineLoad &load, const EngineSpeed &speed, Tokens tokens, TimePoint now)
{
    append(load, speed, 0, tokens, now);
}

void endRead(EngineLoad &load, EngineSpeed &speed, ReadId id, TimePoint now)
{
    const auto found = find(load, id);
    if (found == load.reads.end()) {
        return;
    }
    const PendingRead read = *found;
    const Duration took = now - read.sentAt;
    learnSpeed(speed, read, took);
    learnSlowness(load, read, took);
    load.reads.erase(load.reads.begin(), std::next(found));
    load.readsUntil = now;
    for (const PendingRead &later : load.reads) {
        load.readsUntil += readingTime(load, speed, later.tokens);
    }
}

void dropRead(EngineLoad &load, const EngineSpeed &speed, ReadId id, TimePoint now)
{
    const auto found = find(load, id);
    if (found == load.reads.end()) {
        return;
    }
    load.readsUntil = std::max(now, load.readsUntil - readingTime(load, speed, found->tokens));
    load.reads.erase(found);
}

} // namespace Godwit
