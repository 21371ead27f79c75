#pragma once

// Charge of one call to its customer.
//
// The prompt is charged once for each request that an engine started to answer, plus the output that was passed on to
// the caller. An engine sends its first event with the first token it generates, or loses the token and closes the
// connection at once; a request whose engine still holds the connection open without having sent a byte has therefore
// not started. If it cannot be determined whether a request started, the prompt is charged.
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
    Tokens tokensPerEvent = 1; // Upper bound.
    std::uint64_t eventsPassed = 0;
    // False only if every endpoint that received the request is known to have generated nothing.
    bool mayHaveBegun = false;
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
