#include "godwit/routing/sim_engine.h"

#include <algorithm>
#include <utility>

namespace Godwit::Sim
{
namespace
{

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

void Clock::after(Duration delay, std::function<void()> step)
{
    m_steps.emplace(now + delay, std::move(step));
}

void Clock::run(Duration time)
{
    const auto end = now + time;
    while (!m_steps.empty() && m_steps.begin()->first <= end) {
        const auto first = m_steps.begin();
        now = std::max(now, first->first);
        const auto step = std::move(first->second);
        m_steps.erase(first);
        step();
    }
    now = end;
}

Engine::Engine(Clock &clock, EngineOptions options, Notify notify)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_notify(std::move(notify))
{
}

void Engine::submit(const Job &job)
{
    if (!alive) {
        m_notify(EngineEvent::ConnectFailed, job);
        return;
    }
    promptTokensSeen += job.promptTokens;
    if (m_running.size() < static_cast<std::size_t>(m_options.slots)) {
        start(job);
    } else {
        m_queue.push_back(job);
    }
}

void Engine::cancel(std::uint64_t id)
{
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(), [&](const Job &job) {
        return job.id == id;
    });
    if (queued != m_queue.end()) {
        m_queue.erase(queued);
        return;
    }
    complete(id);
}

void Engine::start(Job job)
{
    const auto id = job.id;
    m_running[id] = std::move(job);
    m_prompts.push_back(id);
    if (!m_processing) {
        processNextPrompt();
    }
}

// Returns the prompt tokens that are not cached, and marks the cached blocks as used.
double Engine::processedPart(const Job &job)
{
    std::size_t held = 0;
    while (held < job.blocks.size()) {
        const auto block = m_cache.find(job.blocks[held]);
        if (block == m_cache.end()) {
            break;
        }
        m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, block->second);
        ++held;
    }
    return std::max(0.0, job.promptTokens - static_cast<double>(held) * m_options.tokensPerBlock);
}

void Engine::processNextPrompt()
{
    while (!m_prompts.empty() && m_running.count(m_prompts.front()) == 0) {
        m_prompts.pop_front();
    }
    m_processing = !m_prompts.empty();
    if (!m_processing) {
        return;
    }
    const auto id = m_prompts.front();
    m_prompts.pop_front();
    const auto &job = m_running.at(id);
    const auto generation = m_generation;
    if (job.crashAfter > Duration::zero()) {
        m_clock.after(job.crashAfter, [this, generation] {
            if (generation == m_generation) {
                crash();
            }
        });
    }
    const double tokens = processedPart(job);
    promptTokensProcessed += tokens;
    const double time = tokens / m_options.prefillTokensPerSecond * m_options.slowness;
    m_clock.after(seconds(time), [this, generation, id] {
        if (generation != m_generation) {
            return;
        }
        const auto found = m_running.find(id);
        if (found != m_running.end()) {
            const auto done = found->second;
            finishPrompt(done);
        }
        processNextPrompt();
    });
}

void Engine::finishPrompt(const Job &job)
{
    for (const auto block : job.blocks) {
        store(block);
    }
    const double tokenTime =
        m_options.tokenSeconds + m_options.tokenSecondsPerRequest * static_cast<double>(m_running.size());
    const auto generation = m_generation;
    const auto id = job.id;
    m_clock.after(seconds(tokenTime * job.outputTokens * m_options.slowness), [this, generation, id] {
        if (generation != m_generation || m_running.count(id) == 0) {
            return;
        }
        const auto done = m_running.at(id);
        complete(id);
        m_notify(EngineEvent::Completed, done);
    });
    m_notify(EngineEvent::FirstToken, job);
}

void Engine::complete(std::uint64_t job)
{
    if (m_running.erase(job) == 0 || m_queue.empty()) {
        return;
    }
    auto next = std::move(m_queue.front());
    m_queue.pop_front();
    start(std::move(next));
}

void Engine::store(std::uint64_t block)
{
    const auto known = m_cache.find(block);
    if (known != m_cache.end()) {
        m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, known->second);
        return;
    }
    m_cacheOrder.push_front(block);
    m_cache[block] = m_cacheOrder.begin();
    m_events.push_back({CacheEventKind::Stored, block});
    if (m_cache.size() > m_options.cacheBlocks) {
        const auto oldest = m_cacheOrder.back();
        m_cacheOrder.pop_back();
        m_cache.erase(oldest);
        m_events.push_back({CacheEventKind::Removed, oldest});
    }
}

void Engine::crash()
{
    ++crashes;
    ++m_generation;
    alive = false;
    std::vector<Job> lost(m_queue.begin(), m_queue.end());
    for (const auto &[id, job] : m_running) {
        lost.push_back(job);
    }
    std::sort(lost.begin(), lost.end(), [](const Job &a, const Job &b) {
        return a.id < b.id;
    });
    m_queue.clear();
    m_running.clear();
    m_prompts.clear();
    m_processing = false;
    m_cache.clear();
    m_cacheOrder.clear();
    m_events.clear();
    m_nextEvent = 0;
    m_clock.after(m_options.restartAfter, [this] {
        alive = true;
    });
    for (const auto &job : lost) {
        m_notify(EngineEvent::Crashed, job);
    }
}

LoadReport Engine::load() const
{
    LoadReport report;
    report.queued = static_cast<int>(m_queue.size());
    report.running = static_cast<int>(m_running.size());
    report.kvUsed = 0.9 * static_cast<double>(m_running.size()) / m_options.slots;
    return report;
}

CacheEventBatch Engine::takeEvents()
{
    CacheEventBatch batch;
    batch.epoch = m_generation;
    batch.firstSequence = m_nextEvent;
    batch.events = std::move(m_events);
    m_events.clear();
    m_nextEvent += batch.events.size();
    return batch;
}

} // namespace Godwit::Sim
