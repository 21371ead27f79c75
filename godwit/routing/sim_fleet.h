#pragma once

// A simulated fleet for tests and benchmarks of routing: callers, routers that decide with the functions of the product
// or with a simple baseline, and simulated engines. Simulated time, reproducible from one seed; not part of the
// product.
//
// Example:
//   Fleet fleet(options);
//   fleet.run(std::chrono::seconds(60));
//   fleet.result().firstToken;

#include "godwit/routing/routing.h"
#include "godwit/routing/sim_engine.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Godwit::Sim
{

enum class Policy {
    Godwit,
    RoundRobin,
    LeastConnections,
    // As LeastConnections, but refuses when all engines have the router's equal share of their slots in use.
    LeastConnectionsBounded,
    TwoChoices,
};

// Requests that crash each engine that runs them, and whose callers send them again.
struct PoisonOptions
{
    int requests = 0;
    Duration every = std::chrono::seconds(30);
    Duration crashAfter = std::chrono::milliseconds(100);
    int sends = 6;
    Duration resendAfter = std::chrono::seconds(1);
};

struct FleetOptions
{
    std::uint64_t seed = 1;
    Policy policy = Policy::Godwit;
    RoutingOptions routing;
    std::size_t routers = 8;
    std::size_t engines = 18;
    std::size_t dataCentres = 3;
    // Engines per host; 0 leaves the hosts unknown.
    std::size_t enginesPerHost = 1;
    EngineOptions engine;
    std::size_t slowEngines = 0;
    double slowness = 4;
    // Requests per second of all customers, and additional requests per second of customer 0.
    double rate = 40;
    double floodRate = 0;
    std::size_t customers = 10;
    // Prompts begin with the instructions of the customer, followed by one of its documents.
    std::size_t documents = 40;
    double instructionTokens = 512;
    double documentTokens = 1024;
    double questionTokens = 128;
    double outputTokens = 150;
    Duration deadline = std::chrono::seconds(10);
    Duration networkDelay = std::chrono::milliseconds(1);
    Duration crossDataCentreDelay = std::chrono::milliseconds(2);
    Duration reportEvery = std::chrono::milliseconds(500);
    Duration reportDelay = std::chrono::milliseconds(200);
    // Fraction of the cache event batches that are lost.
    double lostEvents = 0.02;
    Duration noticeDelay = std::chrono::milliseconds(3);
    bool repeatable = true;
    PoisonOptions poison;
};

struct CustomerResult
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t refused = 0;
};

struct FleetResult
{
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    // Harmless requests that were refused as suspects.
    std::uint64_t innocentsRefused = 0;
    std::uint64_t poisonRefused = 0;
    int crashes = 0;
    double promptTokens = 0;
    double processedTokens = 0;
    // Seconds from the caller's send to the first token, unsorted.
    std::vector<double> firstToken;
    // The same without the requests of customer 0.
    std::vector<double> othersFirstToken;
    // Seconds from arrival at the router to the first dispatch.
    std::vector<double> routerWait;
    std::vector<double> othersRouterWait;
    std::vector<CustomerResult> customers;
    std::uint64_t dispatched = 0;
};

// Limit on the time to first token for CustomerResult::inTime.
constexpr double InTimeSeconds = 0.88;

class Fleet
{
public:
    explicit Fleet(const FleetOptions &options);
    ~Fleet();

    void run(Duration time);
    // Stops new requests; those in progress continue.
    void stopArrivals();
    // All engines of a data centre fail within `spread`.
    void failDataCentre(std::size_t dataCentre, Duration spread);
    // All engines of one host fail at once.
    void failHost(std::size_t host);
    FleetResult result() const;

    Clock clock;

private:
    struct Request;
    struct Router;

    void scheduleArrival(bool flood);
    void schedulePoison(int number);
    void arrive(std::size_t customer, bool poison, std::uint64_t number, int sends);
    Request makeRequest(std::size_t customer);
    std::size_t pickCustomer();
    std::size_t pickRouter(std::size_t customer);
    void receive(std::size_t router, std::uint64_t id);
    void perform(std::size_t router, const std::vector<RoutingAction> &actions);
    void scheduleWake(std::size_t router);
    void dispatch(std::size_t router, std::uint64_t id, std::size_t engine);
    std::optional<std::size_t> baselineChoice(std::size_t router);
    void onEngine(std::size_t engine, EngineEvent event, const Job &job);
    void onRouterEvent(std::size_t engine, EngineEvent event, std::size_t router, std::uint64_t id);
    void onCallFailed(std::uint64_t id, const Error &error);
    void sendNotice(std::size_t router, const SuspectNotice &notice);
    void report(std::size_t engine);
    Duration delayBetween(std::size_t router, std::size_t engine) const;
    double uniform();

    FleetOptions m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<EndpointSpec> m_specs;
    std::unordered_map<EndpointId, std::size_t> m_engineOf;
    std::vector<Router> m_routers;
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::uint64_t m_nextRequest = 1;
    bool m_arriving = true;
    FleetResult m_result;
};

} // namespace Godwit::Sim
