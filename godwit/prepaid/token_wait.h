#pragma once

// How long a request waits for tokens before it is refused.
//
// Drawing tokens from the store takes about 15 ms, getting them from another router less, so a short wait suffices. On
// a slow link exchanges take longer than that wait: each request that finds no tokens would be refused just before they
// arrive, and its repeat would add to the load.
//
// Pure. Example:
//   const Duration wait = tokenWait({route.latencyTarget, timeLeft, exchangeTime.recent}, options);

#include "godwit/base/time.h"

namespace Godwit
{

struct TokenWaitOptions
{
    Duration maxWait = std::chrono::milliseconds(120);
    // `maxWait`, or this part of the latency target if that is shorter.
    int latencyDivisor = 8;
    // Multiple of the exchange time to wait while that is longer: a request may have to be sent twice.
    int exchangeMultiple = 2;
    // The wait on slow links leaves the rest of the latency target to the endpoint.
    int slowLatencyDivisor = 3;
};

struct TokenWaitQuery
{
    Duration latencyTarget{};
    Duration timeLeft{}; // Until the caller's deadline.
    Duration exchange{}; // Recent duration of exchanges with homes; zero if the request needs none.
};

Duration tokenWait(const TokenWaitQuery &query, const TokenWaitOptions &options);

} // namespace Godwit
