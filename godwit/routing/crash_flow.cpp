#include "godwit/routing/crash_flow.h"

#include "godwit/routing/endpoint_choice.h"
#include "godwit/routing/endpoint_load.h"

#include <algorithm>
#include <utility>

namespace Godwit::internal
{
namespace
{

constexpr std::size_t DeathsToConvict = 2;

RoutedCall &callOf(Step &step, CallId id)
{
    return step.state.calls.at(id);
}

EndpointDeath deathOf(const RoutedEndpoint &endpoint, TimePoint at)
{
    return {processOf(endpoint.spec), endpoint.spec.host, endpoint.spec.dataCentre, at, {}};
}

SuspectNotice noticeOf(const Step &step, const EndpointDeath &death, std::uint64_t fingerprint, SuspectStatus status)
{
    SuspectNotice notice;
    notice.fingerprint = fingerprint;
    notice.status = status;
    notice.endpoint = death.endpoint;
    notice.host = death.host;
    notice.dataCentre = death.dataCentre;
    notice.age = step.now - death.at;
    return notice;
}

void tellConviction(Step &step, std::uint64_t fingerprint)
{
    ++step.state.counters.convicted;
    SuspectNotice notice;
    notice.fingerprint = fingerprint;
    notice.status = SuspectStatus::Convicted;
    notice.refuseFor = remainingRefusal(step.state.suspects, fingerprint, step.now);
    step.out.emplace_back(TellSuspect{std::move(notice)});
}

// Decides whether a call that has failed is sent again. Calls that may have run are sent again only when they are
// repeatable, and only while retries are a small part of the traffic: a route that fails all calls would otherwise get
// a multiple of them.
bool mayRetry(Step &step, const RoutedCall &call)
{
    auto &state = step.state;
    const auto &faults = state.options.faults;
    if (call.execution != Execution::NotRun && !call.pending.repeatable && !faults.retryNotRepeatable) {
        return false;
    }
    if (call.attempts >= state.options.maxAttempts || call.runs >= state.options.maxRuns) {
        return false;
    }
    if (call.execution == Execution::NotRun || faults.noRetryBudget) {
        return true;
    }
    if (state.retryAllowance < 1) {
        return false;
    }
    state.retryAllowance -= 1;
    return true;
}

void endFailed(Step &step, CallId id)
{
    const auto &call = callOf(step, id);
    const bool repeatable = call.pending.repeatable || call.execution == Execution::NotRun;
    const auto kind = repeatable ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown;
    giveUp(
        step, id, kind, repeatable ? "the endpoints failed on it" : "the endpoint failed after the request was sent");
}

void retryOrEnd(Step &step, CallId id)
{
    auto &call = callOf(step, id);
    const auto route = call.route;
    if (mayRetry(step, call)) {
        ++step.state.counters.retried;
        sendAgain(step, call);
    } else {
        endFailed(step, id);
    }
    pumpRoute(step, route);
}

// Notes the call among those in flight at a dying endpoint and tells the other routers.
void suspectCall(Step &step, RoutedEndpoint &endpoint, const RoutedCall &call)
{
    auto &state = step.state;
    if (!endpoint.dying || step.now > endpoint.diedAt + state.options.suspects.coincidenceWindow) {
        endpoint.dying = true;
        endpoint.diedAt = step.now;
        endpoint.noticesTold = 0;
        addTimer(step, step.now + state.options.suspects.coincidenceWindow, TimerKind::JudgeDeath, call.endpoint);
    }
    const auto death = deathOf(endpoint, endpoint.diedAt);
    const auto fingerprint = call.pending.fingerprint;
    if (!recordSuspect(state.suspects, death, fingerprint)) {
        return;
    }
    // When a data centre goes, thousands of calls fail at once: telling them all would flood the routers, and the
    // deaths count against nobody anyway.
    const bool told = endpoint.noticesTold >= state.options.maxNoticesPerDeath;
    if (told || isWidespreadFailure(state.suspects, step.now)) {
        return;
    }
    ++endpoint.noticesTold;
    step.out.emplace_back(TellSuspect{noticeOf(step, death, fingerprint, SuspectStatus::Suspected)});
}

std::optional<TimePoint> trialAt(Step &step, const RoutedCall &call)
{
    const auto &state = step.state;
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
    const auto candidates = std::max<std::size_t>(1, suspectCandidates(state, call, step.now));
    return last.at + state.options.suspectGather
        + state.options.suspectRound * static_cast<std::int64_t>(rank / candidates);
}

bool suspectsOff(const RoutingState &state)
{
    return state.options.faults.noSuspects;
}

// With the fault, everyone who was in flight at one death is refused.
void convictAtOnce(Step &step, std::uint64_t fingerprint)
{
    recordConviction(step.state.suspects, fingerprint, step.now + step.state.options.suspects.refuseFor);
    tellConviction(step, fingerprint);
}

void clearFingerprints(Step &step,
                       const RoutedEndpoint &endpoint,
                       TimePoint at,
                       const std::vector<std::uint64_t> &fingerprints)
{
    std::size_t told = 0;
    for (const auto fingerprint : fingerprints) {
        if (++told > endpoint.noticesTold) {
            return;
        }
        const auto notice = noticeOf(step, deathOf(endpoint, at), fingerprint, SuspectStatus::Cleared);
        step.out.emplace_back(TellSuspect{notice});
    }
}

} // namespace

std::optional<TimePoint> suspectTrialAt(Step &step, const RoutedCall &call)
{
    if (suspectsOff(step.state)) {
        return std::nullopt;
    }
    if (step.state.options.faults.noIsolation
        && deathsInvolving(step.state.suspects, call.pending.fingerprint).size() < DeathsToConvict) {
        return std::nullopt;
    }
    return trialAt(step, call);
}

bool refuseIfConvicted(Step &step, const RoutedCall &call)
{
    const auto fingerprint = call.pending.fingerprint;
    if (verdictFor(step.state.suspects, fingerprint, step.now) != Verdict::Convicted) {
        return false;
    }
    ++step.state.counters.refusedSuspects;
    giveUp(step, call.pending.call, ErrorKind::SuspectRequest, "endpoints died each time that they ran this request");
    return true;
}

void onCrash(Step &step, CallId id)
{
    auto &state = step.state;
    auto &call = callOf(step, id);
    auto &endpoint = state.endpoints[call.endpoint];
    const auto route = call.route;
    ++state.counters.crashes;
    leaveEndpoint(step, call);
    call.execution = Execution::Unknown;
    ++call.runs;
    call.avoid.push_back(call.endpoint);
    openBreaker(endpoint, state.options, step.now);
    if (!suspectsOff(state)) {
        suspectCall(step, endpoint, call);
        if (state.options.faults.convictOnFirstDeath) {
            convictAtOnce(step, call.pending.fingerprint);
        }
    }
    if (!mayRetry(step, call)) {
        endFailed(step, id);
    } else if (const auto trial = suspectTrialAt(step, call)) {
        ++state.counters.retried;
        holdSuspect(step, call, *trial);
    } else {
        ++state.counters.retried;
        call.suspect = false;
        sendAgain(step, call);
    }
    pumpRoute(step, route);
}

void onConnectFailure(Step &step, CallId id)
{
    auto &state = step.state;
    auto &call = callOf(step, id);
    auto &endpoint = state.endpoints[call.endpoint];
    leaveEndpoint(step, call);
    call.avoid.push_back(call.endpoint);
    const bool knownDown = endpoint.breakerOpen;
    if (noteConnectFailure(endpoint, state.options, step.now) && !knownDown) {
        recordUnrelatedDeath(state.suspects, deathOf(endpoint, step.now));
    }
    retryOrEnd(step, id);
}

void onRejection(Step &step, CallId id)
{
    auto &state = step.state;
    auto &call = callOf(step, id);
    auto &endpoint = state.endpoints[call.endpoint];
    leaveEndpoint(step, call);
    ++call.runs;
    closeBreaker(endpoint);
    endpoint.pausedUntil = step.now + state.options.rejectPause;
    call.avoid.push_back(call.endpoint);
    retryOrEnd(step, id);
}

void onTimeout(Step &step, CallId id)
{
    auto &call = callOf(step, id);
    auto &endpoint = step.state.endpoints[call.endpoint];
    leaveEndpoint(step, call);
    call.execution = Execution::Unknown;
    ++call.runs;
    call.avoid.push_back(call.endpoint);
    learnSlowness(
        endpoint, step.state.options, call.expectedSeconds, toSeconds(step.now - call.dispatchedAt), step.now);
    retryOrEnd(step, id);
}

void clearByCompletion(Step &step, const RoutedCall &call)
{
    const auto fingerprint = call.pending.fingerprint;
    std::vector<EndpointDeath> deaths;
    for (const auto *death : deathsInvolving(step.state.suspects, fingerprint)) {
        deaths.push_back(*death);
    }
    for (const auto &death : deaths) {
        clearEvidenceAt(step.state.suspects, death.endpoint, fingerprint);
        step.out.emplace_back(TellSuspect{noticeOf(step, death, fingerprint, SuspectStatus::Cleared)});
    }
}

void onHeldCall(Step &step, CallId id)
{
    const auto found = step.state.calls.find(id);
    if (found == step.state.calls.end() || found->second.phase != CallPhase::Held
        || found->second.heldUntil > step.now) {
        return;
    }
    auto &call = found->second;
    const auto route = call.route;
    const auto fingerprint = call.pending.fingerprint;
    const bool wasConvicted = verdictFor(step.state.suspects, fingerprint, step.now) == Verdict::Convicted;
    if (!wasConvicted && evaluateSuspect(step.state.suspects, fingerprint, step.now) == Verdict::Convicted) {
        tellConviction(step, fingerprint);
    }
    if (refuseIfConvicted(step, call)) {
        return;
    }
    const auto *last = lastDeathInvolving(step.state.suspects, fingerprint);
    call.suspect = last && !isWidespreadFailure(step.state.suspects, last->at);
    sendAgain(step, call);
    pumpRoute(step, route);
}

void judgeEndpointDeath(Step &step, std::uint32_t index)
{
    auto &state = step.state;
    auto &endpoint = state.endpoints[index];
    if (!endpoint.dying || step.now < endpoint.diedAt + state.options.suspects.coincidenceWindow) {
        return;
    }
    endpoint.dying = false;
    const bool survivors = std::any_of(endpoint.inFlight.begin(), endpoint.inFlight.end(), [&](CallId id) {
        return state.calls.at(id).dispatchedAt < endpoint.diedAt;
    });
    // One broken connection among others that go on is no death. And when many endpoints die together, nobody in
    // flight there is to blame.
    if (survivors) {
        closeBreaker(endpoint);
    }
    if (survivors || isWidespreadFailure(state.suspects, endpoint.diedAt)) {
        const auto cleared = retractDeath(state.suspects, processOf(endpoint.spec), endpoint.diedAt);
        clearFingerprints(step, endpoint, endpoint.diedAt, cleared);
        if (!survivors) {
            recordUnrelatedDeath(state.suspects, deathOf(endpoint, endpoint.diedAt));
        }
    }
}

} // namespace Godwit::internal
