// What the next write should ask for: the grant, the marks, and how often to write them.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/share_internal.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{

using internal::admittedDemand;
using internal::demandNow;
using internal::heldByOthers;

namespace
{

// This router's part of what all routers together would hold, by their demand.
double fairPart(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now)
{
    const double own = demandNow(share, account, now);
    double all = own;
    for (const auto &[holder, held] : heldByOthers(share, customer)) {
        all += held.demandPerSecond;
    }
    return all > 0 ? own / all : 1.0;
}

// How far a customer's marks run ahead of what is used, as a time of `demand`, and how long they bind.
struct MarkTimes
{
    double demand = 0; // Tokens a second.
    Duration lead{};
    std::chrono::milliseconds binds{};
};

// The same part of what is left for each customer that is not marked closely, so that a death costs none of them more.
std::chrono::milliseconds usualLead(const PrepaidOptions &options, double untilUsedUp)
{
    const double part = toSeconds(options.markLead) / toSeconds(options.closeMarksWithin);
    const double seconds = std::min(part * untilUsedUp, toSeconds(options.longestLead));
    return std::max(options.markLead, std::chrono::milliseconds(std::llround(seconds * 1000)));
}

MarkTimes markTimes(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now)
{
    const PrepaidOptions &options = share.options;
    // In a large fleet marks are written less often, and have to last as long.
    const std::chrono::milliseconds least = markInterval(share) * 6 / 5;
    const std::chrono::milliseconds usual = std::max(options.markLead, least);
    const double demand = demandNow(share, account, now);
    const auto remains = static_cast<double>(mayRemain(share, customer));
    const double untilUsedUp = demand > 0 ? remains / demand : 0;
    if (demand > 0 && untilUsedUp < toSeconds(options.closeMarksWithin)) {
        const double admitted = std::max(1.0, admittedDemand(share, customer, now));
        const double most =
            std::min(options.closeLeadPart * static_cast<double>(account.total), options.closeLeadOfRest * remains);
        const double seconds = most / admitted;
        const auto lead = std::clamp(std::chrono::milliseconds(std::llround(std::min(seconds, 1e6) * 1000)),
                                     std::max(options.closeLeadLeast, least),
                                     usual);
        return {admitted, lead, std::max(options.closeBinds, lead)};
    }
    // It binds no longer than usual: what grows afterwards grows faster than the demand.
    return {demand, std::max(usualLead(options, untilUsedUp), least), usual};
}

Tokens leadOf(const MarkTimes &times)
{
    return static_cast<Tokens>(times.demand * toSeconds(times.lead));
}

} // namespace

namespace internal
{

Tokens grantWithin(const ShareAccount &account, Tokens room)
{
    return room < 0 ? std::max(std::min(committed(account), account.granted), account.granted + room) : account.granted;
}

Tokens wantedGrant(
    const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, Tokens room, TimePoint now)
{
    const PrepaidOptions &options = share.options;
    const Tokens unused = account.granted - committed(account);
    if (room < 0) {
        return grantWithin(account, room);
    }
    if (!account.holdsAhead) {
        // A reservation or a received amount may still be open; the rest goes back.
        return std::clamp<Tokens>(committed(account), 0, account.granted);
    }
    const auto idle = static_cast<Tokens>(options.idleShare * static_cast<double>(room));
    // One usual request at least; a larger one asks for what it lacks.
    const Tokens least = std::max(static_cast<Tokens>(account.meanSize), account.shortOf);
    const Tokens wanted = std::max({idle, least, tokensFor(share, account, options.holdFor, now)});
    if (static_cast<double>(unused) > options.returnAbove * static_cast<double>(wanted)) {
        return committed(account) + wanted;
    }
    const Duration refillBelow =
        std::max<Duration>(options.refillGrantBelow - (markInterval(share) - options.markEvery), options.holdFor / 2);
    if (unused >= std::max({idle / 2, least, tokensFor(share, account, refillBelow, now)})) {
        return account.granted;
    }
    const auto part = static_cast<Tokens>(fairPart(share, customer, account, now) * static_cast<double>(room));
    const Tokens lacking = std::max<Tokens>(0, account.shortOf - unused);
    const Tokens more = std::clamp<Tokens>(wanted - unused, 0, std::max(part, std::min(lacking, room)));
    // Crumbs stay where every router can draw them: shared out they serve nobody, and each would cost a write.
    const bool serves = lacking > 0 && more >= lacking;
    const bool crumb = !serves && static_cast<double>(more) < options.leastDraw * account.meanSize;
    return crumb && account.granted > 0 ? account.granted : account.granted + more;
}

Mark wantedMark(
    const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, Tokens granted, TimePoint now)
{
    const MarkTimes times = markTimes(share, customer, account, now);
    Tokens ahead = std::max({leadOf(times), static_cast<Tokens>(account.meanSize), account.shortOf});
    const double demand = demandNow(share, account, now);
    const double fastest = share.options.fastGrowthPart * static_cast<double>(account.total);
    const double wished = std::min(share.options.markGrowth * demand, std::max(demand, fastest));
    double perSecond = std::max(wished, account.meanSize);
    if (account.meanSize <= 0) {
        // Without demand yet: the first requests should not wait for a write.
        ahead = std::max(granted / 50, account.shortOf);
        perSecond = static_cast<double>(granted) / toSeconds(share.options.holdFor);
    }
    Mark mark;
    mark.used = committed(account);
    // Tokens that other routers sent are beyond any grant and need no mark; without this bound the mark of a router
    // that was sent many would keep it from spending them.
    mark.limit = std::min(granted, std::max<Tokens>(0, mark.used) + ahead);
    mark.perSecond = static_cast<Tokens>(perSecond);
    mark.binds = times.binds;
    return mark;
}

bool markIsLow(const PrepaidShare &share, const CustomerId &customer, const ShareAccount &account, TimePoint now)
{
    const Tokens left = account.mark.limit - committed(account);
    // Half of the lead may be used before the mark counts as low.
    const Tokens refill = leadOf(markTimes(share, customer, account, now)) / 2;
    return account.mark.limit < account.granted && left < std::max(refill, account.shortOf);
}

} // namespace internal

std::chrono::milliseconds markInterval(const PrepaidShare &share)
{
    const double even = 1000.0 * share.markWriters / share.options.fleetMarksPerSecond;
    return std::max(share.options.markEvery, std::chrono::milliseconds(std::llround(even)));
}

} // namespace Godwit
