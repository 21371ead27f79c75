#pragma once

// Prefetching of tokens by routers that are not a customer's home.
//
// Without prefetched tokens every request waits for an exchange with the home. That takes some 3 ms on an idle link,
// but on a saturated one longer than a request may wait: a customer whose callers all use one small host would be
// refused while its home holds plenty, and the retries would add to the load. A router therefore prefetches the demand
// of a multiple of the recent exchange time. Prefetched tokens are lost if the router dies, so the amount is small
// while exchanges are fast, and zero near the end of a budget.
//
// Pure. Example:
//   noteExchange(time, took);
//   const Duration period = prefetchTime(time, options);
//   for (const PrefetchAmount &wanted : tokensToPrefetch(share, period, options, now)) { request(wanted); }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/prepaid/prepaid_share.h"

#include <vector>

namespace Godwit
{

struct TokenPrefetchOptions
{
    // Multiple of the exchange time: a refill starts when half of the prefetched tokens are used, and the demand may
    // double.
    double exchangeMultiple = 4;
    // A home that has to draw first answers within some 50 ms, and a burst arrives faster than the next check.
    Duration minTime = std::chrono::milliseconds(250);
    // More than this would make a router's death cost more than the assumed growth of its marks.
    Duration maxTime = std::chrono::milliseconds(600);
    // No prefetch if less than this fraction of a total remains.
    double minRemainingFraction = 0.15;
};

// Recent duration of exchanges with homes.
struct ExchangeTime
{
    Duration recent{};
};

void noteExchange(ExchangeTime &time, Duration took);

// The period whose demand a router prefetches.
Duration prefetchTime(const ExchangeTime &time, const TokenPrefetchOptions &options);

struct PrefetchAmount
{
    CustomerId customer;
    Tokens tokens = 0;
};

// Amounts to prefetch for customers whose home is another router, where this router holds too little. Checks only
// customers with recent demand here, and removes those whose demand has ceased from that list: a router serves few of
// all customers at a time.
std::vector<PrefetchAmount> tokensToPrefetch(PrepaidShare &share,
                                             Duration period,
                                             const TokenPrefetchOptions &options,
                                             TimePoint now);

} // namespace Godwit
