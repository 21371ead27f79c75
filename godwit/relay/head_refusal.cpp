#include "godwit/relay/head_refusal.h"

#include "godwit/base/milliseconds.h"
#include "godwit/gateway/request_identity.h"

#include <algorithm>
#include <string_view>

namespace Godwit
{
namespace
{

constexpr std::int64_t UnknownLength = -1;

// A request whose route and customer are known.
struct KnownRequest
{
    RequestMetadata facts;
    const GatewayRoute *route = nullptr;
    CustomerId customer; // Empty on open routes.
    std::optional<int> customerPriority;
    std::optional<std::uint64_t> bodyBytes;
};

std::optional<KnownRequest> identifyRequest(const RouteTable &table, const RequestHead &head)
{
    LastReason ignored;
    auto facts = parseRequestHead(head, ignored);
    if (!facts) {
        return std::nullopt;
    }
    KnownRequest request;
    request.facts = std::move(*facts);
    request.route = findRoute(table, request.facts.host, request.facts.target);
    if (request.route == nullptr) {
        return std::nullopt;
    }
    if (!request.route->open && table.document.keysRequired) {
        const PrepaidCustomer *customer = findCustomer(table, request.facts.key);
        if (customer == nullptr) {
            return std::nullopt;
        }
        request.customer = customer->name;
        request.customerPriority = customer->priority;
    }
    return request;
}

// Recognizes a request that returns after having been deferred. Attempt ids differ between attempts, and the body has
// not been read, so that this is what the rest of the head says about the request.
std::uint64_t identityOf(const KnownRequest &request, std::string_view method)
{
    const RequestMetadata &facts = request.facts;
    std::string content = std::to_string(request.bodyBytes.value_or(0)) + ',' + std::to_string(facts.promptTokens) + ','
        + std::to_string(facts.maxOutputTokens);
    for (const PromptSegment &part : facts.promptSegments) {
        content.append(1, ',').append(part.id);
    }
    return requestFingerprint({method, facts.host, facts.target, request.customer, content});
}

Duration timeLeftOf(const KnownRequest &request, const RelayOptions &options)
{
    const Duration timeout = request.route->timeout;
    return std::min(timeout, request.facts.timeLeft.value_or(timeout) - options.answerMargin);
}

void logDeferred(Relay &relay, const KnownRequest &request, Duration retryAfter, TimePoint now)
{
    CallerAdmissionState &state = relay.state().callerAdmission;
    const CallerAdmissionOptions &options = relay.options().callerAdmission;
    const auto omitted = takeLogLine(state, options, now);
    if (!omitted) {
        return;
    }
    const LinkShare share = linkShare(state, options);
    const auto bodyBytes = request.bodyBytes ? static_cast<std::int64_t>(*request.bodyBytes) : UnknownLength;
    relay.log().write("deferred",
                      {{"id", std::string_view(request.facts.attemptId)},
                       {"route", std::string_view(request.route->name.value)},
                       {"customer", std::string_view(request.customer.value)},
                       {"body_bytes", bodyBytes},
                       {"lag_ms", toMilliseconds(recentLag(state, options, now))},
                       {"in_share", share.in},
                       {"out_share", share.out},
                       {"retry_after_ms", toMilliseconds(retryAfter)},
                       {"lines_omitted", static_cast<std::int64_t>(*omitted)}});
}

void logRefused(Relay &relay, const KnownRequest &request, const Error &error)
{
    relay.log().write("refused",
                      {{"id", std::string_view(request.facts.attemptId)},
                       {"cause", errorName(error.kind)},
                       {"message", std::string_view(error.message)},
                       {"customer", std::string_view(request.customer.value)},
                       {"route", std::string_view(request.route->name.value)},
                       {"sends", std::int64_t{0}},
                       {"may_have_run", false}});
}

void countRefusal(Relay &relay, const KnownRequest &request, ErrorKind kind)
{
    ++relay.counters().requests;
    ++relay.counters().refusals[kind];
    CallRecord record;
    record.customer = request.customer;
    record.kind = request.route->kind;
    record.end = CallEnd::Refused;
    recordCall(relay.counters().calls, record);
}

Error lackOfRoom(const Relay &relay)
{
    Error error;
    error.kind = ErrorKind::Overloaded;
    error.message = "this router holds as many bytes for its callers and endpoints as it may";
    error.retryAfter = relay.options().defaultRetryAfter;
    return error;
}

HeadRefusal refuseForMemory(Relay &relay, const KnownRequest &request)
{
    HeadRefusal refusal;
    refusal.attemptId = request.facts.attemptId;
    refusal.error = lackOfRoom(relay);
    logRefused(relay, request, refusal.error);
    countRefusal(relay, request, refusal.error.kind);
    return refusal;
}

// The body of a request is read although it will be refused: its caller may read the response only afterwards.
std::optional<HeadRefusal> refuseUnconfigured(Relay &relay, std::optional<std::uint64_t> bodyBytes)
{
    if (mayHoldBody(*relay.state().held, relay.options().held, bodyBytes)) {
        return std::nullopt;
    }
    HeadRefusal refusal;
    refusal.error.kind = ErrorKind::NotConfigured;
    refusal.error.message = "this router has not loaded a configuration yet, and has no room for the body";
    refusal.error.retryAfter = relay.options().defaultRetryAfter;
    ++relay.counters().requests;
    ++relay.counters().refusals[refusal.error.kind];
    return refusal;
}

} // namespace

std::optional<HeadRefusal> refuseOnHead(Relay &relay, const RequestHead &head, std::optional<std::uint64_t> bodyBytes)
{
    const RelayState &state = relay.state();
    if (!state.routes) {
        return refuseUnconfigured(relay, bodyBytes);
    }
    if (state.stage == RelayStage::Stopping) {
        return std::nullopt;
    }
    const CallerAdmissionOptions &options = relay.options().callerAdmission;
    const bool mayDefer = relay.defersRequests() && !(bodyBytes && *bodyBytes <= options.exemptBodyBytes);
    const bool hasRoom = mayHoldBody(*state.held, relay.options().held, bodyBytes);
    if (hasRoom && !mayDefer) {
        return std::nullopt;
    }
    const RouteTable &table = *state.routes;
    auto request = identifyRequest(table, head);
    if (!request) {
        return std::nullopt;
    }
    request->bodyBytes = bodyBytes;
    if (!hasRoom) {
        return refuseForMemory(relay, *request);
    }
    if (!isDeferrable(table, *request->route, request->customerPriority)) {
        return std::nullopt;
    }
    const auto method = head.method_string();
    const CallerAdmissionQuery query{request->route->name,
                                     bodyBytes,
                                     timeLeftOf(*request, relay.options()),
                                     identityOf(*request, {method.data(), method.size()})};
    const TimePoint now = Relay::now();
    const double random = static_cast<double>(relay.random() % 1024) / 1024.0;
    const auto decision = decideAdmission(relay.state().callerAdmission, query, options, random, now);
    if (decision.outcome == CallerAdmissionOutcome::Admitted) {
        return std::nullopt;
    }
    HeadRefusal refusal;
    refusal.attemptId = request->facts.attemptId;
    if (decision.outcome == CallerAdmissionOutcome::Deferred) {
        refusal.error.kind = ErrorKind::Overloaded;
        refusal.error.message = "this router's link is busy; the request was deferred before its body was read";
        refusal.error.retryAfter = decision.retryAfter;
        ++relay.counters().deferred[request->route->name.value];
        logDeferred(relay, *request, decision.retryAfter, now);
    } else {
        refusal.error.kind = ErrorKind::DeadlineTooShort;
        refusal.error.message = "the queue of this router's link takes longer than the time left";
        logRefused(relay, *request, refusal.error);
    }
    countRefusal(relay, *request, refusal.error.kind);
    return refusal;
}

std::optional<CustomerId> customerOnHead(Relay &relay, const RequestHead &head)
{
    if (!relay.state().routes) {
        return CustomerId{};
    }
    auto request = identifyRequest(*relay.state().routes, head);
    return request ? std::optional<CustomerId>(std::move(request->customer)) : std::nullopt;
}

HeadRefusal refuseUnfinished(Relay &relay, const RequestHead &head)
{
    if (relay.state().routes) {
        if (const auto request = identifyRequest(*relay.state().routes, head)) {
            return refuseForMemory(relay, *request);
        }
    }
    HeadRefusal refusal;
    refusal.error = lackOfRoom(relay);
    LastReason ignored;
    if (const auto facts = parseRequestHead(head, ignored)) {
        refusal.attemptId = facts->attemptId;
    }
    relay.log().write("unreadable_request", {{"cause", std::string_view(refusal.error.message)}});
    ++relay.counters().refusals[refusal.error.kind];
    return refusal;
}

} // namespace Godwit
