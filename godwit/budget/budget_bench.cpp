// Measures the budgets on simulated time: false refusals against two baselines, platform calls, the trade setting,
// recovery after faults; and, on the real clock, the cost of one decision.
//
//   budget_bench             prints all tables
//   budget_bench refusals    one of: refusals, writes, trade, recovery, micro
//   budget_bench trade 0.5   one row of the trade table

#include "godwit/budget/testing/simulated_fleet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <random>

using namespace Godwit;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Seed = 20261202;
constexpr std::size_t BudgetCount = 10;
// A few customers make most of the demand.
constexpr std::array<double, BudgetCount> BudgetShares{0.34, 0.22, 0.14, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02};
constexpr Tokens WorstCase = 2000;
constexpr Tokens MeanActual = 1000;
// Part of a customer's calls that come to its first host; the others spread over all.
constexpr double FirstHostShare = 0.5;
constexpr unsigned ServiceWritesPerSecond = 400;
constexpr Duration Patience = 1s;

enum class Method {
    Slices,
    SwapPerRequest,
    EqualSplit,
};

enum class Scenario {
    Calm,
    Partition,
    Outage,
    LastPart,
    TopUp,
};

const char *scenarioName(Scenario scenario)
{
    switch (scenario) {
    case Scenario::Calm:
        return "calm, 10 min";
    case Scenario::Partition:
        return "3 of 8 routers cut off, 10 min";
    case Scenario::Outage:
        return "platform down, 5 min";
    case Scenario::LastPart:
        return "the last 5% of each budget";
    case Scenario::TopUp:
        return "1 min after a top-up of exhausted budgets";
    }
    return "";
}

struct Workload
{
    unsigned routers = 8;
    double requestsPerSecond = 100;
    // What each budget has left at the start, in seconds of its own demand.
    double restSeconds = 3600;
    double reserveShare = BudgetRule().reserveShare;
};

// One request of the workload.
struct Arrival
{
    unsigned router = 0;
    unsigned budget = 0;
    Tokens actual = 0;
    Duration runTime{0};
};

class ArrivalSource
{
public:
    explicit ArrivalSource(const Workload &workload)
        : m_workload(workload)
        , m_random(Seed)
    {
    }

    Arrival next()
    {
        Arrival arrival;
        std::discrete_distribution<unsigned> budgets(BudgetShares.begin(), BudgetShares.end());
        arrival.budget = budgets(m_random);
        const bool first = std::bernoulli_distribution(FirstHostShare)(m_random);
        std::uniform_int_distribution<unsigned> hosts(0, m_workload.routers - 1);
        arrival.router = first ? arrival.budget * 3 % m_workload.routers : hosts(m_random);
        arrival.actual = std::uniform_int_distribution<Tokens>(0, 2 * MeanActual)(m_random);
        arrival.runTime = Duration(std::uniform_int_distribution<Duration::rep>(300'000, 3'000'000)(m_random));
        return arrival;
    }

    Duration gap()
    {
        std::exponential_distribution<double> gaps(m_workload.requestsPerSecond);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gaps(m_random)));
    }

private:
    Workload m_workload;
    std::mt19937_64 m_random;
};

Tokens initialRest(const Workload &workload, unsigned budget)
{
    return static_cast<Tokens>(workload.restSeconds * workload.requestsPerSecond * BudgetShares[budget] * MeanActual);
}

struct Counts
{
    std::uint64_t requests = 0;
    std::uint64_t falseRefusals = 0;
    std::uint64_t trueRefusals = 0;
};

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

// A way to share budgets out, under the same workload and faults.
class Contender
{
public:
    virtual ~Contender() = default;
    virtual void request(const Arrival &arrival) = 0;
    virtual void topUp(unsigned budget, Tokens amount) = 0;
    virtual void cut(bool on) = 0;
    virtual void serviceDown(bool on) = 0;
    virtual void runFor(Duration duration) = 0;
    virtual std::uint64_t writes() const = 0;
    virtual Tokens overspend() const = 0;

    Counts counts;

protected:
    void countRefusal(Tokens left)
    {
        ++(left >= WorstCase ? counts.falseRefusals : counts.trueRefusals);
    }
};

std::string budgetName(unsigned budget)
{
    return "budget-" + std::to_string(budget);
}

std::string hostName(unsigned router)
{
    return "h" + std::to_string(router);
}

class SlicesContender : public Contender
{
public:
    explicit SlicesContender(const Workload &workload)
        : fleet(BudgetOptions(), Seed)
        , m_workload(workload)
    {
        for (unsigned i = 0; i < workload.routers; ++i) {
            SimulatedRouter &router = fleet.addRouter(hostName(i), "dc" + std::to_string(i % 3));
            for (unsigned budget = 0; budget < BudgetCount; ++budget) {
                setBudgetRule(router.agent, BudgetId{budgetName(budget)}, {workload.reserveShare});
            }
        }
        for (unsigned budget = 0; budget < BudgetCount; ++budget) {
            m_prepaid[budget] = initialRest(workload, budget);
            fleet.createBudget(budgetName(budget), m_prepaid[budget]);
        }
        fleet.announcePeers();
    }

    void request(const Arrival &arrival) override
    {
        SimulatedCall call;
        call.id = std::to_string(++counts.requests);
        call.budget = budgetName(arrival.budget);
        call.worstCase = WorstCase;
        call.actual = arrival.actual;
        call.runTime = arrival.runTime;
        call.patience = Patience;
        call.forwards = 2;
        call.onRefused = [this, budget = arrival.budget](const ReservationRefused &) {
            countRefusal(rest(budget));
        };
        fleet.call(hostName(arrival.router), call);
    }

    void topUp(unsigned budget, Tokens amount) override
    {
        m_prepaid[budget] += amount;
        fleet.change(budgetName(budget), [&](ShardRecord &shard, LastReason &reason) {
            return Godwit::topUp(shard, BudgetId{budgetName(budget)}, "top-up", amount, reason);
        });
    }

    // Cuts the first data centre from the platform and the others; the membership notices after three seconds.
    void cut(bool on) override
    {
        std::set<std::string> hosts;
        for (unsigned i = 0; on && i < m_workload.routers; i += 3) {
            hosts.insert(hostName(i));
        }
        fleet.cut(hosts);
        fleet.at(3s, [this, hosts] {
            fleet.announcePeers();
            for (const std::string &host : hosts) {
                fleet.declareGone(host);
            }
        });
    }

    void serviceDown(bool on) override
    {
        fleet.kv.down = on;
    }

    void runFor(Duration duration) override
    {
        fleet.runFor(duration);
    }

    std::uint64_t writes() const override
    {
        return fleet.kv.writes;
    }

    Tokens overspend() const override
    {
        Tokens over = 0;
        std::map<std::string, Tokens> released;
        for (const auto &[id, answer] : fleet.answers) {
            released[answer.budget] += answer.amount;
        }
        for (unsigned budget = 0; budget < BudgetCount; ++budget) {
            over += std::max<Tokens>(0, released[budgetName(budget)] - m_prepaid[budget]);
        }
        return over;
    }

    Tokens rest(unsigned budget)
    {
        const BudgetTruth &truth = fleet.truth[budgetName(budget)];
        return m_prepaid[budget] - truth.reserved - truth.settled;
    }

    SimulatedFleet fleet;

private:
    Workload m_workload;
    std::array<Tokens, BudgetCount> m_prepaid{};
};

// What the two baselines share: a clock, and what is settled and reserved where.
class SimpleContender : public Contender
{
public:
    explicit SimpleContender(const Workload &workload)
        : m_workload(workload)
    {
        for (unsigned budget = 0; budget < BudgetCount; ++budget) {
            m_prepaid[budget] = initialRest(workload, budget);
        }
    }

    void runFor(Duration duration) override
    {
        const TimePoint end = m_now + duration;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            m_now = m_events.begin()->first;
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        m_now = end;
    }

    void topUp(unsigned budget, Tokens amount) override
    {
        m_prepaid[budget] += amount;
    }

    void cut(bool on) override
    {
        m_cut = on;
    }

    void serviceDown(bool on) override
    {
        m_down = on;
    }

    std::uint64_t writes() const override
    {
        return m_writes;
    }

    Tokens overspend() const override
    {
        Tokens over = 0;
        for (unsigned budget = 0; budget < BudgetCount; ++budget) {
            over += std::max<Tokens>(0, m_used[budget] - m_prepaid[budget]);
        }
        return over;
    }

protected:
    Tokens rest(unsigned budget) const
    {
        return m_prepaid[budget] - m_used[budget];
    }

    bool reachable(unsigned router) const
    {
        return !m_down && !(m_cut && router % 3 == 0);
    }

    Workload m_workload;
    TimePoint m_now{};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::array<Tokens, BudgetCount> m_prepaid{};
    std::array<Tokens, BudgetCount> m_used{};
    std::uint64_t m_writes = 0;
    bool m_cut = false;
    bool m_down = false;
};

// Each request is one compare-and-swap when it starts and one when it settles, in the order in which the service
// gets to them; no conflict is counted, so this is the best case of the method. While the service is out of reach, a
// settlement stays in the router's memory; what was reserved stays reserved in the record.
class SwapContender : public SimpleContender
{
public:
    using SimpleContender::SimpleContender;

    void request(const Arrival &arrival) override
    {
        ++counts.requests;
        const TimePoint done = queueWrite(arrival.router);
        if (!reachable(arrival.router) || done > m_now + Patience) {
            countRefusal(rest(arrival.budget));
            return;
        }
        m_events.emplace(done, [this, arrival] {
            if (m_recorded[arrival.budget] + WorstCase > m_prepaid[arrival.budget]) {
                countRefusal(rest(arrival.budget));
                return;
            }
            m_recorded[arrival.budget] += WorstCase;
            m_used[arrival.budget] += WorstCase;
            m_events.emplace(m_now + arrival.runTime, [this, arrival] {
                m_used[arrival.budget] -= WorstCase - arrival.actual;
                settle(arrival);
            });
        });
    }

private:
    TimePoint queueWrite(unsigned router)
    {
        if (!reachable(router)) {
            return m_now;
        }
        const TimePoint start = std::max(m_now + 1ms, m_free);
        if (start <= m_now + Patience) {
            m_free = start + Duration(1'000'000 / ServiceWritesPerSecond);
            ++m_writes;
        }
        return start + 1ms;
    }

    void settle(const Arrival &arrival)
    {
        const TimePoint done = queueWrite(arrival.router);
        if (!reachable(arrival.router) || done > m_now + Patience) {
            m_events.emplace(m_now + 1s, [this, arrival] {
                settle(arrival);
            });
            return;
        }
        m_events.emplace(done, [this, arrival] {
            m_recorded[arrival.budget] -= WorstCase - arrival.actual;
        });
    }

    std::array<Tokens, BudgetCount> m_recorded{};
    TimePoint m_free{};
};

// Each router owns an equal part of each budget for good.
class SplitContender : public SimpleContender
{
public:
    explicit SplitContender(const Workload &workload)
        : SimpleContender(workload)
        , m_local(workload.routers)
    {
    }

    void request(const Arrival &arrival) override
    {
        ++counts.requests;
        Tokens &local = m_local[arrival.router][arrival.budget];
        if (local + WorstCase > m_prepaid[arrival.budget] / static_cast<Tokens>(m_local.size())) {
            countRefusal(rest(arrival.budget));
            return;
        }
        local += WorstCase;
        m_used[arrival.budget] += WorstCase;
        m_events.emplace(m_now + arrival.runTime, [this, arrival] {
            m_local[arrival.router][arrival.budget] -= WorstCase - arrival.actual;
            m_used[arrival.budget] -= WorstCase - arrival.actual;
        });
    }

private:
    std::vector<std::array<Tokens, BudgetCount>> m_local;
};

std::unique_ptr<Contender> makeContender(Method method, const Workload &workload)
{
    switch (method) {
    case Method::Slices:
        return std::make_unique<SlicesContender>(workload);
    case Method::SwapPerRequest:
        return std::make_unique<SwapContender>(workload);
    case Method::EqualSplit:
        return std::make_unique<SplitContender>(workload);
    }
    return nullptr;
}

void drive(Contender &contender, ArrivalSource &source, Duration duration)
{
    Duration spent{0};
    for (;;) {
        const Duration gap = source.gap();
        if (spent + gap > duration) {
            contender.runFor(duration - spent);
            return;
        }
        spent += gap;
        contender.runFor(gap);
        contender.request(source.next());
    }
}

// Runs one scenario and returns what was counted in its own time, after a warm-up.
Counts runScenario(Contender &contender, const Workload &workload, Scenario scenario)
{
    ArrivalSource source(workload);
    const auto counted = [&](Duration duration) {
        contender.counts = Counts();
        drive(contender, source, duration);
    };
    switch (scenario) {
    case Scenario::Calm:
        drive(contender, source, 2min);
        counted(10min);
        break;
    case Scenario::Partition:
        drive(contender, source, 2min);
        contender.cut(true);
        counted(10min);
        contender.cut(false);
        break;
    case Scenario::Outage:
        drive(contender, source, 2min);
        contender.serviceDown(true);
        counted(5min);
        contender.serviceDown(false);
        break;
    case Scenario::LastPart:
        counted(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.2 * workload.restSeconds)));
        break;
    case Scenario::TopUp:
        drive(contender, source, 3min);
        for (unsigned budget = 0; budget < BudgetCount; ++budget) {
            contender.topUp(budget, 10 * initialRest(workload, budget));
        }
        counted(1min);
        break;
    }
    const Counts counts = contender.counts;
    contender.runFor(10s);
    return counts;
}

constexpr double Hour = 3600;
// Leaves 480 s of demand, 13% of the budget, when the outage begins after the warm-up.
constexpr double LateOutageRest = 120 + 480;

// The rest at the start of each scenario, in seconds of demand. An hour of demand is the size of a budget; a fault
// begins when half of it is spent, or 90% in the second row.
double restOf(Scenario scenario)
{
    switch (scenario) {
    case Scenario::Calm:
    case Scenario::Partition:
    case Scenario::Outage:
        return Hour / 2 + 120;
    case Scenario::LastPart:
        return Hour / 20;
    case Scenario::TopUp:
        return 60;
    }
    return Hour;
}

void printRefusals()
{
    std::printf("\nFalse refusals in %% of requests (overspend in tokens). 8 routers, 10 budgets, 100 requests/s.\n");
    std::printf("%-44s %22s %22s %22s\n", "", "held slices", "swap per request", "equal split");
    struct Row
    {
        Scenario scenario;
        double restSeconds;
        const char *note;
    };
    const Row rows[] = {
        {Scenario::Calm, restOf(Scenario::Calm), ""},
        {Scenario::Partition, restOf(Scenario::Partition), ", from 50% spent"},
        {Scenario::Partition, 120 + 900, ", 75% to 92%"},
        {Scenario::Outage, restOf(Scenario::Outage), ", from 50% spent"},
        {Scenario::Outage, LateOutageRest, ", 87% to 95%"},
        {Scenario::LastPart, restOf(Scenario::LastPart), ""},
        {Scenario::TopUp, restOf(Scenario::TopUp), ""},
    };
    for (const Row &row : rows) {
        std::printf("%-44s", (std::string(scenarioName(row.scenario)) + row.note).c_str());
        for (const Method method : {Method::Slices, Method::SwapPerRequest, Method::EqualSplit}) {
            Workload workload;
            workload.restSeconds = row.restSeconds;
            const auto contender = makeContender(method, workload);
            const Counts counts = runScenario(*contender, workload, row.scenario);
            std::printf(" %15.3f%% (%3lld)",
                        percent(counts.falseRefusals, counts.requests),
                        static_cast<long long>(contender->overspend()));
        }
        std::printf("\n");
    }
}

void printWriteRow(const Workload &workload)
{
    SlicesContender contender(workload);
    ArrivalSource source(workload);
    drive(contender, source, 60s);
    contender.counts = Counts();
    const FakeKv before = contender.fleet.kv;
    const std::uint64_t messages = contender.fleet.messages;
    const std::uint64_t bytes = contender.fleet.messageBytes;
    drive(contender, source, 60s);
    const FakeKv &after = contender.fleet.kv;
    const auto rate = [](std::uint64_t from, std::uint64_t to) {
        return static_cast<double>(to - from) / 60;
    };
    std::printf("%8u %10.0f %10.1f %10.1f %10.1f %12.1f %12.1f %12.2f %10.3f%%\n",
                workload.routers,
                workload.requestsPerSecond,
                rate(before.writes, after.writes),
                rate(before.conflicts, after.conflicts),
                rate(before.reads, after.reads),
                rate(before.bytesWritten, after.bytesWritten) / 1000,
                rate(messages, contender.fleet.messages) / workload.routers,
                rate(bytes, contender.fleet.messageBytes) / workload.routers / 1000,
                percent(contender.counts.falseRefusals, contender.counts.requests));
}

void printWrites()
{
    std::printf("\nPlatform calls a second, calm, minute 2.\n%8s %10s %10s %10s %10s %12s %12s %12s %11s\n",
                "routers",
                "requests/s",
                "writes/s",
                "conflicts",
                "reads/s",
                "kB written",
                "msg/s/router",
                "kB/s/router",
                "false ref.");
    for (const double requests : {100.0, 1000.0, 3600.0}) {
        Workload workload;
        workload.requestsPerSecond = requests;
        printWriteRow(workload);
    }
    for (const unsigned routers : {3U, 16U, 32U, 64U}) {
        Workload workload;
        workload.routers = routers;
        workload.requestsPerSecond = 1000;
        printWriteRow(workload);
    }
}

// What routers hold beyond their reservations, in percent of what is left.
double strandedPercent(SlicesContender &contender)
{
    Tokens held = 0;
    Tokens left = 0;
    for (unsigned budget = 0; budget < BudgetCount; ++budget) {
        const BudgetView view = contender.fleet.view(budgetName(budget));
        for (const auto &[router, amount] : view.held) {
            held += amount;
        }
        const BudgetTruth &truth = contender.fleet.truth[budgetName(budget)];
        held -= truth.reserved + truth.settled - view.billed;
        left += contender.rest(budget);
    }
    return 100.0 * static_cast<double>(held) / static_cast<double>(left);
}

// Set by the second argument: the one row of the trade table to print.
double onlyShare = -1;

void printTrade()
{
    std::printf(
        "\nThe trade setting. Slices beyond reservations in %% of the rest, false refusals in %%, 100 requests/s.\n");
    std::printf("%12s %12s %12s %12s %12s %12s %12s %12s %12s\n",
                "reserveShare",
                "writes/s",
                "held, 50%",
                "held, 95%",
                "calm",
                "partition",
                "outage",
                "outage, 87%",
                "last 5%");
    for (const double share : {0.0, 0.1, 0.5, 0.9, 1.0}) {
        if (onlyShare >= 0 && share != onlyShare) {
            continue;
        }
        Workload workload;
        workload.reserveShare = share;
        workload.restSeconds = restOf(Scenario::Calm);
        SlicesContender calm(workload);
        const Counts calmCounts = runScenario(calm, workload, Scenario::Calm);
        const double writes = static_cast<double>(calm.writes()) / 730;
        SlicesContender half(workload);
        ArrivalSource source(workload);
        drive(half, source, 2min);
        const double heldHalf = strandedPercent(half);
        SlicesContender partition(workload);
        const Counts partitionCounts = runScenario(partition, workload, Scenario::Partition);
        SlicesContender outage(workload);
        const Counts outageCounts = runScenario(outage, workload, Scenario::Outage);
        workload.restSeconds = LateOutageRest;
        SlicesContender late(workload);
        const Counts lateCounts = runScenario(late, workload, Scenario::Outage);
        workload.restSeconds = restOf(Scenario::LastPart);
        SlicesContender low(workload);
        ArrivalSource lowSource(workload);
        drive(low, lowSource, 60s);
        const double heldLow = strandedPercent(low);
        SlicesContender last(workload);
        const Counts lastCounts = runScenario(last, workload, Scenario::LastPart);
        std::printf("%12.2f %12.1f %11.1f%% %11.1f%% %11.3f%% %11.3f%% %11.3f%% %11.3f%% %11.3f%%\n",
                    share,
                    writes,
                    heldHalf,
                    heldLow,
                    percent(calmCounts.falseRefusals, calmCounts.requests),
                    percent(partitionCounts.falseRefusals, partitionCounts.requests),
                    percent(outageCounts.falseRefusals, outageCounts.requests),
                    percent(lateCounts.falseRefusals, lateCounts.requests),
                    percent(lastCounts.falseRefusals, lastCounts.requests));
        std::fflush(stdout);
    }
}

// Asks for `part` of what is left of the first budget in one call until it is granted.
double secondsUntilSpendable(SlicesContender &contender, double part)
{
    const TimePoint begin = contender.fleet.now;
    for (int attempt = 0; attempt < 6000; ++attempt) {
        SimulatedCall call;
        call.id = "all" + std::to_string(part) + std::to_string(attempt);
        call.budget = budgetName(0);
        call.worstCase = static_cast<Tokens>(part * static_cast<double>(contender.rest(0)));
        call.runTime = 1ms;
        call.forwards = 2;
        const std::uint64_t before = contender.fleet.granted;
        contender.fleet.call(hostName(1), call);
        contender.runFor(100ms);
        if (contender.fleet.granted > before) {
            return toSeconds(contender.fleet.now - begin);
        }
    }
    return -1;
}

// How long after `scenario` nothing is held by routers that are gone, in seconds.
double secondsUntilNoneGone(SlicesContender &contender)
{
    const TimePoint begin = contender.fleet.now;
    for (int attempt = 0; attempt < 6000; ++attempt) {
        bool gone = false;
        for (unsigned budget = 0; budget < BudgetCount; ++budget) {
            for (const auto &[holder, amount] : contender.fleet.view(budgetName(budget)).held) {
                gone = gone || contender.fleet.isGone(holder);
            }
        }
        if (!gone) {
            return toSeconds(contender.fleet.now - begin);
        }
        contender.runFor(100ms);
    }
    return -1;
}

void printRecovery()
{
    std::printf(
        "\nSeconds after the end of a fault, 100 requests/s before it and none after: until no amount is held by a\n"
        "router that is gone, and until one call can have 99%% or all that is left of the largest budget.\n");
    std::printf("%-44s %16s %16s %16s\n", "", "none with a gone", "99% in one call", "all in one call");
    const auto row = [](const char *name, const std::function<void(SlicesContender &, ArrivalSource &)> &fault) {
        Workload workload;
        workload.restSeconds = restOf(Scenario::Calm);
        SlicesContender contender(workload);
        ArrivalSource source(workload);
        drive(contender, source, 2min);
        fault(contender, source);
        const double gone = secondsUntilNoneGone(contender);
        const double most = gone + secondsUntilSpendable(contender, 0.99);
        const double all = most + secondsUntilSpendable(contender, 1);
        std::printf("%-44s %16.1f %16.1f %16.1f\n", name, gone, most, all);
    };
    row("no fault, the demand ends", [](SlicesContender &contender, ArrivalSource &) {
        contender.runFor(4s);
    });
    row("10 min partition", [](SlicesContender &contender, ArrivalSource &source) {
        contender.cut(true);
        drive(contender, source, 10min);
        contender.cut(false);
    });
    row("5 min platform outage", [](SlicesContender &contender, ArrivalSource &source) {
        contender.serviceDown(true);
        drive(contender, source, 5min);
        contender.serviceDown(false);
    });
    row("a router dies (noticed after 3 s)", [](SlicesContender &contender, ArrivalSource &) {
        contender.fleet.kill(hostName(0));
        contender.fleet.at(3s, [&contender] {
            contender.fleet.announcePeers();
            contender.fleet.declareGone(hostName(0));
        });
    });
    row("a router dies in a platform outage", [](SlicesContender &contender, ArrivalSource &source) {
        contender.serviceDown(true);
        drive(contender, source, 1min);
        contender.fleet.kill(hostName(0));
        contender.runFor(3s);
        contender.fleet.announcePeers();
        contender.fleet.declareGone(hostName(0));
        contender.runFor(1min);
        contender.serviceDown(false);
    });
}

// An agent with two witnesses and a service without faults, called directly.
struct MicroSetup
{
    explicit MicroSetup(const SimulatedFleet &fleet)
        : kv(fleet.kv)
    {
        std::vector<BudgetPeer> peers;
        for (const char *name : {"h.1", "w.1", "w.2"}) {
            BudgetOptions options;
            options.dataCentre = DataCentreId{name};
            agents.push_back(makeBudgetAgent(Incarnation{name}, options));
            peers.push_back({Incarnation{name}, options.dataCentre});
        }
        for (BudgetAgent &agent : agents) {
            setPeers(agent, peers, now, out);
        }
    }

    // Carries out the first agent's actions until there are none.
    void carryOut()
    {
        while (!out.empty()) {
            std::vector<BudgetAction> actions;
            actions.swap(out);
            for (const BudgetAction &action : actions) {
                if (const auto *command = std::get_if<KvCommand>(&action)) {
                    onKvReply(agents[0], applyCommand(kv, *command), now, out);
                } else if (const auto *message = std::get_if<PeerSend>(&action)) {
                    carry(*message);
                }
            }
        }
    }

    void carry(const PeerSend &message)
    {
        std::vector<BudgetAction> answers;
        BudgetAgent &witness = agents[message.to == agents[1].self ? 1 : 2];
        onPeerMessage(witness, agents[0].self, message.cbor, now, answers);
        for (const BudgetAction &answer : answers) {
            if (const auto *ack = std::get_if<PeerSend>(&answer)) {
                onPeerMessage(agents[0], witness.self, ack->cbor, now, out);
            }
        }
    }

    std::vector<BudgetAgent> agents;
    FakeKv kv;
    TimePoint now{};
    std::vector<BudgetAction> out;
};

void printPairsPerSecond(double callsPerSecond)
{
    constexpr int calls = 200'000;
    constexpr int callsUnderWay = 64;
    SimulatedFleet fleet(BudgetOptions(), Seed);
    fleet.createBudget("b", MaxTokens / 2);
    MicroSetup setup(fleet);
    const auto gap = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / callsPerSecond));
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        setup.now += gap;
        BudgetAgent &agent = setup.agents[0];
        const RequestKey key{CustomerId{"c"}, std::to_string(i)};
        const CallId call{static_cast<std::uint64_t>(i)};
        reserve(agent, {call, key, BudgetId{"b"}, 200, setup.now + 1s}, setup.now, setup.out);
        setup.carryOut();
        if (i >= callsUnderWay) {
            settle(agent, CallId{call.value - callsUnderWay}, 100, setup.now, setup.out);
            setup.carryOut();
        }
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    std::printf("%14.0f %18.1f %22.0f %22.2f%%\n",
                callsPerSecond,
                seconds / calls * 1e6,
                calls / seconds,
                100 * callsPerSecond * seconds / calls);
}

void printBytesPerBudget()
{
    constexpr unsigned held = 5000;
    SimulatedFleet fleet(BudgetOptions(), Seed);
    const auto name = [](unsigned i) {
        return "customer-" + std::to_string(i) + "-budget";
    };
    for (unsigned i = 0; i < held; ++i) {
        fleet.createBudget(name(i), 1'000'000);
    }
    MicroSetup setup(fleet);
    const std::size_t before = mallinfo2().uordblks;
    const std::size_t recordsBefore = setup.kv.bytesWritten;
    for (unsigned i = 0; i < held; ++i) {
        // Faster than idle slices go back.
        setup.now += 10ms;
        const RequestKey key{CustomerId{"c"}, std::to_string(i)};
        reserve(setup.agents[0], {CallId{i}, key, BudgetId{name(i)}, 200, setup.now + 1s}, setup.now, setup.out);
        setup.carryOut();
        cancelReservation(setup.agents[0], CallId{i}, setup.now, setup.out);
        setup.carryOut();
    }
    const std::size_t after = mallinfo2().uordblks;
    std::printf("State of a router for each budget that it holds, with the fake service's record of it: %.0f bytes\n"
                "(%u budgets in 64 shards, %.1f kB for each write of a shard)\n",
                static_cast<double>(after - before) / held,
                held,
                static_cast<double>(setup.kv.bytesWritten - recordsBefore) / 1000 / held);
}

void printMicro()
{
    std::printf(
        "\nOne core, one budget; reserve and settle, codecs, copies at both ends and the service's part included.\n"
        "%14s %18s %22s %23s\n",
        "calls/s (sim.)",
        "us for a call",
        "calls/s on one core",
        "of a core");
    for (const double rate : {10.0, 100.0, 450.0, 4000.0}) {
        printPairsPerSecond(rate);
    }
    printBytesPerBudget();
}

} // namespace

int main(int argc, char **argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    onlyShare = argc > 2 ? std::strtod(argv[2], nullptr) : -1;
    std::printf("budget_bench, seed %llu\n", static_cast<unsigned long long>(Seed));
    const std::pair<const char *, void (*)()> tables[] = {
        {"refusals", printRefusals},
        {"writes", printWrites},
        {"trade", printTrade},
        {"recovery", printRecovery},
        {"micro", printMicro},
    };
    for (const auto &[name, print] : tables) {
        if (only.empty() || only == name) {
            print();
            std::fflush(stdout);
        }
    }
    return 0;
}
