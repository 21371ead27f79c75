#include "godwit/prepaid/tokens_ahead.h"

#include "godwit/prepaid/share_internal.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// The longest of the last exchanges counts, and fades to half within some seven.
constexpr double FadesTo = 0.9;

// Of a customer whose requests of the next moment need `needed`; 0 when that is there.
Tokens wantedAhead(const PrepaidShare &share,
                   const CustomerId &customer,
                   double needed,
                   const TokensAheadOptions &options)
{
    const ShareAccount *account = internal::accountOf(share, customer);
    if (account == nullptr || !account->bounded || account->holdsAhead) {
        return 0;
    }
    const auto keep = static_cast<Tokens>(needed);
    const auto nearEnd = static_cast<Tokens>(options.notBelow * static_cast<double>(account->total));
    const bool enough = headroom(share, customer) >= keep / 2;
    return enough || mayRemain(share, customer) < nearEnd ? 0 : keep;
}

} // namespace

void noteExchange(ExchangeTime &time, Duration took)
{
    const Duration faded = std::chrono::duration_cast<Duration>(time.recent * FadesTo);
    time.recent = std::max(took, faded);
}

Duration aheadTime(const ExchangeTime &time, const TokensAheadOptions &options)
{
    const auto wanted = std::chrono::duration_cast<Duration>(time.recent * options.exchanges);
    return std::clamp(wanted, options.least, options.most);
}

std::vector<TokensWanted> tokensAhead(PrepaidShare &share,
                                      Duration ahead,
                                      const TokensAheadOptions &options,
                                      TimePoint now)
{
    std::vector<TokensWanted> wanted;
    for (auto it = share.askedFor.begin(); it != share.askedFor.end();) {
        const CustomerId &customer = *it;
        const double demand = demandPerSecond(share, customer, now);
        const Tokens tokens = wantedAhead(share, customer, demand * toSeconds(ahead), options);
        if (tokens > 0) {
            wanted.push_back({customer, tokens});
        }
        if (demand < 1) {
            forgetSizes(share, customer);
            it = share.askedFor.erase(it);
        } else {
            ++it;
        }
    }
    return wanted;
}

} // namespace Godwit
