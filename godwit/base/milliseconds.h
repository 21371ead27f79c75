#pragma once

// Example:
//   {"after_ms", toMilliseconds(now - arrived)}

#include "godwit/base/time.h"

#include <cstdint>

namespace Godwit
{

// Whole milliseconds; what is left over is cut off.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace Godwit
