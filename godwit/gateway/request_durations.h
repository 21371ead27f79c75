#pragma once

// How long the requests of each route took recently, from their arrival to their end.
//
// A router that stops passes a request on only if it is expected to end before the process does. The deadlines of many
// routes are much longer than their requests take, so the longest recent request counts as well.
//
// Pure functions: time is passed in.
//
// Example:
//   recordDuration(durations, options, route, std::chrono::milliseconds(700), now);
//   if (endsAt && !isExpectedToEnd(durations, options, route, {deadline, *endsAt}, now)) { ... refuse ... }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Godwit
{

struct RequestDurationOptions
{
    // Requests that ended in the current window and in the one before it count.
    Duration window = std::chrono::seconds(30);
    // With fewer requests, the longest of them says little about the next one.
    int minRequests = 20;
    double margin = 1.25; // Expected duration, as a multiple of the longest.
    Duration deliveryTime = std::chrono::milliseconds(100); // For the end of a response to reach its caller.
};

struct RequestDurationWindow
{
    std::int64_t number = -1;
    int requests = 0;
    Duration longest{};
};

struct RouteDurations
{
    RequestDurationWindow current; // The latest window in which a request ended.
    RequestDurationWindow previous;
};

struct RequestDurations
{
    std::map<RouteId, RouteDurations> routes;
};

// Records a request that took this long, however it ended.
void recordDuration(RequestDurations &durations,
                    const RequestDurationOptions &options,
                    const RouteId &route,
                    Duration duration,
                    TimePoint now);

// Returns how long a request of the route may be expected to take at most; nullopt if too few have ended recently.
std::optional<Duration> expectedDuration(const RequestDurations &durations,
                                         const RequestDurationOptions &options,
                                         const RouteId &route,
                                         TimePoint now);

struct RequestTimes
{
    TimePoint deadline; // Of the request.
    TimePoint endsAt; // When the process ends.
};

// Whether a request that is passed on now is expected to end before the process does. Without an expected duration, its
// deadline counts.
bool isExpectedToEnd(const RequestDurations &durations,
                     const RequestDurationOptions &options,
                     const RouteId &route,
                     const RequestTimes &times,
                     TimePoint now);

} // namespace Godwit
