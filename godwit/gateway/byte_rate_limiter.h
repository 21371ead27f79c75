#pragma once

// Limits the rate at which a host sends one kind of message, so that its link has room for urgent traffic.
//
// A leaky bucket. Pure functions. Example:
//   ByteRateLimiter limiter;
//   if (tryTakeBytes(limiter, {bytesPerSecond(linkMbps) / 2}, message.size(), now)) { send(message); }

#include "godwit/base/time.h"

#include <algorithm>
#include <cstddef>

namespace Godwit
{

struct ByteRateLimit
{
    double perSecond = 0; // Bytes.
    // Bytes that may be sent at once, regardless of the rate.
    double burst = 256.0 * 1024;
};

struct ByteRateLimiter
{
    double backlog = 0; // Bytes sent in excess of the rate.
    TimePoint updatedAt; // When `backlog` was last computed.
};

inline double bytesPerSecond(double linkMbps)
{
    constexpr double perMegabit = 125'000;
    return linkMbps * perMegabit;
}

// Returns whether a message may be sent now, and counts it if so. A message of any size is admitted once the backlog of
// the earlier ones is within the burst.
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
