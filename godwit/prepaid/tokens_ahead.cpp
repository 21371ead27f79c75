#include "godwit/prepaid/tokens_ahead.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// The longest of the last exchanges counts, and fades to half within some seven.
constexpr double FadesTo = 0.9;

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

Tokens tokensAhead(const PrepaidShare &share,
                   const CustomerId &customer,
                   Duration ahead,
                   const TokensAheadOptions &options,
                   TimePoint now)
{
    const auto account = share.accounts.find(customer);
    if (account == share.accounts.end() || !account->second.bounded || account->second.holdsAhead) {
        return 0;
    }
    const auto keep = static_cast<Tokens>(demandPerSecond(share, customer, now) * toSeconds(ahead));
    const auto nearEnd = static_cast<Tokens>(options.notBelow * static_cast<double>(account->second.total));
    const bool enough = headroom(share, customer) >= keep / 2;
    return enough || mayRemain(share, customer) < nearEnd ? 0 : keep;
}

} // namespace Godwit
