#pragma once

// Requests that were recently answered completely. A request that has just been answered is not suspected for endpoints
// that die in the next moments; otherwise a request that many callers send would be convicted of crashes caused by
// others.
//
// Example:
//   recordAnswer(answers, fingerprint, now);
//   if (!wasAnsweredSince(answers, fingerprint, diedAt - grace)) { ...suspect the request... }

#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace Godwit
{

struct RecentAnswers
{
    Duration retention = std::chrono::seconds(5);
    std::size_t maxAnswers = 8192;
    std::unordered_map<std::uint64_t, TimePoint> lastAnswerTimes;
    std::deque<std::pair<TimePoint, std::uint64_t>> byTime;
};

void recordAnswer(RecentAnswers &answers, std::uint64_t fingerprint, TimePoint now);

bool wasAnsweredSince(const RecentAnswers &answers, std::uint64_t fingerprint, TimePoint since);

} // namespace Godwit
