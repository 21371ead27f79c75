#pragma once

// Which endpoint runs a request, which request goes next, and what happens after an attempt fails.
//
// Calls wait in the router, in one queue a route, until an endpoint has room: customers take turns by weighted fair
// share, and within a customer priority goes before first-come. All functions are pure. Actions are appended to `out`
// and have to be carried out in order.
//
// A call that was given to enqueue() ends by exactly one of: onAttemptEnded() with Completed or Cancelled,
// cancelCall(), or a FailCall action. After FailCall the routing knows the call no more.
//
// Example:
//   RoutingState state = makeRoutingState(RoutingOptions{});
//   setEndpoints(state, endpoints, now, actions);
//   enqueue(state, call, now, actions);                                    // Dispatch{call, endpoint, 1}
//   onAttemptEnded(state, call, AttemptEnd::ConnectFailed, now, actions);  // Dispatch{call, other, 2}

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/base/time.h"
#include "godwit/routing/load_report.h"
#include "godwit/routing/routing_state.h"
#include "godwit/suspects/suspect_notice.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Godwit
{

// Send the call to the endpoint. `attempt` counts from 1.
struct Dispatch
{
    CallId call;
    EndpointId endpoint;
    int attempt = 1;
};

// The call's final answer: Overloaded, DeadlineTooShort, NoEndpoint, EndpointFailed, OutcomeUnknown or SuspectRequest.
// `error.execution` covers the attempts of this call; of other calls of the same request it knows nothing.
struct FailCall
{
    CallId call;
    Error error;
};

// Tell all other routers.
struct BroadcastSuspect
{
    SuspectNotice notice;
};

using RoutingAction = std::variant<Dispatch, FailCall, BroadcastSuspect>;

enum class AttemptEnd {
    Completed,
    ConnectFailed, // No byte of the request reached the endpoint.
    RejectedNotRun, // The endpoint said that it did not run it.
    EndpointCrashed, // The connection broke after bytes of the request were sent.
    TimedOut,
    Cancelled,
};

RoutingState makeRoutingState(RoutingOptions options);

// The endpoints that the host list shows now. One that is missing gets nothing new; calls in flight there go on.
void setEndpoints(RoutingState &state,
                  std::vector<EndpointSpec> endpoints,
                  TimePoint now,
                  std::vector<RoutingAction> &out);

// The number of live routers that share the endpoints, this one included.
void setRouterCount(RoutingState &state, int routers);

// Takes a call in, or refuses it by FailCall. The call id must not be in use.
void enqueue(RoutingState &state, PendingCall call, TimePoint now, std::vector<RoutingAction> &out);

// The attempt that the last Dispatch of the call began has ended. Decides between another attempt and FailCall. Unknown
// calls are ignored. For a streamed call whose answer has partly reached the caller, give Cancelled and end the call
// otherwise: a second attempt would repeat what the caller has.
void onAttemptEnded(RoutingState &state, CallId call, AttemptEnd end, TimePoint now, std::vector<RoutingAction> &out);

void onFirstToken(RoutingState &state, CallId call, TimePoint now, std::vector<RoutingAction> &out);

void onLoadReport(RoutingState &state,
                  const EndpointId &endpoint,
                  const LoadReport &report,
                  TimePoint now,
                  std::vector<RoutingAction> &out);

void onCacheEvents(RoutingState &state,
                   const EndpointId &endpoint,
                   const CacheEventBatch &batch,
                   TimePoint now,
                   std::vector<RoutingAction> &out);

// Takes what another router told by BroadcastSuspect.
void onSuspectNotice(RoutingState &state, const SuspectNotice &notice, TimePoint now, std::vector<RoutingAction> &out);

// The caller is gone: forgets the call, waiting or in flight. No action follows for it.
void cancelCall(RoutingState &state, CallId call, TimePoint now, std::vector<RoutingAction> &out);

// The endpoint said that it is leaving: nothing new goes there, although the host list may still show it as live.
void markEndpointLeaving(RoutingState &state, const EndpointId &endpoint, TimePoint now);

// Does what is due at `now`.
void onTick(RoutingState &state, TimePoint now, std::vector<RoutingAction> &out);

// When onTick() has to be called at the latest; absent when nothing is due.
std::optional<TimePoint> nextWake(const RoutingState &state);

// Calls that wait for an endpoint, and calls in flight, for metrics and draining.
std::size_t queuedCalls(const RoutingState &state);
std::size_t callsInFlight(const RoutingState &state);

} // namespace Godwit
