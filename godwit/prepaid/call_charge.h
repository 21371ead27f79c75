#pragma once

// What one call costs its customer.
//
// A total counts the prompt once for each request that an engine began to answer, and the output that was passed on.
// An engine sends its first event with the first token that it makes, or loses it and ends the connection at once, so
// that a request that its engine still holds open without a byte has not begun. Where nobody can say whether one has,
// the prompt is charged.
//
// Pure. Example:
//   CallUsage usage;
//   usage.promptTokens = 1200;
//   usage.mayHaveBegun = true;
//   settle(share, customer, reserved, chargeOf(usage));

#include "godwit/base/ids.h"

#include <algorithm>
#include <cstdint>

namespace Godwit
{

struct CallUsage
{
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    Tokens tokensPerEvent = 1; // At most.
    std::uint64_t eventsPassed = 0;
    bool mayHaveBegun = false; // False only where every endpoint that got it is known to have made nothing.
};

inline Tokens chargeOf(const CallUsage &usage)
{
    if (!usage.mayHaveBegun && usage.eventsPassed == 0) {
        return 0;
    }
    const Tokens output = static_cast<Tokens>(usage.eventsPassed) * usage.tokensPerEvent;
    return usage.promptTokens + std::min(output, usage.maxOutputTokens);
}

} // namespace Godwit
