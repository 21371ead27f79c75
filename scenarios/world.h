#pragma once

// A whole simulated world: routers, platform, endpoints, callers and operators, under one clock and one oracle.
//
// Example:
//   World world(scenario.setup, trace);
//   for (const Statement &statement : scenario.statements) {
//       world.perform(statement.command);
//   }
//   std::cout << world.failures();

#include "scenarios/oracle.h"
#include "scenarios/scenario_language.h"
#include "scenarios/sim_clock.h"
#include "scenarios/sim_fleet.h"
#include "scenarios/sim_platform.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Godwit::Scenarios
{

struct WorldCounters
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t aborted = 0;
    std::uint64_t broken = 0; // Tries whose router died or whose caller stopped waiting.
};

class World
{
public:
    explicit World(const Setup &setup);

    void perform(const Command &command);

    // What is wrong, one line each: broken promises and failed expectations.
    std::vector<std::string> failures() const;

    const WorldCounters &counters() const
    {
        return m_counters;
    }
    const std::deque<std::string> &trace() const
    {
        return m_trace;
    }
    const Oracle &oracle() const
    {
        return m_oracle;
    }

private:
    // What became of the last try of a request.
    enum class TryState {
        Open,
        Answered,
        Refused,
        Aborted,
        Broken,
    };

    struct Request
    {
        std::string customer;
        std::string route;
        Tokens cost = 0;
        bool crashes = false;
        WallTime createdAt;
        std::int64_t retriesLeft = 0;
        std::vector<std::string> hosts; // Where tries go, in turn.
        int tries = 0;
        TryState state = TryState::Open;
        std::optional<Error> error;
    };

    // A call in one router, on behalf of a try, or of another router that forwarded it.
    struct LiveCall
    {
        std::string request;
        int tryNumber = 0;
        std::optional<std::pair<RunRef, std::uint64_t>> forwardedBy;
        std::string buffer; // The answer of the attempt that completed.
        bool complete = false;
        int attempt = 0;
    };

    using AttemptRef = std::tuple<RunRef, std::uint64_t, int>;

    struct EndpointState
    {
        EndpointSetup setup;
        Duration time{};
        bool down = false;
        bool rejecting = false;
        bool paused = false;
        std::uint64_t run = 0;
        std::optional<TimePoint> lastStart;
        // Who waits for an answer (run, call, attempt), and since when.
        std::map<AttemptRef, TimePoint> inFlight;
    };

    struct ChangeState
    {
        std::optional<ChangeAnswered> answer;
    };

    using CallRef = std::pair<RunRef, std::uint64_t>;

    Setup m_setup;
    SimClock m_clock;
    Topology m_topology;
    SimPlatform m_platform;
    SimFleet m_fleet;
    Oracle m_oracle;
    std::map<std::string, Request> m_requests;
    std::map<CallRef, LiveCall> m_calls;
    std::map<std::string, EndpointState> m_endpoints;
    std::map<std::string, ChangeState> m_changes;
    std::map<std::uint64_t, std::string> m_tickets;
    std::set<std::string> m_leaving;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_loads = 0;
    WorldCounters m_counters;
    std::vector<std::string> m_failures;
    std::deque<std::string> m_trace;

    void apply(const Start &command);
    void apply(const Load &load);
    void apply(const OneCall &call);
    void apply(const SendAgain &again);
    void apply(const HangUp &hangUp);
    void apply(const NodeChange &change);
    void apply(const Cut &cut);
    void apply(const Heal &heal);
    void apply(const PlatformChange &change);
    void apply(const MessageLoss &loss);
    void apply(const ClockSkew &skew);
    void apply(const BudgetChange &change);
    void apply(const Patch &patch);
    void apply(const Drain &drain);
    void apply(const Wait &wait);
    void apply(const Strike &strike);
    void apply(const Without &without);
    void apply(const Expect &expect);

    FleetHooks hooks();
    void note(const std::string &line);
    void fail(const std::string &what);
    const RouteSetup &routeOf(const std::string &name) const;
    std::string baseConfiguration() const;
    void createBudgets();
    void changeEndpoint(NodeFault fault, const std::string &name);
    void changeRouter(NodeFault fault, const std::string &name);

    void beginRequest(const OneCall &call, std::vector<std::string> hosts);
    void beginTry(const std::string &id, const std::string &host);
    void enterCall(const RunRef &run, LiveCall call, bool forwarded);
    void retryLater(const std::string &id, Duration delay);
    void giveUpLater(const std::string &id, int tryNumber);
    void endTry(const LiveCall &call, TryState state, const std::optional<Error> &error);
    void breakCallsOf(const RunRef &run);

    void onCallCommand(const RunRef &from, const CallCommand &command);
    void on(const RunRef &from, const DispatchCall &command);
    void on(const RunRef &from, const RefuseCall &command);
    void on(const RunRef &from, const ReleaseCall &command);
    void on(const RunRef &from, const AbortCall &command);
    void on(const RunRef &from, const ReplayCall &command);
    void on(const RunRef &from, const ForwardCall &command);
    void on(const RunRef &from, const AnswerCall &command);
    void giveAnswer(const CallRef &ref, const std::string &text, bool whole);
    std::optional<LiveCall> takeCall(const CallRef &ref);
    // Hands the end of a forwarded call back to the router that forwarded it; false when there is none any more.
    bool passBack(const LiveCall &call);

    EndpointState &endpointAt(const std::string &address);
    void runAt(const std::string &endpoint, const RunRef &from, const DispatchCall &command);
    void finishRun(const std::string &endpoint,
                   std::uint64_t endpointRun,
                   const RunRef &from,
                   const DispatchCall &command);
    void limitRun(const std::string &endpoint, const RunRef &from, const DispatchCall &command);
    bool endpointReachable(const EndpointState &endpoint, const RunRef &from) const;
    bool answerBegun(const EndpointState &endpoint, TimePoint startedAt) const;
    void endAttempt(const AttemptRef &attempt, AttemptResult result, bool begun, Duration delay);
    void crashEndpoint(const std::string &endpoint);

    std::optional<BudgetFigures> figuresOf(const std::string &customer) const;
    void checkBudgets();
    void checkCount(const std::string &what, std::uint64_t actual, const Expect &expect);
    void checkOutcome(const Expect &expect);
    void checkRevision(const Expect &expect);
};

} // namespace Godwit::Scenarios
