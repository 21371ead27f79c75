#include "godwit/gateway/place_queue.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

// Used until the first request has been served.
constexpr double DefaultServiceSeconds = 0.1;
constexpr double AverageWeight = 0.1;
// Part of the rate at which requests are served that is offered to returning callers; the rest serves new ones.
constexpr double ReturningFraction = 0.5;

// Average time between two requests of the queue that get a place.
double turnSeconds(const PlaceQueue &queue, int places)
{
    const double service = queue.serviceSeconds > 0 ? queue.serviceSeconds : DefaultServiceSeconds;
    return service / std::max(1, places);
}

Duration fromSeconds(double seconds)
{
    return Duration(std::llround(seconds * 1e6));
}

// When the request with `ahead` others before it is expected to get a place.
TimePoint turnOf(const PlaceQueue &queue, std::size_t ahead, int places, TimePoint now)
{
    return now + fromSeconds(static_cast<double>(ahead + 1) * turnSeconds(queue, places));
}

} // namespace

void recordServiceTime(PlaceQueue &queue, Duration time)
{
    const double seconds = toSeconds(time);
    queue.serviceSeconds =
        queue.serviceSeconds > 0 ? queue.serviceSeconds + AverageWeight * (seconds - queue.serviceSeconds) : seconds;
}

bool join(PlaceQueue &queue, const PlaceWaiter &waiter, int places, TimePoint now)
{
    const auto position = std::find_if(queue.waiting.begin(), queue.waiting.end(), [&waiter](const PlaceWaiter &other) {
        return other.urgency > waiter.urgency;
    });
    const auto ahead = static_cast<std::size_t>(position - queue.waiting.begin());
    if (places <= 0 || turnOf(queue, ahead, places, now) > waiter.giveUpAt) {
        return false;
    }
    queue.waiting.insert(position, waiter);
    return true;
}

std::vector<PlaceWaiter> takeHopeless(PlaceQueue &queue, int places, TimePoint now)
{
    std::vector<PlaceWaiter> hopeless;
    std::vector<PlaceWaiter> kept;
    for (const PlaceWaiter &waiter : queue.waiting) {
        const bool inTime = now < waiter.giveUpAt && turnOf(queue, kept.size(), places, now) <= waiter.giveUpAt;
        // The first one has no turn to wait for but the next place.
        const bool isNext = kept.empty() && now < waiter.giveUpAt;
        (inTime || isNext ? kept : hopeless).push_back(waiter);
    }
    queue.waiting = std::move(kept);
    return hopeless;
}

void leave(PlaceQueue &queue, std::uint64_t id)
{
    auto &waiting = queue.waiting;
    waiting.erase(std::remove_if(waiting.begin(),
                                 waiting.end(),
                                 [id](const PlaceWaiter &waiter) {
                                     return waiter.id == id;
                                 }),
                  waiting.end());
}

Duration returnDelay(PlaceQueue &queue, int urgency, int places, Duration maxDelay, double random, TimePoint now)
{
    const double interval = turnSeconds(queue, places) / ReturningFraction;
    TimePoint at = turnOf(queue, queue.waiting.size(), places, now);
    for (const auto &[other, next] : queue.nextReturnAt) {
        if (other <= urgency) {
            at = std::max(at, next);
        }
    }
    const Duration most = std::max(maxDelay, Duration(1));
    if (at > now + most) {
        // The booked times reach further than callers wait: spread over the second half of what they do.
        return fromSeconds(toSeconds(most) * (0.5 + 0.5 * random));
    }
    queue.nextReturnAt[urgency] = at + fromSeconds(interval);
    return std::min(most, at - now + fromSeconds(interval * random));
}

} // namespace Godwit
