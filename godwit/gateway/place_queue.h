#pragma once

// Requests that wait at this router for a free place at an endpoint of a brittle service (brittle_services.h).
//
// A request joins the queue only if its turn is expected in time, so that one that can't be served is refused at once.
// More urgent requests go first, and displace those that would then wait too long. Refused callers are told to return
// at different times, the more urgent ones earlier, at the rate at which the service can take them.
//
// Pure functions: time and random numbers are passed in.
//
// Example:
//   if (!join(queue, waiter, places, now)) { refuse(returnDelay(queue, urgency, places, maxDelay, random, now)); }

#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Godwit
{

struct PlaceWaiter
{
    std::uint64_t id = 0;
    int urgency = 0; // 0 is the most urgent.
    TimePoint giveUpAt;
};

struct PlaceQueue
{
    std::vector<PlaceWaiter> waiting; // In the order in which they are served.
    double serviceSeconds = 0; // Moving average of the time that a request takes at an endpoint; 0: unknown.
    std::map<int, TimePoint> nextReturnAt; // By urgency: when the next refused caller should return.
};

void recordServiceTime(PlaceQueue &queue, Duration time);

// Adds the request unless its turn is expected after `giveUpAt`. `places`: of this router, in use or not.
bool join(PlaceQueue &queue, const PlaceWaiter &waiter, int places, TimePoint now);

// Removes and returns the requests whose turn is expected after their `giveUpAt`.
std::vector<PlaceWaiter> takeHopeless(PlaceQueue &queue, int places, TimePoint now);

void leave(PlaceQueue &queue, std::uint64_t id);

// Returns after what time a refused caller should return, at most `maxDelay`, and books this time.
// `random`: from 0 to 1.
Duration returnDelay(PlaceQueue &queue, int urgency, int places, Duration maxDelay, double random, TimePoint now);

} // namespace Godwit
