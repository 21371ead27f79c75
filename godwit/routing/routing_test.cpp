#include "godwit/routing/routing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

const RouteId ModelRoute{"matching"};
const DataCentreId LocalDataCentre{"hala-izvor"};
const DataCentreId RemoteDataCentre{"hala-pavilion"};

// The routing state of one router with a simulated clock. Collects its actions.
struct TestRouter
{
    RoutingState state;
    TimePoint now = TimePoint(1h);
    std::vector<RoutingAction> actions;
    std::uint64_t nextCall = 1;

    explicit TestRouter(RoutingOptions options = {})
    {
        options.dataCentre = LocalDataCentre;
        state = makeRoutingState(std::move(options));
    }

    void listEndpoints(std::vector<EndpointSpec> specs)
    {
        setEndpoints(state, std::move(specs), now, actions);
    }

    PendingCall make(const std::string &customer = "dolna")
    {
        PendingCall call;
        call.call = CallId(nextCall++);
        call.route = ModelRoute;
        call.customer = CustomerId(customer);
        call.repeatable = true;
        call.promptTokens = 1000;
        call.maxOutput = 100;
        call.fingerprint = call.call.value * 1000;
        call.arrivedAt = now;
        call.deadline = now + 60s;
        return call;
    }

    CallId add(const PendingCall &call)
    {
        enqueue(state, call, now, actions);
        return call.call;
    }

    void end(CallId call, AttemptEnd how)
    {
        onAttemptEnded(state, call, how, now, actions);
    }

    void advance(Duration time)
    {
        const auto until = now + time;
        while (true) {
            const auto wake = nextWake(state);
            if (!wake || *wake > until) {
                break;
            }
            now = std::max(now, *wake);
            onTick(state, now, actions);
        }
        now = until;
    }

    // Returns the endpoint of the last dispatch of the call; empty when there was none.
    std::string endpointOf(CallId call) const
    {
        for (auto it = actions.rbegin(); it != actions.rend(); ++it) {
            const auto *sent = std::get_if<Dispatch>(&*it);
            if (sent && sent->call == call) {
                return sent->endpoint.value;
            }
        }
        return {};
    }

    int dispatchesOf(CallId call) const
    {
        return static_cast<int>(std::count_if(actions.begin(), actions.end(), [&](const RoutingAction &action) {
            const auto *sent = std::get_if<Dispatch>(&action);
            return sent && sent->call == call;
        }));
    }

    std::optional<Error> errorOf(CallId call) const
    {
        for (const auto &action : actions) {
            const auto *given = std::get_if<FailCall>(&action);
            if (given && given->call == call) {
                return given->error;
            }
        }
        return std::nullopt;
    }
};

EndpointSpec endpoint(const std::string &name, int slots = 4, const DataCentreId &dataCentre = LocalDataCentre)
{
    EndpointSpec spec;
    spec.id = EndpointId(name);
    spec.route = ModelRoute;
    spec.dataCentre = dataCentre;
    spec.slots = slots;
    spec.modelEngine = true;
    spec.host = HostId("host-of-" + name);
    return spec;
}

void checkError(const std::optional<Error> &error, ErrorKind kind, Execution execution)
{
    REQUIRE(error);
    CHECK(errorName(error->kind) == errorName(kind));
    CHECK(executionName(error->execution) == executionName(execution));
}

} // namespace

TEST_CASE("endpoints of the local data centre are preferred until they are full")
{
    TestRouter router;
    router.listEndpoints({endpoint("far", 4, RemoteDataCentre), endpoint("near", 2)});
    auto call = router.make();
    call.promptTokens = 10;
    for (const char *expected : {"near", "near", "far"}) {
        call.call = CallId(router.nextCall++);
        CHECK(router.endpointOf(router.add(call)) == expected);
    }
}

TEST_CASE("a load report is combined with the calls dispatched since it was taken")
{
    // The reports are older than the router's own dispatches, which must be counted once: neither left out nor added to
    // a report that already includes them.
    TestRouter router;
    router.listEndpoints({endpoint("a", 16), endpoint("b", 16)});
    const auto first = router.add(router.make());
    const auto second = router.add(router.make());
    CHECK(router.endpointOf(first) != router.endpointOf(second));
    const auto busy = router.endpointOf(first);
    const auto other = router.endpointOf(second);
    router.advance(1s);
    LoadReport report;
    report.running = 6;
    report.age = 100ms;
    onLoadReport(router.state, EndpointId(busy), report, router.now, router.actions);
    report.running = 1;
    onLoadReport(router.state, EndpointId(other), report, router.now, router.actions);
    CHECK(router.endpointOf(router.add(router.make())) == other);
    const auto own = router.state.endpoints[router.state.endpointIndex.at(EndpointId(busy))].otherRoutersLoad;
    CHECK(own == Approx(5));
}

TEST_CASE("routers share the free slots that a load report shows")
{
    RoutingOptions options;
    TestRouter router(options);
    setRouterCount(router.state, 8);
    router.listEndpoints({endpoint("a", 16)});
    LoadReport report;
    report.running = 14;
    report.age = 100ms;
    onLoadReport(router.state, EndpointId("a"), report, router.now, router.actions);
    int sent = 0;
    for (int i = 0; i < 10; ++i) {
        sent += router.endpointOf(router.add(router.make())).empty() ? 0 : 1;
    }
    // Two slots are free, and the equal share of this router is two slots.
    CHECK(sent <= 2);
}

TEST_CASE("a call goes to the endpoint that has its prefix cached, unless that endpoint is busy")
{
    TestRouter router;
    router.listEndpoints({endpoint("a", 16), endpoint("b", 16)});
    auto call = router.make();
    call.prefixHashes = {1, 2, 3, 4};
    const auto first = router.add(call);
    const auto home = router.endpointOf(first);
    onFirstToken(router.state, first, router.now, router.actions);
    auto again = router.make();
    again.prefixHashes = {1, 2, 3, 4};
    CHECK(router.endpointOf(router.add(again)) == home);

    // Twelve queued prompts cost more than the cached prefix saves.
    LoadReport report;
    report.running = 16;
    report.queued = 12;
    onLoadReport(router.state, EndpointId(home), report, router.now, router.actions);
    auto third = router.make();
    third.prefixHashes = {1, 2, 3, 4};
    CHECK(router.endpointOf(router.add(third)) != home);
}

TEST_CASE("late, repeated and lost cache events affect only cache locality")
{
    TestRouter router;
    router.listEndpoints({endpoint("a", 16), endpoint("b", 16)});
    const EndpointId b("b");
    const auto homeOf = [&](std::vector<std::uint64_t> blocks) {
        auto call = router.make();
        call.prefixHashes = std::move(blocks);
        const auto id = router.add(call);
        auto home = router.endpointOf(id);
        cancelCall(router.state, id, router.now, router.actions);
        return home;
    };
    CacheEventBatch batch{1, 0, {{CacheEventKind::Stored, 71}, {CacheEventKind::Stored, 72}}};
    onCacheEvents(router.state, b, batch, router.now, router.actions);
    CHECK(homeOf({71, 72}) == "b");
    const CacheEventBatch removal{1, 2, {{CacheEventKind::Removed, 71}, {CacheEventKind::Removed, 72}}};
    onCacheEvents(router.state, b, removal, router.now, router.actions);
    onCacheEvents(router.state, b, batch, router.now, router.actions);
    CHECK(homeOf({71, 72}) == "a");
    const CacheEventBatch afterGap{1, 1'000'004, {{CacheEventKind::Stored, 81}, {CacheEventKind::Stored, 82}}};
    onCacheEvents(router.state, b, afterGap, router.now, router.actions);
    CHECK(router.state.endpoints[router.state.endpointIndex.at(b)].cacheConfidence < 0.5);
    CHECK(homeOf({81, 82}) == "b");
    const CacheEventBatch restarted{2, 0, {{CacheEventKind::Stored, 91}}};
    onCacheEvents(router.state, b, restarted, router.now, router.actions);
    CHECK(homeOf({81, 82}) == "a");
}

TEST_CASE("a slow endpoint gets fewer calls, and is tried again later")
{
    TestRouter router;
    router.listEndpoints({endpoint("a", 16), endpoint("b", 16)});
    const auto first = router.add(router.make());
    const auto slow = router.endpointOf(first);
    router.advance(5s);
    onFirstToken(router.state, first, router.now, router.actions);
    router.end(first, AttemptEnd::Completed);
    for (int i = 0; i < 4; ++i) {
        CHECK(router.endpointOf(router.add(router.make())) != slow);
    }
    router.advance(120s);
    CHECK(router.endpointOf(router.add(router.make())) == slow);
}

TEST_CASE("a failure to connect is retried at once on another endpoint, also for non-repeatable calls")
{
    TestRouter router;
    router.listEndpoints({endpoint("a"), endpoint("b")});
    auto call = router.make();
    call.repeatable = false;
    const auto id = router.add(call);
    const auto first = router.endpointOf(id);
    router.end(id, AttemptEnd::ConnectFailed);
    CHECK(router.dispatchesOf(id) == 2);
    CHECK(router.endpointOf(id) != first);
    router.end(id, AttemptEnd::RejectedNotRun);
    router.advance(2s);
    router.end(id, AttemptEnd::Completed);
    CHECK(callsInFlight(router.state) == 0);
    CHECK(queuedCalls(router.state) == 0);
}

TEST_CASE("a non-repeatable call is never retried once it may have run")
{
    // The connection breaks or times out after the request was sent, so the request may have run. A retry could run it
    // twice, such as issue a voucher twice; the caller gets an unknown outcome at once.
    for (const bool fault : {false, true}) {
        for (const auto how : {AttemptEnd::EndpointCrashed, AttemptEnd::TimedOut}) {
            RoutingOptions options;
            options.faults.retryNotRepeatable = fault;
            TestRouter router(options);
            router.listEndpoints({endpoint("a"), endpoint("b")});
            auto call = router.make();
            call.repeatable = false;
            const auto id = router.add(call);
            router.end(id, how);
            router.advance(2s);
            CHECK(router.dispatchesOf(id) == (fault ? 2 : 1));
            if (!fault) {
                checkError(router.errorOf(id), ErrorKind::OutcomeUnknown, Execution::Unknown);
            }
        }
    }
}

TEST_CASE("the retry budget limits retries to a fraction of the traffic")
{
    // All endpoints time out. Without the retry budget each call is sent four times, which keeps an overloaded route
    // overloaded.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.retryBurst = 5;
        options.retryFraction = 0.1;
        options.faults.noRetryBudget = fault;
        TestRouter router(options);
        router.listEndpoints({endpoint("a", 100), endpoint("b", 100), endpoint("c", 100), endpoint("d", 100)});
        for (int i = 0; i < 100; ++i) {
            const auto id = router.add(router.make());
            for (int attempt = 0; attempt < 4; ++attempt) {
                router.end(id, AttemptEnd::TimedOut);
            }
            checkError(router.errorOf(id), ErrorKind::EndpointFailed, Execution::Unknown);
        }
        CHECK((router.state.counters.retried <= 15) == !fault);
    }
}

TEST_CASE("an open circuit breaker blocks an unreachable endpoint, then allows one probe at a time")
{
    // Without the circuit breaker every call tries the dead endpoint first and pays for the failed connection.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.faults.noBreaker = fault;
        options.remotePenalty = 10s;
        TestRouter router(options);
        router.listEndpoints({endpoint("dead", 100), endpoint("far", 100, RemoteDataCentre)});
        int tried = 0;
        for (int i = 0; i < 50; ++i) {
            const auto id = router.add(router.make());
            if (router.endpointOf(id) == "dead") {
                ++tried;
                router.end(id, AttemptEnd::ConnectFailed);
            }
            router.end(id, AttemptEnd::Completed);
        }
        CHECK((tried <= 3) == !fault);
        if (fault) {
            continue;
        }
        router.advance(600ms);
        const auto probe = router.add(router.make());
        const auto other = router.add(router.make());
        CHECK(router.endpointOf(probe) == "dead");
        CHECK(router.endpointOf(other) == "far");
        router.end(probe, AttemptEnd::Completed);
        CHECK(router.endpointOf(router.add(router.make())) == "dead");
    }
}

TEST_CASE("a leaving endpoint gets no new calls although the host list still shows it")
{
    // The host list shows an endpoint as live for seconds after it has announced that it is leaving. Calls sent there
    // would be cut off.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.faults.ignoreLeaving = fault;
        TestRouter router(options);
        const std::vector<EndpointSpec> listed = {endpoint("a", 100), endpoint("far", 100, RemoteDataCentre)};
        router.listEndpoints(listed);
        markEndpointLeaving(router.state, EndpointId("a"), router.now);
        router.listEndpoints(listed);
        CHECK((router.endpointOf(router.add(router.make())) == "a") == fault);
    }
    TestRouter router;
    auto leaving = endpoint("a", 100);
    leaving.leaving = true;
    router.listEndpoints({leaving});
    checkError(router.errorOf(router.add(router.make())), ErrorKind::NoEndpoint, Execution::NotRun);
}

TEST_CASE("notices and deaths of a process apply to all routes that list it")
{
    TestRouter router;
    std::vector<EndpointSpec> specs;
    for (const char *name : {"a", "b", "c"}) {
        for (const char *route : {"matching", "booking"}) {
            auto spec = endpoint(std::string(name) + "/" + route, 100);
            spec.route = RouteId(route);
            spec.host = HostId();
            spec.process = EndpointId(name);
            specs.push_back(spec);
        }
    }
    router.listEndpoints(specs);
    markEndpointLeaving(router.state, EndpointId("c"), router.now);
    LoadReport report;
    report.running = 90;
    onLoadReport(router.state, EndpointId("b"), report, router.now, router.actions);
    auto poison = router.make();
    const auto other = router.make("other");
    auto booking = other;
    booking.route = RouteId("booking");
    const auto first = router.add(poison);
    CHECK(router.endpointOf(first) == "a/matching");
    router.add(booking);
    CHECK(router.endpointOf(booking.call) == "a/booking");
    router.end(first, AttemptEnd::EndpointCrashed);
    router.end(booking.call, AttemptEnd::EndpointCrashed);
    router.advance(400ms);
    CHECK(router.state.suspects.deaths.size() == 1);
    CHECK(router.endpointOf(first) == "b/matching");
    router.end(first, AttemptEnd::EndpointCrashed);
    router.advance(1s);
    checkError(router.errorOf(first), ErrorKind::SuspectRequest, Execution::Unknown);
}

TEST_CASE("an endpoint that is no longer listed keeps its calls in flight and gets no new ones")
{
    TestRouter router;
    router.listEndpoints({endpoint("a"), endpoint("far", 4, RemoteDataCentre)});
    const auto running = router.add(router.make());
    router.listEndpoints({endpoint("far", 4, RemoteDataCentre)});
    CHECK(router.endpointOf(router.add(router.make())) == "far");
    router.end(running, AttemptEnd::Completed);
    CHECK_FALSE(router.errorOf(running));
    router.listEndpoints({endpoint("far", 4, RemoteDataCentre)});
    CHECK(router.state.endpointIndex.count(EndpointId("a")) == 0);
    router.listEndpoints({endpoint("b"), endpoint("far", 4, RemoteDataCentre)});
    CHECK(router.state.endpoints.size() == 2);
}

TEST_CASE("a flood of calls of one customer does not delay other customers")
{
    // Customer "flood" has a hundred calls waiting when the single call of another customer arrives. In order of
    // arrival that call would be served last.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.maxQueueWait = 60s;
        options.faults.firstComeFirstServed = fault;
        TestRouter router(options);
        router.listEndpoints({endpoint("a", 1)});
        std::vector<CallId> flood;
        flood.reserve(100);
        for (int i = 0; i < 100; ++i) {
            flood.push_back(router.add(router.make("flood")));
        }
        const auto small = router.add(router.make("small"));
        for (int i = 0; i < 2; ++i) {
            router.end(flood[static_cast<std::size_t>(i)], AttemptEnd::Completed);
        }
        CHECK((router.dispatchesOf(small) == 1) == !fault);
    }
}

TEST_CASE("a full queue refuses calls of the customer that fills it")
{
    RoutingOptions options;
    options.maxQueued = 10;
    options.maxQueueWait = 60s;
    TestRouter router(options);
    router.listEndpoints({endpoint("a", 1)});
    std::vector<CallId> flood;
    flood.reserve(12);
    for (int i = 0; i < 12; ++i) {
        flood.push_back(router.add(router.make("flood")));
    }
    checkError(router.errorOf(flood[11]), ErrorKind::Overloaded, Execution::NotRun);
    const auto small = router.add(router.make("small"));
    CHECK_FALSE(router.errorOf(small));
    checkError(router.errorOf(flood[10]), ErrorKind::Overloaded, Execution::NotRun);
    CHECK(router.errorOf(flood[10])->retryAfter);
}

TEST_CASE("a call that cannot meet its deadline is refused at once, with a retry time")
{
    // Calls take one second and fifty wait for one slot. A call with a deadline of two seconds is refused at once;
    // without early refusal its caller learns so only after two seconds.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.maxQueueWait = 60s;
        options.faults.noEarlyRefusal = fault;
        TestRouter router(options);
        router.listEndpoints({endpoint("a", 1)});
        const auto first = router.add(router.make());
        router.advance(1s);
        router.end(first, AttemptEnd::Completed);
        for (int i = 0; i < 50; ++i) {
            router.add(router.make());
        }
        auto call = router.make();
        call.deadline = router.now + 2s;
        const auto late = router.add(call);
        CHECK(router.errorOf(late).has_value() == !fault);
        router.advance(3s);
        checkError(router.errorOf(late), ErrorKind::DeadlineTooShort, Execution::NotRun);
        if (!fault) {
            CHECK(router.errorOf(late)->retryAfter > 1s);
        }
    }
}

TEST_CASE("a call that exceeds the maximum queue time is refused")
{
    RoutingOptions options;
    options.maxQueueWait = 500ms;
    TestRouter router(options);
    router.listEndpoints({endpoint("a", 1)});
    router.add(router.make());
    const auto waiting = router.add(router.make());
    router.advance(499ms);
    CHECK_FALSE(router.errorOf(waiting));
    router.advance(2ms);
    checkError(router.errorOf(waiting), ErrorKind::Overloaded, Execution::NotRun);
    CHECK(queuedCalls(router.state) == 0);
}

TEST_CASE("cancelled calls are removed and free their slots")
{
    TestRouter router;
    router.listEndpoints({endpoint("a", 1)});
    const auto running = router.add(router.make());
    const auto waiting = router.add(router.make());
    const auto last = router.add(router.make());
    cancelCall(router.state, waiting, router.now, router.actions);
    cancelCall(router.state, running, router.now, router.actions);
    CHECK(router.dispatchesOf(last) == 1);
    CHECK(router.dispatchesOf(waiting) == 0);
    CHECK(callsInFlight(router.state) == 1);
    CHECK(queuedCalls(router.state) == 0);
    router.end(running, AttemptEnd::Completed);
    router.end(waiting, AttemptEnd::Completed);
    CHECK(callsInFlight(router.state) == 1);
}
