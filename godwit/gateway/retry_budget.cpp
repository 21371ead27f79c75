#include "godwit/gateway/retry_budget.h"

#include "godwit/gateway/limit_shares.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

// The window is divided into this many slices. The array has spare ones, so that no slice is reused within the window.
constexpr std::int64_t SlicesInWindow = 14;

std::int64_t sliceNumber(const RetryBudgetOptions &options, TimePoint now)
{
    const auto length = std::max<std::int64_t>(1, options.window.count() / SlicesInWindow);
    return now.time_since_epoch().count() / length;
}

RetryBudget::Slice &currentSlice(RetryBudget &budget, std::int64_t number)
{
    auto &slice = budget.slices[static_cast<std::size_t>(number) % RetryBudget::Slices];
    if (slice.number != number) {
        slice = RetryBudget::Slice{number, 0, 0};
    }
    return slice;
}

} // namespace

int minShares(const RetryBudgetOptions &options)
{
    constexpr double minRetries = 2;
    const double perShare = options.usedSlackFraction * options.slack / LimitShareCount;
    return perShare > 0 ? std::clamp(static_cast<int>(std::ceil(minRetries / perShare)), 1, LimitShareCount) : 1;
}

void countRequest(RetryBudget &budget, const RetryBudgetOptions &options, TimePoint now)
{
    ++currentSlice(budget, sliceNumber(options, now)).requests;
}

RetryDecision checkRetry(const RetryBudget &budget,
                         const RetryBudgetOptions &options,
                         double slackFraction,
                         TimePoint now)
{
    const std::int64_t number = sliceNumber(options, now);
    RetryDecision decision;
    for (const auto &slice : budget.slices) {
        const std::int64_t age = number - slice.number;
        if (slice.number < 0 || age < 0 || age > SlicesInWindow) {
            continue;
        }
        decision.retries += slice.retries;
        // A slice that lies partly before the window counts for retries only.
        decision.requests += age < SlicesInWindow ? slice.requests : 0;
    }
    decision.allowedByRequests = options.usedRatioFraction * options.ratio * decision.requests;
    decision.allowedBySlack = options.usedSlackFraction * options.slack * slackFraction;
    decision.granted = decision.retries + 1 <= decision.allowedByRequests + decision.allowedBySlack;
    return decision;
}

RetryDecision tryTakeRetry(RetryBudget &budget, const RetryBudgetOptions &options, double slackFraction, TimePoint now)
{
    const RetryDecision decision = checkRetry(budget, options, slackFraction, now);
    if (decision.granted) {
        ++currentSlice(budget, sliceNumber(options, now)).retries;
    }
    return decision;
}

} // namespace Godwit
