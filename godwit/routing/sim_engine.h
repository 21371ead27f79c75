#pragma once

// A simulated model engine for tests and benchmarks: a batch of bounded size, prompts processed one after the other, a
// prefix cache of bounded size, late load reports and cache events. Simulated time; not part of the product.
//
// Example:
//   SimEngine engine(clock, options, notify);
//   engine.submit(job);
//   // notify(SimEngineEvent::FirstToken, job), later notify(SimEngineEvent::Completed, job)

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/routing/load_report.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace Godwit::Sim
{

// Steps of a simulation in the order of their time.
class Clock
{
public:
    TimePoint now = TimePoint(std::chrono::hours(1));

    void after(Duration delay, std::function<void()> step);
    void run(Duration time);

private:
    std::multimap<TimePoint, std::function<void()>> m_steps;
};

struct Job
{
    std::uint64_t id = 0;
    std::size_t router = 0;
    double promptTokens = 0;
    double outputTokens = 0;
    std::vector<std::uint64_t> blocks;
    // Crashes the engine so long after its prompt processing has begun; zero for harmless ones.
    Duration crashAfter{};
};

enum class EngineEvent {
    FirstToken,
    Completed,
    ConnectFailed,
    Crashed,
};

struct EngineOptions
{
    EndpointId id;
    int slots = 16;
    double prefillTokensPerSecond = 8000;
    // Time of one token for each running request: a base and a part for each request in the batch.
    double tokenSeconds = 0.020;
    double tokenSecondsPerRequest = 0.0005;
    // All work takes so many times longer.
    double slowness = 1;
    std::size_t cacheBlocks = 600;
    double tokensPerBlock = 64;
    Duration restartAfter = std::chrono::seconds(20);
};

class Engine
{
public:
    using Notify = std::function<void(EngineEvent, const Job &)>;

    Engine(Clock &clock, EngineOptions options, Notify notify);

    void submit(const Job &job);
    void cancel(std::uint64_t job);
    // All jobs fail; it comes back empty after EngineOptions::restartAfter.
    void crash();

    LoadReport load() const;
    // Cache events since the last call.
    CacheEventBatch takeEvents();

    bool alive = true;
    int crashes = 0;
    double promptTokensSeen = 0;
    double promptTokensProcessed = 0;

private:
    void start(Job job);
    void processNextPrompt();
    double processedPart(const Job &job);
    void finishPrompt(const Job &job);
    void complete(std::uint64_t job);
    void store(std::uint64_t block);

    Clock &m_clock;
    EngineOptions m_options;
    Notify m_notify;
    // Raised by a crash, so that steps planned before it do nothing.
    std::uint64_t m_generation = 1;
    std::deque<Job> m_queue;
    std::deque<std::uint64_t> m_prompts;
    std::unordered_map<std::uint64_t, Job> m_running;
    bool m_processing = false;
    std::list<std::uint64_t> m_cacheOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    std::vector<CacheEvent> m_events;
    std::uint64_t m_nextEvent = 0;
};

} // namespace Godwit::Sim
