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
// No ratio is computed before the fit has this many samples.
constexpr int MinFitSamples = 30;
// Spread of prompt sizes, as squared coefficient of variation, below which the fixed time can't be told apart.
constexpr double MinSizeVariation = 0.01;
// Shorter expected times are within the noise of the network.
constexpr double MinExpectedMilliseconds = 10;

// Time constant of the average of ratios.
constexpr double AveragingSeconds = 2;
// Bound of one ratio; larger ones are queueing or an interrupted host.
constexpr double MaxRatio = 8;
// Weight of a sample above the average, compared with one below it.
constexpr double SlowerSampleWeight = 0.5;
// Age does not reduce the weight of earlier samples below this, so that the next one counts at most a quarter, or a
// seventh if it is slower.
constexpr double MinPriorWeight = 3;
// A gap of this length starts a new average.
constexpr Duration NewAverageAfter = SpeedOptions{}.maxAge;
constexpr int MaxSamples = 1000;
// Bound of the routers whose samples are kept for one engine.
constexpr std::size_t MaxPeers = 64;

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

void addSamples(SpeedAverage &average, double logRatio, int samples, TimePoint now)
{
    if (average.samples == 0 || now - average.updatedAt > NewAverageAfter) {
        average = SpeedAverage{};
    } else {
        const double elapsed = std::max(0.0, toSeconds(now - average.updatedAt));
        const double aged = average.weight * std::exp(-elapsed / AveragingSeconds);
        average.weight = std::max(aged, std::min<double>(average.samples, MinPriorWeight));
    }
    const bool slower = average.samples > 0 && logRatio > average.logRatio;
    const double weight = samples * (slower ? SlowerSampleWeight : 1.0);
    average.weight += weight;
    average.logRatio += weight / average.weight * (logRatio - average.logRatio);
    average.samples = std::min(MaxSamples, average.samples + samples);
    average.updatedAt = now;
}

double boundedLog(double ratio)
{
    return std::log(std::clamp(ratio, 1 / MaxRatio, MaxRatio));
}

double ageWeight(Duration age, const SpeedOptions &options)
{
    if (age > options.maxAge) {
        return 0;
    }
    return age > options.halfWeightAge ? 0.5 : 1;
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

std::optional<Duration> expectedTime(const ServiceTimes &times, Tokens uncachedTokens)
{
    const double expected = predict(times, static_cast<double>(uncachedTokens));
    if (times.samples < MinFitSamples || expected < MinExpectedMilliseconds) {
        return std::nullopt;
    }
    return Duration(static_cast<Duration::rep>(expected * 1000));
}

void recordSpeedSample(EngineSpeed &speed, double ratio, TimePoint now)
{
    const double logRatio = boundedLog(ratio);
    addSamples(speed.own, logRatio, 1, now);
    if (speed.unreported.samples < MaxSamples) {
        speed.unreported.logRatioSum += logRatio;
        ++speed.unreported.samples;
    }
}

void recordPeerSpeed(EngineSpeed &speed, const Incarnation &peer, double ratio, int samples, TimePoint now)
{
    for (auto it = speed.peers.begin(); it != speed.peers.end();) {
        it = now - it->second.updatedAt > NewAverageAfter ? speed.peers.erase(it) : std::next(it);
    }
    if (samples <= 0 || (speed.peers.size() >= MaxPeers && speed.peers.count(peer) == 0)) {
        return;
    }
    addSamples(speed.peers[peer], boundedLog(ratio), std::min(samples, MaxSamples), now);
}

CombinedSpeed combineSpeeds(const EngineSpeed &speed, const SpeedOptions &options, TimePoint now)
{
    CombinedSpeed combined;
    double weight = 0;
    double sum = 0;
    const auto add = [&](const SpeedAverage &average) {
        const Duration age = now - average.updatedAt;
        const double part = average.samples == 0 ? 0 : ageWeight(age, options) * average.weight;
        if (part <= 0) {
            return;
        }
        combined.age = combined.samples == 0 ? age : std::min(combined.age, age);
        combined.samples += average.samples;
        weight += part;
        sum += part * average.logRatio;
    };
    add(speed.own);
    for (const auto &[peer, average] : speed.peers) {
        add(average);
    }
    if (weight > 0) {
        combined.ratio = std::exp(sum / weight);
    }
    return combined;
}

bool isOutsideBand(const CombinedSpeed &speed, const SpeedOptions &options)
{
    return speed.samples >= options.minSamples
        && (speed.ratio < options.minUncorrected || speed.ratio > options.maxUncorrected);
}

} // namespace Godwit
