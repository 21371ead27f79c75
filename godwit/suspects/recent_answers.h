#pragma once

// Which requests were lately answered whole. A request that has just been answered did not crash an endpoint, however
// many endpoints die under it in the next moments; one that many send would else be condemned with them.
//
// Example:
//   noteAnswer(answers, fingerprint, now);
//   if (!wasAnsweredSince(answers, fingerprint, death - grace)) { ...it may be to blame... }

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
