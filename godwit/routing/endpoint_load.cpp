#include "godwit/routing/endpoint_load.h"

#include <algorithm>
#include <cmath>

namespace Godwit::internal
{
namespace
{

// A report counts for half after so long without a newer one.
constexpr Duration ReportHalfLife = std::chrono::seconds(10);
// Differences below this are noise of the network, not slowness.
constexpr double SlownessGrainSeconds = 0.02;
constexpr double SlownessGain = 0.2;
constexpr double MaxSlowness = 50;
constexpr double MinSlowness = 0.1;

// An older report does not bound the own calls any more.
constexpr Duration ReportLife = std::chrono::seconds(5);

double fadeOver(Duration age, Duration halfLife)
{
    return std::exp2(-toSeconds(std::max(age, Duration::zero())) / toSeconds(halfLife));
}

int ownInFlight(const RoutedEndpoint &endpoint)
{
    return static_cast<int>(endpoint.inFlight.size());
}

void noteInFlight(RoutedEndpoint &endpoint, TimePoint now)
{
    endpoint.history[endpoint.historyNext] = {now, ownInFlight(endpoint)};
    endpoint.historyNext = (endpoint.historyNext + 1) % InFlightHistory;
}

// The own calls in flight at `time`; at a time before the history begins, the oldest figure that is known.
int ownInFlightAt(const RoutedEndpoint &endpoint, TimePoint time)
{
    int oldest = 0;
    for (std::size_t i = 1; i <= InFlightHistory; ++i) {
        const auto &change = endpoint.history[(endpoint.historyNext + InFlightHistory - i) % InFlightHistory];
        if (change.at == TimePoint{}) {
            return 0;
        }
        if (change.at <= time) {
            return change.inFlight;
        }
        oldest = change.inFlight;
    }
    return oldest;
}

// Calls that the endpoint is given at most: its slots and a few that wait for the next free one.
double callLimit(const RoutingState &state, const RoutedEndpoint &endpoint)
{
    return endpoint.spec.slots * (1 + state.options.queueAhead);
}

// All routers see the same late report. If each filled the room that it shows, the endpoint would get that many times
// over and be out of use until the next report but one. So each takes its part, rounded by chance, or what is left
// beyond a reserve for the others; it always has an equal part of the whole, and gives way when the endpoint has more
// than it can hold.
int shareRoom(RoutingState &state, const RoutedEndpoint &endpoint, double total, int own)
{
    const double limit = callLimit(state, endpoint);
    const double routers = state.routers;
    const int equalPart = std::max(1, static_cast<int>(limit / routers));
    const double room = limit - total;
    if (room < 0) {
        return std::max(equalPart, static_cast<int>(own * limit / total));
    }
    const double reserve = endpoint.spec.slots * state.options.roomForOthers;
    const double part = std::max(room / routers + nextRandom(state), room - reserve);
    return std::max(equalPart, own + static_cast<int>(part));
}

} // namespace

Availability availabilityOf(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now)
{
    const auto &options = state.options;
    // The host list shows a leaving endpoint as live for seconds. New calls would be cut when it stops.
    const bool told = endpoint.leavingTold && now < endpoint.leavingToldAt + options.leavingMemory;
    const bool leaving = (endpoint.spec.leaving || told) && !options.faults.ignoreLeaving;
    if (!endpoint.listed || leaving) {
        return Availability::Closed;
    }
    if (now < endpoint.pausedUntil) {
        return Availability::Resting;
    }
    if (endpoint.breakerOpen && !options.faults.noBreaker) {
        const bool probing = !endpoint.inFlight.empty();
        return now < endpoint.breakerUntil || probing ? Availability::Resting : Availability::Ready;
    }
    return Availability::Ready;
}

TimePoint restsUntil(const RoutedEndpoint &endpoint)
{
    return endpoint.breakerOpen ? std::max(endpoint.pausedUntil, endpoint.breakerUntil) : endpoint.pausedUntil;
}

double estimatedLoad(const RoutedEndpoint &endpoint, TimePoint now)
{
    const double own = ownInFlight(endpoint);
    if (!endpoint.reported) {
        return own;
    }
    const double others = endpoint.othersLoad * fadeOver(now - endpoint.reportTakenAt, ReportHalfLife);
    return others + own;
}

double nextRandom(RoutingState &state)
{
    // xorshift64*: enough to keep routers from choosing in step.
    auto &x = state.random;
    x ^= x >> 12;
    x ^= x << 25;
    x ^= x >> 27;
    return static_cast<double>((x * 0x2545F4914F6CDD1DULL) >> 11) / 9007199254740992.0;
}

bool isFull(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now)
{
    const int own = ownInFlight(endpoint);
    if (endpoint.reported && now - endpoint.reportTakenAt < ReportLife) {
        return own >= endpoint.ownLimit;
    }
    return own >= callLimit(state, endpoint);
}

void noteDispatch(RoutedEndpoint &endpoint, const RoutedCall &call, TimePoint now)
{
    endpoint.inFlight.push_back(call.pending.call);
    endpoint.pendingPrefill += call.missTokens;
    endpoint.suspectsInFlight += call.suspect ? 1 : 0;
    noteInFlight(endpoint, now);
}

void noteRelease(RoutedEndpoint &endpoint, const RoutedCall &call, TimePoint now)
{
    auto &calls = endpoint.inFlight;
    const auto place = std::find(calls.begin(), calls.end(), call.pending.call);
    if (place != calls.end()) {
        *place = calls.back();
        calls.pop_back();
    }
    if (!call.firstToken) {
        endpoint.pendingPrefill -= call.missTokens;
    }
    if (calls.empty()) {
        // Also keeps rounding errors from adding up.
        endpoint.pendingPrefill = 0;
    }
    endpoint.suspectsInFlight -= call.suspect ? 1 : 0;
    noteInFlight(endpoint, now);
}

void noteReport(RoutingState &state, RoutedEndpoint &endpoint, const LoadReport &report, TimePoint now)
{
    const auto takenAt = now - report.age;
    if (endpoint.reported && takenAt < endpoint.reportTakenAt) {
        return;
    }
    const int own = ownInFlightAt(endpoint, takenAt);
    const double total = report.queued + report.running;
    const double others = std::max(0.0, total - own);
    endpoint.reported = true;
    endpoint.reportTakenAt = takenAt;
    endpoint.ownAtReport = own;
    endpoint.ownLimit = shareRoom(state, endpoint, total, own);
    endpoint.othersLoad = others;
    endpoint.othersQueued = total > 0 ? report.queued * others / total : 0;
    endpoint.kvUsed = report.kvUsed;
}

double slownessAt(const RoutingOptions &options, const RoutedEndpoint &endpoint, TimePoint now)
{
    const double kept = fadeOver(now - endpoint.slownessAt, options.slownessHalfLife);
    return std::pow(endpoint.slowness, kept);
}

void learnSlowness(
    RoutedEndpoint &endpoint, const RoutingOptions &options, double expectedSeconds, double seconds, TimePoint now)
{
    const double ratio = (seconds + SlownessGrainSeconds) / (expectedSeconds + SlownessGrainSeconds);
    const double bounded = std::clamp(ratio, MinSlowness, MaxSlowness);
    const double known = slownessAt(options, endpoint, now);
    endpoint.slowness = known + SlownessGain * (bounded - known);
    endpoint.slownessAt = now;
}

bool noteConnectFailure(RoutedEndpoint &endpoint, const RoutingOptions &options, TimePoint now)
{
    ++endpoint.connectFailures;
    if (!endpoint.breakerOpen && endpoint.connectFailures < options.breakerFailures) {
        return false;
    }
    openBreaker(endpoint, options, now);
    return true;
}

void openBreaker(RoutedEndpoint &endpoint, const RoutingOptions &options, TimePoint now)
{
    const auto doubled =
        endpoint.breakerOpen && now >= endpoint.breakerUntil ? endpoint.breakerTime * 2 : endpoint.breakerTime;
    endpoint.breakerTime = std::clamp(doubled, options.breakerOpen, options.maxBreakerOpen);
    endpoint.breakerOpen = true;
    endpoint.breakerUntil = std::max(endpoint.breakerUntil, now + endpoint.breakerTime);
}

void closeBreaker(RoutedEndpoint &endpoint)
{
    endpoint.connectFailures = 0;
    endpoint.breakerOpen = false;
    endpoint.breakerTime = Duration::zero();
    endpoint.breakerUntil = TimePoint{};
}

} // namespace Godwit::internal
