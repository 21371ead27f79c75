// Targets of the next write: the grant, the marks, and the interval between marks.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/share_internal.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{

using internal::admittedDemand;
using internal::demandNow;
using internal::peerHoldingsOf;

namespace
{

// This router's fraction of the fleet's demand.
double fairFraction(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now)
{
    const double own = demandNow(share, account, now);
    double all = own;
    for (const auto &[holder, held] : peerHoldingsOf(share, customer)) {
        all += held.demandPerSecond;
    }
    return all > 0 ? own / all : 1.0;
}

// The write-ahead of a customer's mark, as a time at rate `demand`, and how long the limit stays fixed.
struct MarkTiming
{
    double demand = 0; // Tokens per second.
    Duration writeAhead{};
    std::chrono::milliseconds fixedPeriod{};
};

// The same fraction of what remains for every customer without tight marks, so that a crash costs each of them alike.
std::chrono::milliseconds usualWriteAhead(const PrepaidOptions &options, double untilUsedUp)
{
    const double part = toSeconds(options.markWriteAhead) / toSeconds(options.tightMarkThreshold);
    const double seconds = std::min(part * untilUsedUp, toSeconds(options.maxWriteAhead));
    return std::max(options.markWriteAhead, std::chrono::milliseconds(std::llround(seconds * 1000)));
}

MarkTiming markTiming(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now)
{
    const PrepaidOptions &options = share.options;
    // In a large fleet marks are written less often and have to last longer.
    const std::chrono::milliseconds least = markInterval(share) * 6 / 5;
    const std::chrono::milliseconds usual = std::max(options.markWriteAhead, least);
    const double demand = demandNow(share, account, now);
    const auto remains = static_cast<double>(maxRemaining(share, customer));
    const double untilUsedUp = demand > 0 ? remains / demand : 0;
    if (demand > 0 && untilUsedUp < toSeconds(options.tightMarkThreshold)) {
        const double admitted = std::max(1.0, admittedDemand(share, customer, now));
        const double most = std::min(options.tightWriteAheadFraction * static_cast<double>(account.total),
                                     options.tightWriteAheadRemainingFraction * remains);
        const double seconds = most / admitted;
        const auto writeAhead = std::clamp(std::chrono::milliseconds(std::llround(std::min(seconds, 1e6) * 1000)),
                                           std::max(options.minTightWriteAhead, least),
                                           usual);
        return {admitted, writeAhead, std::max(options.tightFixedPeriod, writeAhead)};
    }
    // The fixed period is not extended along with the write-ahead: the growth that follows it is faster than the
    // demand.
    return {demand, std::max(usualWriteAhead(options, untilUsedUp), least), usual};
}

Tokens writeAheadTokens(const MarkTiming &timing)
{
    return static_cast<Tokens>(timing.demand * toSeconds(timing.writeAhead));
}

} // namespace

namespace internal
{

Tokens grantWithin(const ShareAccount &account, Tokens unallocated)
{
    return unallocated < 0 ? std::max(std::min(committed(account), account.granted), account.granted + unallocated)
                           : account.granted;
}

Tokens targetGrant(const PrepaidShare &share,
                   const CustomerId &customer,
                   const ShareAccount &account,
                   Tokens unallocated,
                   TimePoint now)
{
    const PrepaidOptions &options = share.options;
    const Tokens unused = account.granted - committed(account);
    if (unallocated < 0) {
        return grantWithin(account, unallocated);
    }
    if (!account.isHome) {
        // A reservation or a received amount may still be open; the rest is returned.
        return std::clamp<Tokens>(committed(account), 0, account.granted);
    }
    const auto idle = static_cast<Tokens>(options.idleFraction * static_cast<double>(unallocated));
    // At least one mean request; a larger request adds its shortfall.
    const Tokens least = std::max(static_cast<Tokens>(account.meanRequestSize), account.shortfall);
    const Tokens wanted = std::max({idle, least, expectedDemand(share, account, options.grantPeriod, now)});
    if (static_cast<double>(unused) > options.returnThresholdFactor * static_cast<double>(wanted)) {
        return committed(account) + wanted;
    }
    const Duration refillBelow = std::max<Duration>(
        options.refillThreshold - (markInterval(share) - options.minMarkInterval), options.grantPeriod / 2);
    if (unused >= std::max({idle / 2, least, expectedDemand(share, account, refillBelow, now)})) {
        return account.granted;
    }
    const auto part =
        static_cast<Tokens>(fairFraction(share, customer, account, now) * static_cast<double>(unallocated));
    const Tokens lacking = std::max<Tokens>(0, account.shortfall - unused);
    const Tokens more = std::clamp<Tokens>(wanted - unused, 0, std::max(part, std::min(lacking, unallocated)));
    // Small remainders stay unallocated, where every router can draw them: divided up they serve no request, and each
    // draw costs a write.
    const bool meetsShortfall = lacking > 0 && more >= lacking;
    const bool tooSmall =
        !meetsShortfall && static_cast<double>(more) < options.minDrawFraction * account.meanRequestSize;
    return tooSmall && account.granted > 0 ? account.granted : account.granted + more;
}

Mark targetMark(
    const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, Tokens granted, TimePoint now)
{
    const MarkTiming timing = markTiming(share, customer, account, now);
    Tokens ahead =
        std::max({writeAheadTokens(timing), static_cast<Tokens>(account.meanRequestSize), account.shortfall});
    const double demand = demandNow(share, account, now);
    const double fastest = share.options.fastGrowthFraction * static_cast<double>(account.total);
    const double desired = std::min(share.options.markGrowthFactor * demand, std::max(demand, fastest));
    double perSecond = std::max(desired, account.meanRequestSize);
    if (account.meanRequestSize <= 0) {
        // Without demand so far: the first requests should not have to wait for a write.
        ahead = std::max(granted / 50, account.shortfall);
        perSecond = static_cast<double>(granted) / toSeconds(share.options.grantPeriod);
    }
    Mark mark;
    mark.used = committed(account);
    // Tokens received from other routers are not part of a grant and need no mark. Without the lower bound of 0, the
    // mark of a router that received many tokens would be negative and keep it from spending them.
    mark.limit = std::min(granted, std::max<Tokens>(0, mark.used) + ahead);
    mark.growthPerSecond = static_cast<Tokens>(perSecond);
    mark.fixedPeriod = timing.fixedPeriod;
    return mark;
}

bool markIsLow(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now)
{
    const Tokens left = account.mark.limit - committed(account);
    // Half of the write-ahead may be used before the mark counts as low.
    const Tokens refill = writeAheadTokens(markTiming(share, customer, account, now)) / 2;
    return account.mark.limit < account.granted && left < std::max(refill, account.shortfall);
}

} // namespace internal

std::chrono::milliseconds markInterval(const PrepaidShare &share)
{
    const double even = 1000.0 * share.markWriters / share.options.fleetMarksPerSecond;
    return std::max(share.options.minMarkInterval, std::chrono::milliseconds(std::llround(even)));
}

} // namespace Godwit
