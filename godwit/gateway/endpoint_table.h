#pragma once

// Selects endpoints by their load and by the outcomes of recent attempts.
//
// Model engines are selected by the expected time to the first event: the prefills queued at the engine plus the
// prefill of the prompt itself, without the prefix that the engine has cached. Endpoints of plain services are selected
// by the number of requests that this router has in flight there.
//
// Pure functions: time and random numbers are passed in.
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
#include "godwit/gateway/brittle_services.h"
#include "godwit/gateway/cold_start.h"
#include "godwit/gateway/endpoint_speed.h"
#include "godwit/gateway/engine_load.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

// When an endpoint started, in Unix milliseconds; 0 if it does not report it. Tells apart the processes that run one
// after the other under the same id. A restarted endpoint has lost the requests that were sent to it before.
using EndpointIncarnation = std::int64_t;

struct ListedEndpoint
{
    EndpointId id;
    std::string service;
    std::string address; // As "ip:port".
    DataCentreId dataCentre;
    int slots = 0;
    bool draining = false;
    EndpointIncarnation startedAt = 0;
    RegionId region; // Region of the data centre; empty if the settings do not define it.
    Duration coldFor{}; // Remaining cold period as reported by the endpoint.
    TimePoint coldUntil; // End of the cold period by this router's clock.
    std::string version; // Of its software; empty if it states none.
    bool evacuated = false; // The operators have evacuated its data centre: no new requests.
};

// What the outcome of an attempt says about its endpoint.
enum class AttemptFeedback {
    Good,
    Shed, // Refused because the endpoint is at capacity.
    Failed, // An error response, or an unusable one.
    Unreachable, // The connection failed or broke.
    Slow, // No response within the time that it may take.
    Neutral, // Nothing: the caller disconnected, or the deadline expired early.
};

struct EndpointState
{
    ListedEndpoint listed;
    int inFlight = 0;
    double failureRate = 0; // Exponential moving average of Failed, Unreachable and Slow among the attempts.
    int consecutiveFailures = 0;
    TimePoint backoffUntil; // Used before then only if no other endpoint is available.
    EngineLoad load; // For model engines.
    EngineSpeed speed; // Likewise; see speed_exchange.h.
    ColdState cold;
    bool delisted = false; // No longer in the list: no new requests.
};

// A prompt sent to an engine, as announced to the other routers.
struct PromptSent
{
    EndpointId endpoint;
    Tokens uncachedTokens = 0; // What the engine has to prefill.
    std::string prefix; // The shared prefix that the engine then has cached; empty: none.
};

struct RecentPlacement
{
    EndpointId endpoint;
    TimePoint until;
};

struct ServiceSpeeds
{
    ServiceTimes times;
    TimePoint refreshAt; // When the rates of the engines are updated next.
};

struct EndpointTable
{
    std::map<EndpointId, EndpointState> endpoints;
    std::map<std::string, std::vector<EndpointId>> byService; // Endpoints that may receive requests.
    std::map<std::string, PrefillSpeed> prefillSpeeds; // By service.
    bool shareSpeeds = false; // Whether speeds of engines are sampled, exchanged and used; see speed_exchange.h.
    SpeedOptions speedOptions;
    std::map<std::string, ServiceSpeeds> speeds; // By service.
    std::map<std::string, ColdStartPlan> coldPlans; // By service; only services that limit cold endpoints.
    ShareSet usableShares; // Shares of the fleet's limits; kept up to date only if `coldPlans` is not empty.
    BrittleServices brittle; // Brittle services, whose requests in flight are limited.
    BrittleOptions brittleOptions;
    RouterPosition position; // Of this router among those that divide the room of brittle endpoints.
    // By shared prefix: the engine other than the preferred one to which it was last sent, and which keeps it cached
    // for a while.
    std::map<std::string, RecentPlacement, std::less<>> recentPlacements;
};

struct ChoiceOptions
{
    // Cost of prefilling a shared prefix on an engine that has not cached it, as a multiple of its prefill time. More
    // than 1 because it also delays the requests that follow there.
    double recomputeWeight = 10;
    // Up to this fraction of the latency target, the time to the first event counts once. Each millisecond beyond it
    // counts `latenessWeight` times in addition, because the estimate may be too low by the same amount.
    double toleratedFraction = 0.25;
    double latenessWeight = 4;
    // Cost of an engine with all slots in use, in proportion for others. Decides between engines without queued
    // prefills.
    Duration occupancyPenalty = std::chrono::milliseconds(20);
    // How long an engine is assumed to keep a prefix that was sent there. Engines with free memory keep prefixes much
    // longer, but an older prefix was most likely used on another engine since.
    Duration placementTtl = std::chrono::seconds(8);
    std::size_t maxPlacements = 4096;
    // Backoff after the first of consecutive failures; doubles with each further one up to `maxBackoff`.
    Duration initialBackoff = std::chrono::milliseconds(300);
    Duration maxBackoff = std::chrono::seconds(3);
    // Backoff after a shed request: the endpoint's queue drains by a few requests within this time.
    Duration shedBackoff = std::chrono::milliseconds(100);
    // Weight of the newest attempt in the moving average of failures.
    double ewmaWeight = 0.1;
};

struct ChoiceQuery
{
    std::string service;
    std::string_view affinity; // Prefix whose requests should go to the same endpoint; empty: none.
    Tokens promptTokens = 0; // 0: not a request to a model.
    Tokens sharedTokens = 0; // Tokens of the prompt that belong to the prefix `affinity`.
    Duration latencyTarget{}; // Remaining time within which the first event should arrive.
    std::vector<EndpointId> tried; // Endpoints to exclude.
    DataCentreId dataCentre; // Of this router.
    AllowedRegions regions; // Only endpoints in these regions.
    std::vector<DataCentreId> unreachable; // No endpoints in these data centres.
    std::optional<std::set<std::string>> versions; // Only endpoints of these versions of their software.
};

// Applies a new list. Endpoints that are no longer listed receive no new requests; requests in flight continue there.
// The state of restarted endpoints is reset: failures of the former process would keep requests away from a healthy
// endpoint, and requests that were lost with it would count as load permanently. Returns the restarted endpoints.
std::vector<EndpointId> replaceEndpoints(EndpointTable &table, const std::vector<ListedEndpoint> &listed);

// Returns the state of the given incarnation of an endpoint, or null if it was removed or has restarted since.
EndpointState *findIncarnation(EndpointTable &table, const EndpointId &id, EndpointIncarnation startedAt);

// Whether the query permits the endpoint, which is one of its service.
bool isCandidate(const ChoiceQuery &query, const EndpointState &endpoint);

// Whether the query permits any endpoint of its service, busy or not.
bool hasCandidates(const EndpointTable &table, const ChoiceQuery &query);

struct Choice
{
    EndpointState *endpoint = nullptr; // Null if no endpoint of the service may receive the request now.
    Tokens uncachedTokens = 0; // Tokens of the prompt that the endpoint has to prefill.
    bool cold = false; // The endpoint is cold, and the request counts against its limit.
};

// Selects an endpoint for one attempt. If it is cold, the selection counts as a send of this router against its limit.
Choice chooseEndpoint(
    EndpointTable &table, const ChoiceQuery &query, const ChoiceOptions &options, std::uint64_t random, TimePoint now);

// Records that another router has sent a prompt to an engine.
void recordRemotePrompt(EndpointTable &table, const PromptSent &prompt, const ChoiceOptions &options, TimePoint now);

bool isBrittle(const EndpointTable &table, const std::string &service, TimePoint now);

// Whether requests in flight at the service's endpoints are limited, see brittle_services.h.
bool limitsInFlight(const EndpointTable &table, const std::string &service, TimePoint now);

// Whether the endpoint may still receive a request for which it was selected.
bool acceptsNewRequests(const EndpointState &endpoint);

// Whether the endpoint is cold and its request rate is limited.
bool isColdStartLimited(const EndpointTable &table, const EndpointState &endpoint, TimePoint now);

// Returns when the first endpoint of the service will be warm; unset if one is warm now or the service has no endpoint.
std::optional<TimePoint> nextWarmAt(const EndpointTable &table, const std::string &service, TimePoint now);

// Returns how many requests this router may have in flight at endpoints of a brittle service that are not in backoff.
int countPlaces(const EndpointTable &table, const std::string &service, TimePoint now);

void beginAttempt(EndpointState &endpoint);

void endAttempt(EndpointState &endpoint, AttemptFeedback feedback, const ChoiceOptions &options, TimePoint now);

// Records what is learned of the endpoint after its attempt has ended. endAttempt() calls it.
void recordFeedback(EndpointState &endpoint, AttemptFeedback feedback, const ChoiceOptions &options, TimePoint now);

} // namespace Godwit
