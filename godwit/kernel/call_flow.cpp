#include "godwit/kernel/call_flow.h"

#include "godwit/base/hash.h"
#include "godwit/kernel/suspect_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwit::internal
{
namespace
{

constexpr Duration NotConfiguredRetry = std::chrono::seconds(1);

Call *findCall(Kernel &kernel, CallId id)
{
    const auto found = kernel.calls.find(id.value);
    if (found == kernel.calls.end()) {
        ++kernel.counters.lateEvents;
        return nullptr;
    }
    return &found->second;
}

// Moves the call on; an event that its stage does not allow is late and is dropped.
bool tryAdvance(Kernel &kernel, Call &call, CallStep step)
{
    const bool allowed = advance(call.lifecycle, step);
    kernel.counters.lateEvents += allowed ? 0 : 1;
    return allowed;
}

template<typename Act>
void withBudget(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out, Act act)
{
    std::vector<BudgetAction> actions;
    act(actions);
    perform(kernel, actions, moment, out);
}

template<typename Act>
void withClaims(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out, Act act)
{
    std::vector<ClaimAction> actions;
    act(actions);
    perform(kernel, actions, moment, out);
}

template<typename Act>
void withRouting(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out, Act act)
{
    std::vector<RoutingAction> actions;
    act(actions);
    perform(kernel, actions, moment, out);
}

CallFinished describeEnd(const Call &call, const Moment &moment)
{
    CallFinished finished;
    finished.call = call.arrived.call;
    finished.customer = call.customer;
    finished.route = call.route;
    finished.priority = call.priority;
    finished.forwarded = call.forwarded;
    finished.replayed = call.replay.has_value();
    finished.total = moment.now - call.arrivedAt;
    if (call.firstTokenAt) {
        finished.firstToken = *call.firstTokenAt - call.arrivedAt;
    }
    if (call.dispatchedAt) {
        finished.untilDispatch = *call.dispatchedAt - call.arrivedAt;
    }
    if (call.settledAt) {
        finished.billWait = moment.now - *call.settledAt;
    }
    return finished;
}

// Forgets the call. Nothing that comes for it later finds it.
void endCall(Kernel &kernel, CallId id, CallFinished finished, std::vector<KernelAction> &out)
{
    kernel.calls.erase(id.value);
    out.emplace_back(std::move(finished));
}

// What may be said of the request, not only of this call. A refusal that did not look at the claims knows nothing of
// an earlier call with the same id: it may have run at a router that died. "Not run" would make the caller issue a
// second voucher, so such a refusal says "unknown", unless the caller vouches that it never sent the id before.
Execution truthfulExecution(Execution execution, bool repeatable, bool claimsSeen, const CallArrived &arrived)
{
    const bool known = repeatable || claimsSeen || arrived.firstSend;
    return execution == Execution::NotRun && !known ? Execution::Unknown : execution;
}

void refuse(Kernel &kernel, const Call &call, Error error, const Moment &moment, std::vector<KernelAction> &out)
{
    error.execution =
        truthfulExecution(error.execution, call.repeatable, call.claimGranted || call.claimAnswered, call.arrived);
    ++kernel.counters.refused;
    CallFinished finished = describeEnd(call, moment);
    finished.error = error.kind;
    finished.execution = error.execution;
    const CallId id = call.arrived.call;
    if (!call.callerGone) {
        out.emplace_back(CallCommand(RefuseCall{id, error}));
    }
    endCall(kernel, id, std::move(finished), out);
}

// Refuses a call that never entered the state.
void refuseAtOnce(Kernel &kernel, const CallArrived &arrived, Error error, std::vector<KernelAction> &out)
{
    const bool repeatable = arrived.repeatable.value_or(arrived.kind == CallKind::Chat);
    error.execution = truthfulExecution(error.execution, repeatable, false, arrived);
    ++kernel.counters.refused;
    CallFinished finished;
    finished.call = arrived.call;
    finished.error = error.kind;
    out.emplace_back(CallCommand(RefuseCall{arrived.call, std::move(error)}));
    out.emplace_back(std::move(finished));
}

const RouteConfig *routeOf(const SiteConfig &site, const CallArrived &arrived)
{
    if (const auto *route = findRoute(site, RouteId{arrived.routeName})) {
        const bool fits = (route->kind == RouteKind::Model) == (arrived.kind == CallKind::Chat);
        return fits ? route : nullptr;
    }
    if (arrived.kind == CallKind::Service) {
        return nullptr;
    }
    for (const auto &[id, route] : site.routes) {
        if (route.enabled && route.kind == RouteKind::Model && route.model == arrived.routeName) {
            return &route;
        }
    }
    return nullptr;
}

// What the call may not do, or nothing.
std::optional<Error> checkArrival(Kernel &kernel, const CallArrived &arrived, const Moment &moment)
{
    if (!kernel.site) {
        return Error{ErrorKind::NotConfigured,
                     "no configuration has reached this router yet",
                     Execution::NotRun,
                     NotConfiguredRetry};
    }
    if (kernel.stage == RouterStage::Draining || kernel.stage == RouterStage::Drained
        || kernel.stage == RouterStage::Lost) {
        return Error{ErrorKind::Draining, "this router takes no more calls", Execution::NotRun, NotConfiguredRetry};
    }
    const auto *customer = customerByKeyDigest(*kernel.site, arrived.keyDigest, moment.wall);
    if (customer == nullptr) {
        return Error{ErrorKind::Unauthenticated, "the key belongs to no customer, or is no longer valid"};
    }
    if (!customer->defaultBudget) {
        return Error{ErrorKind::UnknownBudget, "customer '" + customer->id.value + "' has no budget to charge"};
    }
    if (routeOf(*kernel.site, arrived) == nullptr) {
        const char *what = arrived.kind == CallKind::Chat ? "model" : "service route";
        return Error{ErrorKind::UnknownRoute, std::string("there is no ") + what + " '" + arrived.routeName + "'"};
    }
    if (kernel.calls.size() >= kernel.site->limits.maxInFlight) {
        return Error{
            ErrorKind::Overloaded, "this router has its full number of calls", Execution::NotRun, NotConfiguredRetry};
    }
    const RateRule rule{customer->requestsPerSecond, customer->burst};
    if (const auto wait = takeOne(kernel.rates[customer->id], rule, moment.now)) {
        return Error{
            ErrorKind::Overloaded, "customer '" + customer->id.value + "' is above its rate", Execution::NotRun, wait};
    }
    return std::nullopt;
}

Call makeCall(const Kernel &kernel, const CallArrived &arrived, const Moment &moment)
{
    const auto &customer = *customerByKeyDigest(*kernel.site, arrived.keyDigest, moment.wall);
    const auto &route = *routeOf(*kernel.site, arrived);
    Call call;
    call.arrived = arrived;
    call.customer = customer.id;
    call.route = route.id;
    call.budget = *customer.defaultBudget;
    call.customerShare = customer.share;
    call.priority = std::min(arrived.priority, customer.priorityCeiling);
    call.repeatable = arrived.repeatable.value_or(route.repeatable);
    call.arrivedAt = moment.now;
    call.deadlineAt = moment.now + arrived.deadline.value_or(route.deadline);
    if (arrived.kind == CallKind::Chat) {
        call.maxOutput = std::min(arrived.maxOutput.value_or(route.maxOutputDefault), route.maxOutputCeiling);
        call.worstCase = arrived.promptBound + call.maxOutput;
    } else {
        call.pricePerCall = route.pricePerCall;
        call.worstCase = route.pricePerCall;
    }
    return call;
}

void onEvent(Kernel &kernel, const CallArrived &arrived, const Moment &moment, std::vector<KernelAction> &out)
{
    ++kernel.counters.arrived;
    if (auto error = checkArrival(kernel, arrived, moment)) {
        refuseAtOnce(kernel, arrived, std::move(*error), out);
        return;
    }
    Call call = makeCall(kernel, arrived, moment);
    const Reservation reservation{
        arrived.call,
        RequestKey{call.customer, arrived.idempotencyKey},
        call.budget,
        call.worstCase,
        std::min(call.deadlineAt, moment.now + kernel.options.reservePatience),
    };
    kernel.calls.emplace(arrived.call.value, std::move(call));
    withBudget(kernel, moment, out, [&](auto &actions) {
        reserve(kernel.budget, reservation, moment.now, actions);
    });
}

PendingCall pendingOf(const Call &call)
{
    PendingCall pending;
    pending.call = call.arrived.call;
    pending.route = call.route;
    pending.customer = call.customer;
    pending.customerShare = call.customerShare;
    pending.priority = call.priority;
    pending.repeatable = call.repeatable;
    pending.promptTokens = call.arrived.promptBound;
    pending.maxOutput = call.maxOutput;
    pending.fingerprint =
        stableHash(call.customer.value) ^ rendezvousWeight(call.route.value, std::to_string(call.arrived.bodyDigest));
    pending.prefixHashes = call.arrived.prefixHashes;
    pending.arrivedAt = call.arrivedAt;
    pending.deadline = call.deadlineAt;
    return pending;
}

// Ends a call whose claim, if any, has to be told how it went.
void finishClaimOf(Kernel &kernel,
                   const Call &call,
                   ClaimOutcome outcome,
                   std::string answer,
                   const Moment &moment,
                   std::vector<KernelAction> &out)
{
    if (call.repeatable) {
        return;
    }
    const CallId id = call.arrived.call;
    withClaims(kernel, moment, out, [&](auto &actions) {
        finishClaim(kernel.claims, id, outcome, std::move(answer), moment.wall, moment.now, actions);
    });
}

void returnReservation(Kernel &kernel, CallId id, const Moment &moment, std::vector<KernelAction> &out)
{
    withBudget(kernel, moment, out, [&](auto &actions) {
        cancelReservation(kernel.budget, id, moment.now, actions);
    });
}

void sendToEndpoint(Kernel &kernel, Call &call, const Moment &moment, std::vector<KernelAction> &out)
{
    if (!call.dispatchedAt) {
        call.dispatchedAt = moment.now;
    }
    DispatchCall command;
    command.call = call.arrived.call;
    command.attempt = call.dispatch.attempt;
    command.endpoint = call.dispatch.endpoint;
    command.address = kernel.endpointAddresses[call.dispatch.endpoint];
    command.repeatable = call.repeatable;
    command.maxOutput = call.maxOutput;
    command.priority = call.priority;
    command.requestId = call.arrived.idempotencyKey;
    command.timeLimit = std::max(Duration(std::chrono::milliseconds(1)), Duration(call.deadlineAt - moment.now));
    out.emplace_back(CallCommand(std::move(command)));
}

// Tells the routing that an attempt never went out, or that its call has ended otherwise.
void cancelRouting(Kernel &kernel, CallId id, const Moment &moment, std::vector<KernelAction> &out)
{
    withRouting(kernel, moment, out, [&](auto &actions) {
        cancelCall(kernel.routing, id, moment.now, actions);
    });
}

void settleCall(Kernel &kernel, Call &call, Tokens used, const Moment &moment, std::vector<KernelAction> &out)
{
    call.settledAt = moment.now;
    const CallId id = call.arrived.call;
    withBudget(kernel, moment, out, [&](auto &actions) {
        settle(kernel.budget, id, used, moment.now, actions);
    });
}

AttemptEnd attemptEndOf(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Completed:
        return AttemptEnd::Completed;
    case AttemptResult::ConnectFailed:
        return AttemptEnd::ConnectFailed;
    case AttemptResult::RejectedNotRun:
        return AttemptEnd::RejectedNotRun;
    case AttemptResult::ConnectionBroken:
        return AttemptEnd::EndpointCrashed;
    case AttemptResult::TimedOut:
    case AttemptResult::ServerError:
        return AttemptEnd::TimedOut;
    }
    return AttemptEnd::TimedOut;
}

// The answer broke after part of it had reached the caller: no other attempt can continue it.
void abortBegun(
    Kernel &kernel, const Call &call, const AttemptEnded &ended, const Moment &moment, std::vector<KernelAction> &out)
{
    const CallId id = ended.call;
    // The routing still learns how the endpoint failed, for its breaker and its suspects; whatever it decides for
    // the call itself is void.
    std::vector<RoutingAction> actions;
    onAttemptEnded(kernel.routing, id, attemptEndOf(ended.result), moment.now, actions);
    cancelCall(kernel.routing, id, moment.now, actions);
    actions.erase(std::remove_if(actions.begin(),
                                 actions.end(),
                                 [id](const RoutingAction &action) {
                                     const auto *dispatch = std::get_if<Dispatch>(&action);
                                     const auto *giveUp = std::get_if<GiveUp>(&action);
                                     return (dispatch != nullptr && dispatch->call == id)
                                         || (giveUp != nullptr && giveUp->call == id);
                                 }),
                  actions.end());
    ++kernel.counters.aborted;
    CallFinished finished = describeEnd(call, moment);
    finished.error = ErrorKind::AnswerIncomplete;
    finished.execution = Execution::Unknown;
    Error error{ErrorKind::AnswerIncomplete, "the endpoint broke off in the middle of its answer; nothing was billed"};
    error.execution = Execution::Unknown;
    out.emplace_back(CallCommand(AbortCall{id, std::move(error)}));
    finishClaimOf(kernel, call, ClaimOutcome::Unknown, {}, moment, out);
    endCall(kernel, id, std::move(finished), out);
    returnReservation(kernel, id, moment, out);
    perform(kernel, actions, moment, out);
}

void onEvent(Kernel &kernel, const AttemptEnded &ended, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, ended.call);
    if (call == nullptr || call->lifecycle.stage != CallStage::Running || call->dispatch.attempt != ended.attempt) {
        return;
    }
    if (ended.result == AttemptResult::Completed) {
        tryAdvance(kernel, *call, CallStep::Answered);
        withRouting(kernel, moment, out, [&](auto &actions) {
            onAttemptEnded(kernel.routing, ended.call, AttemptEnd::Completed, moment.now, actions);
        });
        finishClaimOf(kernel, *call, ClaimOutcome::Ran, ended.answer, moment, out);
        settleCall(kernel, *call, call->arrived.kind == CallKind::Chat ? ended.used : call->pricePerCall, moment, out);
        return;
    }
    if (ended.answerBegun) {
        abortBegun(kernel, *call, ended, moment, out);
        return;
    }
    tryAdvance(kernel, *call, CallStep::AttemptFailed);
    withRouting(kernel, moment, out, [&](auto &actions) {
        onAttemptEnded(kernel.routing, ended.call, attemptEndOf(ended.result), moment.now, actions);
    });
}

void onEvent(Kernel &kernel, const FirstToken &event, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, event.call);
    if (call == nullptr || call->firstTokenAt) {
        return;
    }
    call->firstTokenAt = moment.now;
    withRouting(kernel, moment, out, [&](auto &actions) {
        onFirstToken(kernel.routing, event.call, moment.now, actions);
    });
}

void onEvent(Kernel &kernel, const CallerGone &event, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, event.call);
    if (call == nullptr) {
        return;
    }
    call->callerGone = true;
    if (call->lifecycle.stage == CallStage::Settling) {
        return; // Its bill is on the way; the call ends with it.
    }
    const CallStage stage = call->lifecycle.stage;
    const Call left = *call;
    CallFinished finished = describeEnd(left, moment);
    finished.error = ErrorKind::AnswerIncomplete;
    finished.execution = stage == CallStage::Running ? Execution::Unknown : Execution::NotRun;
    endCall(kernel, event.call, std::move(finished), out);
    cancelRouting(kernel, event.call, moment, out);
    returnReservation(kernel, event.call, moment, out);
    finishClaimOf(
        kernel, left, stage == CallStage::Running ? ClaimOutcome::Unknown : ClaimOutcome::NotRun, {}, moment, out);
}

// Offers the call to the next holder of its budget; refuses it when there is none.
void forwardOrRefuse(Kernel &kernel, CallId id, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, id);
    if (call == nullptr) {
        return;
    }
    if (call->forwardTargets.empty()) {
        refuse(kernel, *call, *call->refusal, moment, out);
        return;
    }
    if (!tryAdvance(kernel, *call, CallStep::Forwarded)) {
        return;
    }
    ++kernel.counters.forwarded;
    call->forwarded = true;
    const std::string address = call->forwardTargets.back();
    call->forwardTargets.pop_back();
    out.emplace_back(CallCommand(ForwardCall{id, address}));
}

void onEvent(Kernel &kernel, const ForwardEnded &event, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, event.call);
    if (call == nullptr || call->lifecycle.stage != CallStage::Forwarding) {
        return;
    }
    if (event.delivered) {
        endCall(kernel, event.call, describeEnd(*call, moment), out);
        return;
    }
    tryAdvance(kernel, *call, CallStep::ForwardFailed);
    forwardOrRefuse(kernel, event.call, moment, out);
}

std::vector<RouterAddress> routerAddresses(const Kernel &kernel)
{
    std::vector<RouterAddress> addresses;
    if (kernel.stage == RouterStage::Serving) {
        addresses.push_back(
            RouterAddress{kernel.options.host, kernel.options.dataCentre, kernel.options.callerAddress, false, 0});
    }
    for (const auto &member : liveRouters(kernel.membership, false)) {
        const auto known = kernel.routersByHost.find(member.host);
        if (known != kernel.routersByHost.end() && !known->second.callerAddress.empty()) {
            addresses.push_back(
                RouterAddress{member.host, member.dataCentre, known->second.callerAddress, member.draining, 0});
        }
    }
    return addresses;
}

void onEvent(Kernel &kernel, const AddressesAsked &event, const Moment &moment, std::vector<KernelAction> &out)
{
    CallArrived asked;
    asked.call = event.call;
    if (!kernel.site) {
        refuseAtOnce(kernel,
                     asked,
                     Error{ErrorKind::NotConfigured,
                           "no configuration has reached this router yet",
                           Execution::NotRun,
                           NotConfiguredRetry},
                     out);
        return;
    }
    const auto *customer = customerByKeyDigest(*kernel.site, event.keyDigest, moment.wall);
    if (customer == nullptr) {
        refuseAtOnce(kernel,
                     asked,
                     Error{ErrorKind::Unauthenticated, "the key belongs to no customer, or is no longer valid"},
                     out);
        return;
    }
    double allShares = 0;
    for (const auto &[id, other] : kernel.site->customers) {
        allShares += other.share;
    }
    AddressOptions options;
    options.customerShare = allShares > 0 ? customer->share / allShares : 0;
    options.minHosts = kernel.site->limits.addressesPerCustomer;
    options.pick = kernel.nextAddressPick++;
    options.keepFor =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kernel.site->limits.addressTtlSeconds));
    const auto answer = chooseAddresses(routerAddresses(kernel), customer->id, options);
    const nlohmann::json body = {{"addresses", answer.addresses}, {"keep_seconds", toSeconds(answer.keepFor)}};
    out.emplace_back(CallCommand(AnswerCall{event.call, body.dump()}));
}

// What the budget decided.

void onAction(Kernel &, const KvCommand &command, const Moment &, std::vector<KernelAction> &out)
{
    out.emplace_back(command);
}

void onAction(Kernel &kernel, const ReservationGranted &granted, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, granted.call);
    if (call == nullptr || !tryAdvance(kernel, *call, CallStep::Reserved)) {
        returnReservation(kernel, granted.call, moment, out);
        return;
    }
    withRouting(kernel, moment, out, [&](auto &actions) {
        enqueue(kernel.routing, pendingOf(*call), moment.now, actions);
    });
}

// Where callers reach a live router; empty when that is not known. A router without a link is known by the host list.
std::string callerAddressOf(const Kernel &kernel, const Incarnation &router)
{
    if (const auto linked = kernel.linked.find(router); linked != kernel.linked.end()) {
        return linked->second.callerAddress;
    }
    const auto member = kernel.membership.members.find(router);
    if (member == kernel.membership.members.end() || member->second.update.status != MemberStatus::Alive) {
        return {};
    }
    const auto listed = kernel.routersByHost.find(member->second.update.host);
    return listed == kernel.routersByHost.end() ? std::string() : listed->second.callerAddress;
}

void onAction(Kernel &kernel, const ReservationRefused &refused, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, refused.call);
    if (call == nullptr) {
        return;
    }
    call->refusal = refused.error;
    // A call that came from another router is not sent on: two routers would pass it to and fro.
    if (!call->arrived.forwarded) {
        for (const auto &holder : refused.holders) {
            const std::string address = callerAddressOf(kernel, holder);
            if (!address.empty() && static_cast<int>(call->forwardTargets.size()) < kernel.options.maxForwards) {
                call->forwardTargets.insert(call->forwardTargets.begin(), address);
            }
        }
    }
    forwardOrRefuse(kernel, refused.call, moment, out);
}

void onAction(Kernel &kernel, const BillDurable &bill, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, bill.call);
    if (call == nullptr) {
        return;
    }
    ++kernel.counters.released;
    CallFinished finished = describeEnd(*call, moment);
    finished.billed = bill.billed;
    finished.execution = Execution::Run;
    if (!call->callerGone) {
        out.emplace_back(call->replay ? CallCommand(ReplayCall{bill.call, std::move(*call->replay)})
                                      : CallCommand(ReleaseCall{bill.call, bill.billed}));
    }
    endCall(kernel, bill.call, std::move(finished), out);
}

void onAction(Kernel &kernel, const BillLost &lost, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, lost.call);
    if (call == nullptr) {
        return;
    }
    ++kernel.counters.aborted;
    CallFinished finished = describeEnd(*call, moment);
    finished.error = lost.error.kind;
    finished.execution = lost.error.execution;
    if (!call->callerGone) {
        out.emplace_back(CallCommand(AbortCall{lost.call, lost.error}));
    }
    endCall(kernel, lost.call, std::move(finished), out);
}

// Links a router that is live but not linked: in a large fleet each router keeps few links, and a witness that is
// never reached would hold every bill back.
void linkOnDemand(Kernel &kernel, const Incarnation &peer, std::vector<KernelAction> &out)
{
    if (kernel.linked.count(peer) != 0) {
        return;
    }
    const auto member = kernel.membership.members.find(peer);
    if (member != kernel.membership.members.end() && member->second.update.status != MemberStatus::Gone) {
        out.emplace_back(LinkPeer{member->second.update.host, member->second.update.address});
    }
}

void onAction(Kernel &kernel, const PeerSend &message, const Moment &, std::vector<KernelAction> &out)
{
    linkOnDemand(kernel, message.to, out);
    out.emplace_back(SendToPeer{message.to, "budget", message.cbor});
}

void onAction(Kernel &kernel, const IncarnationClosed &, const Moment &moment, std::vector<KernelAction> &out)
{
    if (kernel.stage == RouterStage::Lost || kernel.stage == RouterStage::Drained) {
        return;
    }
    kernel.stage = RouterStage::Lost;
    abortAllCalls(kernel, moment, out);
    out.emplace_back(IncarnationLost{});
}

// What the claims decided.

void onAction(Kernel &kernel, const ClaimGranted &granted, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, granted.call);
    if (call == nullptr || !tryAdvance(kernel, *call, CallStep::ClaimGranted)) {
        withClaims(kernel, moment, out, [&](auto &actions) {
            finishClaim(kernel.claims, granted.call, ClaimOutcome::NotRun, {}, moment.wall, moment.now, actions);
        });
        return;
    }
    call->claimGranted = true;
    sendToEndpoint(kernel, *call, moment, out);
}

void onAction(Kernel &kernel, const ClaimReplay &replay, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, replay.call);
    if (call == nullptr || !tryAdvance(kernel, *call, CallStep::ClaimReplayed)) {
        return;
    }
    cancelRouting(kernel, replay.call, moment, out);
    call->replay = replay.answer;
    // The first call may have died between its run and its bill. The bill's key is the request's: if it stands
    // already, this one settles to nothing.
    settleCall(kernel, *call, call->pricePerCall, moment, out);
}

void onAction(Kernel &kernel, const ClaimRefused &refused, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, refused.call);
    if (call == nullptr) {
        return;
    }
    call->claimAnswered = true; // The claims decide for themselves what may be said.
    cancelRouting(kernel, refused.call, moment, out);
    returnReservation(kernel, refused.call, moment, out);
    refuse(kernel, *call, refused.error, moment, out);
}

void onAction(Kernel &, const ClaimFinished &, const Moment &, std::vector<KernelAction> &)
{
}

// What the routing decided.

void askClaim(Kernel &kernel, Call &call, const Moment &moment, std::vector<KernelAction> &out)
{
    ClaimRequest request;
    request.call = call.arrived.call;
    request.key = RequestKey{call.customer, call.arrived.idempotencyKey};
    request.bodyDigest = call.arrived.bodyDigest;
    // An id that this router made is as old as the call.
    request.createdAt = call.arrived.idGenerated ? moment.wall : call.arrived.createdAt;
    request.wallNow = moment.wall;
    request.giveUpAt = call.deadlineAt;
    request.firstSend = call.arrived.firstSend;
    withClaims(kernel, moment, out, [&](auto &actions) {
        claim(kernel.claims, request, moment.now, actions);
    });
}

// Sends another attempt of a call that was claimed for an earlier one.
void sendUnderClaim(Kernel &kernel, Call &call, const Moment &moment, std::vector<KernelAction> &out)
{
    const CallId id = call.arrived.call;
    if (claimStillValid(kernel.claims, id, moment.now)) {
        if (tryAdvance(kernel, call, CallStep::Dispatched)) {
            sendToEndpoint(kernel, call, moment, out);
        }
        return;
    }
    // Others may have closed a grant that waited too long, and answered its caller "unknown" elsewhere. The call has
    // not run; its caller learns so at once.
    cancelRouting(kernel, id, moment, out);
    finishClaimOf(kernel, call, ClaimOutcome::NotRun, {}, moment, out);
    returnReservation(kernel, id, moment, out);
    refuse(kernel,
           call,
           Error{ErrorKind::Overloaded, "no endpoint took the request in time", Execution::NotRun, NotConfiguredRetry},
           moment,
           out);
}

void onAction(Kernel &kernel, const Dispatch &dispatch, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, dispatch.call);
    if (call == nullptr) {
        cancelRouting(kernel, dispatch.call, moment, out);
        return;
    }
    call->dispatch = dispatch;
    if (call->repeatable) {
        if (tryAdvance(kernel, *call, CallStep::Dispatched)) {
            sendToEndpoint(kernel, *call, moment, out);
        }
        return;
    }
    if (call->claimGranted) {
        sendUnderClaim(kernel, *call, moment, out);
        return;
    }
    // The claim stands before the first byte goes out: a second router that is asked for the same id then finds it.
    if (!tryAdvance(kernel, *call, CallStep::ClaimAsked)) {
        return;
    }
    askClaim(kernel, *call, moment, out);
}

void onAction(Kernel &kernel, const GiveUp &giveUp, const Moment &moment, std::vector<KernelAction> &out)
{
    Call *call = findCall(kernel, giveUp.call);
    if (call == nullptr) {
        return;
    }
    const bool notRun = giveUp.error.execution == Execution::NotRun;
    finishClaimOf(kernel, *call, notRun ? ClaimOutcome::NotRun : ClaimOutcome::Unknown, {}, moment, out);
    returnReservation(kernel, giveUp.call, moment, out);
    refuse(kernel, *call, giveUp.error, moment, out);
}

void onAction(Kernel &kernel, const TellSuspect &tell, const Moment &, std::vector<KernelAction> &out)
{
    const std::string body = encodeSuspectNotice(tell.notice);
    for (const auto &[incarnation, router] : kernel.linked) {
        out.emplace_back(SendToPeer{incarnation, "suspect", body});
    }
}

template<typename Action>
void performAll(Kernel &kernel, std::vector<Action> &actions, const Moment &moment, std::vector<KernelAction> &out)
{
    for (auto &action : actions) {
        std::visit(
            [&](auto &one) {
                onAction(kernel, one, moment, out);
            },
            action);
    }
}

} // namespace

void onCallEvent(Kernel &kernel, const CallEvent &event, const Moment &moment, std::vector<KernelAction> &out)
{
    std::visit(
        [&](const auto &one) {
            onEvent(kernel, one, moment, out);
        },
        event);
}

void perform(Kernel &kernel, std::vector<BudgetAction> &actions, const Moment &moment, std::vector<KernelAction> &out)
{
    performAll(kernel, actions, moment, out);
}

void perform(Kernel &kernel, std::vector<ClaimAction> &actions, const Moment &moment, std::vector<KernelAction> &out)
{
    performAll(kernel, actions, moment, out);
}

void perform(Kernel &kernel, std::vector<RoutingAction> &actions, const Moment &moment, std::vector<KernelAction> &out)
{
    performAll(kernel, actions, moment, out);
}

void abortAllCalls(Kernel &kernel, const Moment &moment, std::vector<KernelAction> &out)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(kernel.calls.size());
    for (const auto &[id, call] : kernel.calls) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const std::uint64_t id : ids) {
        const Call &call = kernel.calls.at(id);
        const bool sent = call.lifecycle.stage == CallStage::Running || call.lifecycle.stage == CallStage::Settling;
        Error error{sent ? ErrorKind::AnswerIncomplete : ErrorKind::Draining,
                    "this router was taken for dead and starts anew; nothing was billed"};
        error.execution = sent ? Execution::Unknown : Execution::NotRun;
        error.retryAfter = NotConfiguredRetry;
        CallFinished finished = describeEnd(call, moment);
        if (call.lifecycle.stage == CallStage::Forwarding) {
            endCall(kernel, CallId{id}, std::move(finished), out);
            continue; // It runs, and is billed, at another router.
        }
        ++kernel.counters.aborted;
        finished.error = error.kind;
        finished.execution = error.execution;
        out.emplace_back(CallCommand(AbortCall{CallId{id}, std::move(error)}));
        endCall(kernel, CallId{id}, std::move(finished), out);
    }
}

} // namespace Godwit::internal
