#include "godwit/routing/sim_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwit::Sim
{
namespace
{

const RouteId Route{"matching"};
constexpr std::uint64_t PoisonFingerprint = 0xBAD0'0000'0000'0000ULL;

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

DataCentreId dataCentreName(std::size_t index)
{
    return DataCentreId("dc-" + std::to_string(index));
}

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a * 0x9E3779B97F4A7C15ULL + b + 1;
    x ^= x >> 30;
    x *= 0xBF58476D1CE4E5B9ULL;
    x ^= x >> 27;
    x *= 0x94D049BB133111EBULL;
    return x ^ x >> 31;
}

} // namespace

struct Fleet::Request
{
    PendingCall pending;
    double outputTokens = 0;
    std::size_t customer = 0;
    std::size_t router = 0;
    TimePoint sentAt;
    bool poison = false;
    std::uint64_t poisonNumber = 0;
    int sendsLeft = 0;
    bool counted = false;
};

struct Fleet::Router
{
    RoutingState state;
    TimePoint wakeAt;
    // Used by the baseline policies only.
    std::size_t next = 0;
    std::vector<int> connections;
    std::vector<int> reported;
};

Fleet::~Fleet() = default;

Fleet::Fleet(const FleetOptions &options)
    : m_options(options)
    , m_random(options.seed)
{
    m_result.customers.resize(options.customers);
    for (std::size_t i = 0; i < options.engines; ++i) {
        auto engine = options.engine;
        engine.id = EndpointId("engine-" + std::to_string(100 + i));
        if (i < options.slowEngines) {
            engine.slowness = options.slowness;
        }
        EndpointSpec spec;
        spec.id = engine.id;
        spec.route = Route;
        spec.dataCentre = dataCentreName(i % options.dataCentres);
        spec.slots = engine.slots;
        spec.modelEngine = true;
        if (options.enginesPerHost > 0) {
            // The engines of a host are in the same data centre.
            const auto place = i / options.dataCentres / options.enginesPerHost;
            spec.host = HostId("host-" + std::to_string(place * options.dataCentres + i % options.dataCentres));
        }
        m_engineOf[engine.id] = i;
        m_specs.push_back(spec);
        m_engines.push_back(std::make_unique<Engine>(clock, engine, [this, i](EngineEvent event, const Job &job) {
            onEngine(i, event, job);
        }));
        clock.after(seconds(uniform() * toSeconds(options.reportEvery)), [this, i] {
            report(i);
        });
    }
    for (std::size_t i = 0; i < options.routers; ++i) {
        auto routing = options.routing;
        routing.dataCentre = dataCentreName(i % options.dataCentres);
        routing.seed = options.seed * 1000 + i;
        Router router;
        router.state = makeRoutingState(routing);
        router.connections.resize(options.engines);
        router.reported.resize(options.engines);
        m_routers.push_back(std::move(router));
        setRouterCount(m_routers[i].state, static_cast<int>(options.routers));
        std::vector<RoutingAction> actions;
        setEndpoints(m_routers[i].state, m_specs, clock.now, actions);
        perform(i, actions);
    }
    scheduleArrival(false);
    if (options.floodRate > 0) {
        scheduleArrival(true);
    }
    for (int i = 0; i < options.poison.requests; ++i) {
        schedulePoison(i);
    }
}

double Fleet::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void Fleet::run(Duration time)
{
    clock.run(time);
}

void Fleet::stopArrivals()
{
    m_arriving = false;
}

void Fleet::scheduleArrival(bool flood)
{
    const double rate = flood ? m_options.floodRate : m_options.rate;
    clock.after(seconds(-std::log(1 - uniform()) / rate), [this, flood] {
        if (!m_arriving) {
            return;
        }
        arrive(flood ? 0 : pickCustomer(), false, 0, 0);
        scheduleArrival(flood);
    });
}

void Fleet::schedulePoison(int number)
{
    clock.after(m_options.poison.every * (number + 1), [this, number] {
        arrive(pickCustomer(), true, static_cast<std::uint64_t>(number), m_options.poison.sends - 1);
    });
}

// Skewed sizes: customer n sends requests in proportion to 1/(n+1).
std::size_t Fleet::pickCustomer()
{
    double sum = 0;
    for (std::size_t i = 0; i < m_options.customers; ++i) {
        sum += 1.0 / static_cast<double>(i + 1);
    }
    double place = uniform() * sum;
    for (std::size_t i = 0; i < m_options.customers; ++i) {
        place -= 1.0 / static_cast<double>(i + 1);
        if (place <= 0) {
            return i;
        }
    }
    return m_options.customers - 1;
}

// Imitates chooseAddresses(): small customers use two routers, large ones are spread over all.
std::size_t Fleet::pickRouter(std::size_t customer)
{
    const std::size_t spread = customer < 3 ? m_options.routers : std::min<std::size_t>(2, m_options.routers);
    const auto place = static_cast<std::size_t>(uniform() * static_cast<double>(spread));
    return (customer * 3 + place) % m_options.routers;
}

Fleet::Request Fleet::makeRequest(std::size_t customer)
{
    Request request;
    request.customer = customer;
    request.outputTokens = m_options.outputTokens * (0.5 + uniform());
    // Skewed popularity of the documents.
    const double skew = uniform();
    const auto document =
        static_cast<std::uint64_t>(skew * skew * static_cast<double>(m_options.documents)) + customer * 100'000;
    auto &pending = request.pending;
    pending.route = Route;
    pending.customer = CustomerId("customer-" + std::to_string(customer));
    pending.repeatable = m_options.repeatable;
    pending.promptTokens =
        static_cast<Tokens>(m_options.instructionTokens + m_options.documentTokens + m_options.questionTokens);
    pending.maxOutput = static_cast<Tokens>(m_options.outputTokens * 1.5);
    pending.fingerprint = mix(m_nextRequest, 77) >> 1;
    const auto instructionBlocks =
        static_cast<std::uint64_t>(m_options.instructionTokens / m_options.engine.tokensPerBlock);
    const auto documentBlocks = static_cast<std::uint64_t>(m_options.documentTokens / m_options.engine.tokensPerBlock);
    for (std::uint64_t i = 0; i < instructionBlocks; ++i) {
        pending.prefixHashes.push_back(mix(customer + 1, i));
    }
    for (std::uint64_t i = 0; i < documentBlocks; ++i) {
        pending.prefixHashes.push_back(mix(document + 1'000'000, i));
    }
    pending.arrivedAt = clock.now;
    pending.deadline = clock.now + m_options.deadline;
    return request;
}

void Fleet::arrive(std::size_t customer, bool poison, std::uint64_t number, int sends)
{
    auto request = makeRequest(customer);
    const auto id = m_nextRequest++;
    request.pending.call = CallId(id);
    request.sentAt = clock.now;
    request.poison = poison;
    request.poisonNumber = number;
    request.sendsLeft = sends;
    if (poison) {
        request.pending.fingerprint = PoisonFingerprint + number;
    } else {
        ++m_result.offered;
        ++m_result.customers[customer].offered;
    }
    request.router =
        poison ? static_cast<std::size_t>(uniform() * static_cast<double>(m_options.routers)) : pickRouter(customer);
    const auto router = request.router;
    m_requests[id] = std::move(request);
    clock.after(m_options.networkDelay, [this, router, id] {
        receive(router, id);
    });
}

void Fleet::receive(std::size_t router, std::uint64_t id)
{
    if (m_options.policy != Policy::Godwit) {
        if (const auto engine = baselineChoice(router)) {
            dispatch(router, id, *engine);
        } else {
            onCallFailed(id, Error{ErrorKind::Overloaded, "all engines are busy", Execution::NotRun, std::nullopt});
        }
        return;
    }
    std::vector<RoutingAction> actions;
    enqueue(m_routers[router].state, m_requests.at(id).pending, clock.now, actions);
    perform(router, actions);
}

std::optional<std::size_t> Fleet::baselineChoice(std::size_t index)
{
    auto &router = m_routers[index];
    const auto count = m_engines.size();
    if (m_options.policy == Policy::RoundRobin) {
        return router.next++ % count;
    }
    if (m_options.policy == Policy::LeastConnections || m_options.policy == Policy::LeastConnectionsBounded) {
        const auto first = router.next++ % count;
        std::size_t best = first;
        for (std::size_t i = 0; i < count; ++i) {
            const auto engine = (first + i) % count;
            if (router.connections[engine] < router.connections[best]) {
                best = engine;
            }
        }
        const int part = m_options.engine.slots / static_cast<int>(m_options.routers);
        const bool full = m_options.policy == Policy::LeastConnectionsBounded && router.connections[best] >= part;
        return full ? std::nullopt : std::optional(best);
    }
    const auto pick = [&] {
        return static_cast<std::size_t>(uniform() * static_cast<double>(count));
    };
    const auto a = pick();
    const auto b = pick();
    const auto loadOf = [&](std::size_t engine) {
        return std::max(router.connections[engine], router.reported[engine]);
    };
    return loadOf(a) <= loadOf(b) ? a : b;
}

void Fleet::perform(std::size_t router, const std::vector<RoutingAction> &actions)
{
    for (const auto &action : actions) {
        if (const auto *sent = std::get_if<Dispatch>(&action)) {
            dispatch(router, sent->call.value, m_engineOf.at(sent->endpoint));
        } else if (const auto *refused = std::get_if<FailCall>(&action)) {
            onCallFailed(refused->call.value, refused->error);
        } else if (const auto *told = std::get_if<BroadcastSuspect>(&action)) {
            sendNotice(router, told->notice);
        }
    }
    scheduleWake(router);
}

void Fleet::scheduleWake(std::size_t index)
{
    auto &router = m_routers[index];
    const auto wake = nextWake(router.state);
    if (!wake || (router.wakeAt > clock.now && router.wakeAt <= *wake)) {
        return;
    }
    const auto at = std::max(*wake, clock.now + Duration(1));
    router.wakeAt = at;
    clock.after(at - clock.now, [this, index, at] {
        if (m_routers[index].wakeAt != at) {
            return;
        }
        std::vector<RoutingAction> actions;
        onTick(m_routers[index].state, clock.now, actions);
        perform(index, actions);
    });
}

Duration Fleet::delayBetween(std::size_t router, std::size_t engine) const
{
    const bool near = router % m_options.dataCentres == engine % m_options.dataCentres;
    return near ? m_options.networkDelay : m_options.crossDataCentreDelay;
}

void Fleet::dispatch(std::size_t router, std::uint64_t id, std::size_t engine)
{
    ++m_result.dispatched;
    ++m_routers[router].connections[engine];
    const auto &request = m_requests.at(id);
    const double waited = toSeconds(clock.now - request.pending.arrivedAt);
    m_result.routerWait.push_back(waited);
    if (request.customer != 0) {
        m_result.othersRouterWait.push_back(waited);
    }
    Job job;
    job.id = id;
    job.router = router;
    job.promptTokens = static_cast<double>(request.pending.promptTokens);
    job.outputTokens = request.outputTokens;
    job.blocks = request.pending.prefixHashes;
    job.crashAfter = request.poison ? m_options.poison.crashAfter : Duration::zero();
    clock.after(delayBetween(router, engine), [this, engine, job] {
        m_engines[engine]->submit(job);
    });
}

void Fleet::onEngine(std::size_t engine, EngineEvent event, const Job &job)
{
    const auto router = job.router;
    const auto id = job.id;
    clock.after(delayBetween(router, engine), [this, engine, event, router, id] {
        onRouterEvent(engine, event, router, id);
    });
}

void Fleet::onRouterEvent(std::size_t engine, EngineEvent event, std::size_t router, std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    auto &request = found->second;
    auto &state = m_routers[router].state;
    std::vector<RoutingAction> actions;
    if (event == EngineEvent::FirstToken) {
        if (!request.counted && !request.poison) {
            request.counted = true;
            const double time = toSeconds(clock.now + m_options.networkDelay - request.sentAt);
            m_result.firstToken.push_back(time);
            if (request.customer != 0) {
                m_result.othersFirstToken.push_back(time);
            }
            m_result.customers[request.customer].inTime += time <= InTimeSeconds ? 1 : 0;
        }
        onFirstToken(state, CallId(id), clock.now, actions);
        perform(router, actions);
        return;
    }
    --m_routers[router].connections[engine];
    if (event == EngineEvent::Completed) {
        ++m_result.completed;
        onAttemptEnded(state, CallId(id), AttemptEnd::Completed, clock.now, actions);
        m_requests.erase(id);
    } else {
        const auto end = event == EngineEvent::Crashed ? AttemptEnd::EndpointCrashed : AttemptEnd::ConnectFailed;
        onAttemptEnded(state, CallId(id), end, clock.now, actions);
    }
    perform(router, actions);
}

void Fleet::onCallFailed(std::uint64_t id, const Error &error)
{
    const auto request = m_requests.at(id);
    m_requests.erase(id);
    if (request.poison) {
        m_result.poisonRefused += error.kind == ErrorKind::SuspectRequest ? 1 : 0;
        if (request.sendsLeft > 0) {
            clock.after(m_options.poison.resendAfter, [this, request] {
                arrive(request.customer, true, request.poisonNumber, request.sendsLeft - 1);
            });
        }
        return;
    }
    if (error.kind == ErrorKind::SuspectRequest) {
        ++m_result.innocentsRefused;
    }
    if (error.kind == ErrorKind::Overloaded || error.kind == ErrorKind::DeadlineTooShort) {
        ++m_result.refused;
        ++m_result.customers[request.customer].refused;
    } else {
        ++m_result.failed;
    }
}

void Fleet::sendNotice(std::size_t from, const SuspectNotice &notice)
{
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (i == from) {
            continue;
        }
        clock.after(m_options.noticeDelay, [this, i, notice] {
            auto late = notice;
            late.age += m_options.noticeDelay;
            std::vector<RoutingAction> actions;
            onSuspectNotice(m_routers[i].state, late, clock.now, actions);
            perform(i, actions);
        });
    }
}

void Fleet::report(std::size_t engine)
{
    clock.after(m_options.reportEvery, [this, engine] {
        report(engine);
    });
    if (!m_engines[engine]->alive) {
        return;
    }
    const auto load = m_engines[engine]->load();
    const auto events = m_engines[engine]->takeEvents();
    const bool lost = uniform() < m_options.lostEvents;
    clock.after(m_options.reportDelay, [this, engine, load, events, lost] {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            m_routers[i].reported[engine] = load.queued + load.running;
            std::vector<RoutingAction> actions;
            auto late = load;
            late.age = m_options.reportDelay;
            onLoadReport(m_routers[i].state, m_specs[engine].id, late, clock.now, actions);
            if (!lost && !events.events.empty()) {
                onCacheEvents(m_routers[i].state, m_specs[engine].id, events, clock.now, actions);
            }
            perform(i, actions);
        }
    });
}

void Fleet::failDataCentre(std::size_t dataCentre, Duration spread)
{
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (i % m_options.dataCentres != dataCentre) {
            continue;
        }
        clock.after(seconds(uniform() * toSeconds(spread)), [this, i] {
            if (m_engines[i]->alive) {
                m_engines[i]->crash();
            }
        });
    }
}

void Fleet::failHost(std::size_t host)
{
    const auto name = HostId("host-" + std::to_string(host));
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (m_specs[i].host == name && m_engines[i]->alive) {
            m_engines[i]->crash();
        }
    }
}

FleetResult Fleet::result() const
{
    auto result = m_result;
    for (const auto &engine : m_engines) {
        result.crashes += engine->crashes;
        result.promptTokens += engine->promptTokensSeen;
        result.processedTokens += engine->promptTokensProcessed;
    }
    return result;
}

} // namespace Godwit::Sim
