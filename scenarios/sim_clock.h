#pragma once

// Simulated time: a queue of events and a seeded generator. Equal seeds give equal runs.

#include "godwit/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace Godwit::Scenarios
{

class SimClock
{
public:
    using Event = std::function<void()>;

    explicit SimClock(std::uint64_t seed)
        : m_random(seed * 2862933555777941757ULL + 3037000493ULL)
    {
    }

    TimePoint now() const
    {
        return m_now;
    }

    WallTime wall(Duration ahead = {}) const
    {
        // 2026-12-02, so that ages and expiry dates mean something.
        constexpr auto begin = std::chrono::hours(498'960);
        return WallTime(
            std::chrono::duration_cast<std::chrono::milliseconds>(begin + m_now.time_since_epoch() + ahead));
    }

    void at(Duration delay, Event event)
    {
        m_events.emplace(m_now + std::max(delay, Duration(0)), std::move(event));
    }

    // Runs what is due until `length` from now. Returns false when events at one moment never end.
    bool runFor(Duration length)
    {
        constexpr unsigned mostAtOnce = 200'000;
        const TimePoint end = m_now + length;
        unsigned atOnce = 0;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto next = m_events.begin();
            atOnce = next->first == m_now ? atOnce + 1 : 0;
            if (atOnce > mostAtOnce) {
                return false;
            }
            m_now = next->first;
            const Event event = std::move(next->second);
            m_events.erase(next);
            event();
        }
        m_now = end;
        return true;
    }

    // A number below `bound`.
    std::uint64_t random(std::uint64_t bound)
    {
        m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
        return (m_random >> 33U) % bound;
    }

private:
    TimePoint m_now{};
    std::multimap<TimePoint, Event> m_events;
    std::uint64_t m_random;
};

} // namespace Godwit::Scenarios
