#include "godwit/gateway/hedge_policy.h"

#include "godwit/base/enum_names.h"

#include <algorithm>

namespace Godwit
{
namespace
{

constexpr EnumName<HedgeDenial> HedgeDenialNames[] = {
    {HedgeDenial::NotRepeatable, "not_repeatable"},
    {HedgeDenial::SingleEndpoint, "single_endpoint"},
    {HedgeDenial::EarlierAttempt, "earlier_attempt"},
    {HedgeDenial::AlreadyHedged, "already_hedged"},
    {HedgeDenial::AnswerBegan, "answer_began"},
    {HedgeDenial::FewSamples, "few_samples"},
    {HedgeDenial::NotDue, "not_due"},
    {HedgeDenial::SuspectRequest, "suspect_request"},
    {HedgeDenial::TrialOpen, "trial_open"},
    {HedgeDenial::EndsLate, "ends_late"},
    {HedgeDenial::ShareUsed, "share_used"},
    {HedgeDenial::AllowanceLow, "allowance_low"},
    {HedgeDenial::RoomShort, "room_short"},
    {HedgeDenial::NoIdleEndpoint, "no_idle_endpoint"},
    {HedgeDenial::NearTotalsEnd, "near_totals_end"},
    {HedgeDenial::TokensShort, "tokens_short"},
    {HedgeDenial::NoEndpoint, "no_endpoint"},
    {HedgeDenial::ColdEndpoint, "cold_endpoint"},
    {HedgeDenial::SuspectEndpoint, "suspect_endpoint"},
    {HedgeDenial::LeavingEndpoint, "leaving_endpoint"},
    {HedgeDenial::EndpointInBackoff, "endpoint_in_backoff"},
    {HedgeDenial::SlowerEndpoint, "slower_endpoint"},
};

constexpr EnumName<HedgeOutcome> HedgeOutcomeNames[] = {
    {HedgeOutcome::Sent, "sent"},
    {HedgeOutcome::Won, "won"},
    {HedgeOutcome::Lost, "lost"},
    {HedgeOutcome::Denied, "denied"},
};

// Bins of a fifth of an octave: a quantile is at most 15% above the true one.
constexpr double FirstEdgeS = 1.0 / 1024;
constexpr double LastEdgeS = 64;
constexpr unsigned Bins = 80;

// Counts that were halved this often are below any threshold.
constexpr std::int64_t MaxHalvings = 32;

void halveIfDue(AnswerTimes &times, const HedgeOptions &options, TimePoint now)
{
    if (times.halvedAt == TimePoint()) {
        times.halvedAt = now;
    }
    const std::int64_t due = (now - times.halvedAt) / options.halvingInterval;
    for (std::int64_t i = 0; i < std::min(due, MaxHalvings); ++i) {
        times.seconds *= 0.5;
    }
    times.halvedAt += due * options.halvingInterval;
}

RetryBudgetOptions shareRules(const HedgeOptions &options)
{
    RetryBudgetOptions rules;
    rules.ratio = options.ratio;
    rules.window = options.window;
    rules.usedRatioFraction = 1; // Hedges and requests are compared over the same window.
    return rules;
}

} // namespace

std::string_view hedgeDenialName(HedgeDenial denial)
{
    return enumName(HedgeDenialNames, denial);
}

std::string_view hedgeOutcomeName(HedgeOutcome outcome)
{
    return enumName(HedgeOutcomeNames, outcome);
}

int octaveOf(Tokens uncachedTokens)
{
    int octave = 0;
    for (Tokens rest = uncachedTokens; rest > 0; rest /= 2) {
        ++octave;
    }
    return octave;
}

AnswerTimes::AnswerTimes()
    : seconds(boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                                    AnswerTimeAxis(Bins, FirstEdgeS, LastEdgeS)))
{
}

void recordAnswerTime(HedgeState &state, const HedgeOptions &options, const HedgeKey &key, Duration time, TimePoint now)
{
    AnswerTimes &times = state.times[key];
    halveIfDue(times, options, now);
    times.seconds(std::clamp(toSeconds(time), FirstEdgeS, LastEdgeS));
}

std::optional<Duration> hedgeDelay(HedgeState &state, const HedgeOptions &options, const HedgeKey &key, TimePoint now)
{
    const auto found = state.times.find(key);
    if (found == state.times.end()) {
        return std::nullopt;
    }
    halveIfDue(found->second, options, now);
    const auto &histogram = found->second.seconds;
    const double total = boost::histogram::algorithm::sum(histogram);
    if (total < options.minSamples) {
        return std::nullopt;
    }
    double below = 0;
    for (int i = 0; i < static_cast<int>(Bins); ++i) {
        below += histogram.at(i);
        if (below >= options.quantile * total) {
            const auto upper = Duration(static_cast<std::int64_t>(histogram.axis().bin(i).upper() * 1e6));
            return std::max(options.minDelay, upper);
        }
    }
    return std::chrono::seconds(static_cast<std::int64_t>(LastEdgeS));
}

void countHedgeableRequest(HedgeState &state, const HedgeOptions &options, const std::string &service, TimePoint now)
{
    countRequest(state.shares[service], shareRules(options), now);
}

bool isShareUsed(const HedgeState &state, const HedgeOptions &options, const std::string &service, TimePoint now)
{
    const auto found = state.shares.find(service);
    return found == state.shares.end() || !checkRetry(found->second, shareRules(options), 0, now).granted;
}

void recordHedge(HedgeState &state, const HedgeOptions &options, const std::string &service, TimePoint now)
{
    tryTakeRetry(state.shares[service], shareRules(options), 0, now);
}

bool isRoomShort(const HedgeState &state, const HedgeOptions &options, const std::string &service, TimePoint now)
{
    const auto found = state.roomShortAt.find(service);
    return found != state.roomShortAt.end() && now < found->second + options.roomShortPeriod;
}

bool hasIdleEndpoint(const EndpointTable &table, const ChoiceQuery &query, TimePoint now)
{
    const auto service = table.byService.find(query.service);
    if (service == table.byService.end()) {
        return false;
    }
    return std::any_of(service->second.begin(), service->second.end(), [&](const EndpointId &id) {
        const EndpointState &endpoint = table.endpoints.at(id);
        return isCandidate(query, endpoint) && endpoint.backoffUntil <= now && endpoint.inFlight == 0
            && queueDelay(endpoint.load, now) == Duration::zero();
    });
}

std::optional<HedgeDenial> denyHedge(const HedgeFacts &facts, const HedgeOptions &options)
{
    const RetryDecision &allowance = facts.allowance;
    const double allowed = allowance.allowedByRequests + allowance.allowedBySlack;
    const bool allowanceLow = !allowance.granted || allowed - allowance.retries - 1 < options.unusedAllowance * allowed;
    const std::pair<bool, HedgeDenial> reasons[] = {
        {!facts.repeatable, HedgeDenial::NotRepeatable},
        {facts.maxEndpoints < 2, HedgeDenial::SingleEndpoint},
        {facts.earlierAttempts > 0, HedgeDenial::EarlierAttempt},
        {facts.hedged, HedgeDenial::AlreadyHedged},
        {facts.answerBegan, HedgeDenial::AnswerBegan},
        {!facts.delay, HedgeDenial::FewSamples},
        {facts.sinceSent < std::max(options.minDelay, facts.delay.value_or(options.minDelay)), HedgeDenial::NotDue},
        {facts.suspect, HedgeDenial::SuspectRequest},
        {facts.trialOpen, HedgeDenial::TrialOpen},
        {facts.endsLate, HedgeDenial::EndsLate},
        {facts.shareUsed, HedgeDenial::ShareUsed},
        {allowanceLow, HedgeDenial::AllowanceLow},
        {facts.roomShort, HedgeDenial::RoomShort},
        {!facts.idleEndpointKnown, HedgeDenial::NoIdleEndpoint},
        {facts.nearTotalsEnd, HedgeDenial::NearTotalsEnd},
        {!facts.tokensCovered, HedgeDenial::TokensShort},
    };
    for (const auto &[applies, denial] : reasons) {
        if (applies) {
            return denial;
        }
    }
    return std::nullopt;
}

std::optional<HedgeDenial> denyHedgeEndpoint(const HedgeEndpointFacts &facts)
{
    const std::pair<bool, HedgeDenial> reasons[] = {
        {!facts.found, HedgeDenial::NoEndpoint},
        {facts.cold, HedgeDenial::ColdEndpoint},
        {facts.suspect, HedgeDenial::SuspectEndpoint},
        {facts.leaving, HedgeDenial::LeavingEndpoint},
        {facts.inBackoff, HedgeDenial::EndpointInBackoff},
        {facts.expectedTime > facts.remainingWait, HedgeDenial::SlowerEndpoint},
    };
    for (const auto &[applies, denial] : reasons) {
        if (applies) {
            return denial;
        }
    }
    return std::nullopt;
}

Duration remainingWait(const EngineLoad &load, PrefillId prefill, Duration untilDeadline, TimePoint now)
{
    for (const PendingPrefill &pending : load.pending) {
        if (prefill != 0 && pending.id == prefill && pending.expectedAt > now) {
            return std::min(untilDeadline, pending.expectedAt - now);
        }
    }
    return untilDeadline;
}

} // namespace Godwit
