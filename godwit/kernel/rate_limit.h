#pragma once

// A token bucket on passed-in time.
//
// Example:
//   RateLimit limit;
//   if (auto wait = takeOne(limit, {5.0, 10.0}, now)) { refuse(*wait); }

#include "godwit/base/time.h"

#include <algorithm>
#include <optional>

namespace Godwit
{

struct RateRule
{
    double perSecond = 0; // 0: no limit.
    double burst = 0; // How many may come at once; at least 1 counts.
};

struct RateLimit
{
    double saved = 0;
    TimePoint at{};
    bool started = false;
};

// Takes one, or returns after which time one will be there.
inline std::optional<Duration> takeOne(RateLimit &limit, const RateRule &rule, TimePoint now)
{
    if (rule.perSecond <= 0) {
        return std::nullopt;
    }
    const double most = std::max(1.0, rule.burst);
    limit.saved = limit.started ? std::min(most, limit.saved + toSeconds(now - limit.at) * rule.perSecond) : most;
    limit.started = true;
    limit.at = now;
    if (limit.saved >= 1) {
        limit.saved -= 1;
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1 - limit.saved) / rule.perSecond));
}

} // namespace Godwit
