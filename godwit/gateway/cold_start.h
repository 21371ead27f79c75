#pragma once

// Limits the request rate that the whole fleet sends to a cold endpoint: one that has recently started, or has lost its
// warm state, and crashes under many simultaneous requests.
//
// A cold endpoint looks idle to every router, so a limit per router would not bound the fleet. Instead, a hash maps
// each endpoint to a few of the fleet's shares (limit_shares.h), called its permits. Routers that hold these shares
// send at a steady rate; all others do not use the endpoint until it is warm.
//
// Pure functions: time is passed in.
//
// Example:
//   const ColdStartPlan plan = planColdStart(limit, bounds);
//   const int permits = countPermits(plan, endpoint, usableShares(shares, now, uptime));
//   if (!isCold(state, now) || maySendWhileCold(state, permits, now)) { ... a candidate ... }
//   recordColdSend(state, plan, permits, now);

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/gateway/limit_shares.h"

namespace Godwit
{

// Load that an endpoint of one service can take while it is cold.
struct ColdStartLimit
{
    double requestsPerSecond = 0; // 0: no limit.
    Duration duration{}; // How long an endpoint is cold after a start or after the loss of its warm state.
};

// How far the fleet may exceed the limit within one second.
struct ColdStartBounds
{
    double overrun = 1; // Multiple of the limit.
    double slack = 0; // Additional requests.
};

struct ColdStartPlan
{
    double maxRequestsPerSecond = 0; // Upper bound for one cold endpoint within any second.
    int permits = 0; // Number of shares whose holders may send to one endpoint; 0: none may.
};

struct ColdState
{
    TimePoint until;
    TimePoint nextSendAt; // Earliest time of the next request from this router.
};

// Uses half of what the bounds allow, because requests sent over more than a second may arrive within one second.
ColdStartPlan planColdStart(const ColdStartLimit &limit, const ColdStartBounds &bounds);

bool isCold(const ColdState &state, TimePoint now);

// Returns how many of the endpoint's permits are among the shares that this router may use.
int countPermits(const ColdStartPlan &plan, const EndpointId &endpoint, const ShareSet &usable);

// Whether this router holds a permit for the endpoint and its next request is due.
bool maySendWhileCold(const ColdState &state, int permits, TimePoint now);

void recordColdSend(ColdState &state, const ColdStartPlan &plan, int permits, TimePoint now);

} // namespace Godwit
