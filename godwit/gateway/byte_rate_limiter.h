#pragma once

// Bounds what a host sends of one kind, so that its link stays free for what can't wait.
//
// Pure. Example:
//   ByteRateLimiter allowance;
//   if (tryTakeBytes(allowance, {bytesPerSecond(linkMbps) / 2}, message.size(), now)) { send(message); }

#include "godwit/base/time.h"

#include <algorithm>
#include <cstddef>

namespace Godwit
{

struct ByteRateLimit
{
    double perSecond = 0;
    // Sent at once, however low the rate.
    double burst = 256.0 * 1024;
};

struct ByteRateLimiter
{
    double backlog = 0; // Bytes sent ahead of the rate.
    TimePoint updatedAt; // When `owed` was last brought up to date.
};

inline double bytesPerSecond(double linkMbps)
{
    constexpr double perMegabit = 125'000;
    return linkMbps * perMegabit;
}

// Whether a message may be sent now; counts it if so. A message of any size goes once the earlier ones are within the
// burst.
inline bool tryTakeBytes(ByteRateLimiter &limiter, const ByteRateLimit &rate, std::size_t bytes, TimePoint now)
{
    const double drained = rate.perSecond * std::max(0.0, toSeconds(now - limiter.updatedAt));
    limiter.backlog = std::max(0.0, limiter.backlog - drained);
    limiter.updatedAt = now;
    if (limiter.backlog > rate.burst) {
        return false;
    }
    limiter.backlog += static_cast<double>(bytes);
    return true;
}

} // namespace Godwit
