#include "godwit/gateway/endpoint_speed.h"

#include <algorithm>
#include <cmath>

namespace Godwit
{
namespace
{

// The fit is the 0.3 quantile of the samples: weights of samples above and below the expected time. A lower quantile
// would follow the few prompts whose prefix was cached without this router's knowledge.
constexpr double SlowerFitWeight = 0.3;
constexpr double FasterFitWeight = 0.7;
// Smallest relative deviation by which a sample's weight is divided; bounds the weight of exact samples.
constexpr double MinDeviation = 0.05;
// The fit forgets samples over this many further ones. It is short at the start, when the weights of the first samples
// are based on an inaccurate fit.
constexpr int InitialMemory = 8;
constexpr int FitMemory = 400;
// Samples from which on the fit is used.
constexpr int MinFitSamples = 20;
// Spread of prompt sizes, as squared coefficient of variation, below which the fixed time can't be told apart.
constexpr double MinSizeVariation = 0.01;
// Shorter expected times are within the noise of the network.
constexpr double MinExpectedMilliseconds = 10;

// Time constant of the average of ratios.
constexpr double AveragingSeconds = 2;
// Bound of one ratio; larger ones are queueing or an interrupted host.
constexpr double MaxRatio = 8;
// Logarithm of the ratio of a sample to the average from which on it is clearly slower or faster.
constexpr double ClearDifference = 0.2;
// Weight of clearly slower samples until there have been `LastingSamples` within at least `SlowMoment` and nothing
// else. Engines are slow for some tenths of a second at times, and prompts behind unknown ones look the same.
constexpr double SlowMomentWeight = 0.02;
constexpr Duration SlowMoment = std::chrono::seconds(2);
constexpr int LastingSamples = 4;
// Weight of clearly faster samples: neither queues nor slow moments make an engine look fast.
constexpr double FasterSampleWeight = 2;
// Age does not reduce the weight of earlier samples below this, so that the next one counts at most a third.
constexpr double MinPriorWeight = 2;
// A gap of this length starts a new average.
constexpr Duration NewAverageAfter = SpeedOptions{}.maxAge;
constexpr int MaxSamples = 1000;

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

double predict(const ServiceTimes &times, double tokens)
{
    return times.fixedMilliseconds + times.millisecondsPerToken * tokens;
}

// Weighted least squares of the sums in `times`; neither coefficient is negative.
void fitLine(ServiceTimes &times)
{
    const double determinant = times.weight * times.squaredTokens - times.tokens * times.tokens;
    times.fixedMilliseconds = 0;
    times.millisecondsPerToken = times.tokenMilliseconds / times.squaredTokens;
    if (determinant < MinSizeVariation * times.tokens * times.tokens) {
        return;
    }
    const double perToken = (times.weight * times.tokenMilliseconds - times.tokens * times.milliseconds) / determinant;
    const double fixed = (times.milliseconds - perToken * times.tokens) / times.weight;
    if (perToken > 0 && fixed > 0) {
        times.fixedMilliseconds = fixed;
        times.millisecondsPerToken = perToken;
    }
}

void addSamples(EngineSpeed &speed, double logRatio, int samples, TimePoint now)
{
    if (speed.samples == 0 || now - speed.updatedAt > NewAverageAfter) {
        speed.weight = 0;
        speed.samples = 0;
        speed.slowerSamples = 0;
    } else {
        const double elapsed = std::max(0.0, toSeconds(now - speed.updatedAt));
        const double aged = speed.weight * std::exp(-elapsed / AveragingSeconds);
        speed.weight = std::max(aged, std::min(speed.weight, MinPriorWeight));
    }
    double weight = samples;
    if (speed.samples == 0 || logRatio <= speed.logRatio + ClearDifference) {
        speed.slowerSamples = 0;
        weight *= logRatio < speed.logRatio - ClearDifference ? FasterSampleWeight : 1;
    } else {
        speed.slowerSince = speed.slowerSamples == 0 ? now : speed.slowerSince;
        speed.slowerSamples = std::min(MaxSamples, speed.slowerSamples + samples);
        const bool lasting = now - speed.slowerSince >= SlowMoment && speed.slowerSamples >= LastingSamples;
        weight *= lasting ? 1 : SlowMomentWeight;
    }
    speed.weight += weight;
    speed.logRatio =
        speed.samples == 0 ? logRatio : speed.logRatio + weight / speed.weight * (logRatio - speed.logRatio);
    speed.samples = std::min(MaxSamples, speed.samples + samples);
    speed.updatedAt = now;
}

double boundedLog(double ratio)
{
    return std::log(std::clamp(ratio, 1 / MaxRatio, MaxRatio));
}

} // namespace

void recordServiceTime(ServiceTimes &times, Tokens uncachedTokens, Duration took)
{
    if (uncachedTokens <= 0 || took <= Duration::zero()) {
        return;
    }
    const auto tokens = static_cast<double>(uncachedTokens);
    const double observed = milliseconds(took);
    const double expected = times.samples == 0 ? observed : predict(times, tokens);
    const double deviation = (observed - expected) / expected;
    const double weight = (deviation > 0 ? SlowerFitWeight : FasterFitWeight)
        / std::max(std::abs(deviation), MinDeviation) / (expected * expected);
    const double kept = 1.0 - 1.0 / std::min(InitialMemory + times.samples, FitMemory);
    times.weight = times.weight * kept + weight;
    times.tokens = times.tokens * kept + weight * tokens;
    times.squaredTokens = times.squaredTokens * kept + weight * tokens * tokens;
    times.milliseconds = times.milliseconds * kept + weight * observed;
    times.tokenMilliseconds = times.tokenMilliseconds * kept + weight * tokens * observed;
    times.samples = std::min(FitMemory, times.samples + 1);
    fitLine(times);
}

bool isFitted(const ServiceTimes &times)
{
    return times.samples >= MinFitSamples;
}

std::optional<Duration> expectedTime(const ServiceTimes &times, Tokens uncachedTokens)
{
    const double expected = predict(times, static_cast<double>(uncachedTokens));
    if (!isFitted(times) || expected < MinExpectedMilliseconds) {
        return std::nullopt;
    }
    return Duration(static_cast<Duration::rep>(expected * 1000));
}

void recordSpeedSample(EngineSpeed &speed, double ratio, TimePoint now)
{
    const double logRatio = boundedLog(ratio);
    addSamples(speed, logRatio, 1, now);
    if (speed.unreported.samples < MaxSamples) {
        speed.unreported.logRatioSum += logRatio;
        ++speed.unreported.samples;
    }
}

void recordPeerSpeed(EngineSpeed &speed, double ratio, int samples, TimePoint now)
{
    addSamples(speed, boundedLog(ratio), std::clamp(samples, 1, MaxSamples), now);
}

CurrentSpeed currentSpeed(const EngineSpeed &speed, const SpeedOptions &options, TimePoint now)
{
    CurrentSpeed current;
    const Duration age = std::max(Duration::zero(), now - speed.updatedAt);
    if (speed.samples > 0 && age <= options.maxAge) {
        current.observed = std::exp(speed.logRatio);
        current.ratio = std::exp(speed.logRatio * std::exp2(-toSeconds(age) / toSeconds(options.halfWeightAge)));
        current.samples = speed.samples;
        current.age = age;
    }
    return current;
}

bool isOutsideBand(double ratio, int samples, const SpeedOptions &options)
{
    return samples >= options.minSamples && (ratio < options.minUncorrected || ratio > options.maxUncorrected);
}

} // namespace Godwit
