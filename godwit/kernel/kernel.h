#pragma once

// All decisions of one router, composed: (state, event, moment) -> actions.
//
// The kernel is a plain value. The daemon's control thread runs it on real time, the scenario runner and the
// fuzzer on simulated time. It owns no socket and reads no clock; randomness comes from a seed.
//
// Example:
//   Kernel kernel = makeKernel(options, moment);
//   std::vector<KernelAction> actions;
//   start(kernel, moment, actions);
//   step(kernel, KernelEvent(CallEvent(arrived)), moment, actions);
//   for (const auto &action : actions) { perform(action); }
//
// Every KvCommand wants exactly one KvReply with its tag. After each step, ask nextWake() when the next Tick is due.

#include "godwit/budget/budget_agent.h"
#include "godwit/claims/claim_agent.h"
#include "godwit/config/config_agent.h"
#include "godwit/config/site_config.h"
#include "godwit/kernel/call_lifecycle.h"
#include "godwit/kernel/kernel_messages.h"
#include "godwit/kernel/rate_limit.h"
#include "godwit/membership/membership.h"
#include "godwit/routing/addresses.h"
#include "godwit/routing/routing.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Godwit
{

struct KernelOptions
{
    Incarnation self;
    HostId host;
    DataCentreId dataCentre;
    std::string callerAddress; // What callers connect to.
    std::string peerAddress; // What routers connect to.
    std::uint64_t seed = 1;
    // The longest that a call waits for its reservation.
    Duration reservePatience = std::chrono::seconds(1);
    // How many holders of a budget a call is offered to before it is refused.
    int maxForwards = 2;
    // Writes a second that the whole fleet may spend on claims; each live router takes an equal part.
    double fleetClaimWritesPerSecond = 300;
    // After a drain starts, callers still hold address answers that name this router. It serves them for the time
    // that answers are kept and this margin.
    Duration drainMargin = std::chrono::seconds(2);
    BudgetOptions budget;
    ClaimOptions claims;
    RoutingOptions routing;
    ConfigAgentOptions config;
    MembershipOptions membership;
};

enum class RouterStage {
    Serving,
    Leaving, // Out of the address answers; still takes calls.
    Draining, // Takes no calls; finishes, returns slices, records bills.
    Drained,
    Lost, // Its incarnation was closed by others.
};

struct Call
{
    CallArrived arrived;
    CallLifecycle lifecycle;
    CustomerId customer;
    RouteId route;
    BudgetId budget;
    double customerShare = 1;
    int priority = 0;
    bool repeatable = true;
    Tokens worstCase = 0;
    Tokens maxOutput = 0;
    Tokens pricePerCall = 0;
    TimePoint arrivedAt;
    TimePoint deadlineAt;
    std::optional<TimePoint> dispatchedAt;
    std::optional<TimePoint> firstTokenAt;
    std::optional<TimePoint> settledAt;
    bool claimGranted = false;
    bool claimAnswered = false; // The claims were looked at and refused.
    Dispatch dispatch; // The attempt that waits for its claim or runs.
    std::vector<std::string> forwardTargets; // Caller addresses, next one last.
    std::optional<Error> refusal; // What the caller gets when nobody else takes the call.
    std::optional<std::string> replay; // A kept answer that waits for its bill.
    bool forwarded = false;
    bool callerGone = false;
};

// A router as callers and forwards need it.
struct KnownRouter
{
    HostId host;
    DataCentreId dataCentre;
    std::string callerAddress;
};

struct KernelCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t released = 0;
    std::uint64_t aborted = 0;
    std::uint64_t lateEvents = 0; // Events for calls that had ended, or that their stage did not allow.
};

struct Kernel
{
    KernelOptions options;
    RouterStage stage = RouterStage::Serving;
    TimePoint leavingUntil;
    ConfigAgent config;
    std::shared_ptr<const SiteConfig> site; // Null until the first configuration.
    MembershipState membership;
    BudgetAgent budget;
    ClaimAgent claims;
    RoutingState routing;
    std::unordered_map<std::uint64_t, Call> calls;
    std::map<CustomerId, RateLimit> rates;
    std::map<EndpointId, std::string> endpointAddresses;
    std::set<std::string> listedEndpoints; // Addresses that the host list has shown, live or leaving.
    std::map<std::string, bool> endpointLeaving; // By address, from the last host list.
    std::map<HostId, KnownRouter> routersByHost;
    std::map<Incarnation, KnownRouter> linked;
    std::map<std::uint64_t, std::uint64_t> changeTickets; // ChangeId to ticket.
    std::uint64_t nextAddressPick = 1;
    KernelCounters counters;
};

Kernel makeKernel(KernelOptions options, const Moment &moment);

// Reads the configuration and announces itself. Call it once, before any step.
void start(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out);

void step(Kernel &kernel, const KernelEvent &event, const Moment &moment, std::vector<KernelAction> &out);

// When the next Tick is due, if any.
std::optional<TimePoint> nextWake(const Kernel &kernel);

// Whether callers may be sent here: configured and serving.
bool isReady(const Kernel &kernel);

} // namespace Godwit
