#pragma once

// Limits what the fleet sends to an endpoint that is cold: one that has started lately, or lost its warm state, and
// crashes when it gets many requests at once.
//
// Each router sees an idle endpoint and would send it all that it has, so a limit of each router alone doesn't bound
// the fleet. A few routers, ranked by a hash of endpoint and router, share a steady rate among them; the others leave
// the endpoint alone until it is warm. No message is needed.
//
// Pure: time is passed in.
//
// Example:
//   const ColdStartPlan plan = planColdStart(limit, bounds);
//   if (!isCold(state, now) || mayReceiveCold(state, plan, senders, endpoint, now)) { ... a candidate ... }
//   noteColdSend(state, plan, senders, now);

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <string>
#include <vector>

namespace Godwit
{

// What the endpoints of one service bear while they are cold.
struct ColdStartLimit
{
    double requestsPerSecond = 0; // 0: as many as when they are warm.
    Duration lasts{}; // From a start, or from the loss of the warm state.
};

// How far the fleet may exceed the limit within one second.
struct ColdStartBounds
{
    double overrun = 1; // Multiple of the limit.
    double slack = 0; // Requests besides.
};

// The routers that callers are told of, this one included; by their addresses.
struct SenderGroup
{
    std::string self;
    std::vector<std::string> routers;
};

struct ColdStartPlan
{
    double mostPerSecond = 0; // Requests to one cold endpoint within any second, of one group of routers.
};

struct ColdState
{
    TimePoint until;
    TimePoint nextSendAt; // Of this router.
};

// Takes half of what the bounds allow, since two groups of routers that don't hear each other name different senders.
ColdStartPlan planColdStart(const ColdStartLimit &limit, const ColdStartBounds &bounds);

bool isCold(const ColdState &state, TimePoint now);

// Whether this router is one of the endpoint's senders, and its next request is due.
bool mayReceiveCold(const ColdState &state,
                    const ColdStartPlan &plan,
                    const SenderGroup &group,
                    const EndpointId &endpoint,
                    TimePoint now);

void noteColdSend(ColdState &state, const ColdStartPlan &plan, const SenderGroup &group, TimePoint now);

} // namespace Godwit
