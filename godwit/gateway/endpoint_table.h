#pragma once

// Choosing an endpoint: who is listed, what this router has under way there, and how its answers went.
//
// Pure: time and random numbers are passed in. A router sees only its own share of an endpoint's load; it takes the
// other routers' share to be like its own.
//
// Example:
//   replaceEndpoints(table, listed);
//   ChoiceQuery query;
//   query.service = "matching";
//   query.affinity = "5c1e07a2";
//   if (EndpointState *endpoint = chooseEndpoint(table, query, random, now)) {
//       beginAttempt(*endpoint);
//   }

#include "godwit/base/ids.h"
#include "godwit/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

// When an endpoint started, in Unix milliseconds; 0 when it doesn't say. An endpoint may start again under its id: it
// then knows nothing of what it was sent before.
using EndpointStart = std::int64_t;

struct ListedEndpoint
{
    EndpointId id;
    std::string service;
    std::string address; // "ip:port".
    DataCentreId dataCentre;
    int slots = 0;
    bool leaving = false;
    EndpointStart startedAt = 0;
};

// How an attempt ended, as far as it speaks of its endpoint.
enum class AttemptVerdict {
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
    int failuresInRow = 0;
    TimePoint avoidUntil; // After failures: used only when nobody else is left.
    bool gone = false; // The list no longer names it: no new work.
};

struct EndpointTable
{
    std::map<EndpointId, EndpointState> endpoints;
    std::map<std::string, std::vector<EndpointId>> byService; // Those that may get work.
};

struct ChoiceOptions
{
    // An endpoint may carry this multiple of the mean load, and `slack` requests more, before a request with a
    // shared prompt goes to its second choice. 1.25 is the usual bound of consistent hashing with bounded loads.
    double loadBound = 1.25;
    int slack = 2;
    // How long an endpoint is left alone after its first failure in a row; doubles up to the limit.
    Duration avoidFirst = std::chrono::milliseconds(300);
    Duration avoidLimit = std::chrono::seconds(3);
    // After a shed: a queue of an endpoint drains a few requests within this time.
    Duration avoidShed = std::chrono::milliseconds(100);
    // Weight of the newest attempt in the averages.
    double newest = 0.1;
};

struct ChoiceQuery
{
    std::string service;
    std::string_view affinity; // What should meet again at one endpoint; empty: nothing.
    std::vector<EndpointId> tried; // Not these.
    DataCentreId dataCentre; // This router's own.
};

// Takes over a new list. Endpoints that it no longer names get no new work; what they have under way goes on. Of an
// endpoint that has started anew nothing of before is kept: failures of its earlier start would keep requests away
// from a sound endpoint, and requests that died with it would count as its load for good. Returns those.
std::vector<EndpointId> replaceEndpoints(EndpointTable &table, const std::vector<ListedEndpoint> &listed);

// The state of that start of an endpoint, or null when it has gone or started anew since.
EndpointState *findStart(EndpointTable &table, const EndpointId &id, EndpointStart startedAt);

// An endpoint for one attempt, or null when the service has none that is not in `tried`.
EndpointState *chooseEndpoint(
    EndpointTable &table, const ChoiceQuery &query, const ChoiceOptions &options, std::uint64_t random, TimePoint now);

void beginAttempt(EndpointState &endpoint);

void endAttempt(EndpointState &endpoint, AttemptVerdict verdict, const ChoiceOptions &options, TimePoint now);

} // namespace Godwit
