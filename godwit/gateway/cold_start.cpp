#include "godwit/gateway/cold_start.h"

#include "godwit/base/hash.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

// Fraction of the bounds that is used; see planColdStart().
constexpr double UsedFraction = 0.5;

// Each permit may start a second with one request. Limiting the permits to half of the allowed requests leaves the
// other half for the steady rate. Returns 0 if nothing would be left for it.
int permitsFor(double maxRequestsPerSecond)
{
    const int atLeastOne = maxRequestsPerSecond > 1 ? 1 : 0;
    return std::min(std::max(static_cast<int>(maxRequestsPerSecond / 2), atLeastOne), LimitShareCount);
}

} // namespace

ColdStartPlan planColdStart(const ColdStartLimit &limit, const ColdStartBounds &bounds)
{
    const double maxPerSecond = UsedFraction * (limit.requestsPerSecond * bounds.overrun + bounds.slack);
    return ColdStartPlan{maxPerSecond, permitsFor(maxPerSecond)};
}

bool isCold(const ColdState &state, TimePoint now)
{
    return now < state.until;
}

int countPermits(const ColdStartPlan &plan, const EndpointId &endpoint, const ShareSet &usable)
{
    if (plan.permits == 0 || usable.none()) {
        return 0;
    }
    // Spread the permits evenly, because routers hold shares with consecutive numbers.
    const std::uint64_t first = stableHash(endpoint.value) % LimitShareCount;
    int count = 0;
    for (int i = 0; i < plan.permits; ++i) {
        count +=
            usable.test((first + static_cast<std::uint64_t>(i * LimitShareCount / plan.permits)) % LimitShareCount);
    }
    return count;
}

bool maySendWhileCold(const ColdState &state, int permits, TimePoint now)
{
    return permits > 0 && now >= state.nextSendAt;
}

void recordColdSend(ColdState &state, const ColdStartPlan &plan, int permits, TimePoint now)
{
    const double rate = (plan.maxRequestsPerSecond - plan.permits) * permits / plan.permits;
    state.nextSendAt = now + Duration(std::llround(1e6 / rate));
}

} // namespace Godwit
