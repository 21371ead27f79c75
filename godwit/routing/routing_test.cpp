#include "godwit/routing/routing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

const RouteId Model{"matching"};
const DataCentreId Here{"hala-izvor"};
const DataCentreId There{"hala-pavilion"};

// One router with a clock; collects what it decides.
struct Bench
{
    RoutingState state;
    TimePoint now = TimePoint(1h);
    std::vector<RoutingAction> actions;
    std::uint64_t nextCall = 1;

    explicit Bench(RoutingOptions options = {})
    {
        options.dataCentre = Here;
        state = makeRoutingState(std::move(options));
    }

    void list(std::vector<EndpointSpec> specs)
    {
        setEndpoints(state, std::move(specs), now, actions);
    }

    PendingCall make(const std::string &customer = "dolna")
    {
        PendingCall call;
        call.call = CallId(nextCall++);
        call.route = Model;
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

    void pass(Duration time)
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

    // The endpoint of the last dispatch of the call; empty when it is not out.
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
            const auto *given = std::get_if<GiveUp>(&action);
            if (given && given->call == call) {
                return given->error;
            }
        }
        return std::nullopt;
    }
};

EndpointSpec endpoint(const std::string &name, int slots = 4, const DataCentreId &dataCentre = Here)
{
    EndpointSpec spec;
    spec.id = EndpointId(name);
    spec.route = Model;
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

TEST_CASE("calls go to the own data centre first, and elsewhere once it is full")
{
    Bench bench;
    bench.list({endpoint("far", 4, There), endpoint("near", 2)});
    auto call = bench.make();
    call.promptTokens = 10;
    for (const char *expected : {"near", "near", "far"}) {
        call.call = CallId(bench.nextCall++);
        CHECK(bench.endpointOf(bench.add(call)) == expected);
    }
}

TEST_CASE("a report is combined with the own calls since it was taken")
{
    // The report of two running calls was taken before this router sent its own two; both endpoints carry two now.
    Bench bench;
    bench.list({endpoint("a", 16), endpoint("b", 16)});
    const auto first = bench.add(bench.make());
    const auto second = bench.add(bench.make());
    CHECK(bench.endpointOf(first) != bench.endpointOf(second));
    const auto busy = bench.endpointOf(first);
    const auto other = bench.endpointOf(second);
    bench.pass(1s);
    LoadReport report;
    report.running = 6;
    report.age = 100ms;
    onLoadReport(bench.state, EndpointId(busy), report, bench.now, bench.actions);
    report.running = 1;
    onLoadReport(bench.state, EndpointId(other), report, bench.now, bench.actions);
    CHECK(bench.endpointOf(bench.add(bench.make())) == other);
    const auto own = bench.state.endpoints[bench.state.endpointIndex.at(EndpointId(busy))].othersLoad;
    CHECK(own == Approx(5));
}

TEST_CASE("routers that see the same free room share it")
{
    RoutingOptions options;
    Bench bench(options);
    setRouterCount(bench.state, 8);
    bench.list({endpoint("a", 16)});
    LoadReport report;
    report.running = 14;
    report.age = 100ms;
    onLoadReport(bench.state, EndpointId("a"), report, bench.now, bench.actions);
    int sent = 0;
    for (int i = 0; i < 10; ++i) {
        sent += bench.endpointOf(bench.add(bench.make())).empty() ? 0 : 1;
    }
    // Two slots are free, two are this router's part of the whole.
    CHECK(sent <= 2);
}

TEST_CASE("a prompt goes where its beginning is cached, unless that endpoint is busy")
{
    Bench bench;
    bench.list({endpoint("a", 16), endpoint("b", 16)});
    auto call = bench.make();
    call.prefixHashes = {1, 2, 3, 4};
    const auto first = bench.add(call);
    const auto home = bench.endpointOf(first);
    onFirstToken(bench.state, first, bench.now, bench.actions);
    auto again = bench.make();
    again.prefixHashes = {1, 2, 3, 4};
    CHECK(bench.endpointOf(bench.add(again)) == home);

    // Twelve prompts ahead cost more than the cached beginning saves.
    LoadReport report;
    report.running = 16;
    report.queued = 12;
    onLoadReport(bench.state, EndpointId(home), report, bench.now, bench.actions);
    auto third = bench.make();
    third.prefixHashes = {1, 2, 3, 4};
    CHECK(bench.endpointOf(bench.add(third)) != home);
}

TEST_CASE("cache events come late, twice and with gaps, and only cost locality")
{
    Bench bench;
    bench.list({endpoint("a", 16), endpoint("b", 16)});
    const EndpointId b("b");
    const auto homeOf = [&](std::vector<std::uint64_t> blocks) {
        auto call = bench.make();
        call.prefixHashes = std::move(blocks);
        const auto id = bench.add(call);
        auto home = bench.endpointOf(id);
        cancelCall(bench.state, id, bench.now, bench.actions);
        return home;
    };
    CacheEventBatch batch{1, 0, {{CacheEventKind::Stored, 71}, {CacheEventKind::Stored, 72}}};
    onCacheEvents(bench.state, b, batch, bench.now, bench.actions);
    CHECK(homeOf({71, 72}) == "b");
    const CacheEventBatch removal{1, 2, {{CacheEventKind::Removed, 71}, {CacheEventKind::Removed, 72}}};
    onCacheEvents(bench.state, b, removal, bench.now, bench.actions);
    onCacheEvents(bench.state, b, batch, bench.now, bench.actions);
    CHECK(homeOf({71, 72}) == "a");
    const CacheEventBatch afterGap{1, 1'000'004, {{CacheEventKind::Stored, 81}, {CacheEventKind::Stored, 82}}};
    onCacheEvents(bench.state, b, afterGap, bench.now, bench.actions);
    CHECK(bench.state.endpoints[bench.state.endpointIndex.at(b)].cacheTrust < 0.5);
    CHECK(homeOf({81, 82}) == "b");
    const CacheEventBatch restarted{2, 0, {{CacheEventKind::Stored, 91}}};
    onCacheEvents(bench.state, b, restarted, bench.now, bench.actions);
    CHECK(homeOf({81, 82}) == "a");
}

TEST_CASE("a slow endpoint gets less, and is tried again later")
{
    Bench bench;
    bench.list({endpoint("a", 16), endpoint("b", 16)});
    const auto first = bench.add(bench.make());
    const auto slow = bench.endpointOf(first);
    bench.pass(5s);
    onFirstToken(bench.state, first, bench.now, bench.actions);
    bench.end(first, AttemptEnd::Completed);
    for (int i = 0; i < 4; ++i) {
        CHECK(bench.endpointOf(bench.add(bench.make())) != slow);
    }
    bench.pass(120s);
    CHECK(bench.endpointOf(bench.add(bench.make())) == slow);
}

TEST_CASE("a failure to connect is tried elsewhere at once, for any call")
{
    Bench bench;
    bench.list({endpoint("a"), endpoint("b")});
    auto call = bench.make();
    call.repeatable = false;
    const auto id = bench.add(call);
    const auto first = bench.endpointOf(id);
    bench.end(id, AttemptEnd::ConnectFailed);
    CHECK(bench.dispatchesOf(id) == 2);
    CHECK(bench.endpointOf(id) != first);
    bench.end(id, AttemptEnd::RejectedNotRun);
    bench.pass(2s);
    bench.end(id, AttemptEnd::Completed);
    CHECK(callsInFlight(bench.state) == 0);
    CHECK(queuedCalls(bench.state) == 0);
}

TEST_CASE("a call that can't be repeated is never sent again once it may have run")
{
    // The endpoint breaks the connection, or says nothing, after the request was sent. It may have issued the voucher:
    // the caller is told "unknown" at once. Sending again issues it twice.
    for (const bool fault : {false, true}) {
        for (const auto how : {AttemptEnd::EndpointCrashed, AttemptEnd::TimedOut}) {
            RoutingOptions options;
            options.faults.retryNotRepeatable = fault;
            Bench bench(options);
            bench.list({endpoint("a"), endpoint("b")});
            auto call = bench.make();
            call.repeatable = false;
            const auto id = bench.add(call);
            bench.end(id, how);
            bench.pass(2s);
            CHECK(bench.dispatchesOf(id) == (fault ? 2 : 1));
            if (!fault) {
                checkError(bench.errorOf(id), ErrorKind::OutcomeUnknown, Execution::Unknown);
            }
        }
    }
}

TEST_CASE("retries are a bounded part of the traffic")
{
    // All endpoints run into timeouts. Without the budget each call is sent four times, which is what keeps an
    // overloaded route overloaded.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.retryBurst = 5;
        options.retryFraction = 0.1;
        options.faults.noRetryBudget = fault;
        Bench bench(options);
        bench.list({endpoint("a", 100), endpoint("b", 100), endpoint("c", 100), endpoint("d", 100)});
        for (int i = 0; i < 100; ++i) {
            const auto id = bench.add(bench.make());
            for (int attempt = 0; attempt < 4; ++attempt) {
                bench.end(id, AttemptEnd::TimedOut);
            }
            checkError(bench.errorOf(id), ErrorKind::EndpointFailed, Execution::Unknown);
        }
        CHECK((bench.state.counters.retried <= 15) == !fault);
    }
}

TEST_CASE("an endpoint that can't be reached is left alone, then tried by one call at a time")
{
    // Every call tries the dead endpoint first without the breaker, and pays for the failed connection.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.faults.noBreaker = fault;
        options.remotePenalty = 10s;
        Bench bench(options);
        bench.list({endpoint("dead", 100), endpoint("far", 100, There)});
        int tried = 0;
        for (int i = 0; i < 50; ++i) {
            const auto id = bench.add(bench.make());
            if (bench.endpointOf(id) == "dead") {
                ++tried;
                bench.end(id, AttemptEnd::ConnectFailed);
            }
            bench.end(id, AttemptEnd::Completed);
        }
        CHECK((tried <= 3) == !fault);
        if (fault) {
            continue;
        }
        bench.pass(600ms);
        const auto probe = bench.add(bench.make());
        const auto other = bench.add(bench.make());
        CHECK(bench.endpointOf(probe) == "dead");
        CHECK(bench.endpointOf(other) == "far");
        bench.end(probe, AttemptEnd::Completed);
        CHECK(bench.endpointOf(bench.add(bench.make())) == "dead");
    }
}

TEST_CASE("a leaving endpoint gets nothing new though the host list still shows it")
{
    // The endpoint says that it leaves; the host list shows it as live for seconds. Calls sent there would be cut.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.faults.ignoreLeaving = fault;
        Bench bench(options);
        const std::vector<EndpointSpec> listed = {endpoint("a", 100), endpoint("far", 100, There)};
        bench.list(listed);
        endpointLeaving(bench.state, EndpointId("a"), bench.now);
        bench.list(listed);
        CHECK((bench.endpointOf(bench.add(bench.make())) == "a") == fault);
    }
    Bench bench;
    auto leaving = endpoint("a", 100);
    leaving.leaving = true;
    bench.list({leaving});
    checkError(bench.errorOf(bench.add(bench.make())), ErrorKind::NoEndpoint, Execution::NotRun);
}

TEST_CASE("a process that several routes list is one: its notices reach all of them and it dies once")
{
    Bench bench;
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
    bench.list(specs);
    endpointLeaving(bench.state, EndpointId("c"), bench.now);
    LoadReport report;
    report.running = 90;
    onLoadReport(bench.state, EndpointId("b"), report, bench.now, bench.actions);
    auto poison = bench.make();
    const auto other = bench.make("other");
    auto booking = other;
    booking.route = RouteId("booking");
    const auto first = bench.add(poison);
    CHECK(bench.endpointOf(first) == "a/matching");
    bench.add(booking);
    CHECK(bench.endpointOf(booking.call) == "a/booking");
    bench.end(first, AttemptEnd::EndpointCrashed);
    bench.end(booking.call, AttemptEnd::EndpointCrashed);
    bench.pass(400ms);
    CHECK(bench.state.suspects.deaths.size() == 1);
    CHECK(bench.endpointOf(first) == "b/matching");
    bench.end(first, AttemptEnd::EndpointCrashed);
    bench.pass(1s);
    checkError(bench.errorOf(first), ErrorKind::SuspectRequest, Execution::Unknown);
}

TEST_CASE("an endpoint that is no longer listed keeps its calls and gets no new ones")
{
    Bench bench;
    bench.list({endpoint("a"), endpoint("far", 4, There)});
    const auto running = bench.add(bench.make());
    bench.list({endpoint("far", 4, There)});
    CHECK(bench.endpointOf(bench.add(bench.make())) == "far");
    bench.end(running, AttemptEnd::Completed);
    CHECK_FALSE(bench.errorOf(running));
    bench.list({endpoint("far", 4, There)});
    CHECK(bench.state.endpointIndex.count(EndpointId("a")) == 0);
    bench.list({endpoint("b"), endpoint("far", 4, There)});
    CHECK(bench.state.endpoints.size() == 2);
}

TEST_CASE("one customer's flood does not hold up the others")
{
    // Customer "flood" has a hundred calls waiting when another customer's single call comes. First come, first served
    // sends it last.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.maxQueueWait = 60s;
        options.faults.firstComeFirstServed = fault;
        Bench bench(options);
        bench.list({endpoint("a", 1)});
        std::vector<CallId> flood;
        flood.reserve(100);
        for (int i = 0; i < 100; ++i) {
            flood.push_back(bench.add(bench.make("flood")));
        }
        const auto small = bench.add(bench.make("small"));
        for (int i = 0; i < 2; ++i) {
            bench.end(flood[static_cast<std::size_t>(i)], AttemptEnd::Completed);
        }
        CHECK((bench.dispatchesOf(small) == 1) == !fault);
    }
}

TEST_CASE("a full queue refuses the customer that fills it")
{
    RoutingOptions options;
    options.maxQueued = 10;
    options.maxQueueWait = 60s;
    Bench bench(options);
    bench.list({endpoint("a", 1)});
    std::vector<CallId> flood;
    flood.reserve(12);
    for (int i = 0; i < 12; ++i) {
        flood.push_back(bench.add(bench.make("flood")));
    }
    checkError(bench.errorOf(flood[11]), ErrorKind::Overloaded, Execution::NotRun);
    const auto small = bench.add(bench.make("small"));
    CHECK_FALSE(bench.errorOf(small));
    checkError(bench.errorOf(flood[10]), ErrorKind::Overloaded, Execution::NotRun);
    CHECK(bench.errorOf(flood[10])->retryAfter);
}

TEST_CASE("a call that can't be met in time is refused at once, with when to come back")
{
    // Calls take a second and fifty wait for one slot. The caller with a two-second deadline learns so now; without the
    // early refusal it learns so after two seconds.
    for (const bool fault : {false, true}) {
        RoutingOptions options;
        options.maxQueueWait = 60s;
        options.faults.noEarlyRefusal = fault;
        Bench bench(options);
        bench.list({endpoint("a", 1)});
        const auto first = bench.add(bench.make());
        bench.pass(1s);
        bench.end(first, AttemptEnd::Completed);
        for (int i = 0; i < 50; ++i) {
            bench.add(bench.make());
        }
        auto call = bench.make();
        call.deadline = bench.now + 2s;
        const auto late = bench.add(call);
        CHECK(bench.errorOf(late).has_value() == !fault);
        bench.pass(3s);
        checkError(bench.errorOf(late), ErrorKind::DeadlineTooShort, Execution::NotRun);
        if (!fault) {
            CHECK(bench.errorOf(late)->retryAfter > 1s);
        }
    }
}

TEST_CASE("a call that is still waiting at its end gets its answer then")
{
    RoutingOptions options;
    options.maxQueueWait = 500ms;
    Bench bench(options);
    bench.list({endpoint("a", 1)});
    bench.add(bench.make());
    const auto waiting = bench.add(bench.make());
    bench.pass(499ms);
    CHECK_FALSE(bench.errorOf(waiting));
    bench.pass(2ms);
    checkError(bench.errorOf(waiting), ErrorKind::Overloaded, Execution::NotRun);
    CHECK(queuedCalls(bench.state) == 0);
}

TEST_CASE("cancelled calls leave no trace and make room")
{
    Bench bench;
    bench.list({endpoint("a", 1)});
    const auto running = bench.add(bench.make());
    const auto waiting = bench.add(bench.make());
    const auto last = bench.add(bench.make());
    cancelCall(bench.state, waiting, bench.now, bench.actions);
    cancelCall(bench.state, running, bench.now, bench.actions);
    CHECK(bench.dispatchesOf(last) == 1);
    CHECK(bench.dispatchesOf(waiting) == 0);
    CHECK(callsInFlight(bench.state) == 1);
    CHECK(queuedCalls(bench.state) == 0);
    bench.end(running, AttemptEnd::Completed);
    bench.end(waiting, AttemptEnd::Completed);
    CHECK(callsInFlight(bench.state) == 1);
}
