#include "godwit/routing/endpoint_load.h"

#include <algorithm>
#include <cmath>

namespace Godwit::internal
{
namespace
{

// Differences of this size are network jitter, not slowness.
constexpr double SlownessNoiseSeconds = 0.02;
constexpr double SlownessGain = 0.2;
constexpr double MaxSlowness = 50;
constexpr double MinSlowness = 0.1;

// A report older than this does not limit the calls of this router by itself.
constexpr Duration MaxReportAge = std::chrono::seconds(5);
// Without a recent report, this router's calls at an endpoint may exceed their mean over all endpoints by this factor.
constexpr double MaxRatioToMean = 1.25;

double decayFactor(Duration age, Duration halfLife)
{
    return std::exp2(-toSeconds(std::max(age, Duration::zero())) / toSeconds(halfLife));
}

int ownInFlight(const RoutedEndpoint &endpoint)
{
    return static_cast<int>(endpoint.inFlight.size());
}

void recordInFlight(RoutedEndpoint &endpoint, TimePoint now)
{
    endpoint.history[endpoint.historyNext] = {now, ownInFlight(endpoint)};
    endpoint.historyNext = (endpoint.historyNext + 1) % InFlightHistorySize;
}

// Returns this router's calls in flight at `time`. For a time before the history begins, returns the oldest known
// figure.
int ownInFlightAt(const RoutedEndpoint &endpoint, TimePoint time)
{
    int oldest = 0;
    for (std::size_t i = 1; i <= InFlightHistorySize; ++i) {
        const auto &change = endpoint.history[(endpoint.historyNext + InFlightHistorySize - i) % InFlightHistorySize];
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

// Maximum number of calls at the endpoint: its slots, plus those that may wait there for the next free slot.
double callLimit(const RoutingState &state, const RoutedEndpoint &endpoint)
{
    return endpoint.spec.slots * (1 + state.options.queueAheadFraction);
}

// Interpolates between the load in the last report and the assumed one: the older the report, the less weight it has.
double blendWithReport(double presumed, const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now)
{
    const double kept = decayFactor(now - endpoint.reportTakenAt, state.options.reportHalfLife);
    return presumed + (endpoint.otherRoutersLoad - presumed) * kept;
}

// Mean load of the other routers. The mean over all endpoints stays valid for longer than the report of a single one.
double meanOthersLoad(const RoutedRoute &route)
{
    return route.otherRoutersLoad / std::max(1, route.reporting);
}

// Estimated load of the other routers, used to limit the calls of this router.
double othersLoadForLimit(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now)
{
    return blendWithReport(meanOthersLoad(state.routes[endpoint.route]), state, endpoint, now);
}

// Estimated load of the other routers, used to choose an endpoint. Where it is unknown, the other routers are assumed
// to prefer the same endpoints as this one, because of the same cached prompts.
double othersLoadForChoice(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now)
{
    const auto &route = state.routes[endpoint.route];
    const double ownMean = static_cast<double>(route.inFlight) / std::max(1, route.reporting);
    const double likeOwn = (state.routerCount - 1) * (ownInFlight(endpoint) - ownMean);
    const double presumed = std::max(0.0, meanOthersLoad(route) + likeOwn);
    return blendWithReport(presumed, state, endpoint, now);
}

// Computes how many calls this router may have at the endpoint until the next report. All routers see the same late
// report. If each of them filled the free slots that it shows, the endpoint would get that many calls several times
// over and be overloaded until the next report but one. So each router takes its share of the free slots, rounded
// randomly, or the free slots beyond a reserve for the others, whichever is more. It always keeps an equal share of all
// slots, and reduces its calls in proportion when the endpoint has more than its limit.
int computeOwnLimit(RoutingState &state, const RoutedEndpoint &endpoint, double total, int own)
{
    const double limit = callLimit(state, endpoint);
    const double routers = state.routerCount;
    const int equalPart = static_cast<int>(limit / routers + endpoint.equalPartRounding);
    const double room = limit - total;
    if (room < 0) {
        return std::max(equalPart, static_cast<int>(own * limit / total));
    }
    const double reserve = endpoint.spec.slots * state.options.slotReserveFraction;
    const double part = std::max(room / routers + nextRandom(state), room - reserve);
    return std::max(equalPart, own + static_cast<int>(part));
}

} // namespace

Availability availabilityOf(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now)
{
    const auto &options = state.options;
    // The host list shows a leaving endpoint as live for seconds. New calls would be cut off when it stops.
    const bool told = endpoint.leavingNotified && now < endpoint.leavingNotifiedAt + options.leavingNoticeTtl;
    const bool leaving = (endpoint.spec.leaving || told) && !options.faults.ignoreLeaving;
    if (!endpoint.listed || leaving) {
        return Availability::Unavailable;
    }
    if (now < endpoint.pausedUntil) {
        return Availability::Paused;
    }
    if (endpoint.breakerOpen && !options.faults.noBreaker) {
        const bool probing = !endpoint.inFlight.empty();
        return now < endpoint.breakerUntil || probing ? Availability::Paused : Availability::Ready;
    }
    return Availability::Ready;
}

const EndpointId &processOf(const EndpointSpec &spec)
{
    return spec.process.value.empty() ? spec.id : spec.process;
}

TimePoint availableAt(const RoutedEndpoint &endpoint)
{
    return endpoint.breakerOpen ? std::max(endpoint.pausedUntil, endpoint.breakerUntil) : endpoint.pausedUntil;
}

double estimatedLoad(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now)
{
    const double own = ownInFlight(endpoint);
    return endpoint.reported ? own + othersLoadForChoice(state, endpoint, now) : own;
}

double nextRandom(RoutingState &state)
{
    // xorshift64*: good enough to keep routers from making the same choices.
    auto &x = state.randomState;
    x ^= x >> 12;
    x ^= x << 25;
    x ^= x >> 27;
    return static_cast<double>((x * 0x2545F4914F6CDD1DULL) >> 11) / 9007199254740992.0;
}

bool isFull(const RoutingState &state, const RoutedEndpoint &endpoint, TimePoint now)
{
    const int own = ownInFlight(endpoint);
    const double limit = callLimit(state, endpoint);
    if (!endpoint.reported) {
        return own >= limit;
    }
    if (now - endpoint.reportTakenAt < MaxReportAge) {
        return own >= endpoint.ownLimit;
    }
    // The load of the other routers at this endpoint is not known any more. Their calls are attracted to it as those of
    // this router are, so the latter are kept near their mean over all endpoints.
    const auto &route = state.routes[endpoint.route];
    const double mean = static_cast<double>(route.inFlight) / std::max(1, route.reporting);
    const bool aboveMean = own >= mean * MaxRatioToMean + 1;
    return aboveMean || (own >= endpoint.ownLimit && own + othersLoadForLimit(state, endpoint, now) >= limit);
}

void recordDispatch(RoutedEndpoint &endpoint, const RoutedCall &call, TimePoint now)
{
    endpoint.inFlight.push_back(call.pending.call);
    endpoint.pendingPrefill += call.uncachedTokens;
    endpoint.suspectsInFlight += call.suspect ? 1 : 0;
    recordInFlight(endpoint, now);
}

void recordRelease(RoutedEndpoint &endpoint, const RoutedCall &call, TimePoint now)
{
    auto &calls = endpoint.inFlight;
    const auto place = std::find(calls.begin(), calls.end(), call.pending.call);
    if (place != calls.end()) {
        *place = calls.back();
        calls.pop_back();
    }
    if (!call.firstToken) {
        endpoint.pendingPrefill -= call.uncachedTokens;
    }
    if (calls.empty()) {
        // Keeps rounding errors from accumulating.
        endpoint.pendingPrefill = 0;
    }
    endpoint.suspectsInFlight -= call.suspect ? 1 : 0;
    recordInFlight(endpoint, now);
}

void recordLoadReport(RoutingState &state, RoutedEndpoint &endpoint, const LoadReport &report, TimePoint now)
{
    const auto takenAt = now - report.age;
    if (endpoint.reported && takenAt < endpoint.reportTakenAt) {
        return;
    }
    const int own = ownInFlightAt(endpoint, takenAt);
    const double total = report.queued + report.running;
    const double others = std::max(0.0, total - own);
    auto &route = state.routes[endpoint.route];
    route.reporting += endpoint.reported ? 0 : 1;
    route.otherRoutersLoad += others - endpoint.otherRoutersLoad;
    endpoint.reported = true;
    endpoint.reportTakenAt = takenAt;
    endpoint.otherRoutersLoad = others;
    endpoint.ownLimit = computeOwnLimit(state, endpoint, own + othersLoadForLimit(state, endpoint, now), own);
    endpoint.otherRoutersQueued = total > 0 ? report.queued * others / total : 0;
    endpoint.kvUsed = report.kvUsed;
}

double slownessAt(const RoutingOptions &options, const RoutedEndpoint &endpoint, TimePoint now)
{
    const double kept = decayFactor(now - endpoint.slownessAt, options.slownessHalfLife);
    return std::pow(endpoint.slowness, kept);
}

void updateSlowness(
    RoutedEndpoint &endpoint, const RoutingOptions &options, double expectedSeconds, double seconds, TimePoint now)
{
    const double ratio = (seconds + SlownessNoiseSeconds) / (expectedSeconds + SlownessNoiseSeconds);
    const double bounded = std::clamp(ratio, MinSlowness, MaxSlowness);
    const double known = slownessAt(options, endpoint, now);
    endpoint.slowness = known + SlownessGain * (bounded - known);
    endpoint.slownessAt = now;
}

bool recordConnectFailure(RoutedEndpoint &endpoint, const RoutingOptions &options, TimePoint now)
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
    endpoint.breakerTime = std::clamp(doubled, options.breakerOpenTime, options.maxBreakerOpenTime);
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
