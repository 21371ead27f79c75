#include "godwit/gateway/cold_start.h"

#include "godwit/base/hash.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

// Part of the bounds that one group of routers uses.
constexpr double UsedPart = 0.5;

// How many routers of the group send to one endpoint. Each may begin a second with one request, so that half of what is
// allowed is left for a steady rate. 0: nothing is left, and none sends.
int countSenders(const ColdStartPlan &plan, const SenderGroup &group)
{
    const auto most = static_cast<std::size_t>(plan.mostPerSecond / 2);
    const std::size_t atLeastOne = plan.mostPerSecond > 1 ? 1 : 0;
    return static_cast<int>(std::min(std::max(most, atLeastOne), group.routers.size()));
}

bool isSender(const ColdStartPlan &plan, const SenderGroup &group, const EndpointId &endpoint)
{
    const auto own = std::find(group.routers.begin(), group.routers.end(), group.self);
    if (own == group.routers.end()) {
        return false;
    }
    const std::uint64_t weight = rendezvousWeight(endpoint.value, group.self);
    const auto before = std::count_if(group.routers.begin(), group.routers.end(), [&](const std::string &router) {
        return rendezvousWeight(endpoint.value, router) > weight;
    });
    return before < countSenders(plan, group);
}

} // namespace

ColdStartPlan planColdStart(const ColdStartLimit &limit, const ColdStartBounds &bounds)
{
    return ColdStartPlan{UsedPart * (limit.requestsPerSecond * bounds.overrun + bounds.slack)};
}

bool isCold(const ColdState &state, TimePoint now)
{
    return now < state.until;
}

bool mayReceiveCold(const ColdState &state,
                    const ColdStartPlan &plan,
                    const SenderGroup &group,
                    const EndpointId &endpoint,
                    TimePoint now)
{
    return now >= state.nextSendAt && isSender(plan, group, endpoint);
}

void noteColdSend(ColdState &state, const ColdStartPlan &plan, const SenderGroup &group, TimePoint now)
{
    const int senders = countSenders(plan, group);
    const double rate = plan.mostPerSecond - senders;
    state.nextSendAt = now + Duration(std::llround(1e6 * senders / rate));
}

} // namespace Godwit
