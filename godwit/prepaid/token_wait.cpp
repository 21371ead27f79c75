#include "godwit/prepaid/token_wait.h"

#include <algorithm>

namespace Godwit
{

Duration tokenWait(const TokenWaitQuery &query, const TokenWaitOptions &options)
{
    Duration wait = std::min(options.maxWait, query.latencyTarget / options.latencyDivisor);
    if (query.exchange > wait) {
        wait = std::min(query.exchange * options.exchangeMultiple, query.latencyTarget / options.slowLatencyDivisor);
    }
    return std::min(wait, query.timeLeft);
}

} // namespace Godwit
