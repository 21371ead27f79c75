#include "godwit/gateway/request_durations.h"

#include <algorithm>

namespace Godwit
{
namespace
{

std::int64_t windowNumber(const RequestDurationOptions &options, TimePoint now)
{
    return now.time_since_epoch() / options.window;
}

void removeExpired(RequestDurations &durations, std::int64_t currentWindow)
{
    for (auto route = durations.routes.begin(); route != durations.routes.end();) {
        if (route->second.current.number + 1 < currentWindow) {
            route = durations.routes.erase(route);
        } else {
            ++route;
        }
    }
}

} // namespace

void recordDuration(RequestDurations &durations,
                    const RequestDurationOptions &options,
                    const RouteId &route,
                    Duration duration,
                    TimePoint now)
{
    const std::int64_t number = windowNumber(options, now);
    if (durations.routes.find(route) == durations.routes.end()) {
        // Keeps routes that no document contains any more from accumulating.
        removeExpired(durations, number);
    }
    RouteDurations &recent = durations.routes[route];
    if (recent.current.number != number) {
        recent.previous = recent.current;
        recent.current = {number, 0, {}};
    }
    ++recent.current.requests;
    recent.current.longest = std::max(recent.current.longest, duration);
}

std::optional<Duration> expectedDuration(const RequestDurations &durations,
                                         const RequestDurationOptions &options,
                                         const RouteId &route,
                                         TimePoint now)
{
    const auto found = durations.routes.find(route);
    if (found == durations.routes.end()) {
        return std::nullopt;
    }
    const std::int64_t number = windowNumber(options, now);
    int requests = 0;
    Duration longest{};
    for (const RequestDurationWindow &window : {found->second.current, found->second.previous}) {
        if (window.number + 1 >= number) {
            requests += window.requests;
            longest = std::max(longest, window.longest);
        }
    }
    if (requests < options.minRequests) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(longest * options.margin);
}

bool isExpectedToEnd(const RequestDurations &durations,
                     const RequestDurationOptions &options,
                     const RouteId &route,
                     const RequestTimes &times,
                     TimePoint now)
{
    const TimePoint latest = times.endsAt - options.deliveryTime;
    if (times.deadline <= latest) {
        return true;
    }
    const auto expected = expectedDuration(durations, options, route, now);
    return expected && now + *expected <= latest;
}

} // namespace Godwit
