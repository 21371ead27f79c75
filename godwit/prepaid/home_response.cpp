#include "godwit/prepaid/home_response.h"

#include <algorithm>

namespace Godwit
{

Duration homeResponseTimeout(const ExchangeTime &time, Duration maxTimeout, const HomeResponseOptions &options)
{
    const auto wanted = std::chrono::duration_cast<Duration>(time.recent * options.exchangeMultiple);
    return std::clamp(wanted, std::min(options.minTimeout, maxTimeout), maxTimeout);
}

TimePoint responseDeadline(TimePoint askedAt, TimePoint homesKeptUntil, Duration timeout)
{
    return std::max(askedAt, homesKeptUntil) + timeout;
}

bool areAllHomesSkipped(const std::vector<ChosenHome> &homes, TimePoint now)
{
    constexpr std::size_t minHomes = 2;
    return homes.size() >= minHomes && std::all_of(homes.begin(), homes.end(), [now](const ChosenHome &home) {
               return !home.isOwn && now < home.skippedUntil;
           });
}

} // namespace Godwit
