#include "godwit/suspects/recent_answers.h"

namespace Godwit
{

void noteAnswer(RecentAnswers &answers, std::uint64_t fingerprint, TimePoint now)
{
    answers.lastOf[fingerprint] = now;
    answers.byTime.emplace_back(now, fingerprint);
    while (answers.byTime.size() > answers.maxAnswers || answers.byTime.front().first + answers.kept < now) {
        const auto [at, oldest] = answers.byTime.front();
        answers.byTime.pop_front();
        const auto found = answers.lastOf.find(oldest);
        if (found != answers.lastOf.end() && found->second == at) {
            answers.lastOf.erase(found);
        }
    }
}

bool wasAnsweredSince(const RecentAnswers &answers, std::uint64_t fingerprint, TimePoint since)
{
    const auto found = answers.lastOf.find(fingerprint);
    return found != answers.lastOf.end() && found->second >= since;
}

} // namespace Godwit
