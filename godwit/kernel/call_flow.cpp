#include "godwit/kernel/call_flow.h"

#include "godwit/kernel/call_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Godwit::internal
{
namespace
{

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
                                     const auto *giveUp = std::get_if<FailCall>(&action);
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
    options.selector = kernel.nextAddressPick++;
    options.ttl =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kernel.site->limits.addressTtlSeconds));
    const auto answer = chooseAddresses(routerAddresses(kernel), customer->id, options);
    const nlohmann::json body = {{"addresses", answer.addresses}, {"keep_seconds", toSeconds(answer.ttl)}};
    out.emplace_back(CallCommand(AnswerCall{event.call, body.dump()}));
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

} // namespace Godwit::internal
