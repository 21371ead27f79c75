#include "godwit/kernel/call_state.h"

#include <algorithm>

namespace Godwit::internal
{
namespace
{

// What may be said of the request, not only of this call. A refusal that did not look at the claims knows nothing of
// an earlier call with the same id: it may have run at a router that died. "Not run" would make the caller issue a
// second voucher, so such a refusal says "unknown", unless the caller vouches that it never sent the id before.
Execution truthfulExecution(Execution execution, bool repeatable, bool claimsSeen, const CallArrived &arrived)
{
    const bool known = repeatable || claimsSeen || arrived.firstSend;
    return execution == Execution::NotRun && !known ? Execution::Unknown : execution;
}

} // namespace

Call *findCall(Kernel &kernel, CallId id)
{
    const auto found = kernel.calls.find(id.value);
    if (found == kernel.calls.end()) {
        ++kernel.counters.lateEvents;
        return nullptr;
    }
    return &found->second;
}

bool tryAdvance(Kernel &kernel, Call &call, CallStep step)
{
    const bool allowed = advance(call.lifecycle, step);
    kernel.counters.lateEvents += allowed ? 0 : 1;
    return allowed;
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

void endCall(Kernel &kernel, CallId id, CallFinished finished, std::vector<KernelAction> &out)
{
    kernel.calls.erase(id.value);
    out.emplace_back(std::move(finished));
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
