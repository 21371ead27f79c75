#include "godwit/routing/attempt_failure.h"

#include "godwit/routing/endpoint_choice.h"
#include "godwit/routing/endpoint_load.h"

#include <algorithm>
#include <utility>

namespace Godwit::internal
{
namespace
{

constexpr std::size_t DeathsToConvict = 2;

RoutedCall &callOf(EventContext &context, CallId id)
{
    return context.state.calls.at(id);
}

EndpointDeath deathOf(const RoutedEndpoint &endpoint, TimePoint at)
{
    return {processOf(endpoint.spec), endpoint.spec.host, endpoint.spec.dataCentre, at, {}};
}

SuspectNotice noticeOf(const EventContext &context,
                       const EndpointDeath &death,
                       std::uint64_t fingerprint,
                       SuspectStatus status)
{
    SuspectNotice notice;
    notice.fingerprint = fingerprint;
    notice.status = status;
    notice.endpoint = death.endpoint;
    notice.host = death.host;
    notice.dataCentre = death.dataCentre;
    notice.age = context.now - death.at;
    return notice;
}

void broadcastConviction(EventContext &context, std::uint64_t fingerprint)
{
    ++context.state.counters.convicted;
    SuspectNotice notice;
    notice.fingerprint = fingerprint;
    notice.status = SuspectStatus::Convicted;
    notice.refuseFor = remainingRefusal(context.state.suspects, fingerprint, context.now);
    context.out.emplace_back(BroadcastSuspect{std::move(notice)});
}

// Decides whether a failed call is retried. A call that may have run is retried only when it is repeatable, and only
// within the retry budget: otherwise a route that fails all calls would get a multiple of them.
bool mayRetry(EventContext &context, const RoutedCall &call)
{
    auto &state = context.state;
    const auto &faults = state.options.faults;
    if (call.execution != Execution::NotRun && !call.pending.repeatable && !faults.retryNotRepeatable) {
        return false;
    }
    if (call.attempts >= state.options.maxAttempts || call.deliveredAttempts >= state.options.maxDeliveredAttempts) {
        return false;
    }
    if (call.execution == Execution::NotRun || faults.noRetryBudget) {
        return true;
    }
    if (state.retryBudget < 1) {
        return false;
    }
    state.retryBudget -= 1;
    return true;
}

void failAfterAttempt(EventContext &context, CallId id)
{
    const auto &call = callOf(context, id);
    const bool repeatable = call.pending.repeatable || call.execution == Execution::NotRun;
    const auto kind = repeatable ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown;
    failCall(context,
             id,
             kind,
             repeatable ? "all attempts to run the request failed"
                        : "the attempt failed after the request was sent; it may have run");
}

void retryOrFail(EventContext &context, CallId id)
{
    auto &call = callOf(context, id);
    const auto route = call.route;
    if (mayRetry(context, call)) {
        ++context.state.counters.retried;
        queueRetry(context, call);
    } else {
        failAfterAttempt(context, id);
    }
    dispatchRoute(context, route);
}

// Records the call as in flight at a dying endpoint and notifies the other routers.
void recordSuspectCall(EventContext &context, RoutedEndpoint &endpoint, const RoutedCall &call)
{
    auto &state = context.state;
    if (!endpoint.deathPending || context.now > endpoint.diedAt + state.options.suspects.coincidenceWindow) {
        endpoint.deathPending = true;
        endpoint.diedAt = context.now;
        endpoint.noticesSent = 0;
        addTimer(
            context, context.now + state.options.suspects.coincidenceWindow, TimerKind::ConfirmDeath, call.endpoint);
    }
    const auto death = deathOf(endpoint, endpoint.diedAt);
    const auto fingerprint = call.pending.fingerprint;
    if (!recordSuspect(state.suspects, death, fingerprint)) {
        return;
    }
    // When a data centre fails, thousands of calls fail at once. Notices for all of them would flood the routers, and a
    // widespread failure is not evidence against any request.
    const bool told = endpoint.noticesSent >= state.options.maxNoticesPerDeath;
    if (told || isWidespreadFailure(state.suspects, context.now)) {
        return;
    }
    ++endpoint.noticesSent;
    context.out.emplace_back(BroadcastSuspect{noticeOf(context, death, fingerprint, SuspectStatus::Suspected)});
}

std::optional<TimePoint> trialAt(EventContext &context, const RoutedCall &call)
{
    const auto &state = context.state;
    const auto deaths = deathsInvolving(state.suspects, call.pending.fingerprint);
    if (deaths.empty()) {
        return std::nullopt;
    }
    const auto &last = *deaths.back();
    if (isWidespreadFailure(state.suspects, last.at)) {
        return std::nullopt;
    }
    if (deaths.size() >= DeathsToConvict) {
        return last.at + state.options.suspects.coincidenceWindow;
    }
    const auto rank = suspectRank(state.suspects, call.pending.fingerprint);
    const auto candidates = std::max<std::size_t>(1, suspectCandidateCount(state, call, context.now));
    return last.at + state.options.suspectNoticeWait
        + state.options.suspectTrialInterval * static_cast<std::int64_t>(rank / candidates);
}

bool suspectTrackingDisabled(const RoutingState &state)
{
    return state.options.faults.noSuspects;
}

// With RoutingFaults::convictOnFirstDeath, every request in flight at a death is refused.
void convictImmediately(EventContext &context, std::uint64_t fingerprint)
{
    recordConviction(context.state.suspects, fingerprint, context.now + context.state.options.suspects.refuseFor);
    broadcastConviction(context, fingerprint);
}

void broadcastCleared(EventContext &context,
                      const RoutedEndpoint &endpoint,
                      TimePoint at,
                      const std::vector<std::uint64_t> &fingerprints)
{
    std::size_t told = 0;
    for (const auto fingerprint : fingerprints) {
        if (++told > endpoint.noticesSent) {
            return;
        }
        const auto notice = noticeOf(context, deathOf(endpoint, at), fingerprint, SuspectStatus::Cleared);
        context.out.emplace_back(BroadcastSuspect{notice});
    }
}

} // namespace

std::optional<TimePoint> suspectTrialAt(EventContext &context, const RoutedCall &call)
{
    if (suspectTrackingDisabled(context.state)) {
        return std::nullopt;
    }
    if (context.state.options.faults.noIsolation
        && deathsInvolving(context.state.suspects, call.pending.fingerprint).size() < DeathsToConvict) {
        return std::nullopt;
    }
    return trialAt(context, call);
}

bool refuseIfConvicted(EventContext &context, const RoutedCall &call)
{
    const auto fingerprint = call.pending.fingerprint;
    if (verdictFor(context.state.suspects, fingerprint, context.now) != Verdict::Convicted) {
        return false;
    }
    ++context.state.counters.refusedSuspects;
    failCall(
        context, call.pending.call, ErrorKind::SuspectRequest, "endpoints crashed each time they ran this request");
    return true;
}

void onCrash(EventContext &context, CallId id)
{
    auto &state = context.state;
    auto &call = callOf(context, id);
    auto &endpoint = state.endpoints[call.endpoint];
    const auto route = call.route;
    ++state.counters.crashes;
    releaseFromEndpoint(context, call);
    call.execution = Execution::Unknown;
    ++call.deliveredAttempts;
    call.failedEndpoints.push_back(call.endpoint);
    openBreaker(endpoint, state.options, context.now);
    if (!suspectTrackingDisabled(state)) {
        recordSuspectCall(context, endpoint, call);
        if (state.options.faults.convictOnFirstDeath) {
            convictImmediately(context, call.pending.fingerprint);
        }
    }
    if (!mayRetry(context, call)) {
        failAfterAttempt(context, id);
    } else if (const auto trial = suspectTrialAt(context, call)) {
        ++state.counters.retried;
        quarantineSuspect(context, call, *trial);
    } else {
        ++state.counters.retried;
        call.suspect = false;
        queueRetry(context, call);
    }
    dispatchRoute(context, route);
}

void onConnectFailure(EventContext &context, CallId id)
{
    auto &state = context.state;
    auto &call = callOf(context, id);
    auto &endpoint = state.endpoints[call.endpoint];
    releaseFromEndpoint(context, call);
    call.failedEndpoints.push_back(call.endpoint);
    const bool knownDown = endpoint.breakerOpen;
    if (recordConnectFailure(endpoint, state.options, context.now) && !knownDown) {
        recordUnrelatedDeath(state.suspects, deathOf(endpoint, context.now));
    }
    retryOrFail(context, id);
}

void onRejection(EventContext &context, CallId id)
{
    auto &state = context.state;
    auto &call = callOf(context, id);
    auto &endpoint = state.endpoints[call.endpoint];
    releaseFromEndpoint(context, call);
    ++call.deliveredAttempts;
    closeBreaker(endpoint);
    endpoint.pausedUntil = context.now + state.options.rejectionBackoff;
    call.failedEndpoints.push_back(call.endpoint);
    retryOrFail(context, id);
}

void onTimeout(EventContext &context, CallId id)
{
    auto &call = callOf(context, id);
    auto &endpoint = context.state.endpoints[call.endpoint];
    releaseFromEndpoint(context, call);
    call.execution = Execution::Unknown;
    ++call.deliveredAttempts;
    call.failedEndpoints.push_back(call.endpoint);
    updateSlowness(
        endpoint, context.state.options, call.expectedSeconds, toSeconds(context.now - call.dispatchedAt), context.now);
    retryOrFail(context, id);
}

void clearByCompletion(EventContext &context, const RoutedCall &call)
{
    const auto fingerprint = call.pending.fingerprint;
    std::vector<EndpointDeath> deaths;
    for (const auto *death : deathsInvolving(context.state.suspects, fingerprint)) {
        deaths.push_back(*death);
    }
    for (const auto &death : deaths) {
        clearEvidenceAt(context.state.suspects, death.endpoint, fingerprint);
        context.out.emplace_back(BroadcastSuspect{noticeOf(context, death, fingerprint, SuspectStatus::Cleared)});
    }
}

void onQuarantineEnd(EventContext &context, CallId id)
{
    const auto found = context.state.calls.find(id);
    if (found == context.state.calls.end() || found->second.phase != CallPhase::Quarantined
        || found->second.quarantinedUntil > context.now) {
        return;
    }
    auto &call = found->second;
    const auto route = call.route;
    const auto fingerprint = call.pending.fingerprint;
    const bool wasConvicted = verdictFor(context.state.suspects, fingerprint, context.now) == Verdict::Convicted;
    if (!wasConvicted && evaluateSuspect(context.state.suspects, fingerprint, context.now) == Verdict::Convicted) {
        broadcastConviction(context, fingerprint);
    }
    if (refuseIfConvicted(context, call)) {
        return;
    }
    const auto *last = lastDeathInvolving(context.state.suspects, fingerprint);
    call.suspect = last && !isWidespreadFailure(context.state.suspects, last->at);
    queueRetry(context, call);
    dispatchRoute(context, route);
}

void confirmEndpointDeath(EventContext &context, std::uint32_t index)
{
    auto &state = context.state;
    auto &endpoint = state.endpoints[index];
    if (!endpoint.deathPending || context.now < endpoint.diedAt + state.options.suspects.coincidenceWindow) {
        return;
    }
    endpoint.deathPending = false;
    const bool survivors = std::any_of(endpoint.inFlight.begin(), endpoint.inFlight.end(), [&](CallId id) {
        return state.calls.at(id).dispatchedAt < endpoint.diedAt;
    });
    // When calls sent before the crash are still in flight, a single connection broke and the endpoint is alive. When
    // many endpoints die together, no request in flight is the cause.
    if (survivors) {
        closeBreaker(endpoint);
    }
    if (survivors || isWidespreadFailure(state.suspects, endpoint.diedAt)) {
        const auto cleared = retractDeath(state.suspects, processOf(endpoint.spec), endpoint.diedAt);
        broadcastCleared(context, endpoint, endpoint.diedAt, cleared);
        if (!survivors) {
            recordUnrelatedDeath(state.suspects, deathOf(endpoint, endpoint.diedAt));
        }
    }
}

} // namespace Godwit::internal
