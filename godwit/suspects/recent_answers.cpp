#include "godwit/suspects/recent_answers.h"

namespace Godwit
{

void recordAnswer(RecentAnswers &answers, std::uint64_t fingerprint, TimePoint now)
{
    answers.lastAnswerTimes[fingerprint] = now;
    answers.byTime.emplace_back(now, fingerprint);
    while (answers.byTime.size() > answers.maxAnswers || answers.byTime.front().first + answers.retention < now) {
        const auto [at, oldest] = answers.byTime.front();
        answers.byTime.pop_front();
        const auto found = answers.lastAnswerTimes.find(oldest);
        if (found != answers.lastAnswerTimes.end() && found->second == at) {
            answers.lastAnswerTimes.erase(found);
        }
    }
}

bool wasAnsweredSince(const RecentAnswers &answers, std::uint64_t fingerprint, TimePoint since)
{
    const auto found = answers.lastAnswerTimes.find(fingerprint);
    return found != answers.lastAnswerTimes.end() && found->second >= since;
}

} // namespace Godwit
