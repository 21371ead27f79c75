// Recent demand for a customer at this router, as rates, and the tokens that are reserved for smaller requests.

#include "godwit/prepaid/prepaid_share.h"
#include "godwit/prepaid/share_internal.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{

using internal::accountOf;
using internal::boundedAccount;
using internal::demandNow;
using internal::peerHoldingsOf;

namespace
{

// Weight of the newest request in the moving average of the request size.
constexpr double NewestRequestWeight = 0.1;

constexpr double SizeClassesInOctave = 2;

SizeClass sizeClassOf(Tokens tokens)
{
    return static_cast<SizeClass>(
        std::lround(SizeClassesInOctave * std::log2(std::max(1.0, static_cast<double>(tokens)))));
}

// The centre of the class.
double sizeOf(SizeClass sizeClass)
{
    return std::exp2(sizeClass / SizeClassesInOctave);
}

double decayed(double sum, Duration passed, Duration memory)
{
    return sum * std::exp(-std::max(0.0, toSeconds(passed)) / toSeconds(memory));
}

// Converts a decaying sum to a rate. After a short history the sum has not reached its steady state yet.
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
    const Duration past = std::max<Duration>(now - demand.since, options.minRateWindow);
    return std::max(
        options.shortWeight
            * rateOf(decayed(demand.shortSum, passed, options.shortTimeConstant), past, options.shortTimeConstant),
        rateOf(decayed(demand.longSum, passed, options.longTimeConstant), past, options.longTimeConstant));
}

void add(const PrepaidOptions &options, RecentDemand &demand, Tokens tokens, TimePoint now)
{
    if (demand.longSum <= 0) {
        demand.since = now;
        demand.at = now;
    }
    const Duration passed = now - demand.at;
    demand.shortSum = decayed(demand.shortSum, passed, options.shortTimeConstant) + static_cast<double>(tokens);
    demand.longSum = decayed(demand.longSum, passed, options.longTimeConstant) + static_cast<double>(tokens);
    demand.at = now;
}

Tokens maxSmallRequestReserve(const PrepaidShare &share, const CustomerId &customer)
{
    const ShareAccount *account = accountOf(share, customer);
    const bool bounded = account != nullptr && account->bounded;
    return bounded
        ? static_cast<Tokens>(share.options.smallRequestReserveFraction * static_cast<double>(account->total))
        : 0;
}

// Demand at all routers, as far as this router knows it.
std::map<SizeClass, double> fleetDemandBySize(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    std::map<SizeClass, double> rates = demandBySize(share, customer, now);
    const ShareAccount *account = accountOf(share, customer);
    for (const auto &[holder, held] : peerHoldingsOf(share, customer)) {
        for (const auto &[sizeClass, rate] : held.demandBySize) {
            // A home's demand already includes the requests that this router forwarded to it.
            double &known = rates[sizeClass];
            known = account != nullptr && account->isHome ? known + rate : std::max(known, rate);
        }
    }
    return rates;
}

// Assume that requests may cease at any moment, after smallRequestReserveTime on average. A token is then better kept
// for a request that is n times smaller as long as such a request arrives with a probability above 1 / n, that is for
// smallRequestReserveTime * ln(n). The size that is still served thus falls steadily with what is left, and a budget
// whose requests are all of one size is used to its end.
double smallRequestReserveFor(const PrepaidShare &share,
                              const CustomerId &customer,
                              double size,
                              const std::map<SizeClass, double> &demandBySize)
{
    const SizeClass ownClass = sizeClassOf(static_cast<Tokens>(size));
    double kept = 0;
    for (const auto &[sizeClass, rate] : demandBySize) {
        if (sizeClass < ownClass) {
            kept += rate * toSeconds(share.options.smallRequestReserveTime) * std::log(size / sizeOf(sizeClass));
        }
    }
    return std::min(kept, static_cast<double>(maxSmallRequestReserve(share, customer)));
}

void noteDemand(const PrepaidShare &share, ShareAccount &account, Tokens tokens, TimePoint now)
{
    add(share.options, account.demand, tokens, now);
    add(share.options, account.demandBySize[sizeClassOf(tokens)], tokens, now);
    // The first request sets the average.
    const double newest = account.meanRequestSize > 0 ? NewestRequestWeight : 1.0;
    account.meanRequestSize += newest * (static_cast<double>(tokens) - account.meanRequestSize);
}

} // namespace

namespace internal
{

double demandNow(const PrepaidShare &share, const ShareAccount &account, TimePoint now)
{
    return rateOf(share.options, account.demand, now);
}

Tokens expectedDemand(const PrepaidShare &share, const ShareAccount &account, Duration time, TimePoint now)
{
    return static_cast<Tokens>(demandNow(share, account, now) * toSeconds(time));
}

double admittedDemand(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    const std::map<SizeClass, double> all = fleetDemandBySize(share, customer, now);
    const auto remains = static_cast<double>(maxRemaining(share, customer));
    double sum = 0;
    for (const auto &[sizeClass, rate] : demandBySize(share, customer, now)) {
        const double size = sizeOf(sizeClass);
        if (size + smallRequestReserveFor(share, customer, size, all) <= remains) {
            sum += rate;
        }
    }
    return sum;
}

} // namespace internal

void noteRequest(PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now)
{
    if (ShareAccount *account = boundedAccount(share, customer)) {
        noteDemand(share, *account, tokens, now);
        share.activeCustomers.insert(customer);
    }
}

double demandPerSecond(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    const ShareAccount *account = accountOf(share, customer);
    return account == nullptr ? 0 : demandNow(share, *account, now);
}

std::map<SizeClass, double> demandBySize(const PrepaidShare &share, const CustomerId &customer, TimePoint now)
{
    std::map<SizeClass, double> rates;
    const ShareAccount *account = accountOf(share, customer);
    if (account == nullptr) {
        return rates;
    }
    for (const auto &[sizeClass, demand] : account->demandBySize) {
        const double rate = rateOf(share.options, demand, now);
        if (rate >= 1) {
            rates.emplace(sizeClass, rate);
        }
    }
    return rates;
}

void clearDemandBySize(PrepaidShare &share, const CustomerId &customer)
{
    if (ShareAccount *account = boundedAccount(share, customer)) {
        account->demandBySize.clear();
    }
}

Tokens smallRequestReserve(const PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now)
{
    return static_cast<Tokens>(
        smallRequestReserveFor(share, customer, static_cast<double>(tokens), fleetDemandBySize(share, customer, now)));
}

bool wouldUseSmallRequestReserve(const PrepaidShare &share, const CustomerId &customer, Tokens tokens, TimePoint now)
{
    const Tokens remains = maxRemaining(share, customer);
    if (remains >= tokens + maxSmallRequestReserve(share, customer)) {
        return false;
    }
    const Tokens kept = smallRequestReserve(share, customer, tokens, now);
    return kept > 0 && remains < tokens + kept;
}

} // namespace Godwit
