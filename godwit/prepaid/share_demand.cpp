// Recent demand: what a customer lately asked for here, as rates, and what that keeps for its small requests.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/share_internal.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{

using internal::accountOf;
using internal::boundedAccount;
using internal::demandNow;
using internal::heldByOthers;

namespace
{

// Weight of the newest request in the mean size.
constexpr double MeanSizeNewest = 0.1;

double decayed(double sum, Duration passed, Duration memory)
{
    return sum * std::exp(-std::max(0.0, toSeconds(passed)) / toSeconds(memory));
}

// A decaying sum as a rate. The sum of a short past has not reached its level yet.
double rateOf(double sum, Duration past, Duration memory)
{
    const double seconds = toSeconds(memory);
    return sum / (seconds * (1.0 - std::exp(-toSeconds(past) / seconds)));
}

double rateOf(const PrepaidOptions &options, const RecentDemand &demand, TimePoint now)
{
    if (demand.longSum <= 0) {
        return 0;
    }
    const Duration passed = now - demand.at;
    const Duration past = std::max<Duration>(now - demand.since, options.leastPast);
    return std::max(options.shortWeight
                        * rateOf(decayed(demand.shortSum, passed, options.shortMemory), past, options.shortMemory),
                    rateOf(decayed(demand.longSum, passed, options.longMemory), past, options.longMemory));
}

void add(const PrepaidOptions &options, RecentDemand &demand, Tokens tokens, TimePoint now)
{
    if (demand.longSum <= 0) {
        demand.since = now;
        demand.at = now;
    }
    const Duration passed = now - demand.at;
    demand.shortSum = decayed(demand.shortSum, passed, options.shortMemory) + static_cast<double>(tokens);
    demand.longSum = decayed(demand.longSum, passed, options.longMemory) + static_cast<double>(tokens);
    demand.at = now;
}

void noteDemand(const PrepaidShare &share, ShareAccount &account, Tokens tokens, TimePoint now)
{
    add(share.options, account.demand, tokens, now);
    if (static_cast<double>(tokens) <= account.meanSize) {
        add(share.options, account.smallDemand, tokens, now);
    }
    // The first request counts in full.
    const double newest = account.meanSize > 0 ? MeanSizeNewest : 1.0;
    account.meanSize += newest * (static_cast<double>(tokens) - account.meanSize);
}

} // namespace

namespace internal
{

double demandNow(const PrepaidShare &share, const ShareAccount &account, TimePoint now)
{
    return rateOf(share.options, account.demand, now);
}

Tokens tokensFor(const PrepaidShare &share, const ShareAccount &account, Duration time, TimePoint now)
{
    return static_cast<Tokens>(demandNow(share, account, now) * toSeconds(time));
}

} // namespace internal

void noteRequest(PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now)
{
    if (ShareAccount *account = boundedAccount(share, customer)) {
        noteDemand(share, *account, tokens, now);
        share.askedFor.insert(customer);
    }
}

double demandPerSecond(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    const ShareAccount *account = accountOf(share, customer);
    return account == nullptr ? 0 : demandNow(share, *account, now);
}

double smallDemandPerSecond(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    const ShareAccount *account = accountOf(share, customer);
    return account == nullptr ? 0 : rateOf(share.options, account->smallDemand, now);
}

bool mustLeaveToSmaller(const PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now)
{
    const ShareAccount *account = accountOf(share, customer);
    if (account == nullptr || !account->bounded || static_cast<double>(tokens) <= account->meanSize) {
        return false;
    }
    double demand = smallDemandPerSecond(share, customer, now);
    for (const auto &[holder, held] : heldByOthers(share, customer)) {
        // A home has been asked for this router's requests as well.
        demand = account->holdsAhead ? demand + held.smallDemandPerSecond : std::max(demand, held.smallDemandPerSecond);
    }
    const auto kept = static_cast<Tokens>(demand * toSeconds(share.options.keepForSmall));
    return mayRemain(share, customer) < tokens + kept;
}

} // namespace Godwit
