#pragma once

// How long a router waits for a home's response to a token request before it asks another router.
//
// A home answers within a few milliseconds, if only to confirm that the request is waiting. A host that vanished closes
// no connection, and missing heartbeats show it only after 1.6 s; so a home that doesn't answer is skipped for a while.
// A slow link must not look like that: through a full link, all homes answer late, and skipping them one by one leaves
// requests without tokens while the homes have plenty.
//
// Pure. Example:
//   if (now >= responseDeadline(askedAt, homesKeptUntil, homeResponseTimeout(time, limit, options))) { ... skip it ...
//   } if (areAllHomesSkipped(homes, now)) { ... skip none until now + options.keepPeriod ... }

#include "godwit/base/time.h"
#include "godwit/prepaid/token_prefetch.h"

#include <vector>

namespace Godwit
{

struct HomeResponseOptions
{
    Duration minTimeout = std::chrono::milliseconds(40);
    // Multiple of the time that recent responses took: the queue of a full link may grow between two requests.
    double exchangeMultiple = 4;
    // How long a home that has not answered is skipped.
    Duration skipPeriod = std::chrono::seconds(1);
    // How long no home is skipped after all have been.
    Duration keepPeriod = std::chrono::seconds(1);
};

// `time` is of responses, including confirmations: the time that a home needs to draw tokens tells nothing about links.
Duration homeResponseTimeout(const ExchangeTime &time, Duration maxTimeout, const HomeResponseOptions &options);

// When a home counts as unresponsive that was asked at `askedAt`; `homesKeptUntil` is the end of the last period during
// which none is skipped.
TimePoint responseDeadline(TimePoint askedAt, TimePoint homesKeptUntil, Duration timeout);

// A home that would be chosen if none were skipped.
struct ChosenHome
{
    bool isOwn = false; // This router itself.
    TimePoint skippedUntil;
};

// Whether all homes have been skipped within the last `skipPeriod`, so that this router's own link is the likely cause.
// One silent home alone doesn't show that.
bool areAllHomesSkipped(const std::vector<ChosenHome> &homes, TimePoint now);

} // namespace Godwit
