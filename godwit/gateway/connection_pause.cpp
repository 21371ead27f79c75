#include "godwit/gateway/connection_pause.h"

#include <algorithm>

namespace Godwit
{
namespace
{

constexpr Duration RateInterval = std::chrono::milliseconds(500);
// Factor by which the maximum rate decays per interval.
constexpr double RateDecay = 0.85;
// The queue may have drained or grown since an older measurement.
constexpr Duration LagValidity = std::chrono::seconds(1);

bool isOverloaded(const ConnectionPauseState &pauses, const ConnectionPauseOptions &options)
{
    return pauses.requestsPerSecond > options.overloadUtilization * options.capacity;
}

Duration currentLag(const ConnectionPauseState &pauses, TimePoint now)
{
    return now < pauses.lagMeasuredAt + LagValidity ? pauses.lag : Duration::zero();
}

} // namespace

void recordRequestCount(ConnectionPauseState &pauses, std::uint64_t requests, TimePoint now)
{
    const Duration passed = now - pauses.countedAt;
    if (passed < RateInterval) {
        return;
    }
    const double rate = static_cast<double>(requests - pauses.countedRequests) / toSeconds(passed);
    pauses.requestsPerSecond = std::max(rate, pauses.requestsPerSecond * RateDecay);
    pauses.countedRequests = requests;
    pauses.countedAt = now;
}

void recordMessageLag(ConnectionPauseState &pauses, Duration lag, TimePoint now)
{
    pauses.lag = lag;
    pauses.lagMeasuredAt = now;
}

bool shouldCloseConnections(const ConnectionPauseState &pauses, const ConnectionPauseOptions &options, TimePoint now)
{
    return currentLag(pauses, now) >= options.closeConnectionsLag && isOverloaded(pauses, options);
}

std::optional<Duration> computePause(ConnectionPauseState &pauses,
                                     bool stale,
                                     const ConnectionPauseOptions &options,
                                     TimePoint now)
{
    const Duration lag = currentLag(pauses, now);
    const bool late = lag >= (options.defersRequests ? options.deferringLagThreshold : options.lagThreshold);
    if (!(late || stale) || !isOverloaded(pauses, options) || now < pauses.pausedUntil + options.minInterval) {
        return std::nullopt;
    }
    const auto drains = std::chrono::duration_cast<Duration>(lag * options.drainFactor);
    const Duration pause = std::min(std::max(drains, stale ? options.stalePause : Duration::zero()), options.maxPause);
    pauses.pausedUntil = now + pause;
    pauses.lagMeasuredAt = TimePoint{};
    return pause;
}

} // namespace Godwit
