#pragma once

// Limits what the fleet sends to an endpoint that is cold: one that has started lately, or lost its warm state, and
// crashes when it gets many requests at once.
//
// Each router sees an idle endpoint and would send it all that it has, so a limit of each router alone doesn't bound
// the fleet. A hash gives each endpoint a few of the fleet's shares (limit_shares.h); the routers that hold these send
// at a steady rate, and the others leave the endpoint alone until it is warm.
//
// Pure: time is passed in.
//
// Example:
//   const ColdStartPlan plan = planColdStart(limit, bounds);
//   const int licences = countPermits(plan, endpoint, usableShares(shares, now, uptime));
//   if (!isCold(state, now) || maySendWhileCold(state, licences, now)) { ... a candidate ... }
//   recordColdSend(state, plan, licences, now);

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/gateway/limit_shares.h"

namespace Godwit
{

// What the endpoints of one service bear while they are cold.
struct ColdStartLimit
{
    double requestsPerSecond = 0; // 0: as many as when they are warm.
    Duration duration{}; // From a start, or from the loss of the warm state.
};

// How far the fleet may exceed the limit within one second.
struct ColdStartBounds
{
    double overrun = 1; // Multiple of the limit.
    double slack = 0; // Requests besides.
};

struct ColdStartPlan
{
    double maxRequestsPerSecond = 0; // Requests to one cold endpoint within any second.
    int permits = 0; // Shares whose holders send to one endpoint; 0: none does.
};

struct ColdState
{
    TimePoint until;
    TimePoint nextSendAt; // Of this router.
};

// Takes half of what the bounds allow, since requests that were sent over more than a second may arrive within one.
ColdStartPlan planColdStart(const ColdStartLimit &limit, const ColdStartBounds &bounds);

bool isCold(const ColdState &state, TimePoint now);

// How many of the endpoint's licences are among the shares that this router may use.
int countPermits(const ColdStartPlan &plan, const EndpointId &endpoint, const ShareSet &usable);

// Whether this router is one of the endpoint's senders, and its next request is due.
bool maySendWhileCold(const ColdState &state, int permits, TimePoint now);

void recordColdSend(ColdState &state, const ColdStartPlan &plan, int permits, TimePoint now);

} // namespace Godwit
