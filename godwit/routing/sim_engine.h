#pragma once

// A simulated model engine for tests and benchmarks: a batch of bounded size, sequential prompt processing, a prefix
// cache of bounded size, load reports and cache events. Runs in simulated time; not part of the product.
//
// Example:
//   Engine engine(clock, options, notify);
//   engine.submit(job);
//   // notify(EngineEvent::FirstToken, job), later notify(EngineEvent::Completed, job)

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

// Simulated clock that runs scheduled steps in order of time.
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
    // Crashes the engine this long after its prompt processing has begun; zero for harmless requests.
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
    // Seconds per output token: a base, plus a part for each request in the batch.
    double tokenSeconds = 0.020;
    double tokenSecondsPerRequest = 0.0005;
    // Factor on the time of all work.
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
    // Fails all jobs. The engine restarts empty after EngineOptions::restartAfter.
    void crash();

    LoadReport load() const;
    // Returns the cache events since the last call.
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
    // Incremented by a crash, so that steps scheduled before it have no effect.
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
