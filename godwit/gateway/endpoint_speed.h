#pragma once

// Learns how fast a model engine is in relation to the others of its service.
//
// The expected time to the first event of a prompt is a fixed time plus a time per uncached token, learned per service
// from prompts that had no other prompt ahead of them. Each engine has a ratio of observed to expected time, averaged
// over the samples of this router and of the routers that report theirs. Only a ratio clearly above or below 1 is used.
//
// Pure functions: time is passed in.
//
// Example:
//   if (const auto expected = expectedTime(times, tokens)) {
//       recordSpeedSample(speed, toSeconds(took) / toSeconds(*expected), now);
//   }
//   recordServiceTime(times, tokens, took);
//   const CurrentSpeed current = currentSpeed(speed, options, now);
//   if (isOutsideBand(current.ratio, current.samples, options)) { ... multiply the expected time by it ... }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <optional>

namespace Godwit
{

struct SpeedOptions
{
    // A ratio between these bounds is not used: a correction there would change choices where engines are alike.
    double minUncorrected = 0.8;
    double maxUncorrected = 1.25;
    int minSamples = 4;
    // A ratio of this age counts half, and one older than `maxAge` not at all.
    Duration halfWeightAge = std::chrono::seconds(5);
    Duration maxAge = std::chrono::seconds(15);
    // Interval at which the ratios used in choices are updated.
    Duration refreshInterval = std::chrono::milliseconds(100);
};

// Expected time to the first event of a prompt at an engine of one service that has no other prompt to process, as a
// line over its uncached tokens.
struct ServiceTimes
{
    double fixedMilliseconds = 0;
    double millisecondsPerToken = 0; // 0: unknown.
    int samples = 0;
    // Sums over the samples, with exponentially decreasing weights, from which the line is fitted.
    double weight = 0;
    double tokens = 0;
    double squaredTokens = 0;
    double milliseconds = 0;
    double tokenMilliseconds = 0;
};

// Adds the time that a prompt took to the fit. The fit follows the faster three tenths of the samples, because queueing
// that this router does not know of and slow engines only lengthen the time.
void recordServiceTime(ServiceTimes &times, Tokens uncachedTokens, Duration took);

// Whether the fit is based on enough samples.
bool isFitted(const ServiceTimes &times);

// Unset if there is no fit yet, or if the time is so short that the network dominates it.
std::optional<Duration> expectedTime(const ServiceTimes &times, Tokens uncachedTokens);

// Samples of this router that have not been reported to the others.
struct UnreportedSpeed
{
    double logRatioSum = 0;
    int samples = 0;
};

// Speed of one run of an engine process: a moving average of the logarithm of the ratios that all routers observe.
struct EngineSpeed
{
    double logRatio = 0;
    double weight = 0; // Of the samples, decreasing with their age as of `updatedAt`.
    int samples = 0; // Since the last time without a sample for `SpeedOptions::maxAge`.
    TimePoint updatedAt;
    // Samples that were clearly slower than the average, without one in between that was not.
    int slowerSamples = 0;
    TimePoint slowerSince;
    UnreportedSpeed unreported;
    bool outsideBand = false; // As logged last.
};

// Records one ratio of observed to expected time that this router has observed.
//
// Samples that are clearly slower than the average have hardly any weight until there have been several of them and
// nothing else for two seconds, and samples that are clearly faster have twice the usual weight. A slow moment or an
// unknown queue of an otherwise fast engine therefore has little effect.
void recordSpeedSample(EngineSpeed &speed, double ratio, TimePoint now);

// Records the mean ratio of `samples` observations that another router reports. It has as much weight as if this router
// had observed them.
void recordPeerSpeed(EngineSpeed &speed, double ratio, int samples, TimePoint now);

// Ratio of an engine at one time.
struct CurrentSpeed
{
    double observed = 1; // As of the last sample.
    // To be used for new prompts: the deviation of `observed` from 1 halves every `SpeedOptions::halfWeightAge`, so
    // that an engine without prompts is tried again.
    double ratio = 1;
    int samples = 0; // 0 once the last one is older than `SpeedOptions::maxAge`.
    Duration age{}; // Of the last sample; meaningless without samples.
};

CurrentSpeed currentSpeed(const EngineSpeed &speed, const SpeedOptions &options, TimePoint now);

// Whether a ratio differs enough from 1, and is based on enough samples, to be used in choices.
bool isOutsideBand(double ratio, int samples, const SpeedOptions &options);

} // namespace Godwit
