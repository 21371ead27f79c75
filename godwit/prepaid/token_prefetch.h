#pragma once

// What a router that is not a customer's home keeps of the customer's tokens for the requests of the next moment.
//
// Without any, each request waits for an exchange with the home. That takes some 3 ms on an idle link, and longer than
// a request may wait on one that is full: a customer whose callers all keep to one small host is then refused while its
// home holds plenty, and its callers come back on top of the new ones. So as much is kept as exchanges lately took
// time, several times over. What is kept is lost with its router, so it is little where exchanges are quick, and
// nothing at all near the end of a budget.
//
// Pure. Example:
//   noteExchange(time, tookMs);
//   for (const TokensWanted &wanted : tokensAhead(share, aheadTime(time, options), options, now)) { ask(wanted); }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/prepaid/prepaid_share.h"

#include <vector>

namespace Godwit
{

struct TokenPrefetchOptions
{
    // An exchange is asked for when half of what is kept is used, and the demand may be twice what it was.
    double exchangeMultiple = 4;
    // A home that draws first answers within some 50 ms, and a burst of requests comes sooner than the next look.
    Duration minTime = std::chrono::milliseconds(250);
    // More would cost a router's death more than the growth of marks that it is reckoned with.
    Duration maxTime = std::chrono::milliseconds(600);
    // Nothing is kept when less than this part of a total is left.
    double minRemainingFraction = 0.15;
};

// How long exchanges with homes lately took.
struct ExchangeTime
{
    Duration recent{};
};

void noteExchange(ExchangeTime &time, Duration took);

// For how long a time of its demand a router keeps tokens.
Duration prefetchTime(const ExchangeTime &time, const TokenPrefetchOptions &options);

struct PrefetchAmount
{
    CustomerId customer;
    Tokens tokens = 0;
};

// What a router wants to hold of the customers that are at home elsewhere; none of which it holds enough. Looks at
// those alone that were asked for here lately, and forgets the others: a router serves few of all customers at a time.
std::vector<PrefetchAmount> tokensToPrefetch(PrepaidShare &share,
                                             Duration period,
                                             const TokenPrefetchOptions &options,
                                             TimePoint now);

} // namespace Godwit
