#include "godwit/gateway/cold_start.h"

#include "godwit/base/hash.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

// Part of the bounds that is used.
constexpr double UsedFraction = 0.5;

// Each licence may begin a second with one request, so that half of what is allowed is left for a steady rate. 0:
// nothing is left.
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
    // Spread evenly, since routers hold shares whose numbers follow each other.
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
