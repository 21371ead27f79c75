#pragma once

// Charge of one call to its customer.
//
// The prompt is charged once for each request that an engine may have started, plus the output that was passed on to
// the caller. A request is free of charge only if it was sent to no engine, or if each engine that it was sent to
// stated that it did not run it. A connection without a byte of a response states nothing, however it ends.
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
    // False only if every endpoint that received the request stated that it did not run it.
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
