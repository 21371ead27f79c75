#include "godwit/gateway/speed_exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwit
{
namespace
{

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

// Fraction of a service's engines without enough samples above which no rates are used.
constexpr double MaxUnknownFraction = 0.25;
// Bound of the ratio of an engine without enough samples.
constexpr double MaxAssumedRatio = 4;

struct RatedEngine
{
    EngineLoad *load = nullptr;
    CurrentSpeed speed;
    double ratio = 1; // Of its queued prompts.
    double discount = 1; // For new prompts.
};

// Sets the ratios to use. Returns whether the engines differ and enough of them are known.
//
// An engine with too few samples is judged by its slowdown, compared with that of engines within the band: it would
// otherwise look faster than the known slow engines, and all routers would send it prompts until its first samples
// arrive.
bool setRatios(std::vector<RatedEngine> &engines, const SpeedOptions &options)
{
    std::size_t unknown = 0;
    std::size_t usual = 0;
    double usualSlowdown = 0;
    bool differ = false;
    for (RatedEngine &engine : engines) {
        if (engine.speed.samples < options.minSamples) {
            ++unknown;
        } else if (isOutsideBand(engine.speed.observed, engine.speed.samples, options)) {
            engine.ratio = engine.speed.observed;
            const bool outside = isOutsideBand(engine.speed.ratio, engine.speed.samples, options);
            engine.discount = (outside ? engine.speed.ratio : 1) / engine.speed.observed;
            differ = true;
        } else {
            ++usual;
            usualSlowdown += engine.load->slowdown;
        }
    }
    for (RatedEngine &engine : engines) {
        if (engine.speed.samples < options.minSamples && usual > 0) {
            const double relative = engine.load->slowdown * static_cast<double>(usual) / usualSlowdown;
            engine.ratio = std::clamp(relative, 1.0, MaxAssumedRatio);
        }
    }
    return differ && static_cast<double>(unknown) <= MaxUnknownFraction * static_cast<double>(engines.size());
}

} // namespace

void recordFirstEvent(EndpointTable &table, EndpointState &endpoint, PrefillId prefill, TimePoint now)
{
    const std::string &service = endpoint.listed.service;
    const auto finished = finishPrefill(endpoint.load, table.prefillSpeeds[service], prefill, now);
    if (!table.shareSpeeds || !finished || finished->queuedBehindOthers) {
        return;
    }
    ServiceTimes &times = table.speeds[service].times;
    const auto expected = expectedTime(times, finished->tokens);
    if (expected && finished->rateKnown) {
        recordSpeedSample(endpoint.speed, milliseconds(finished->took) / milliseconds(*expected), now);
    }
    recordServiceTime(times, finished->tokens, finished->took);
}

std::vector<SpeedReport> takeSpeedReports(EndpointTable &table, std::size_t most)
{
    std::vector<EndpointState *> unreported;
    for (auto &[id, endpoint] : table.endpoints) {
        if (table.shareSpeeds && endpoint.speed.unreported.samples > 0) {
            unreported.push_back(&endpoint);
        }
    }
    std::stable_sort(unreported.begin(), unreported.end(), [](const EndpointState *a, const EndpointState *b) {
        return a->speed.unreported.samples > b->speed.unreported.samples;
    });
    unreported.resize(std::min(unreported.size(), most));
    std::vector<SpeedReport> reports;
    for (EndpointState *endpoint : unreported) {
        const UnreportedSpeed taken = std::exchange(endpoint->speed.unreported, {});
        reports.push_back({endpoint->listed.id,
                           endpoint->listed.startedAt,
                           std::exp(taken.logRatioSum / taken.samples),
                           std::min(taken.samples, MaxReportedSamples)});
    }
    return reports;
}

void applySpeedReports(EndpointTable &table, const std::vector<SpeedReport> &reports, TimePoint now)
{
    if (!table.shareSpeeds) {
        return;
    }
    for (const SpeedReport &report : reports) {
        if (EndpointState *endpoint = findIncarnation(table, report.endpoint, report.startedAt)) {
            recordPeerSpeed(endpoint->speed, report.ratio, report.samples, now);
        }
    }
}

void refreshRates(EndpointTable &table, const std::string &service, TimePoint now)
{
    if (!table.shareSpeeds) {
        return;
    }
    ServiceSpeeds &speeds = table.speeds[service];
    const auto listed = table.byService.find(service);
    if (now < speeds.refreshAt || listed == table.byService.end()) {
        return;
    }
    speeds.refreshAt = now + table.speedOptions.refreshInterval;
    if (!isFitted(speeds.times)) {
        return;
    }
    std::vector<RatedEngine> engines;
    engines.reserve(listed->second.size());
    for (const EndpointId &id : listed->second) {
        EndpointState &endpoint = table.endpoints.at(id);
        engines.push_back({&endpoint.load, currentSpeed(endpoint.speed, table.speedOptions, now)});
    }
    const bool used = setRatios(engines, table.speedOptions);
    for (const RatedEngine &engine : engines) {
        engine.load->rate = {speeds.times.fixedMilliseconds * engine.ratio,
                             speeds.times.millisecondsPerToken * engine.ratio,
                             engine.discount};
        engine.load->usesRate = used;
    }
}

std::vector<SpeedChange> takeSpeedChanges(EndpointTable &table, TimePoint now)
{
    std::vector<SpeedChange> changes;
    if (!table.shareSpeeds) {
        return changes;
    }
    for (auto &[id, endpoint] : table.endpoints) {
        const CurrentSpeed current = currentSpeed(endpoint.speed, table.speedOptions, now);
        const bool outside = isOutsideBand(current.ratio, current.samples, table.speedOptions);
        if (outside != std::exchange(endpoint.speed.outsideBand, outside)) {
            changes.push_back({id, current, outside});
        }
    }
    return changes;
}

} // namespace Godwit
