#pragma once

// Choosing an endpoint: who is listed, what it has under way, and how its answers went.
//
// A model engine is chosen by when its first event should come: after what it has still to read, and after the prompt
// itself, less the parts of it that it keeps. A plain service is chosen by the requests that this router has there.
//
// Pure: time and random numbers are passed in.
//
// Example:
//   replaceEndpoints(table, listed);
//   ChoiceQuery query;
//   query.service = "matching";
//   query.affinity = "5c1e07a2";
//   if (const Choice choice = chooseEndpoint(table, query, options, random, now); choice.endpoint != nullptr) {
//       beginAttempt(*choice.endpoint);
//   }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/gateway/allowed_regions.h"
#include "godwit/gateway/cold_start.h"
#include "godwit/gateway/engine_load.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

// When an endpoint started, in Unix milliseconds; 0 when it doesn't say. An endpoint may start again under its id: it
// then knows nothing of what it was sent before.
using EndpointIncarnation = std::int64_t;

struct ListedEndpoint
{
    EndpointId id;
    std::string service;
    std::string address; // "ip:port".
    DataCentreId dataCentre;
    int slots = 0;
    bool draining = false;
    EndpointIncarnation startedAt = 0;
    RegionId region; // Of its data centre; empty when the settings don't name it.
    Duration coldFor{}; // How much longer it was cold when it said so.
    TimePoint coldUntil; // The same by this router's clock.
    bool evacuated = false; // The operators want its data centre to get nothing.
};

// How an attempt ended, as far as it speaks of its endpoint.
enum class AttemptFeedback {
    Good,
    Shed, // It was full and said so.
    Failed, // It answered that it failed, or its answer was unusable.
    Unreachable, // No connection, or one that broke.
    Slow, // Silent for longer than the answer may take.
    Neutral, // Says nothing of it: the caller left, or the time was up early.
};

struct EndpointState
{
    ListedEndpoint listed;
    int inFlight = 0;
    double failureRate = 0; // Exponential average of Failed, Unreachable and Slow among the last attempts.
    int consecutiveFailures = 0;
    TimePoint backoffUntil; // After failures: used only when nobody else is left.
    EngineLoad load; // Of a model engine.
    ColdState cold;
    bool delisted = false; // The list no longer names it: no new work.
};

// One prompt that goes to one engine, as the other routers are told of it.
struct PromptSent
{
    EndpointId endpoint;
    Tokens uncachedTokens = 0; // What the engine has to read of it.
    std::string prefix; // The shared part that the engine then keeps; empty: none.
};

struct RecentPlacement
{
    EndpointId endpoint;
    TimePoint until;
};

struct EndpointTable
{
    std::map<EndpointId, EndpointState> endpoints;
    std::map<std::string, std::vector<EndpointId>> byService; // Those that may get work.
    std::map<std::string, PrefillSpeed> prefillSpeeds; // By service.
    std::map<std::string, ColdStartPlan> coldPlans; // By service; only of those whose cold endpoints are limited.
    ShareSet usableShares; // Of the fleet's limits; up to date where `coldPlans` has any.
    // Where a shared part of a prompt has lately been sent besides its usual place: the engine keeps it for a while.
    // By part.
    std::map<std::string, RecentPlacement, std::less<>> recentPlacements;
};

struct ChoiceOptions
{
    // Reading a shared part again where it isn't kept counts as this multiple of its time: it also delays whatever
    // comes next there.
    double recomputeWeight = 10;
    // Up to this part of the latency target a later first event costs nobody anything; beyond it each millisecond
    // counts `latenessWeight` times, since the estimate may be short by as much again.
    double toleratedFraction = 0.25;
    double latenessWeight = 4;
    // A full engine counts as this far behind: between engines that have read all, the emptier one.
    Duration occupancyPenalty = std::chrono::milliseconds(20);
    // How long an engine is taken to keep a part that this router sent there. Engines keep much longer when they have
    // room; what is older was most likely asked for elsewhere since.
    Duration placementTtl = std::chrono::seconds(8);
    std::size_t maxPlacements = 4096;
    // How long an endpoint is left alone after its first failure in a row; doubles up to the limit.
    Duration initialBackoff = std::chrono::milliseconds(300);
    Duration maxBackoff = std::chrono::seconds(3);
    // After a shed: a queue of an endpoint drains a few requests within this time.
    Duration shedBackoff = std::chrono::milliseconds(100);
    // Weight of the newest attempt in the averages.
    double ewmaWeight = 0.1;
};

struct ChoiceQuery
{
    std::string service;
    std::string_view affinity; // The part of the prompt that should meet again at one endpoint; empty: none.
    Tokens promptTokens = 0; // 0: no model's request.
    Tokens sharedTokens = 0; // Of the prompt, up to the part named by `affinity`.
    Duration latencyTarget{}; // What is left of the time within which the first event is worth most.
    std::vector<EndpointId> tried; // Not these.
    DataCentreId dataCentre; // This router's own.
    AllowedRegions regions; // Only endpoints there.
};

// Takes over a new list. Endpoints that it no longer names get no new work; what they have under way goes on. Of an
// endpoint that has started anew nothing of before is kept: failures of its earlier start would keep requests away
// from a sound endpoint, and requests that died with it would count as its load for good. Returns those.
std::vector<EndpointId> replaceEndpoints(EndpointTable &table, const std::vector<ListedEndpoint> &listed);

// The state of that start of an endpoint, or null when it has gone or started anew since.
EndpointState *findIncarnation(EndpointTable &table, const EndpointId &id, EndpointIncarnation startedAt);

struct Choice
{
    EndpointState *endpoint = nullptr; // Null when the service has none that may get this request now.
    Tokens uncachedTokens = 0; // What it has to read of the prompt.
    bool cold = false; // The endpoint is cold, and this is one of the few requests that it gets.
};

// An endpoint for one attempt. A cold one that is chosen has this router's turn used up.
Choice chooseEndpoint(
    EndpointTable &table, const ChoiceQuery &query, const ChoiceOptions &options, std::uint64_t random, TimePoint now);

// Another router has sent a prompt to an engine.
void recordRemotePrompt(EndpointTable &table, const PromptSent &prompt, const ChoiceOptions &options, TimePoint now);

// Whether the endpoint may still get a request that it was chosen for.
bool acceptsNewRequests(const EndpointState &endpoint);

// Whether the endpoint is cold and the fleet limits what it gets.
bool isColdStartLimited(const EndpointTable &table, const EndpointState &endpoint, TimePoint now);

// When the first of the service's endpoints will be warm; unset when one is warm now, or when there is none.
std::optional<TimePoint> nextWarmAt(const EndpointTable &table, const std::string &service, TimePoint now);

void beginAttempt(EndpointState &endpoint);

void endAttempt(EndpointState &endpoint, AttemptFeedback feedback, const ChoiceOptions &options, TimePoint now);

} // namespace Godwit
