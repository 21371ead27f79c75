// Runs random sequences of calls, ends of attempts, reports, cache events, notices, changes of the endpoint list and
// passing time against a model. Checks that a call is at one endpoint at a time and ends once, that a non-repeatable
// call that may have run is never retried, that "not run" is true, that leaving endpoints get no new calls, and that no
// call is left in the end.

#include "godwit/base/enum_names.h"
#include "godwit/routing/routing.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <ostream>
#include <set>
#include <string>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t EndpointCount = 6;

enum class Operation {
    Add,
    Complete,
    ConnectFails,
    Reject,
    Crash,
    TimeOut,
    Cancel,
    FirstToken,
    Report,
    Cache,
    Notice,
    Relist,
    Leaving,
    EndpointDies,
    Wait,
};

constexpr EnumName<Operation> OperationNames[] = {
    {Operation::Add, "add"},
    {Operation::Complete, "complete"},
    {Operation::ConnectFails, "connect fails"},
    {Operation::Reject, "reject"},
    {Operation::Crash, "crash"},
    {Operation::TimeOut, "time out"},
    {Operation::Cancel, "cancel"},
    {Operation::FirstToken, "first token"},
    {Operation::Report, "report"},
    {Operation::Cache, "cache"},
    {Operation::Notice, "notice"},
    {Operation::Relist, "relist"},
    {Operation::Leaving, "leaving"},
    {Operation::EndpointDies, "endpoint dies"},
    {Operation::Wait, "wait"},
};

struct Schedule
{
    std::vector<std::pair<Operation, std::uint32_t>> operations;
};

std::ostream &operator<<(std::ostream &out, const Schedule &schedule)
{
    for (const auto &[operation, value] : schedule.operations) {
        out << enumName(OperationNames, operation) << ' ' << value << "; ";
    }
    return out;
}

struct ExpectedCall
{
    bool repeatable = false;
    // The endpoint at which the call is in flight.
    std::optional<std::string> at;
    bool mayHaveRun = false;
    bool ended = false;
};

class Driver
{
public:
    explicit Driver(const RoutingOptions &options)
        : m_state(makeRoutingState(options))
    {
        setRouterCount(m_state, 3);
        relist(0);
    }

    void apply(Operation operation, std::uint32_t value)
    {
        switch (operation) {
        case Operation::Add:
            add(value);
            break;
        case Operation::Complete:
            end(value, AttemptEnd::Completed);
            break;
        case Operation::ConnectFails:
            end(value, AttemptEnd::ConnectFailed);
            break;
        case Operation::Reject:
            end(value, AttemptEnd::RejectedNotRun);
            break;
        case Operation::Crash:
            end(value, AttemptEnd::EndpointCrashed);
            break;
        case Operation::TimeOut:
            end(value, AttemptEnd::TimedOut);
            break;
        case Operation::Cancel:
            cancel(value);
            break;
        case Operation::FirstToken:
            if (const auto id = pickInFlight(value)) {
                onFirstToken(m_state, CallId(*id), m_now, m_actions);
            }
            break;
        case Operation::Report:
            report(value);
            break;
        case Operation::Cache:
            onCacheEvents(
                m_state,
                EndpointId(endpointName(value)),
                {value / 7 % 2, value % 50, {{CacheEventKind::Stored, value % 5}, {CacheEventKind::Removed, 3}}},
                m_now,
                m_actions);
            break;
        case Operation::Notice:
            notice(value);
            break;
        case Operation::Relist:
            relist(value);
            break;
        case Operation::Leaving:
            // A notice of an endpoint that is not listed has no effect.
            if (m_listed.count(endpointName(value)) != 0) {
                m_leaving.insert(endpointName(value));
            }
            markEndpointLeaving(m_state, EndpointId(endpointName(value)), m_now);
            break;
        case Operation::EndpointDies:
            endpointDies(endpointName(value));
            break;
        case Operation::Wait:
            wait(std::chrono::milliseconds(value % 700));
            break;
        }
        check();
    }

    // Lists all endpoints again and completes all calls.
    void settle()
    {
        m_leaving.clear();
        relist(0);
        check();
        for (int i = 0; i < 200 && !m_state.calls.empty(); ++i) {
            while (const auto id = pickInFlight(0)) {
                endOne(*id, AttemptEnd::Completed);
                check();
            }
            wait(1s);
            check();
        }
        for (const auto &[id, call] : m_calls) {
            expect(call.ended, "a call did not end");
        }
        expect(m_state.calls.empty() && queuedCalls(m_state) == 0 && callsInFlight(m_state) == 0,
               "calls remain in the routing state");
        for (const auto &route : m_state.routes) {
            expect(route.queue.size == 0 && route.retries.empty() && route.inFlight == 0, "a queue is not empty");
        }
    }

    std::vector<std::string> violations;

private:
    void expect(bool holds, const std::string &fault)
    {
        if (!holds) {
            violations.push_back(fault);
        }
    }

    static std::string endpointName(std::uint32_t value)
    {
        return "endpoint-" + std::to_string(value % EndpointCount);
    }

    void add(std::uint32_t value)
    {
        PendingCall pending;
        pending.call = CallId(m_nextCall++);
        pending.route = RouteId("route-" + std::to_string(value % 2));
        pending.customer = CustomerId("customer-" + std::to_string(value / 2 % 3));
        pending.customerShare = 1 + value % 3;
        pending.priority = static_cast<int>(value / 5 % 3);
        pending.repeatable = value / 3 % 3 != 0;
        pending.promptTokens = value % 2000;
        pending.maxOutput = 100;
        pending.fingerprint = value % 11;
        pending.prefixHashes = {value % 5, value % 7};
        pending.arrivedAt = m_now;
        pending.deadline = m_now + std::chrono::milliseconds(value % 20'000);
        m_calls[pending.call.value].repeatable = pending.repeatable;
        enqueue(m_state, pending, m_now, m_actions);
    }

    std::optional<std::uint64_t> pickInFlight(std::uint32_t value) const
    {
        std::vector<std::uint64_t> inFlight;
        for (const auto &[id, call] : m_calls) {
            if (call.at) {
                inFlight.push_back(id);
            }
        }
        if (inFlight.empty()) {
            return std::nullopt;
        }
        return inFlight[value % inFlight.size()];
    }

    void end(std::uint32_t value, AttemptEnd how)
    {
        if (const auto id = pickInFlight(value)) {
            endOne(*id, how);
        }
    }

    void endOne(std::uint64_t id, AttemptEnd how)
    {
        auto &call = m_calls.at(id);
        call.at.reset();
        call.ended = how == AttemptEnd::Completed;
        call.mayHaveRun = call.mayHaveRun || how == AttemptEnd::EndpointCrashed || how == AttemptEnd::TimedOut;
        onAttemptEnded(m_state, CallId(id), how, m_now, m_actions);
    }

    void endpointDies(const std::string &name)
    {
        for (auto &[id, call] : m_calls) {
            if (call.at == name) {
                endOne(id, AttemptEnd::EndpointCrashed);
                check();
            }
        }
    }

    void cancel(std::uint32_t value)
    {
        if (m_calls.empty()) {
            return;
        }
        auto &call = *std::next(m_calls.begin(), value % static_cast<std::uint32_t>(m_calls.size()));
        cancelCall(m_state, CallId(call.first), m_now, m_actions);
        call.second.at.reset();
        call.second.ended = true;
    }

    void report(std::uint32_t value)
    {
        LoadReport report;
        report.queued = static_cast<int>(value % 3);
        report.running = static_cast<int>(value / 3 % 5);
        report.kvUsed = value % 100 / 100.0;
        report.age = std::chrono::milliseconds(value % 3000);
        onLoadReport(m_state, EndpointId(endpointName(value)), report, m_now, m_actions);
    }

    void notice(std::uint32_t value)
    {
        SuspectNotice notice;
        notice.fingerprint = value % 11;
        notice.status = static_cast<SuspectStatus>(value / 11 % 3);
        notice.endpoint = EndpointId(endpointName(value / 3));
        notice.age = std::chrono::milliseconds(value % 900);
        notice.refuseFor = std::chrono::seconds(value % 5);
        onSuspectNotice(m_state, notice, m_now, m_actions);
    }

    // Lists the endpoints whose bit in `missing` is not set.
    void relist(std::uint32_t missing)
    {
        std::vector<EndpointSpec> specs;
        m_listed.clear();
        for (std::uint32_t i = 0; i < EndpointCount; ++i) {
            if ((missing >> i & 1) != 0) {
                continue;
            }
            EndpointSpec spec;
            spec.id = EndpointId(endpointName(i));
            spec.route = RouteId("route-" + std::to_string(i % 2));
            spec.dataCentre = DataCentreId("dc-" + std::to_string(i % 3));
            spec.slots = 2;
            spec.modelEngine = i % 2 == 0;
            spec.host = HostId("host-" + std::to_string(i / 2));
            m_listed.insert(spec.id.value);
            specs.push_back(spec);
        }
        // An endpoint that is listed again after it was missing is no longer leaving.
        for (auto it = m_leaving.begin(); it != m_leaving.end();) {
            it = m_listed.count(*it) == 0 ? m_leaving.erase(it) : std::next(it);
        }
        if (missing == 0) {
            // When all endpoints are listed again, their leaving notices have expired.
            m_now += m_leaving.empty() ? Duration::zero() : m_state.options.leavingNoticeTtl;
            m_leaving.clear();
        }
        setEndpoints(m_state, specs, m_now, m_actions);
    }

    void wait(Duration time)
    {
        const auto until = m_now + time;
        int steps = 0;
        while (true) {
            const auto wake = nextWake(m_state);
            if (!wake || *wake > until) {
                break;
            }
            m_now = std::max(m_now, *wake);
            onTick(m_state, m_now, m_actions);
            expect(!nextWake(m_state) || *nextWake(m_state) > m_now, "a timer that is due did not run");
            check();
            expect(++steps < 10'000, "timers are rescheduled without end");
            if (steps >= 10'000) {
                break;
            }
        }
        m_now = until;
    }

    void check()
    {
        const auto actions = std::move(m_actions);
        m_actions.clear();
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<Dispatch>(&action)) {
                checkDispatch(*sent);
            } else if (const auto *given = std::get_if<FailCall>(&action)) {
                auto &call = m_calls.at(given->call.value);
                expect(!call.ended, "a call ended twice");
                expect(!call.at, "a call failed while it was in flight");
                expect(given->error.execution != Execution::NotRun || !call.mayHaveRun,
                       "a call that may have run was reported as not run");
                call.ended = true;
            }
        }
        std::size_t inFlight = 0;
        for (const auto &[id, call] : m_calls) {
            inFlight += call.at ? 1 : 0;
        }
        expect(inFlight == callsInFlight(m_state), "the count of calls in flight is wrong");
        expect(m_state.calls.size() == callsInFlight(m_state) + queuedCalls(m_state), "the counts of calls differ");
    }

    void checkDispatch(const Dispatch &sent)
    {
        auto &call = m_calls.at(sent.call.value);
        expect(!call.ended, "a call was dispatched after its end");
        expect(!call.at, "a call was dispatched while it was in flight");
        expect(call.repeatable || !call.mayHaveRun, "a non-repeatable call that may have run was dispatched again");
        expect(m_listed.count(sent.endpoint.value) != 0, "a call was dispatched to an unlisted endpoint");
        expect(m_leaving.count(sent.endpoint.value) == 0, "a call was dispatched to a leaving endpoint");
        call.at = sent.endpoint.value;
    }

    RoutingState m_state;
    TimePoint m_now = TimePoint(1h);
    std::vector<RoutingAction> m_actions;
    std::map<std::uint64_t, ExpectedCall> m_calls;
    std::set<std::string> m_listed;
    std::set<std::string> m_leaving;
    std::uint64_t m_nextCall = 1;
};

rc::Gen<Schedule> schedules()
{
    const auto operation = rc::gen::weightedElement<Operation>({{30, Operation::Add},
                                                                {12, Operation::Complete},
                                                                {4, Operation::ConnectFails},
                                                                {3, Operation::Reject},
                                                                {4, Operation::Crash},
                                                                {3, Operation::TimeOut},
                                                                {3, Operation::Cancel},
                                                                {4, Operation::FirstToken},
                                                                {6, Operation::Report},
                                                                {3, Operation::Cache},
                                                                {3, Operation::Notice},
                                                                {2, Operation::Relist},
                                                                {1, Operation::Leaving},
                                                                {3, Operation::EndpointDies},
                                                                {10, Operation::Wait}});
    const auto operations = rc::gen::container<std::vector<std::pair<Operation, std::uint32_t>>>(
        100, rc::gen::pair(operation, rc::gen::arbitrary<std::uint32_t>()));
    return rc::gen::map(operations, [](auto list) {
        return Schedule{std::move(list)};
    });
}

std::vector<std::string> run(const Schedule &schedule, const RoutingOptions &options)
{
    Driver driver(options);
    for (const auto &[operation, value] : schedule.operations) {
        driver.apply(operation, value);
    }
    driver.settle();
    return driver.violations;
}

bool findsViolation(const RoutingFaults &faults, int tries)
{
    RoutingOptions options;
    options.faults = faults;
    for (int i = 0; i < tries; ++i) {
        const auto schedule = schedules()(rc::Random(static_cast<std::uint64_t>(i)), 100).value();
        if (!run(schedule, options).empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("random event sequences never run a call twice, misreport its execution or lose it")
{
    // The environment overrides this default.
    setenv("RC_PARAMS", "seed=20261202 max_success=2000 max_size=100", 0);
    std::printf("RC_PARAMS=%s\n", std::getenv("RC_PARAMS"));
    const bool held = rc::check("routing", [] {
        const auto schedule = *schedules();
        for (const auto &fault : run(schedule, RoutingOptions{})) {
            RC_FAIL(fault);
        }
    });
    CHECK(held);
}

TEST_CASE("the fuzzer detects disabled safeguards")
{
    constexpr int tries = 200;
    CHECK_FALSE(findsViolation({}, tries));
    RoutingFaults faults;
    faults.retryNotRepeatable = true;
    CHECK(findsViolation(faults, tries));
    faults = {};
    faults.ignoreLeaving = true;
    CHECK(findsViolation(faults, tries));
}
