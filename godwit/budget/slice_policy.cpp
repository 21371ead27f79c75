#include "godwit/budget/slice_policy.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

constexpr double DecaySeconds = 180;
// A rate over less time than this says little; one call would look like a flood.
constexpr double ShortestSpanSeconds = 5;
constexpr double SettledWeight = 0.05;
// Even a router with little demand holds a few calls' worth, so that a pair of calls needs one draw.
constexpr Tokens CallsAhead = 4;
// Demand varies; a slice for the mean would run dry in half of all outages.
constexpr double DemandMargin = 1.3;
// The rest is little when it lasts for less than this, or for so many calls at each router.
constexpr double LowSeconds = 30;
constexpr Tokens LowCalls = 2;

double decay(const DemandEstimate &demand, TimePoint now)
{
    return std::exp(-toSeconds(now - demand.last) / DecaySeconds);
}

} // namespace

void noteDemand(DemandEstimate &demand, Tokens worstCase, TimePoint now)
{
    if (demand.calls == 0) {
        demand.first = now;
        demand.last = now;
    }
    const double factor = decay(demand, now);
    demand.tokens = demand.tokens * factor + static_cast<double>(worstCase);
    demand.calls = demand.calls * factor + 1;
    demand.last = now;
}

void noteSettled(DemandEstimate &demand, Tokens worstCase, Tokens actual)
{
    if (worstCase > 0) {
        const double share = static_cast<double>(actual) / static_cast<double>(worstCase);
        demand.settledShare += SettledWeight * (share - demand.settledShare);
    }
}

double demandRate(const DemandEstimate &demand, TimePoint now)
{
    if (demand.calls == 0) {
        return 0;
    }
    const double span = std::max(ShortestSpanSeconds, toSeconds(now - demand.first));
    const double window = DecaySeconds * (1 - std::exp(-span / DecaySeconds));
    return demand.tokens * decay(demand, now) * demand.settledShare / window;
}

Tokens typicalCall(const DemandEstimate &demand)
{
    if (demand.calls == 0) {
        return 1;
    }
    return std::max<Tokens>(1, std::llround(demand.tokens / demand.calls));
}

bool isLow(const SliceSituation &situation)
{
    if (situation.reserveShare <= 0) {
        return false;
    }
    const double soon = LowSeconds * (situation.ownDemand + situation.otherDemand);
    const auto parts = static_cast<double>(LowCalls * situation.claimants * situation.typicalCall);
    return static_cast<double>(situation.rest) < std::max(soon, parts);
}

SliceTarget sliceTarget(const SliceSituation &situation)
{
    const Tokens pool = situation.free + std::max<Tokens>(0, situation.spendable);
    if (isLow(situation) && situation.cover.count() > 0) {
        return situation.home ? SliceTarget{pool, false} : SliceTarget{std::min(pool, situation.waiting), true};
    }
    const Tokens rest = std::max<Tokens>(0, situation.rest - situation.waiting);
    const double expected = situation.ownDemand * toSeconds(situation.cover) * DemandMargin;
    const auto fewCalls = static_cast<double>(CallsAhead * situation.typicalCall);
    const double wanted = situation.cover.count() == 0 ? 0 : std::max(expected, fewCalls);
    // By demand, so that in an outage all routers run dry at the same time, and none while another has plenty.
    const double demand = situation.ownDemand + situation.otherDemand;
    const double part = demand > 0 ? situation.ownDemand / demand : 1;
    const double allowed = situation.reserveShare * part * static_cast<double>(rest);
    auto ahead = static_cast<Tokens>(std::min(wanted, allowed));
    SliceTarget target;
    if (ahead < situation.typicalCall) {
        // A slice that no call fits into helps nobody here and is missing elsewhere.
        target.scarce = static_cast<double>(ahead) < wanted;
        ahead = 0;
    }
    target.spendable = std::min(pool, situation.waiting + ahead);
    return target;
}

} // namespace Godwit
