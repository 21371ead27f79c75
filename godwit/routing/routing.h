#pragma once

// Chooses an endpoint for each request, orders waiting requests, and decides what happens after a failed attempt.
//
// Calls wait in the router, in one queue per route, until an endpoint has a free slot. Customers are served by weighted
// fair queueing; within a customer, higher priority goes first, then earlier arrival. The functions do no I/O: they
// append actions to `out`, which the caller has to perform in order.
//
// A call passed to enqueue() ends in exactly one of these ways: onAttemptEnded() with Completed or Cancelled,
// cancelCall(), or a FailCall action. After that the routing state does not contain the call any more.
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

// Send the call to the endpoint. `attempt` starts at 1.
struct Dispatch
{
    CallId call;
    EndpointId endpoint;
    int attempt = 1;
};

// Answer the caller with `error`: Overloaded, DeadlineTooShort, NoEndpoint, EndpointFailed, OutcomeUnknown or
// SuspectRequest. `error.execution` covers the attempts of this call only, not those of other calls with the same
// request.
struct FailCall
{
    CallId call;
    Error error;
};

// Send the notice to all other routers.
struct BroadcastSuspect
{
    SuspectNotice notice;
};

using RoutingAction = std::variant<Dispatch, FailCall, BroadcastSuspect>;

enum class AttemptEnd {
    Completed,
    ConnectFailed, // No byte of the request reached the endpoint.
    RejectedNotRun, // The endpoint declared that it did not run the request.
    EndpointCrashed, // The connection broke after bytes of the request were sent.
    TimedOut,
    Cancelled,
};

RoutingState makeRoutingState(RoutingOptions options);

// Sets the endpoints of the current host list. An endpoint that is missing gets no new calls; its calls in flight
// continue.
void setEndpoints(RoutingState &state,
                  std::vector<EndpointSpec> endpoints,
                  TimePoint now,
                  std::vector<RoutingAction> &out);

// Sets the number of live routers that share the endpoints, including this one.
void setRouterCount(RoutingState &state, int routers);

// Accepts a call, or refuses it with FailCall. The call id must not be in use.
void enqueue(RoutingState &state, PendingCall call, TimePoint now, std::vector<RoutingAction> &out);

// Reports the end of the attempt started by the last Dispatch of the call, and decides between a retry and FailCall.
// Unknown calls are ignored. When part of a streamed answer has already reached the caller, pass Cancelled and end the
// call separately: a retry would repeat what the caller has received.
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

// Handles a notice that another router sent because of BroadcastSuspect.
void onSuspectNotice(RoutingState &state, const SuspectNotice &notice, TimePoint now, std::vector<RoutingAction> &out);

// The caller has disconnected: removes the call, waiting or in flight. No further action refers to it.
void cancelCall(RoutingState &state, CallId call, TimePoint now, std::vector<RoutingAction> &out);

// The endpoint has announced that it is leaving: it gets no new calls, even while the host list still shows it as live.
void markEndpointLeaving(RoutingState &state, const EndpointId &endpoint, TimePoint now);

// Runs the timers that are due at `now`.
void onTick(RoutingState &state, TimePoint now, std::vector<RoutingAction> &out);

// Latest time of the next onTick(); nothing when no timer is set.
std::optional<TimePoint> nextWake(const RoutingState &state);

// Numbers of waiting calls and of calls in flight, for metrics and draining.
std::size_t queuedCalls(const RoutingState &state);
std::size_t callsInFlight(const RoutingState &state);

} // namespace Godwit
