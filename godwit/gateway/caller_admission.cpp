#include "godwit/gateway/caller_admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwit
{
namespace
{

// Rates over shorter intervals would be dominated by single reads and writes.
constexpr Duration MinRateInterval = std::chrono::milliseconds(10);
// A caller waits at most this fraction of its remaining time before it repeats a request.
constexpr int MaxWaitDivisor = 3;
// Fraction of the allowance that is reserved for returning requests.
constexpr double ReservedForReturns = 0.5;

double blend(double before, std::uint64_t bytes, double seconds, double keep)
{
    return before * keep + static_cast<double>(bytes) / seconds * (1 - keep);
}

bool isBusy(const CallerAdmissionState &state, const CallerAdmissionOptions &options, TimePoint now)
{
    const LinkShare share = linkShare(state, options);
    return std::max(share.in, share.out) > options.busyShare || recentLag(state, options, now) >= options.lagThreshold;
}

// The time that the link's queue needs to drain. A message waits in the queue for as long as it takes to drain; without
// a measured lag, the queue is what the rates exceed the link by within their averaging time.
Duration queueTime(const CallerAdmissionState &state, const CallerAdmissionOptions &options, TimePoint now)
{
    const LinkShare share = linkShare(state, options);
    const double excess = std::max(0.0, std::max(share.in, share.out) - 1);
    const auto queued = std::chrono::duration_cast<Duration>(options.rateTimeConstant * excess);
    return std::max(queued, recentLag(state, options, now));
}

// Returns whether a deferred request with this identity was expected, and forgets it.
bool takeExpected(CallerAdmissionState &state, std::uint64_t identity, TimePoint now)
{
    const auto found = state.expected.find(identity);
    if (found == state.expected.end()) {
        return false;
    }
    const bool inTime = now < found->second;
    state.expected.erase(found);
    return inTime;
}

void expectReturn(CallerAdmissionState &state,
                  std::uint64_t identity,
                  TimePoint until,
                  const CallerAdmissionOptions &options,
                  TimePoint now)
{
    auto &order = state.expectedOrder;
    while (!order.empty() && (order.front().second <= now || order.size() >= options.maxExpected)) {
        const auto found = state.expected.find(order.front().first);
        // An identity that was deferred again has a later entry of its own.
        if (found != state.expected.end() && found->second == order.front().second) {
            state.expected.erase(found);
        }
        order.pop_front();
    }
    state.expected[identity] = until;
    order.emplace_back(identity, until);
}

// While the link isn't busy the allowance is filled only up to the reserved part, so that new requests are deferred as
// soon as the link becomes busy.
void refill(ReturnAllowance &allowance, bool busy, double perSecond, double capacity, TimePoint now)
{
    const double limit = busy && allowance.linkWasBusy ? capacity : capacity * ReservedForReturns;
    const double added = perSecond * std::max(0.0, toSeconds(now - allowance.updatedAt));
    allowance.level = std::min(limit, allowance.level + added);
    allowance.updatedAt = now;
    allowance.linkWasBusy = busy;
}

bool tryTakeAllowance(ReturnAllowance &allowance, bool returning, double bytes, double capacity)
{
    if (allowance.level <= (returning ? 0 : capacity * ReservedForReturns)) {
        return false;
    }
    allowance.level -= bytes;
    return true;
}

} // namespace

void recordLag(CallerAdmissionState &state, Duration lag, TimePoint now)
{
    state.lag = lag;
    state.lagMeasuredAt = now;
}

void updateLinkRates(CallerAdmissionState &state, const CallerAdmissionOptions &options, TimePoint now)
{
    const Duration passed = now - state.countedAt;
    if (passed < MinRateInterval) {
        return;
    }
    const double keep = std::exp(-toSeconds(passed) / toSeconds(options.rateTimeConstant));
    const double seconds = toSeconds(passed);
    state.inPerSecond = blend(state.inPerSecond, state.bytes.in - state.countedBytes.in, seconds, keep);
    state.outPerSecond = blend(state.outPerSecond, state.bytes.out - state.countedBytes.out, seconds, keep);
    state.countedBytes = state.bytes;
    state.countedAt = now;
}

LinkShare linkShare(const CallerAdmissionState &state, const CallerAdmissionOptions &options)
{
    if (options.linkBytesPerSecond <= 0) {
        return {};
    }
    return {state.inPerSecond / options.linkBytesPerSecond, state.outPerSecond / options.linkBytesPerSecond};
}

Duration recentLag(const CallerAdmissionState &state, const CallerAdmissionOptions &options, TimePoint now)
{
    return now < state.lagMeasuredAt + options.lagValidity ? state.lag : Duration::zero();
}

CallerAdmissionDecision decideAdmission(CallerAdmissionState &state,
                                        const CallerAdmissionQuery &query,
                                        const CallerAdmissionOptions &options,
                                        double random,
                                        TimePoint now)
{
    if (query.bodyBytes && *query.bodyBytes <= options.exemptBodyBytes) {
        return {};
    }
    updateLinkRates(state, options, now);
    const bool returning = takeExpected(state, query.identity, now);
    const bool busy = isBusy(state, options, now);
    const double perSecond = options.returnShare * options.linkBytesPerSecond;
    const double capacity = perSecond * toSeconds(options.returnBurst);
    ReturnAllowance &allowance = state.allowances[query.route];
    refill(allowance, busy, perSecond, capacity, now);
    if (!busy) {
        return {};
    }
    const Duration queue = queueTime(state, options, now);
    const Duration base = std::max(queue, options.minRetryAfter);
    const Duration wait = base + std::chrono::duration_cast<Duration>(base * random);
    if (query.timeLeft < 2 * wait) {
        const bool hopeless = queue > query.timeLeft;
        return {hopeless ? CallerAdmissionOutcome::Refused : CallerAdmissionOutcome::Admitted, {}};
    }
    const auto bytes = static_cast<double>(query.bodyBytes.value_or(options.exemptBodyBytes));
    if (tryTakeAllowance(allowance, returning, bytes, capacity)) {
        return {};
    }
    expectReturn(state, query.identity, now + query.timeLeft, options, now);
    return {CallerAdmissionOutcome::Deferred, std::min(wait, query.timeLeft / MaxWaitDivisor)};
}

std::optional<std::uint64_t> takeLogLine(CallerAdmissionState &state,
                                         const CallerAdmissionOptions &options,
                                         TimePoint now)
{
    if (now >= state.logSecondStartedAt + std::chrono::seconds(1)) {
        state.logSecondStartedAt = now;
        state.linesInLogSecond = 0;
    }
    if (state.linesInLogSecond >= options.maxLogLinesPerSecond) {
        ++state.linesOmitted;
        return std::nullopt;
    }
    ++state.linesInLogSecond;
    return std::exchange(state.linesOmitted, 0);
}

} // namespace Godwit
