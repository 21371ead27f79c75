#pragma once

// Bounds what a host sends of one kind, so that its link stays free for what can't wait.
//
// Pure. Example:
//   ByteAllowance allowance;
//   if (takeBytes(allowance, {bytesPerSecond(linkMbps) / 2}, message.size(), now)) { send(message); }

#include "godwit/base/time.h"

#include <algorithm>
#include <cstddef>

namespace Godwit
{

struct ByteRate
{
    double perSecond = 0;
    // Sent at once, however low the rate.
    double burst = 256.0 * 1024;
};

struct ByteAllowance
{
    double owed = 0; // Bytes sent ahead of the rate.
    TimePoint at; // When `owed` was last brought up to date.
};

inline double bytesPerSecond(double linkMbps)
{
    constexpr double perMegabit = 125'000;
    return linkMbps * perMegabit;
}

// Whether a message may be sent now; counts it if so. A message of any size goes once the earlier ones are within the
// burst.
inline bool takeBytes(ByteAllowance &allowance, const ByteRate &rate, std::size_t bytes, TimePoint now)
{
    const double paid = rate.perSecond * std::max(0.0, toSeconds(now - allowance.at));
    allowance.owed = std::max(0.0, allowance.owed - paid);
    allowance.at = now;
    if (allowance.owed > rate.burst) {
        return false;
    }
    allowance.owed += static_cast<double>(bytes);
    return true;
}

} // namespace Godwit
