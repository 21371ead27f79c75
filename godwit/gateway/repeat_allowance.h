#pragma once

// How many requests of a service may be sent to a second endpoint.
//
// The fleet as a whole may repeat a share of a service's requests in any window, and a fixed number besides. Each
// router takes that share of the requests that it saw itself and its part of the fixed number, so that no message
// is needed. Sends that the endpoint refused count as well.
//
// Example:
//   countRequest(allowance, now);
//   if (takeRepeat(allowance, rules, liveRouters, now).granted) { sendAgain(); }

#include "godwit/base/time.h"

#include <array>
#include <cstdint>

namespace Godwit
{

struct RepeatRules
{
    double ratio = 0.2;
    double slack = 0;
    Duration window = std::chrono::seconds(10);
    // Part of the allowance that is used: routers see different shares of the requests, and their windows differ.
    double caution = 0.6;
};

// Counts in slices of the window; the newest slice is partly filled.
struct RepeatAllowance
{
    static constexpr std::size_t Slices = 16;
    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    std::array<Slice, Slices> slices;
};

void countRequest(RepeatAllowance &allowance, const RepeatRules &rules, TimePoint now);

// Whether a repeat may be sent, and by which figures of the window.
struct RepeatDraw
{
    bool granted = false;
    double requests = 0;
    double repeats = 0; // Before this one.
    double allowedByRequests = 0;
    double allowedFixed = 0; // This router's part of the fixed number.
};

// Takes one repeat, unless the router's part is used up.
RepeatDraw takeRepeat(RepeatAllowance &allowance, const RepeatRules &rules, int liveRouters, TimePoint now);

} // namespace Godwit
