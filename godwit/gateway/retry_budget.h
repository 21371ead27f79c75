#pragma once

// How many requests of a service may be sent to a second endpoint.
//
// The fleet as a whole may repeat a part of a service's requests in any window, and a fixed number besides. Each router
// takes that part of the requests that it saw itself, for which it needs to know nothing of the others, and of the
// fixed number what it holds (limit_shares.h). Sends that the endpoint refused count as well.
//
// Example:
//   countRequest(allowance, now);
//   if (tryTakeRetry(allowance, rules, partOf(usableShares(shares, now, uptime)), now).granted) { sendAgain(); }

#include "godwit/base/time.h"

#include <array>
#include <cstdint>

namespace Godwit
{

struct RetryBudgetOptions
{
    double ratio = 0.2;
    double slack = 0;
    Duration window = std::chrono::seconds(10);
    // Half: the repeats of one window may be of requests from it and from the window before, and a process that has
    // ended can have used up the earlier ones.
    double usedRatioFraction = 0.5;
    // Not all, since a repeat reaches its endpoint some time after it was drawn.
    double usedSlackFraction = 0.9;
};

// Counts in slices of the window; the newest slice is partly filled.
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

// How many shares of the fixed number a router needs to repeat a request now and then.
int minShares(const RetryBudgetOptions &options);

void countRequest(RetryBudget &budget, const RetryBudgetOptions &options, TimePoint now);

// Whether a repeat may be sent, and by which figures of the window.
struct RetryDecision
{
    bool granted = false;
    double requests = 0;
    double retries = 0; // Before this one.
    double allowedByRequests = 0;
    double allowedBySlack = 0;
};

// Takes one repeat, unless the router's part is used up.
// `slackFraction`: what this router holds of the fixed number, from 0 to 1.
RetryDecision tryTakeRetry(RetryBudget &budget, const RetryBudgetOptions &options, double slackFraction, TimePoint now);

} // namespace Godwit
