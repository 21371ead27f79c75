#pragma once

// Time as the decisions see it.
//
// Decisions never read a clock: the caller passes `now`, taken from the host's monotonic clock or from a
// simulation. Two hosts' TimePoints can't be compared; only WallTime travels between processes.

#include <chrono>
#include <cstdint>

namespace Godwit
{

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Milliseconds since the Unix epoch, for values that leave the process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Returns `duration` in seconds.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Godwit
