#pragma once

// Decides whether a second attempt of a request, a hedge, is sent to another endpoint while the first is still open.
//
// A hedge is due when the first attempt has taken longer than a quantile of the times to the first useful answer: the
// first event of a stream, or a complete 2xx response. The times are learned by service and by octave of the uncached
// prompt tokens. Each router bounds its hedges by a share of its own requests, so that the fleet keeps to it without
// coordination.
//
// Pure functions: time is passed in.
//
// Example:
//   recordAnswerTime(state, options, {"engine", octaveOf(1200)}, std::chrono::milliseconds(180), now);
//   if (const auto delay = hedgeDelay(state, options, {"engine", octaveOf(1200)}, now)) { ... arm a timer ... }
//   const auto denial = denyHedge(facts, options);
//   if (!denial && !denyHedgeEndpoint(choice, facts)) { recordHedge(state, options, "engine", now); ... send ... }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/gateway/endpoint_table.h"
#include "godwit/gateway/retry_budget.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace Godwit
{

struct HedgeOptions
{
    double ratio = 0; // Hedges per request of the service; 0: off.
    double quantile = 0.95; // Of the times to the first useful answer.
    Duration window = std::chrono::seconds(10); // In which `ratio` is kept.
    Duration minDelay = std::chrono::milliseconds(20); // Between the first send and the hedge.
    double minSamples = 50; // Below this, a quantile of 0.95 rests on one or two slow answers.
    Duration halvingInterval = std::chrono::seconds(10); // Of the sample counts.
    // How long a service counts as short of room after an endpoint rejected a request for lack of it.
    Duration roomShortPeriod = std::chrono::seconds(1);
    // A hedge leaves at least this fraction of the service's retry allowance to the retries of failed attempts.
    double unusedAllowance = 0.5;
};

// Why a hedge was not sent.
enum class HedgeDenial {
    NotRepeatable, // The request may run only once.
    SingleEndpoint, // The route permits only one endpoint.
    EarlierAttempt, // An earlier attempt of the request has ended or may have run.
    AlreadyHedged,
    AnswerBegan, // A part of the first attempt's response has been forwarded.
    FewSamples,
    NotDue,
    SuspectRequest, // The request may have crashed an endpoint.
    TrialOpen, // The first attempt is the trial of a suspect request.
    EndsLate, // The request is not expected to end before this process does.
    ShareUsed, // `ratio` is reached.
    AllowanceLow, // Too little of the service's retry allowance would be left.
    RoomShort, // An endpoint of the service has recently rejected a request for lack of room.
    NoIdleEndpoint,
    NearTotalsEnd, // The customer's prepaid total is nearly used up.
    TokensShort, // The customer's tokens do not cover a second reservation.
    NoEndpoint, // No other endpoint of the service accepts requests.
    ColdEndpoint,
    SuspectEndpoint, // A trial runs there, or its latest attempt failed.
    LeavingEndpoint,
    EndpointInBackoff,
    SlowerEndpoint, // Its expected time to the first answer exceeds the remaining wait.
};

std::string_view hedgeDenialName(HedgeDenial denial);

enum class HedgeOutcome {
    Sent,
    Won, // The hedge became the request's attempt.
    Lost, // The first attempt answered first, or the hedge failed, or the request ended.
    Denied,
};

std::string_view hedgeOutcomeName(HedgeOutcome outcome);

struct HedgeKey
{
    std::string service;
    int octave = 0; // Of the uncached prompt tokens, see octaveOf().

    bool operator<(const HedgeKey &other) const
    {
        return std::tie(service, octave) < std::tie(other.service, other.octave);
    }
};

// Returns 0 for no tokens, otherwise the number of significant bits.
int octaveOf(Tokens uncachedTokens);

using AnswerTimeAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using AnswerTimeHistogram = decltype(boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                                                           std::declval<AnswerTimeAxis>()));

// Times to the first useful answer, older ones weighted less.
struct AnswerTimes
{
    AnswerTimes();

    AnswerTimeHistogram seconds;
    TimePoint halvedAt; // When the counts were last halved; the first sample sets it.
};

// Requests and hedges of the window are counted like those of a retry budget.
struct HedgeState
{
    std::map<HedgeKey, AnswerTimes> times;
    std::map<std::string, RetryBudget> shares; // By service.
    std::map<std::string, TimePoint> roomShortAt; // By service: the latest rejection for lack of room.
};

void recordAnswerTime(
    HedgeState &state, const HedgeOptions &options, const HedgeKey &key, Duration time, TimePoint now);

// Returns how long after the first send a hedge is due; unset while there are too few samples.
std::optional<Duration> hedgeDelay(HedgeState &state, const HedgeOptions &options, const HedgeKey &key, TimePoint now);

void countHedgeableRequest(HedgeState &state, const HedgeOptions &options, const std::string &service, TimePoint now);

// Whether one more hedge keeps to the share of the service's requests.
bool isShareUsed(const HedgeState &state, const HedgeOptions &options, const std::string &service, TimePoint now);

void recordHedge(HedgeState &state, const HedgeOptions &options, const std::string &service, TimePoint now);

// Whether an endpoint of the service has rejected a request for lack of room within `roomShortPeriod`.
bool isRoomShort(const HedgeState &state, const HedgeOptions &options, const std::string &service, TimePoint now);

// Whether an endpoint that the query permits has no request of this router and no known prefill queue, and is not in
// backoff.
bool hasIdleEndpoint(const EndpointTable &table, const ChoiceQuery &query, TimePoint now);

// What a decision about a hedge is based on, except for the second endpoint.
struct HedgeFacts
{
    bool repeatable = false; // An idempotent request, or a resumable stream.
    int maxEndpoints = 1; // Endpoints that may run the request at most.
    int earlierAttempts = 0; // Before the open one.
    bool hedged = false;
    bool answerBegan = false;
    std::optional<Duration> delay; // See hedgeDelay().
    Duration sinceSent{}; // Since the first attempt was sent.
    bool suspect = false;
    bool trialOpen = false;
    bool endsLate = false; // The request is not expected to end before this process does.
    bool shareUsed = false;
    RetryDecision allowance; // As a retry would find it now.
    bool roomShort = false;
    bool idleEndpointKnown = false;
    bool nearTotalsEnd = false;
    bool tokensCovered = false; // The customer's tokens cover a second reservation.
};

// Returns the first reason against a hedge, or nothing.
std::optional<HedgeDenial> denyHedge(const HedgeFacts &facts, const HedgeOptions &options);

// The second endpoint of a hedge.
struct HedgeEndpointFacts
{
    bool found = false;
    bool cold = false;
    bool suspect = false;
    bool leaving = false;
    bool inBackoff = false;
    Duration expectedTime{}; // Until its first answer; zero: unknown.
    Duration remainingWait{}; // Until the first attempt's answer, or the deadline if that is overdue.
};

// Returns the first reason against the chosen endpoint, or nothing.
std::optional<HedgeDenial> denyHedgeEndpoint(const HedgeEndpointFacts &facts);

// Returns how long the first attempt is still expected to take: until its prefill should be finished or, if it is
// overdue or `prefill` is 0, until the deadline.
Duration remainingWait(const EngineLoad &load, PrefillId prefill, Duration untilDeadline, TimePoint now);

} // namespace Godwit
