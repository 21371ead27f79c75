#include "godwit/kernel/call_lifecycle.h"
#include "godwit/kernel/kernel.h"
#include "godwit/kernel/rate_limit.h"
#include "godwit/suspects/suspect_codec.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Godwit;

namespace
{

constexpr CallStep AllSteps[] = {
    CallStep::Reserved,
    CallStep::Forwarded,
    CallStep::ForwardFailed,
    CallStep::Dispatched,
    CallStep::ClaimAsked,
    CallStep::ClaimGranted,
    CallStep::ClaimReplayed,
    CallStep::AttemptFailed,
    CallStep::Answered,
};

std::size_t allowedSteps(CallStage stage)
{
    std::size_t allowed = 0;
    for (const CallStep step : AllSteps) {
        CallLifecycle lifecycle{stage};
        allowed += advance(lifecycle, step) ? 1 : 0;
    }
    return allowed;
}

Moment momentAt(std::chrono::seconds seconds)
{
    return Moment{TimePoint(seconds), WallTime(std::chrono::hours(24 * 365 * 50) + seconds)};
}

KernelOptions optionsOf(const std::string &host)
{
    KernelOptions options;
    options.self = Incarnation{host + ".1"};
    options.host = HostId{host};
    options.dataCentre = DataCentreId{"dc"};
    options.callerAddress = "127.0.0.1:1";
    options.peerAddress = "127.0.0.1:2";
    return options;
}

template<typename Action>
std::size_t countOf(const std::vector<KernelAction> &actions)
{
    return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const KernelAction &action) {
        return std::holds_alternative<Action>(action);
    }));
}

} // namespace

TEST_CASE("a settled call allows no further step")
{
    // An attempt's end comes twice, or a claim's grant comes late. After the answer is whole nothing may move the
    // call: a second settlement would bill it twice.
    CHECK(allowedSteps(CallStage::Settling) == 0);
    CHECK(allowedSteps(CallStage::Reserving) == 2);
    CHECK(allowedSteps(CallStage::Forwarding) == 1);
    CHECK(allowedSteps(CallStage::Queued) == 2);
    CHECK(allowedSteps(CallStage::Claiming) == 2);
    CHECK(allowedSteps(CallStage::Running) == 2);
}

TEST_CASE("the stages of a call follow their table")
{
    CallLifecycle call;
    CHECK_FALSE(advance(call, CallStep::Answered));
    CHECK(call.stage == CallStage::Reserving);
    for (const CallStep step : {CallStep::Reserved,
                                CallStep::Dispatched,
                                CallStep::AttemptFailed,
                                CallStep::ClaimAsked,
                                CallStep::ClaimGranted,
                                CallStep::Answered}) {
        CHECK(advance(call, step));
    }
    CHECK(callStageName(call.stage) == "settling");
}

TEST_CASE("a rate limit saves up to its burst and says when to come back")
{
    RateLimit limit;
    const RateRule rule{2.0, 3.0};
    TimePoint now(std::chrono::seconds(5));
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(takeOne(limit, rule, now));
    }
    const auto wait = takeOne(limit, rule, now);
    REQUIRE(wait);
    CHECK(*wait == std::chrono::milliseconds(500));
    CHECK_FALSE(takeOne(limit, rule, now + *wait));
    CHECK_FALSE(takeOne(limit, RateRule{}, now));
}

TEST_CASE("suspect notices come through whole, and other bytes do not")
{
    SuspectNotice notice;
    notice.fingerprint = 0xfedcba9876543210ULL;
    notice.status = SuspectStatus::Convicted;
    notice.endpoint = EndpointId{"e"};
    notice.age = std::chrono::seconds(2);
    notice.refuseFor = std::chrono::minutes(10);
    const std::string bytes = encodeSuspectNotice(notice);
    const auto back = decodeSuspectNotice(bytes);
    REQUIRE(back);
    CHECK(back->fingerprint == notice.fingerprint);
    CHECK(back->status == notice.status);
    CHECK(back->refuseFor == notice.refuseFor);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        CHECK_FALSE(decodeSuspectNotice(bytes.substr(0, cut)));
    }
    notice.refuseFor = std::chrono::hours(48);
    CHECK_FALSE(decodeSuspectNotice(encodeSuspectNotice(notice)));
}

TEST_CASE("a router without configuration refuses calls, not run, and says when to come back")
{
    Kernel kernel = makeKernel(optionsOf("a"), momentAt(std::chrono::seconds(1)));
    std::vector<KernelAction> actions;
    start(kernel, momentAt(std::chrono::seconds(1)), actions);
    actions.clear();
    CallArrived arrived;
    arrived.call = CallId{1};
    step(kernel, CallEvent(arrived), momentAt(std::chrono::seconds(1)), actions);
    REQUIRE(countOf<CallCommand>(actions) == 1);
    const auto &refusal = std::get<RefuseCall>(std::get<CallCommand>(actions.front()));
    CHECK(refusal.error.kind == ErrorKind::NotConfigured);
    CHECK(refusal.error.execution == Execution::NotRun);
    CHECK(refusal.error.retryAfter);
    CHECK(kernel.calls.empty());
}

TEST_CASE("events for calls that have ended do nothing")
{
    // A caller leaves, and its endpoint's answer comes after it. Nobody waits for the call any more.
    Kernel kernel = makeKernel(optionsOf("a"), momentAt(std::chrono::seconds(1)));
    std::vector<KernelAction> actions;
    AttemptEnded ended;
    ended.call = CallId{9};
    ended.used = 50;
    step(kernel, CallEvent(ended), momentAt(std::chrono::seconds(1)), actions);
    step(kernel, CallEvent(CallerGone{CallId{9}}), momentAt(std::chrono::seconds(1)), actions);
    step(kernel, CallEvent(ForwardEnded{CallId{9}, false}), momentAt(std::chrono::seconds(1)), actions);
    CHECK(actions.empty());
    CHECK(kernel.counters.lateEvents == 3);
}

TEST_CASE("an idle router drains after its addresses have lapsed, and ends once")
{
    // The operator stops a router that has no calls. Callers still hold its address; it must serve them until their
    // answers lapse, and only then end.
    Kernel kernel = makeKernel(optionsOf("a"), momentAt(std::chrono::seconds(1)));
    std::vector<KernelAction> actions;
    step(kernel, DrainRequested{}, momentAt(std::chrono::seconds(1)), actions);
    CHECK(kernel.stage == RouterStage::Leaving);
    CHECK(countOf<DrainFinished>(actions) == 0);
    for (int second = 2; second < 12; ++second) {
        step(kernel, Tick{}, momentAt(std::chrono::seconds(second)), actions);
    }
    CHECK(kernel.stage == RouterStage::Drained);
    CHECK(countOf<DrainFinished>(actions) == 1);
}

TEST_CASE("a refusal before the claims were looked at does not say not run of a repeated id")
{
    // A booking ran at a router that died before it answered. The caller sends the id again to a router that refuses
    // at once. Told "not run", the caller would book a second time under a new id.
    Kernel kernel = makeKernel(optionsOf("a"), momentAt(std::chrono::seconds(1)));
    const auto executionOf = [&kernel](const CallArrived &arrived) {
        std::vector<KernelAction> actions;
        step(kernel, CallEvent(arrived), momentAt(std::chrono::seconds(1)), actions);
        return std::get<RefuseCall>(std::get<CallCommand>(actions.front())).error.execution;
    };
    CallArrived booking;
    booking.call = CallId{1};
    booking.kind = CallKind::Service;
    CHECK(executionOf(booking) == Execution::Unknown);
    booking.firstSend = true;
    CHECK(executionOf(booking) == Execution::NotRun);
    booking.firstSend = false;
    booking.repeatable = true;
    CHECK(executionOf(booking) == Execution::NotRun);
}
