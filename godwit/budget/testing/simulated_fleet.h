#pragma once

// Several budget agents, the fake service and the network between them, on simulated time.
//
// Example:
//   SimulatedFleet fleet(BudgetOptions(), 1);
//   fleet.addRouter("a", "north");
//   fleet.createBudget("b", 10'000);
//   fleet.call("a", {"request-1", "b", 2000, 1200});
//   fleet.runFor(std::chrono::seconds(1));
//   CHECK_THAT(fleet.violations(), Equals(""));

#include "godwit/budget/budget_agent.h"
#include "godwit/budget/budget_records.h"
#include "godwit/budget/testing/fake_kv.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwit
{

// One caller's request. Requests with equal ids must have equal budgets and costs.
struct SimulatedCall
{
    std::string id;
    std::string budget;
    Tokens worstCase = 0;
    Tokens actual = 0;
    Duration runTime = std::chrono::milliseconds(100);
    Duration patience = std::chrono::seconds(1);
    // A refused call is tried at so many of the holders that the refusal names.
    unsigned forwards = 0;
    // Called with the refusal that the caller sees.
    std::function<void(const ReservationRefused &)> onRefused;
};

struct SimulatedRouter
{
    std::string host;
    BudgetAgent agent;
    bool dead = false;
    bool paused = false;
    bool closed = false;
    // Routers, and the service on side 0, reach each other on equal sides.
    int side = 0;
    // Cut from the service alone.
    bool serviceAway = false;
    std::optional<TimePoint> wakeAt;
    // What arrived while it was paused.
    std::vector<std::function<void()>> inbox;
    std::map<CallId, SimulatedCall> calls;
};

// What callers got, the only thing the oracle knows besides the prepaid totals.
struct ReleasedAnswer
{
    std::string budget;
    Tokens amount = 0;
    unsigned times = 0;
};

// What is really reserved and spent of a budget, whoever knows of it.
struct BudgetTruth
{
    Tokens reserved = 0;
    Tokens settled = 0;
};

class SimulatedFleet
{
public:
    SimulatedFleet(BudgetOptions options, std::uint64_t seed);

    SimulatedRouter &addRouter(const std::string &host, const std::string &dataCentre);
    SimulatedRouter &router(const std::string &host);

    // Tells every running router which others are live; a cut one sees only its own side.
    void announcePeers();
    // Lets all running routers believe that `host` is gone.
    void declareGone(const std::string &host);
    // The same for every incarnation that is dead or closed.
    void declareDead();

    void kill(const std::string &host);
    void pause(const std::string &host);
    void resume(const std::string &host);
    void cut(const std::set<std::string> &hosts);
    void heal();
    // Starts a new incarnation on the host of a dead or closed one.
    void restart(const std::string &host);
    void drain(const std::string &host);

    void createBudget(const std::string &budget, Tokens prepaid);
    // Applies an operator's change by compare-and-swap; returns whether it was accepted.
    bool change(const std::string &budget, const std::function<bool(ShardRecord &, LastReason &)> &apply);
    bool resolve(const Incarnation &incarnation);

    void call(const std::string &host, const SimulatedCall &call);
    void at(Duration delay, std::function<void()> event);
    void runFor(Duration duration);

    // Whether the router is dead, closed or drained.
    bool isGone(const Incarnation &incarnation) const;
    BudgetView view(const std::string &budget) const;
    std::optional<LedgerRecord> ledger(const Incarnation &incarnation) const;
    Tokens released(const std::string &budget) const;

    // What is wrong now, or nothing: overspend, a broken invariant. With `complete`, when nothing is under way, also
    // released answers without exactly one bill and amounts that nobody can spend.
    std::string violations(bool complete = false) const;

    TimePoint now{};
    FakeKv kv;
    BudgetOptions options;
    std::map<std::string, ReleasedAnswer> answers;
    std::map<std::string, Tokens> costs;
    std::map<std::string, BudgetTruth> truth;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
    std::uint64_t messages = 0;
    std::uint64_t messageBytes = 0;
    std::map<ErrorKind, std::uint64_t> refusals;
    // Part of the messages between routers that is lost, in percent.
    unsigned lossPercent = 0;
    Duration linkDelay = std::chrono::microseconds(1000);
    Duration serviceDelay = std::chrono::microseconds(1000);
    // When a client of the service stops waiting.
    Duration serviceTimeout = std::chrono::milliseconds(500);

private:
    using Event = std::function<void()>;
    using Input = std::function<void(BudgetAgent &, std::vector<BudgetAction> &)>;

    void declareIncarnation(const Incarnation &gone);
    void deliver(SimulatedRouter &router, const Input &input);
    void perform(SimulatedRouter &router, const BudgetAction &action);
    void send(SimulatedRouter &from, const PeerSend &message);
    void execute(SimulatedRouter &router, const KvCommand &command);
    void reply(SimulatedRouter &router, const KvReply &reply, Duration delay);
    void onGranted(SimulatedRouter &router, CallId call);
    void onRefusedCall(SimulatedRouter &router, const ReservationRefused &refusal);
    void onDurable(SimulatedRouter &router, const BillDurable &bill);
    void scheduleWake(SimulatedRouter &router);
    SimulatedRouter *findIncarnation(const Incarnation &incarnation);
    std::uint64_t random();
    std::string billViolations() const;
    ShardRecord shardOf(const std::string &budget) const;

    std::vector<std::unique_ptr<SimulatedRouter>> m_routers;
    std::multimap<TimePoint, Event> m_events;
    std::uint64_t m_random;
    unsigned m_eventsNow = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_incarnations = 0;
    std::set<std::string> m_budgets;
};

} // namespace Godwit
