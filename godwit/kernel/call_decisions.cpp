// What the budget, the claims and the routing decided for calls, carried out.

#include "godwit/base/hash.h"
#include "godwit/kernel/call_state.h"
#include "godwit/suspects/suspect_codec.h"

#include <algorithm>

namespace Godwit::internal
{
namespace
{

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

void onAction(Kernel &kernel, const FailCall &giveUp, const Moment &moment, std::vector<KernelAction> &out)
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

void onAction(Kernel &kernel, const BroadcastSuspect &tell, const Moment &, std::vector<KernelAction> &out)
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

} // namespace Godwit::internal
