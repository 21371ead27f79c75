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
//   const CombinedSpeed combined = combineSpeeds(speed, options, now);
//   if (isOutsideBand(combined, options)) { ... multiply the expected time by combined.ratio ... }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <map>
#include <optional>

namespace Godwit
{

struct SpeedOptions
{
    // A ratio between these bounds is not used: a correction there would change choices where engines are alike.
    double minUncorrected = 0.8;
    double maxUncorrected = 1.25;
    int minSamples = 4;
    // Ratios older than this have half the weight, and ratios older than `maxAge` none.
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

// Unset if there are too few samples, or if the time is so short that the network dominates it.
std::optional<Duration> expectedTime(const ServiceTimes &times, Tokens uncachedTokens);

// Moving average of the logarithm of ratios from one router.
struct SpeedAverage
{
    double logRatio = 0;
    double weight = 0; // Of the samples, decreasing with their age as of `updatedAt`.
    int samples = 0; // Since the last time without a sample for `SpeedOptions::maxAge`.
    TimePoint updatedAt;
};

// Samples of this router that have not been reported to the others.
struct UnreportedSpeed
{
    double logRatioSum = 0;
    int samples = 0;
};

// Speed of one run of an engine process.
struct EngineSpeed
{
    SpeedAverage own;
    std::map<Incarnation, SpeedAverage> peers;
    UnreportedSpeed unreported;
    bool outsideBand = false; // As logged last.
};

// Records one ratio of observed to expected time. A slower sample has half the weight of a faster one, and one sample
// never replaces the average, so that a slow moment or an unknown queue of an otherwise fast engine has little effect.
void recordSpeedSample(EngineSpeed &speed, double ratio, TimePoint now);

// Records the mean ratio of `samples` observations that another router reports.
void recordPeerSpeed(EngineSpeed &speed, const Incarnation &peer, double ratio, int samples, TimePoint now);

struct CombinedSpeed
{
    double ratio = 1;
    int samples = 0;
    Duration age{}; // Of the newest sample; meaningless without samples.
};

// Returns the mean over all routers, weighted by samples.
CombinedSpeed combineSpeeds(const EngineSpeed &speed, const SpeedOptions &options, TimePoint now);

// Whether the ratio differs enough from 1, and is based on enough samples, to be used in choices.
bool isOutsideBand(const CombinedSpeed &speed, const SpeedOptions &options);

} // namespace Godwit
