#pragma once

// The retry budget of a service: how many of its requests may be sent to a second endpoint.
//
// In any window, the fleet as a whole may retry a fraction of the service's requests plus a fixed number (the slack).
// Each router applies the fraction to its own requests, which needs no coordination, and uses as much of the slack as
// it holds shares of it (limit_shares.h). Attempts that the endpoint refused count as well.
//
// Example:
//   countRequest(budget, options, now);
//   if (tryTakeRetry(budget, options, fractionOf(usableShares(shares, now, uptime)), now).granted) { retry(); }

#include "godwit/base/time.h"

#include <array>
#include <cstdint>

namespace Godwit
{

struct RetryBudgetOptions
{
    double ratio = 0.2; // Retries per request.
    double slack = 0; // Retries of the whole fleet per window, in addition.
    Duration window = std::chrono::seconds(10);
    // Fraction of `ratio` that is used. Half, because the retries of one window may belong to requests of that window
    // and of the one before, and a former process may already have used the budget of the earlier ones.
    double usedRatioFraction = 0.5;
    // Fraction of `slack` that is used. Less than 1 because a retry reaches its endpoint some time after it was
    // granted.
    double usedSlackFraction = 0.9;
};

// Requests and retries of a sliding window, counted in time slices; the newest slice is incomplete.
struct RetryBudget
{
    static constexpr std::size_t Slices = 16;
    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    std::array<Slice, Slices> slices;
};

// Returns the number of shares of the slack that a router needs for occasional retries.
int minShares(const RetryBudgetOptions &options);

void countRequest(RetryBudget &budget, const RetryBudgetOptions &options, TimePoint now);

// Whether a retry may be sent, and the counts of the window on which the decision is based.
struct RetryDecision
{
    bool granted = false;
    double requests = 0;
    double retries = 0; // Before this one.
    double allowedByRequests = 0;
    double allowedBySlack = 0;
};

// As tryTakeRetry(), without taking the retry.
RetryDecision checkRetry(const RetryBudget &budget,
                         const RetryBudgetOptions &options,
                         double slackFraction,
                         TimePoint now);

// Takes one retry from the budget, unless this router's part is exhausted.
// `slackFraction`: the fraction of the slack that this router holds, from 0 to 1.
RetryDecision tryTakeRetry(RetryBudget &budget, const RetryBudgetOptions &options, double slackFraction, TimePoint now);

} // namespace Godwit
