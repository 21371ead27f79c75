#include "godwit/prepaid/token_prefetch.h"

#include "godwit/prepaid/share_internal.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// Decay of the longest exchange time with each further exchange: to half after about seven.
constexpr double DecayFactor = 0.9;

// Amount to prefetch if the requests of the period need `needed` tokens; 0 if enough of them are here.
Tokens prefetchFor(const PrepaidShare &share,
                   const CustomerId &customer,
                   double needed,
                   const TokenPrefetchOptions &options)
{
    const ShareAccount *account = internal::accountOf(share, customer);
    if (account == nullptr || !account->bounded || account->isHome) {
        return 0;
    }
    const auto keep = static_cast<Tokens>(needed);
    const auto nearEnd = static_cast<Tokens>(options.minRemainingFraction * static_cast<double>(account->total));
    const bool enough = headroom(share, customer) >= keep / 2;
    return enough || maxRemaining(share, customer) < nearEnd ? 0 : keep;
}

} // namespace

void noteExchange(ExchangeTime &time, Duration took)
{
    const Duration faded = std::chrono::duration_cast<Duration>(time.recent * DecayFactor);
    time.recent = std::max(took, faded);
}

Duration prefetchTime(const ExchangeTime &time, const TokenPrefetchOptions &options)
{
    const auto wanted = std::chrono::duration_cast<Duration>(time.recent * options.exchangeMultiple);
    return std::clamp(wanted, options.minTime, options.maxTime);
}

std::vector<PrefetchAmount> tokensToPrefetch(PrepaidShare &share,
                                             Duration period,
                                             const TokenPrefetchOptions &options,
                                             TimePoint now)
{
    std::vector<PrefetchAmount> wanted;
    for (auto it = share.activeCustomers.begin(); it != share.activeCustomers.end();) {
        const CustomerId &customer = *it;
        const double demand = demandPerSecond(share, customer, now);
        const Tokens tokens = prefetchFor(share, customer, demand * toSeconds(period), options);
        if (tokens > 0) {
            wanted.push_back({customer, tokens});
        }
        if (demand < 1) {
            clearDemandBySize(share, customer);
            it = share.activeCustomers.erase(it);
        } else {
            ++it;
        }
    }
    return wanted;
}

} // namespace Godwit
