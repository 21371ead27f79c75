#include "scenarios/world.h"

#include "godwit/budget/budget_records.h"

#include <algorithm>
#include <cstdio>

namespace Godwit::Scenarios
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t TraceKept = 4000;
constexpr Duration CallerPatience = 20s;
constexpr Duration RetryPause = 200ms;
constexpr Duration NetworkDelay = 1ms;
constexpr Duration ConnectTimeout = 1s;
constexpr Duration EndpointRestart = 2s;
constexpr Duration CheckInterval = 100ms;

// FNV-1a: digests here only have to differ and to be equal in every run.
std::uint64_t digestNumber(const std::string &text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return hash;
}

std::string keyDigestOf(const std::string &customer)
{
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(digestNumber(customer)));
    const std::string quarter(digits);
    return quarter + quarter + quarter + quarter;
}

BudgetId budgetOf(const std::string &customer)
{
    return BudgetId{customer + "-main"};
}

std::string shardKeyOf(const std::string &customer)
{
    return budgetShardKey(budgetOf(customer), BudgetOptions().shardCount);
}

std::string shortTime(TimePoint at)
{
    char text[32];
    std::snprintf(text, sizeof text, "%10.3f", toSeconds(at.time_since_epoch()));
    return text;
}

std::string describe(const Error &error)
{
    return std::string(errorName(error.kind)) + " (" + std::string(executionName(error.execution)) + ")";
}

} // namespace

World::World(const Setup &setup)
    : m_setup(setup)
    , m_clock(setup.seed)
    , m_platform(m_clock)
    , m_fleet(m_clock, m_platform, m_topology, setup, hooks())
{
    for (const EndpointSetup &endpoint : setup.endpoints) {
        EndpointState state;
        state.setup = endpoint;
        state.time = routeOf(endpoint.route).time;
        m_endpoints[endpoint.name] = state;
    }
    for (const CustomerSetup &customer : setup.customers) {
        m_oracle.declareBudget(customer.name, customer.prepaid);
    }
}

FleetHooks World::hooks()
{
    FleetHooks hooks;
    hooks.onCallCommand = [this](const RunRef &from, const CallCommand &command) {
        onCallCommand(from, command);
    };
    hooks.onDeath = [this](const RunRef &run) {
        breakCallsOf(run);
    };
    hooks.onAdopted = [this](const std::string &host, std::uint64_t revision) {
        note(host + " adopts revision " + std::to_string(revision));
        m_oracle.adopts(host, revision);
    };
    hooks.onChangeAnswered = [this](const ChangeAnswered &answer) {
        const std::string id = m_tickets[answer.ticket];
        note("change " + id + ": "
             + (answer.error ? describe(*answer.error) : "revision " + std::to_string(answer.revision)));
        m_changes[id].answer = answer;
    };
    hooks.onTrace = [this](const std::string &line) {
        note(line);
    };
    return hooks;
}

void World::note(const std::string &line)
{
    m_trace.push_back(shortTime(m_clock.now()) + "  " + line);
    if (m_trace.size() > TraceKept) {
        m_trace.pop_front();
    }
}

void World::fail(const std::string &what)
{
    note("FAILED: " + what);
    m_failures.push_back(what);
}

std::vector<std::string> World::failures() const
{
    std::vector<std::string> all = m_oracle.violations();
    all.insert(all.end(), m_failures.begin(), m_failures.end());
    return all;
}

void World::perform(const Command &command)
{
    std::visit(
        [this](const auto &one) {
            apply(one);
        },
        command);
    checkBudgets();
}

const RouteSetup &World::routeOf(const std::string &name) const
{
    return *std::find_if(m_setup.routes.begin(), m_setup.routes.end(), [&](const RouteSetup &route) {
        return route.name == name;
    });
}

std::string World::baseConfiguration() const
{
    std::string toml = "[limits]\naddress_ttl_seconds = 2.0\n";
    for (const CustomerSetup &customer : m_setup.customers) {
        toml += "[customers." + customer.name + "]\ndefault_budget = \"" + budgetOf(customer.name).value
            + "\"\nslice_fraction = " + std::to_string(customer.slice) + "\n[customers." + customer.name
            + ".keys.k]\ndigest = \"" + keyDigestOf(customer.name) + "\"\n";
    }
    for (const RouteSetup &route : m_setup.routes) {
        toml += "[routes." + route.name + "]\n";
        toml += route.model ? "kind = \"model\"\nmodel = \"" + route.name + "\"\n"
                            : "kind = \"service\"\nprice_per_call = " + std::to_string(route.price) + "\n";
        toml += "deadline_seconds = 15.0\n";
    }
    for (const EndpointSetup &endpoint : m_setup.endpoints) {
        toml += "[endpoints." + endpoint.name + "]\naddress = \"" + endpointAddress(m_setup, endpoint.name)
            + "\"\nroutes = [\"" + endpoint.route + "\"]\ndata_centre = \"" + endpoint.dataCentre
            + "\"\nslots = " + std::to_string(endpoint.slots) + "\n";
    }
    return toml;
}

void World::createBudgets()
{
    for (const CustomerSetup &customer : m_setup.customers) {
        m_platform.change(shardKeyOf(customer.name), [&](std::string &value) {
            LastReason reason;
            auto shard = decodeShard(value, reason);
            const bool made =
                shard
                && createBudget(
                    *shard, budgetOf(customer.name), CustomerId{customer.name}, customer.prepaid, "create", reason);
            value = made ? encodeShard(*shard) : value;
            return made;
        });
    }
}

void World::apply(const Start &)
{
    constexpr Duration linkUp = 3s;
    constexpr Duration adopt = 5s;
    createBudgets();
    m_fleet.start();
    apply(Wait{linkUp});
    apply(Patch{"start", "", baseConfiguration(), m_setup.hosts.front().host, 0});
    apply(Wait{adopt});
    const auto &answer = m_changes["start"].answer;
    if (!answer || answer->error) {
        fail("the first configuration was not accepted: " + (answer ? answer->error->message : "no answer"));
    }
}

// Callers.

void World::apply(const Load &load)
{
    const std::string prefix = "load" + std::to_string(++m_loads) + "-";
    const RouteSetup &route = routeOf(load.route);
    const auto count = static_cast<int>(load.perSecond * toSeconds(load.length));
    for (int i = 0; i < count; ++i) {
        OneCall call;
        call.id = prefix + std::to_string(i);
        call.customer = load.customer;
        call.route = load.route;
        const auto spread = static_cast<std::uint64_t>(load.costHigh - load.costLow + 1);
        call.cost = route.model ? load.costLow + static_cast<Tokens>(m_clock.random(spread)) : route.price;
        call.retries = load.retries;
        std::vector<std::string> hosts = load.hosts;
        std::rotate(hosts.begin(), hosts.begin() + i % static_cast<int>(hosts.size()), hosts.end());
        const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(i / load.perSecond));
        m_clock.at(delay, [this, call, hosts] {
            beginRequest(call, hosts);
        });
    }
}

void World::apply(const OneCall &call)
{
    std::vector<std::string> hosts{call.host};
    for (const HostSetup &host : m_setup.hosts) {
        if (host.host != call.host) {
            hosts.push_back(host.host);
        }
    }
    beginRequest(call, std::move(hosts));
}

void World::beginRequest(const OneCall &call, std::vector<std::string> hosts)
{
    const RouteSetup &route = routeOf(call.route);
    Request request;
    request.customer = call.customer;
    request.route = call.route;
    request.cost = route.model ? call.cost : route.price;
    request.crashes = call.crashes;
    request.createdAt = m_clock.wall();
    request.retriesLeft = call.retries;
    request.hosts = std::move(hosts);
    m_oracle.request(call.id, call.customer, route.model, request.cost);
    const std::string host = request.hosts.front();
    m_requests[call.id] = std::move(request);
    beginTry(call.id, host);
}

void World::beginTry(const std::string &id, const std::string &host)
{
    Request &request = m_requests.at(id);
    request.state = TryState::Open;
    request.error.reset();
    const int number = ++request.tries;
    m_oracle.tryStarts(id, number, m_clock.now());
    note("caller sends " + id + " to " + host);
    LiveCall call;
    call.request = id;
    call.tryNumber = number;
    const auto run = m_fleet.runOf(m_fleet.indexOf(host));
    if (!run) {
        endTry(call, TryState::Broken, std::nullopt);
        return;
    }
    giveUpLater(id, number);
    enterCall(*run, call, false);
}

void World::enterCall(const RunRef &run, LiveCall call, bool forwarded)
{
    const Request &request = m_requests.at(call.request);
    const RouteSetup &route = routeOf(request.route);
    CallArrived arrived;
    arrived.call = CallId{m_nextCall++};
    arrived.kind = route.model ? CallKind::Chat : CallKind::Service;
    arrived.keyDigest = keyDigestOf(request.customer);
    arrived.routeName = route.name;
    arrived.idempotencyKey = call.request;
    arrived.createdAt = request.createdAt;
    arrived.promptBound = request.cost / 2;
    arrived.maxOutput = request.cost;
    arrived.bodyDigest = digestNumber(call.request);
    arrived.forwarded = forwarded;
    m_calls[{run, arrived.call.value}] = std::move(call);
    m_fleet.deliver(run, CallEvent(arrived));
}

void World::apply(const SendAgain &again)
{
    beginTry(again.id, again.host);
}

void World::giveUpLater(const std::string &id, int tryNumber)
{
    m_clock.at(CallerPatience, [this, id, tryNumber] {
        if (m_requests.at(id).tries == tryNumber && m_requests.at(id).state == TryState::Open) {
            apply(HangUp{id});
        }
    });
}

void World::apply(const HangUp &hangUp)
{
    const int tryNumber = m_requests.at(hangUp.id).tries;
    std::vector<CallRef> left;
    for (const auto &[ref, call] : m_calls) {
        if (call.request == hangUp.id && call.tryNumber == tryNumber) {
            left.push_back(ref);
        }
    }
    note("caller of " + hangUp.id + " hangs up");
    for (const CallRef &ref : left) {
        const auto call = takeCall(ref);
        m_fleet.deliver(ref.first, CallEvent(CallerGone{CallId{ref.second}}));
        if (call && !call->forwardedBy) {
            endTry(*call, TryState::Broken, std::nullopt);
        }
    }
}

void World::endTry(const LiveCall &call, TryState state, const std::optional<Error> &error)
{
    Request &request = m_requests.at(call.request);
    if (request.tries != call.tryNumber || request.state != TryState::Open) {
        return; // The caller has sent it again meanwhile.
    }
    request.state = state;
    request.error = error;
    m_counters.answered += state == TryState::Answered ? 1 : 0;
    m_counters.refused += state == TryState::Refused ? 1 : 0;
    m_counters.aborted += state == TryState::Aborted ? 1 : 0;
    m_counters.broken += state == TryState::Broken ? 1 : 0;
    const bool mayRetry = state == TryState::Broken || (error && error->retryAfter);
    if (state != TryState::Answered && mayRetry && request.retriesLeft > 0) {
        --request.retriesLeft;
        retryLater(call.request, error && error->retryAfter ? *error->retryAfter : RetryPause);
    }
}

void World::retryLater(const std::string &id, Duration delay)
{
    m_clock.at(delay, [this, id] {
        Request &request = m_requests.at(id);
        std::rotate(request.hosts.begin(), request.hosts.begin() + 1, request.hosts.end());
        beginTry(id, request.hosts.front());
    });
}

void World::breakCallsOf(const RunRef &run)
{
    note(m_fleet.hostOf(run) + " dies");
    std::vector<CallRef> broken;
    for (const auto &[ref, call] : m_calls) {
        if (ref.first.router == run.router && ref.first.run == run.run) {
            broken.push_back(ref);
        }
    }
    for (const CallRef &ref : broken) {
        const auto call = takeCall(ref);
        if (!call->forwardedBy || passBack(*call)) {
            endTry(*call, TryState::Broken, std::nullopt);
        }
    }
}

std::optional<World::LiveCall> World::takeCall(const CallRef &ref)
{
    const auto found = m_calls.find(ref);
    if (found == m_calls.end()) {
        return std::nullopt;
    }
    LiveCall call = std::move(found->second);
    m_calls.erase(found);
    return call;
}

bool World::passBack(const LiveCall &call)
{
    const CallRef by = *call.forwardedBy;
    if (!takeCall(by)) {
        return false;
    }
    m_clock.at(NetworkDelay, [this, by] {
        m_fleet.deliver(by.first, CallEvent(ForwardEnded{CallId{by.second}, true}));
    });
    return true;
}

void World::onCallCommand(const RunRef &from, const CallCommand &command)
{
    std::visit(
        [&](const auto &one) {
            on(from, one);
        },
        command);
}

void World::on(const RunRef &from, const RefuseCall &command)
{
    const auto call = takeCall({from, command.call.value});
    if (!call) {
        return;
    }
    note(m_fleet.hostOf(from) + " refuses " + call->request + ": " + describe(command.error));
    if (call->forwardedBy && !passBack(*call)) {
        return;
    }
    m_oracle.refuses(call->request, call->tryNumber, command.error.execution, m_clock.now());
    endTry(*call, TryState::Refused, command.error);
}

void World::on(const RunRef &from, const AbortCall &command)
{
    const auto call = takeCall({from, command.call.value});
    if (!call) {
        return;
    }
    note(m_fleet.hostOf(from) + " aborts " + call->request + ": " + describe(command.error));
    if (call->forwardedBy && !passBack(*call)) {
        return;
    }
    m_oracle.refuses(call->request, call->tryNumber, command.error.execution, m_clock.now());
    endTry(*call, TryState::Aborted, command.error);
}

void World::giveAnswer(const CallRef &ref, const std::string &text, bool whole)
{
    const auto call = takeCall(ref);
    if (!call || (call->forwardedBy && !passBack(*call))) {
        return;
    }
    note(m_fleet.hostOf(ref.first) + " answers " + call->request);
    m_oracle.answers(call->request, text, whole);
    endTry(*call, TryState::Answered, std::nullopt);
}

void World::on(const RunRef &from, const ReleaseCall &command)
{
    const CallRef ref{from, command.call.value};
    const auto found = m_calls.find(ref);
    if (found != m_calls.end()) {
        const LiveCall call = found->second;
        giveAnswer(ref, call.buffer, call.complete);
    }
}

void World::on(const RunRef &from, const ReplayCall &command)
{
    giveAnswer({from, command.call.value}, command.answer, true);
}

void World::on(const RunRef &from, const ForwardCall &command)
{
    const CallRef ref{from, command.call.value};
    const auto found = m_calls.find(ref);
    const auto target = m_fleet.routerAt(command.address);
    if (found == m_calls.end() || !target) {
        return;
    }
    LiveCall call = found->second;
    call.forwardedBy = ref;
    note(m_fleet.hostOf(from) + " forwards " + call.request + " to " + command.address);
    const std::string &host = m_fleet.hostOf(from);
    const bool through = m_topology.reachable(
        host, m_fleet.dataCentreOf(from.router), m_setup.hosts[*target].host, m_fleet.dataCentreOf(*target));
    m_clock.at(through ? NetworkDelay : ConnectTimeout, [this, ref, target, call, through] {
        const auto run = m_fleet.runOf(*target);
        if (m_calls.count(ref) == 0) {
            return; // The caller left, or the router died.
        }
        if (!through || !run) {
            m_fleet.deliver(ref.first, CallEvent(ForwardEnded{CallId{ref.second}, false}));
            return;
        }
        enterCall(*run, call, true);
    });
}

void World::on(const RunRef &, const AnswerCall &)
{
}

// Endpoints.

World::EndpointState &World::endpointAt(const std::string &address)
{
    return std::find_if(m_endpoints.begin(),
                        m_endpoints.end(),
                        [&](const auto &entry) {
                            return endpointAddress(m_setup, entry.first) == address;
                        })
        ->second;
}

bool World::endpointReachable(const EndpointState &endpoint, const RunRef &from) const
{
    return m_topology.reachable(
        m_fleet.hostOf(from), m_fleet.dataCentreOf(from.router), endpoint.setup.name, endpoint.setup.dataCentre);
}

void World::on(const RunRef &from, const DispatchCall &command)
{
    const auto found = m_calls.find({from, command.call.value});
    if (found == m_calls.end()) {
        return;
    }
    found->second.attempt = command.attempt;
    EndpointState &endpoint = endpointAt(command.address);
    const AttemptRef attempt{from, command.call.value, command.attempt};
    note(m_fleet.hostOf(from) + " sends " + found->second.request + " to " + endpoint.setup.name);
    if (!endpointReachable(endpoint, from)) {
        endAttempt(attempt, AttemptResult::ConnectFailed, false, ConnectTimeout);
    } else if (endpoint.down) {
        endAttempt(attempt, AttemptResult::ConnectFailed, false, NetworkDelay);
    } else if (endpoint.rejecting) {
        endAttempt(attempt, AttemptResult::RejectedNotRun, false, 2 * NetworkDelay);
    } else {
        // The bytes are on their way: the router may die, and they arrive all the same.
        const std::string request = found->second.request;
        const int tryNumber = found->second.tryNumber;
        m_clock.at(NetworkDelay, [this, name = endpoint.setup.name, from, command, request, tryNumber] {
            if (m_endpoints.at(name).down) {
                endAttempt({from, command.call.value, command.attempt}, AttemptResult::ConnectionBroken, false, 1ms);
                return;
            }
            note(name + " runs " + request);
            m_oracle.runs(request, tryNumber, m_clock.now());
            runAt(name, from, command);
            if (m_requests.at(request).crashes) {
                crashEndpoint(name);
            }
        });
    }
}

void World::runAt(const std::string &name, const RunRef &from, const DispatchCall &command)
{
    EndpointState &endpoint = m_endpoints.at(name);
    const AttemptRef attempt{from, command.call.value, command.attempt};
    endpoint.lastStart = m_clock.now();
    endpoint.inFlight[attempt] = m_clock.now();
    const Duration length = endpoint.time * static_cast<std::int64_t>(80 + m_clock.random(40)) / 100;
    if (routeOf(endpoint.setup.route).model) {
        m_clock.at(length / 4, [this, from, command] {
            m_fleet.deliver(from, CallEvent(FirstToken{command.call}));
        });
    }
    const std::uint64_t endpointRun = endpoint.run;
    m_clock.at(length, [this, name, endpointRun, from, command] {
        finishRun(name, endpointRun, from, command);
    });
    m_clock.at(command.timeLimit, [this, name, from, command] {
        limitRun(name, from, command);
    });
}

void World::finishRun(const std::string &name,
                      std::uint64_t endpointRun,
                      const RunRef &from,
                      const DispatchCall &command)
{
    EndpointState &endpoint = m_endpoints.at(name);
    if (endpoint.run != endpointRun || endpoint.down) {
        return;
    }
    if (endpoint.paused) {
        m_clock.at(CheckInterval, [this, name, endpointRun, from, command] {
            finishRun(name, endpointRun, from, command);
        });
        return;
    }
    // An answer that comes after its time limit is told all the same: the kernel has to see that it is late.
    endpoint.inFlight.erase({from, command.call.value, command.attempt});
    if (endpointReachable(endpoint, from)) {
        endAttempt({from, command.call.value, command.attempt}, AttemptResult::Completed, true, NetworkDelay);
    }
}

void World::limitRun(const std::string &name, const RunRef &from, const DispatchCall &command)
{
    EndpointState &endpoint = m_endpoints.at(name);
    const AttemptRef attempt{from, command.call.value, command.attempt};
    const auto found = endpoint.inFlight.find(attempt);
    if (found != endpoint.inFlight.end()) {
        const bool begun = answerBegun(endpoint, found->second);
        endpoint.inFlight.erase(found);
        endAttempt(attempt, AttemptResult::TimedOut, begun, Duration(0));
    }
}

bool World::answerBegun(const EndpointState &endpoint, TimePoint startedAt) const
{
    return routeOf(endpoint.setup.route).model && m_clock.now() - startedAt > endpoint.time / 2;
}

void World::endAttempt(const AttemptRef &attempt, AttemptResult result, bool begun, Duration delay)
{
    const auto [run, callNumber, attemptNumber] = attempt;
    AttemptEnded ended;
    ended.call = CallId{callNumber};
    ended.attempt = attemptNumber;
    ended.result = result;
    ended.answerBegun = begun;
    const auto found = m_calls.find({run, callNumber});
    if (found != m_calls.end() && result == AttemptResult::Completed) {
        LiveCall &call = found->second;
        ended.used = m_requests.at(call.request).cost;
        ended.answer = Oracle::answerOf(call.request, ended.used);
        if (call.attempt == attemptNumber) {
            call.buffer = ended.answer;
            call.complete = true;
        }
    }
    m_clock.at(delay, [this, run = run, ended] {
        m_fleet.deliver(run, CallEvent(ended));
    });
}

void World::crashEndpoint(const std::string &name)
{
    EndpointState &endpoint = m_endpoints.at(name);
    endpoint.down = true;
    ++endpoint.run;
    std::map<AttemptRef, TimePoint> inFlight;
    inFlight.swap(endpoint.inFlight);
    note(name + " dies");
    for (const auto &[attempt, startedAt] : inFlight) {
        endAttempt(attempt, AttemptResult::ConnectionBroken, answerBegun(endpoint, startedAt), NetworkDelay);
    }
    m_clock.at(EndpointRestart, [this, name, run = endpoint.run] {
        EndpointState &again = m_endpoints.at(name);
        again.down = again.down && again.run != run;
    });
}

// Faults and operators.

void World::apply(const NodeChange &change)
{
    note("fault: " + change.name);
    if (m_fleet.isHost(change.name)) {
        changeRouter(change.fault, change.name);
    } else {
        changeEndpoint(change.fault, change.name);
    }
}

void World::changeRouter(NodeFault fault, const std::string &name)
{
    const std::size_t router = m_fleet.indexOf(name);
    switch (fault) {
    case NodeFault::Kill:
        m_fleet.kill(router);
        break;
    case NodeFault::Restart:
        m_fleet.restart(router);
        break;
    case NodeFault::Pause:
        m_fleet.pause(router);
        break;
    case NodeFault::Resume:
        m_fleet.resume(router);
        break;
    case NodeFault::Reject:
    case NodeFault::Accept:
    case NodeFault::Leave:
        break;
    }
}

void World::changeEndpoint(NodeFault fault, const std::string &name)
{
    EndpointState &endpoint = m_endpoints.at(name);
    switch (fault) {
    case NodeFault::Kill:
        crashEndpoint(name);
        ++endpoint.run; // It stays down until it is restarted.
        break;
    case NodeFault::Restart:
        endpoint.down = false;
        break;
    case NodeFault::Pause:
    case NodeFault::Resume:
        endpoint.paused = fault == NodeFault::Pause;
        break;
    case NodeFault::Reject:
    case NodeFault::Accept:
        endpoint.rejecting = fault == NodeFault::Reject;
        break;
    case NodeFault::Leave:
        m_leaving.insert(name);
        m_fleet.setLeavingEndpoints(m_leaving);
        break;
    }
}

void World::apply(const Cut &cut)
{
    note("cut " + cut.a + " from " + cut.b);
    m_topology.cut(cut.a, cut.b);
}

void World::apply(const Heal &)
{
    note("all cuts heal");
    m_topology.heal();
}

void World::apply(const PlatformChange &change)
{
    note("platform changes");
    m_platform.apply(change);
}

void World::apply(const MessageLoss &loss)
{
    m_fleet.setLoss(loss.percent);
}

void World::apply(const ClockSkew &skew)
{
    m_fleet.setSkew(m_fleet.indexOf(skew.host), skew.ahead);
}

void World::apply(const BudgetChange &change)
{
    const auto before = figuresOf(change.customer);
    ChangeAnswered answer;
    m_platform.change(shardKeyOf(change.customer), [&](std::string &value) {
        LastReason reason;
        auto shard = decodeShard(value, reason);
        const BudgetId budget = budgetOf(change.customer);
        const bool made = shard
            && (change.up ? topUp(*shard, budget, change.id, change.amount, reason)
                          : reduce(*shard, budget, change.id, change.amount, reason));
        value = made ? encodeShard(*shard) : value;
        answer.error = reason;
        return made;
    });
    const auto after = figuresOf(change.customer);
    if (before && after && after->prepaid > before->prepaid) {
        m_oracle.changePrepaid(change.customer, after->prepaid - before->prepaid);
        // Equal ids count once: a repeat must not raise the total again.
        if (m_changes.count(change.id) > 0) {
            fail("the repeated top-up " + change.id + " counted again");
        }
    }
    m_changes[change.id].answer = answer;
}

void World::apply(const Patch &patch)
{
    const std::size_t router = m_fleet.indexOf(patch.host);
    const std::uint64_t ticket = m_nextTicket++;
    m_tickets[ticket] = patch.id;
    m_changes[patch.id].answer.reset();
    PatchSubmitted submitted;
    submitted.ticket = ticket;
    submitted.patch.path = patch.path;
    submitted.patch.value = patch.value;
    submitted.patch.expectedRevision =
        patch.seen ? static_cast<std::uint64_t>(*patch.seen) : m_fleet.revisionOf(router);
    submitted.patch.id = patch.id;
    submitted.patch.author = "operator";
    submitted.patch.at = m_clock.wall();
    m_fleet.submit(router, submitted);
}

void World::apply(const Drain &drain)
{
    note("operator drains " + drain.host);
    m_fleet.drain(m_fleet.indexOf(drain.host));
}

void World::apply(const Wait &wait)
{
    const TimePoint end = m_clock.now() + wait.length;
    while (m_clock.now() < end) {
        if (!m_clock.runFor(std::min(CheckInterval, Duration(end - m_clock.now())))) {
            fail("events at one moment never end");
            return;
        }
        checkBudgets();
    }
}

void World::apply(const Strike &)
{
    // The runner performs the faults' own statements.
}

void World::apply(const Without &without)
{
    m_fleet.takeOutSafeguard(without.safeguard);
}

// Expectations.

std::optional<BudgetFigures> World::figuresOf(const std::string &customer) const
{
    const auto stored = m_platform.values().find(shardKeyOf(customer));
    if (stored == m_platform.values().end()) {
        return std::nullopt;
    }
    const auto all = readBudgetFigures(stored->second.value);
    const auto found = all.find(budgetOf(customer).value);
    return found == all.end() ? std::nullopt : std::optional(found->second);
}

void World::checkBudgets()
{
    for (const CustomerSetup &customer : m_setup.customers) {
        m_oracle.checkOverspend(customer.name, figuresOf(customer.name));
    }
}

void World::checkCount(const std::string &what, std::uint64_t actual, const Expect &expect)
{
    const auto wanted = static_cast<std::uint64_t>(expect.count);
    const bool holds = expect.bound == Expect::Bound::Exactly ? actual == wanted
        : expect.bound == Expect::Bound::AtLeast              ? actual >= wanted
                                                              : actual <= wanted;
    if (!holds) {
        fail(what + ": " + std::to_string(actual) + " instead of " + std::to_string(wanted));
    }
}

void World::checkOutcome(const Expect &expect)
{
    const Request &request = m_requests.at(expect.name);
    const bool refused = request.state == TryState::Refused || request.state == TryState::Aborted;
    const std::string outcome = m_oracle.requests().at(expect.name).answers > 0 ? "answered"
        : refused                         ? "refused as " + describe(*request.error)
        : request.state == TryState::Open ? "without an answer"
                                          : "broken off";
    bool holds = false;
    if (expect.kind == ExpectKind::Answered) {
        holds = m_oracle.requests().at(expect.name).answers > 0;
    } else if (expect.kind == ExpectKind::Unknown) {
        holds = refused && request.error->execution == Execution::Unknown;
    } else {
        holds = refused && errorName(request.error->kind) == expect.errorKind;
    }
    if (!holds) {
        fail(expect.name + " is " + outcome);
    }
}

void World::checkRevision(const Expect &expect)
{
    const TimePoint end = m_clock.now() + expect.time;
    std::string behind;
    do {
        behind.clear();
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            if (m_fleet.runOf(i) && m_fleet.revisionOf(i) < static_cast<std::uint64_t>(expect.count)) {
                behind += " " + m_setup.hosts[i].host + " at " + std::to_string(m_fleet.revisionOf(i));
            }
        }
        if (!behind.empty()) {
            apply(Wait{CheckInterval});
        }
    } while (!behind.empty() && m_clock.now() < end);
    if (!behind.empty()) {
        fail("revision " + std::to_string(expect.count) + " is not in force:" + behind);
    }
}

void World::apply(const Expect &expect)
{
    switch (expect.kind) {
    case ExpectKind::Overspend:
    case ExpectKind::AtMostOnce:
    case ExpectKind::RefusalsTrue:
    case ExpectKind::AnswersWhole:
        // Watched all the time; failures() has them.
        break;
    case ExpectKind::OneBill:
        for (const CustomerSetup &customer : m_setup.customers) {
            m_oracle.checkOneBill(customer.name, figuresOf(customer.name).value_or(BudgetFigures()));
        }
        break;
    case ExpectKind::NoneCut:
        checkCount("answers cut", m_counters.aborted + m_counters.broken, expect);
        break;
    case ExpectKind::Stranded:
        for (const CustomerSetup &customer : m_setup.customers) {
            const auto held = figuresOf(customer.name).value_or(BudgetFigures()).held;
            checkCount(customer.name + " stranded", static_cast<std::uint64_t>(held), expect);
        }
        break;
    case ExpectKind::Answered:
    case ExpectKind::Refused:
    case ExpectKind::Unknown:
        if (expect.name.empty()) {
            const bool answered = expect.kind == ExpectKind::Answered;
            checkCount(answered ? "answered" : "refused", answered ? m_counters.answered : m_counters.refused, expect);
        } else {
            checkOutcome(expect);
        }
        break;
    case ExpectKind::Run:
        checkCount("runs of " + expect.name, m_oracle.requests().at(expect.name).runs.size(), expect);
        break;
    case ExpectKind::Revision:
        checkRevision(expect);
        break;
    case ExpectKind::ChangeAccepted:
    case ExpectKind::ChangeRefused: {
        const auto &answer = m_changes[expect.name].answer;
        const bool accepted = answer && !answer->error;
        if (!answer || accepted != (expect.kind == ExpectKind::ChangeAccepted)) {
            fail("change " + expect.name + " is "
                 + (!answer        ? "without an answer"
                        : accepted ? "accepted"
                                   : "rejected"));
        }
        break;
    }
    case ExpectKind::Drained:
        if (!m_fleet.drained(m_fleet.indexOf(expect.name))) {
            fail(expect.name + " has not drained");
        }
        break;
    case ExpectKind::Calm:
        for (const std::string &package : m_fleet.spins()) {
            fail(package + " asks to be woken again and again at one moment");
        }
        break;
    case ExpectKind::Idle: {
        const auto &endpoint = m_endpoints.at(expect.name);
        if (endpoint.lastStart && m_clock.now() - *endpoint.lastStart < expect.time) {
            fail(expect.name + " got new work " + std::to_string(toSeconds(m_clock.now() - *endpoint.lastStart))
                 + " s ago");
        }
        break;
    }
    case ExpectKind::Free: {
        const auto figures = figuresOf(expect.name).value_or(BudgetFigures());
        const Tokens free = figures.prepaid - figures.billed - figures.held - figures.reduction;
        checkCount(expect.name + " free", static_cast<std::uint64_t>(std::max<Tokens>(0, free)), expect);
        break;
    }
    }
}

} // namespace Godwit::Scenarios
