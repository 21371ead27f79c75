// Measures the routing decisions in simulated fleets and on one core: see docs/REQUESTS.md for what the tables mean.
//
//   routing_bench             all tables
//   routing_bench choice      first-token times against baselines
//   routing_bench lag         the same with late load reports
//   routing_bench poison      endpoints that poisonous requests take down
//   routing_bench addresses   answers kept while hosts die
//   routing_bench micro       time and memory of the decisions

#include "godwit/routing/addresses.h"
#include "godwit/routing/routing.h"
#include "godwit/routing/sim_fleet.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Godwit;
using namespace Godwit::Sim;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Seed = 20261202;

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto place = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values[place];
}

const char *policyName(Policy policy)
{
    switch (policy) {
    case Policy::Godwit:
        return "godwit";
    case Policy::RoundRobin:
        return "round robin";
    case Policy::LeastConnections:
        return "least connections";
    case Policy::LeastConnectionsBounded:
        return "least conn., bounded";
    case Policy::TwoChoices:
        return "two random choices";
    }
    return "";
}

void printChoiceHeader(const char *title)
{
    std::printf("\n%s\n", title);
    std::printf("%-20s %8s %8s %8s %8s %9s %9s %8s %8s\n",
                "policy",
                "p50 s",
                "p95 s",
                "p99 s",
                "saved %",
                "in time %",
                "others %",
                "refused",
                "offered");
}

void printChoice(Policy policy, const FleetResult &result)
{
    std::uint64_t inTime = 0;
    std::uint64_t othersOffered = 0;
    std::uint64_t othersInTime = 0;
    for (std::size_t i = 0; i < result.customers.size(); ++i) {
        inTime += result.customers[i].inTime;
        if (i > 0) {
            othersOffered += result.customers[i].offered;
            othersInTime += result.customers[i].inTime;
        }
    }
    std::printf("%-20s %8.3f %8.3f %8.3f %8.1f %9.2f %9.2f %8llu %8llu\n",
                policyName(policy),
                quantile(result.firstToken, 0.50),
                quantile(result.firstToken, 0.95),
                quantile(result.firstToken, 0.99),
                100 * (1 - result.processedTokens / result.promptTokens),
                100.0 * static_cast<double>(inTime) / static_cast<double>(result.offered),
                100.0 * static_cast<double>(othersInTime) / static_cast<double>(othersOffered),
                static_cast<unsigned long long>(result.refused),
                static_cast<unsigned long long>(result.offered));
}

void compare(const char *title, const FleetOptions &options)
{
    printChoiceHeader(title);
    for (const auto policy : {Policy::Godwit,
                              Policy::RoundRobin,
                              Policy::LeastConnections,
                              Policy::LeastConnectionsBounded,
                              Policy::TwoChoices}) {
        auto run = options;
        run.policy = policy;
        Fleet fleet(run);
        fleet.run(120s);
        printChoice(policy, fleet.result());
    }
}

// Requests per second at which the batches of the engines are full.
double capacity(const FleetOptions &options)
{
    const auto &engine = options.engine;
    const double hold = (engine.tokenSeconds + engine.tokenSecondsPerRequest * engine.slots) * options.outputTokens;
    return static_cast<double>(options.engines) * engine.slots / hold;
}

void choiceTables()
{
    FleetOptions options;
    options.seed = Seed;
    const double full = capacity(options);
    std::printf("%zu routers, %zu engines of %d slots, capacity %.1f requests/s, 120 s simulated\n",
                options.routers,
                options.engines,
                options.engine.slots,
                full);
    options.rate = 0.5 * full;
    compare("calm: 50% of capacity", options);
    options.rate = 0.9 * full;
    compare("90% of capacity", options);
    options.rate = 1.3 * full;
    compare("130% of capacity", options);
    options.rate = 0.6 * full;
    options.slowEngines = 1;
    compare("60% of capacity, one engine four times slower", options);
    options.slowEngines = 0;
    options.rate = 0.5 * full;
    options.floodRate = 1.0 * full;
    compare("50% of capacity, and customer 0 floods with 100% more", options);
}

// Time to first token at 90% of capacity with late load reports.
void lagTable()
{
    std::printf("\n90%% of capacity, reports taken every R s and delivered D s later: first token p95 s (saved %%)\n");
    std::printf("%6s %6s %18s %18s %18s\n", "R", "D", "godwit", "least connections", "two choices");
    const std::pair<double, double> lags[] = {{0.5, 0.2}, {0.5, 1}, {2, 2}, {5, 1}};
    for (const auto &[every, delay] : lags) {
        std::printf("%6.1f %6.1f", every, delay);
        for (const auto policy : {Policy::Godwit, Policy::LeastConnections, Policy::TwoChoices}) {
            FleetOptions options;
            options.seed = Seed;
            options.policy = policy;
            options.rate = 0.9 * capacity(options);
            options.reportEvery = Duration(static_cast<std::int64_t>(every * 1e6));
            options.reportDelay = Duration(static_cast<std::int64_t>(delay * 1e6));
            Fleet fleet(options);
            fleet.run(120s);
            const auto result = fleet.result();
            std::printf("      %6.3f (%4.1f)",
                        quantile(result.firstToken, 0.95),
                        100 * (1 - result.processedTokens / result.promptTokens));
        }
        std::printf("\n");
    }
}

struct PoisonRow
{
    const char *title;
    double rate;
    bool safeguard;
    Duration noticeDelay;
    Duration crashAfter;
};

// Ten runs with ten crashing requests each, every one sent six times by its caller.
void poisonTable()
{
    std::printf("\npoisonous requests: 10 runs of 300 s with 10 requests each, sent 6 times, 18 engines, 8 routers\n");
    std::printf("%-52s %10s %10s %10s %10s\n", "", "engines/rq", "innocents", "failed", "offered");
    const PoisonRow rows[] = {
        {"30/s, no safeguard", 30, false, 3ms, 100ms},
        {"30/s", 30, true, 3ms, 100ms},
        {"30/s, notices take 50 ms", 30, true, 50ms, 100ms},
        {"30/s, crashes after 10 ms", 30, true, 3ms, 10ms},
        {"30/s, crashes after 1 s", 30, true, 3ms, 1s},
        {"50/s", 50, true, 3ms, 100ms},
        {"60/s (88% of capacity with all engines up)", 60, true, 3ms, 100ms},
    };
    for (const auto &row : rows) {
        int crashes = 0;
        std::uint64_t innocents = 0;
        std::uint64_t failed = 0;
        std::uint64_t offered = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            FleetOptions options;
            options.seed = seed;
            options.rate = row.rate;
            options.noticeDelay = row.noticeDelay;
            options.routing.faults.noSuspects = !row.safeguard;
            options.poison.requests = 10;
            options.poison.crashAfter = row.crashAfter;
            Fleet fleet(options);
            fleet.run(300s);
            fleet.stopArrivals();
            fleet.run(60s);
            const auto result = fleet.result();
            crashes += result.crashes;
            innocents += result.innocentsRefused;
            failed += result.failed;
            offered += result.offered;
        }
        std::printf("%-52s %10.2f %10llu %10llu %10llu\n",
                    row.title,
                    crashes / 100.0,
                    static_cast<unsigned long long>(innocents),
                    static_cast<unsigned long long>(failed),
                    static_cast<unsigned long long>(offered));
    }
}

enum class AddressPolicy {
    Godwit,
    NoBound,
    AllHosts,
};

struct Caller
{
    std::size_t customer = 0;
    std::vector<std::size_t> hosts;
    double askAt = 0;
};

struct AddressResult
{
    double hostsPerSmallCustomer = 0;
    double maxOverMean = 0;
    std::uint64_t calls = 0;
    std::uint64_t secondTry = 0;
    std::uint64_t askedAgain = 0;
};

// Callers keep an answer for 30 s while hosts die; routers detect a death after two seconds.
class AddressSim
{
public:
    AddressSim(AddressPolicy policy, std::set<std::size_t> dying)
        : m_policy(policy)
        , m_dying(std::move(dying))
    {
        for (std::size_t i = 0; i < Hosts; ++i) {
            RouterAddress router;
            router.host = HostId("entry-" + std::to_string(i));
            router.dataCentre = DataCentreId("dc-" + std::to_string(i % 3));
            router.address = std::to_string(i);
            m_routers.push_back(router);
        }
        for (std::size_t i = 0; i < Customers; ++i) {
            m_shares.push_back(1.0 / static_cast<double>(i + 1));
            m_shareSum += m_shares.back();
        }
        for (std::size_t i = 0; i < Callers; ++i) {
            Caller caller;
            caller.customer = pickCustomer();
            caller.askAt = uniform() * 30;
            m_callers.push_back(caller);
        }
    }

    AddressResult run()
    {
        for (m_time = 0; m_time < 240; m_time += Step) {
            for (auto &caller : m_callers) {
                if (uniform() < 200 * Step / Callers) {
                    call(caller);
                }
            }
            updateLoads();
        }
        return result();
    }

private:
    static constexpr std::size_t Hosts = 8;
    static constexpr std::size_t Customers = 30;
    static constexpr std::size_t Callers = 600;
    static constexpr double Step = 0.1;
    static constexpr double DeathAt = 120;
    static constexpr double DetectionDelay = 2;

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    // All callers send at the same rate; large customers have more callers.
    std::size_t pickCustomer()
    {
        double place = uniform() * m_shareSum;
        std::size_t customer = 0;
        while (customer + 1 < Customers && place > m_shares[customer]) {
            place -= m_shares[customer];
            ++customer;
        }
        return customer;
    }

    bool dead(std::size_t host) const
    {
        return m_time >= DeathAt && m_dying.count(host) != 0;
    }

    void ask(Caller &caller)
    {
        std::vector<RouterAddress> live;
        for (std::size_t i = 0; i < Hosts; ++i) {
            if (m_dying.count(i) == 0 || m_time < DeathAt + DetectionDelay) {
                live.push_back(m_routers[i]);
            }
        }
        AddressOptions options;
        options.selector = m_random();
        options.customerShare = m_shares[caller.customer] / m_shareSum;
        if (m_policy == AddressPolicy::NoBound) {
            options.loadBound = 1e9;
        } else if (m_policy == AddressPolicy::AllHosts) {
            options.customerShare = 1;
        }
        const CustomerId customer("customer-" + std::to_string(caller.customer));
        caller.hosts.clear();
        for (const auto &address : chooseAddresses(live, customer, options).addresses) {
            caller.hosts.push_back(std::stoul(address));
        }
        caller.askAt = m_time + 30;
    }

    void call(Caller &caller)
    {
        if (caller.hosts.empty() || m_time >= caller.askAt) {
            ask(caller);
        }
        ++m_result.calls;
        for (std::size_t i = 0; i < caller.hosts.size(); ++i) {
            if (!dead(caller.hosts[i])) {
                m_result.secondTry += i > 0 ? 1 : 0;
                ++m_window[caller.hosts[i]];
                m_used[caller.customer].insert(caller.hosts[i]);
                return;
            }
        }
        ++m_result.askedAgain;
        ask(caller);
    }

    // The load of a host is its number of calls in the last thirty seconds.
    void updateLoads()
    {
        if (m_time < m_nextLoad) {
            return;
        }
        m_nextLoad = m_time + 30;
        double sum = 0;
        double most = 0;
        double alive = 0;
        for (std::size_t i = 0; i < Hosts; ++i) {
            m_routers[i].load = m_window[i];
            sum += m_window[i];
            most = std::max(most, m_window[i]);
            alive += dead(i) ? 0 : 1;
            m_window[i] = 0;
        }
        if (m_time > 60 && m_time < DeathAt) {
            m_ratioSum += most / (sum / alive);
            ++m_ratios;
            for (const auto &[customer, hosts] : m_used) {
                if (m_shares[customer] / m_shareSum < 0.05) {
                    m_hostSum += static_cast<double>(hosts.size());
                    ++m_hostCounts;
                }
            }
        }
        m_used.clear();
    }

    AddressResult result()
    {
        m_result.maxOverMean = m_ratioSum / m_ratios;
        m_result.hostsPerSmallCustomer = m_hostSum / m_hostCounts;
        return m_result;
    }

    AddressPolicy m_policy;
    std::set<std::size_t> m_dying;
    std::mt19937_64 m_random{Seed};
    std::vector<RouterAddress> m_routers;
    std::vector<double> m_shares;
    double m_shareSum = 0;
    std::vector<Caller> m_callers;
    double m_time = 0;
    double m_nextLoad = 30;
    std::map<std::size_t, double> m_window;
    std::map<std::size_t, std::set<std::size_t>> m_used;
    double m_ratioSum = 0;
    double m_ratios = 0;
    double m_hostSum = 0;
    double m_hostCounts = 0;
    AddressResult m_result;
};

void addressTable()
{
    std::printf(
        "\naddresses: 8 hosts, 30 customers, 600 callers, 200 calls/s for 240 s, answers kept 30 s, deaths at 120 s, "
        "seen after 2 s\n");
    std::printf(
        "%-34s %14s %10s %8s %12s %12s\n", "", "hosts/small c.", "max/mean", "calls", "second try", "asked again");
    const std::pair<const char *, AddressPolicy> policies[] = {
        {"godwit", AddressPolicy::Godwit},
        {"without the load bound", AddressPolicy::NoBound},
        {"all hosts", AddressPolicy::AllHosts},
    };
    const std::pair<const char *, std::set<std::size_t>> faults[] = {{"one host dies", {3}},
                                                                     {"a data centre dies", {0, 3, 6}}};
    for (const auto &[name, policy] : policies) {
        for (const auto &[fault, dying] : faults) {
            AddressSim sim(policy, dying);
            const auto result = sim.run();
            std::printf("%-34s %14.2f %10.2f %8llu %12llu %12llu\n",
                        (std::string(name) + ", " + fault).c_str(),
                        result.hostsPerSmallCustomer,
                        result.maxOverMean,
                        static_cast<unsigned long long>(result.calls),
                        static_cast<unsigned long long>(result.secondTry),
                        static_cast<unsigned long long>(result.askedAgain));
        }
    }
}

// 600 endpoints of three routes at half load; each sends a report every half second of simulated time.
struct MicroFleet
{
    static constexpr int Endpoints = 600;
    static constexpr int Routes = 3;
    static constexpr int Slots = 16;

    RoutingState state;
    TimePoint now = TimePoint(1h);
    std::vector<RoutingAction> actions;
    std::uint64_t nextCall = 1;

    MicroFleet()
    {
        RoutingOptions options;
        options.dataCentre = DataCentreId("dc-0");
        options.maxQueued = 100'000;
        options.maxQueueWait = 3600s;
        state = makeRoutingState(options);
        setRouterCount(state, 1);
        std::vector<EndpointSpec> specs;
        for (int i = 0; i < Endpoints; ++i) {
            EndpointSpec spec;
            spec.id = EndpointId("engine-" + std::to_string(i));
            spec.route = RouteId("route-" + std::to_string(i % Routes));
            spec.dataCentre = DataCentreId("dc-" + std::to_string(i % 5));
            spec.slots = Slots;
            spec.modelEngine = true;
            specs.push_back(spec);
        }
        setEndpoints(state, specs, now, actions);
    }

    CallId add()
    {
        PendingCall call;
        call.call = CallId(nextCall++);
        call.route = RouteId("route-" + std::to_string(call.call.value % Routes));
        call.customer = CustomerId("customer-" + std::to_string(call.call.value % 17'000));
        call.repeatable = true;
        call.promptTokens = 1600;
        call.maxOutput = 200;
        call.fingerprint = call.call.value * 7919;
        for (std::uint64_t i = 0; i < 24; ++i) {
            call.prefixHashes.push_back((call.call.value % 900) * 1000 + i);
        }
        call.arrivedAt = now;
        call.deadline = now + 3600s;
        const auto id = call.call;
        enqueue(state, std::move(call), now, actions);
        return id;
    }
};

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void decisionCost()
{
    MicroFleet fleet;
    constexpr int inFlight = MicroFleet::Endpoints * MicroFleet::Slots / 2;
    constexpr int calls = 200'000;
    std::deque<CallId> running;
    for (int i = 0; i < inFlight; ++i) {
        running.push_back(fleet.add());
    }
    fleet.actions.clear();
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        fleet.now += 300us;
        running.push_back(fleet.add());
        onFirstToken(fleet.state, running[running.size() / 2], fleet.now, fleet.actions);
        onAttemptEnded(fleet.state, running.front(), AttemptEnd::Completed, fleet.now, fleet.actions);
        running.pop_front();
        fleet.actions.clear();
    }
    const double perCall = secondsSince(start) / calls;
    std::printf(
        "call taken in, sent, first token, completed: %.1f us, %.0f calls/s on one core\n", perCall * 1e6, 1 / perCall);
    const auto reportStart = std::chrono::steady_clock::now();
    constexpr int reports = 600'000;
    for (int i = 0; i < reports; ++i) {
        LoadReport report;
        report.running = 8;
        onLoadReport(fleet.state,
                     fleet.state.endpoints[static_cast<std::size_t>(i % MicroFleet::Endpoints)].spec.id,
                     report,
                     fleet.now,
                     fleet.actions);
    }
    std::printf("load report: %.2f us\n", secondsSince(reportStart) / reports * 1e6);
}

void queueCost()
{
    MicroFleet fleet;
    for (int i = 0; i < MicroFleet::Endpoints * MicroFleet::Slots; ++i) {
        fleet.add();
    }
    fleet.actions.clear();
    fleet.actions.shrink_to_fit();
    constexpr int queued = 50'000;
    const auto before = mallinfo2().uordblks;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < queued; ++i) {
        fleet.add();
        fleet.actions.clear();
    }
    const double perCall = secondsSince(start) / queued;
    const auto after = mallinfo2().uordblks;
    std::printf("call queued with all endpoints full: %.1f us, %.0f bytes each (24 prefix hashes), %zu queued\n",
                perCall * 1e6,
                static_cast<double>(after - before) / queued,
                queuedCalls(fleet.state));
}

void microFigures()
{
    std::printf("\none core, %d endpoints, %d routes\n", MicroFleet::Endpoints, MicroFleet::Routes);
    decisionCost();
    queueCost();
}

} // namespace

int main(int argc, char **argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
    const std::pair<const char *, void (*)()> tables[] = {{"choice", choiceTables},
                                                          {"lag", lagTable},
                                                          {"poison", poisonTable},
                                                          {"addresses", addressTable},
                                                          {"micro", microFigures}};
    for (const auto &[name, table] : tables) {
        if (only.empty() || only == name) {
            table();
        }
    }
    return 0;
}
