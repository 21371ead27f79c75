#include "godwit/gateway/cold_start.h"

#include "godwit/base/hash.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

// Part of the bounds that is used.
constexpr double UsedPart = 0.5;

// Each licence may begin a second with one request, so that half of what is allowed is left for a steady rate. 0:
// nothing is left.
int licencesFor(double mostPerSecond)
{
    const int atLeastOne = mostPerSecond > 1 ? 1 : 0;
    return std::min(std::max(static_cast<int>(mostPerSecond / 2), atLeastOne), LimitShareCount);
}

} // namespace

ColdStartPlan planColdStart(const ColdStartLimit &limit, const ColdStartBounds &bounds)
{
    const double most = UsedPart * (limit.requestsPerSecond * bounds.overrun + bounds.slack);
    return ColdStartPlan{most, licencesFor(most)};
}

bool isCold(const ColdState &state, TimePoint now)
{
    return now < state.until;
}

int countLicences(const ColdStartPlan &plan, const EndpointId &endpoint, const ShareNumbers &usable)
{
    if (plan.licences == 0 || usable.none()) {
        return 0;
    }
    // Spread evenly, since routers hold shares whose numbers follow each other.
    const std::uint64_t first = stableHash(endpoint.value) % LimitShareCount;
    int count = 0;
    for (int i = 0; i < plan.licences; ++i) {
        count +=
            usable.test((first + static_cast<std::uint64_t>(i * LimitShareCount / plan.licences)) % LimitShareCount);
    }
    return count;
}

bool mayReceiveCold(const ColdState &state, int licences, TimePoint now)
{
    return licences > 0 && now >= state.nextSendAt;
}

void noteColdSend(ColdState &state, const ColdStartPlan &plan, int licences, TimePoint now)
{
    const double rate = (plan.mostPerSecond - plan.licences) * licences / plan.licences;
    state.nextSendAt = now + Duration(std::llround(1e6 / rate));
}

} // namespace Godwit
