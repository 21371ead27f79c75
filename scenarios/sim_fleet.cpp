#include "scenarios/sim_fleet.h"

#include "scenarios/safeguards.h"

#include <algorithm>

namespace Godwit::Scenarios
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration LinkDelay = 1ms;
// How long a router that asks to be woken at once, just after it was, is made to wait.
constexpr Duration SpinPause = 1ms;
constexpr Duration LinkSweep = 100ms;
constexpr Duration LinkSilence = 5s;
constexpr Duration BreakNotice = 10ms;
constexpr Duration HostListPeriod = 1s;
// How long the host list still shows a host that is down.
constexpr Duration HostListLag = 5s;
constexpr Duration WatchDelay = 5ms;

std::string callerAddressOf(const std::string &host)
{
    return host + ":caller";
}

} // namespace

std::string endpointAddress(const Setup &setup, const std::string &name)
{
    const auto found = std::find_if(setup.endpoints.begin(), setup.endpoints.end(), [&](const auto &endpoint) {
        return endpoint.name == name;
    });
    return "127.0.0.1:" + std::to_string(9000 + (found - setup.endpoints.begin()));
}

SimFleet::SimFleet(
    SimClock &clock, SimPlatform &platform, const Topology &topology, const Setup &setup, FleetHooks hooks)
    : m_clock(clock)
    , m_platform(platform)
    , m_topology(topology)
    , m_setup(setup)
    , m_hooks(std::move(hooks))
{
    for (const HostSetup &host : setup.hosts) {
        Router router;
        router.setup = host;
        m_routers.push_back(std::move(router));
    }
    m_platform.onWrite = [this](const std::string &key, std::uint64_t version) {
        onStored(key, version);
    };
}

void SimFleet::takeOutSafeguard(const std::string &name)
{
    takeOut(name, m_defaults);
}

std::size_t SimFleet::indexOf(const std::string &host) const
{
    const auto found = std::find_if(m_routers.begin(), m_routers.end(), [&](const Router &router) {
        return router.setup.host == host;
    });
    return static_cast<std::size_t>(found - m_routers.begin());
}

bool SimFleet::isHost(const std::string &name) const
{
    return indexOf(name) < m_routers.size();
}

std::optional<RunRef> SimFleet::runOf(std::size_t router) const
{
    if (!m_routers[router].kernel) {
        return std::nullopt;
    }
    return RunRef{router, m_routers[router].run};
}

const std::string &SimFleet::hostOf(const RunRef &run) const
{
    return m_routers[run.router].setup.host;
}

const std::string &SimFleet::dataCentreOf(std::size_t router) const
{
    return m_routers[router].setup.dataCentre;
}

std::optional<std::size_t> SimFleet::routerAt(const std::string &callerAddress) const
{
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (callerAddressOf(m_routers[i].setup.host) == callerAddress) {
            return i;
        }
    }
    return std::nullopt;
}

std::uint64_t SimFleet::revisionOf(std::size_t router) const
{
    return m_routers[router].kernel ? configRevision(m_routers[router].kernel->config) : 0;
}

bool SimFleet::drained(std::size_t router) const
{
    return m_routers[router].drained;
}

void SimFleet::noteSpin(const Router &router)
{
    const auto add = [&](const char *package, const std::optional<TimePoint> &wake) {
        if (wake && *wake <= m_clock.now()) {
            m_spins.insert(package);
        }
    };
    add("membership", nextWake(router.kernel->membership));
    add("budget", nextWake(router.kernel->budget));
    add("claims", nextWake(router.kernel->claims));
    add("routing", nextWake(router.kernel->routing));
    add("config", nextWake(router.kernel->config));
}

Moment SimFleet::momentOf(const Router &router) const
{
    return Moment{m_clock.now(), m_clock.wall(router.skew)};
}

bool SimFleet::isCurrent(const RunRef &run) const
{
    return m_routers[run.router].kernel && m_routers[run.router].run == run.run;
}

void SimFleet::start()
{
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        boot(i);
        readHosts(i);
    }
    lookOverLinks();
}

void SimFleet::boot(std::size_t router)
{
    Router &state = m_routers[router];
    ++state.run;
    state.paused = false;
    state.downSince.reset();
    state.wakeAt.reset();
    state.inbox.clear();
    state.dials.clear();
    state.watchesConfig = false;
    KernelOptions options = m_defaults;
    options.host = HostId{state.setup.host};
    options.self = Incarnation{state.setup.host + "." + std::to_string(state.run)};
    options.dataCentre = DataCentreId{state.setup.dataCentre};
    options.callerAddress = callerAddressOf(state.setup.host);
    options.peerAddress = state.setup.host + ":peer";
    options.seed = m_clock.random(1'000'000'007);
    state.kernel = std::make_unique<Kernel>(makeKernel(std::move(options), momentOf(state)));
    std::vector<KernelAction> actions;
    Godwit::start(*state.kernel, momentOf(state), actions);
    const RunRef run{router, state.run};
    for (const KernelAction &action : actions) {
        perform(run, action);
    }
    scheduleWake(router);
}

void SimFleet::endRun(std::size_t router)
{
    dropLinks(router, true);
    m_routers[router].kernel.reset();
    m_routers[router].inbox.clear();
}

void SimFleet::kill(std::size_t router)
{
    if (!m_routers[router].kernel) {
        return;
    }
    const RunRef run{router, m_routers[router].run};
    endRun(router);
    m_routers[router].downSince = m_clock.now();
    m_hooks.onDeath(run);
}

void SimFleet::restart(std::size_t router)
{
    kill(router);
    m_routers[router].draining = false;
    m_routers[router].drained = false;
    boot(router);
}

void SimFleet::pause(std::size_t router)
{
    m_routers[router].paused = true;
}

void SimFleet::resume(std::size_t router)
{
    Router &state = m_routers[router];
    state.paused = false;
    std::deque<KernelEvent> inbox;
    inbox.swap(state.inbox);
    const std::uint64_t run = state.run;
    // Timers that came due meanwhile fire first, as in a real process.
    if (state.kernel) {
        stepKernel(router, Tick{});
    }
    for (const KernelEvent &event : inbox) {
        deliver({router, run}, event);
    }
}

void SimFleet::drain(std::size_t router)
{
    m_routers[router].draining = true;
    if (const auto run = runOf(router)) {
        deliver(*run, DrainRequested{});
    }
}

void SimFleet::submit(std::size_t router, const PatchSubmitted &patch)
{
    if (const auto run = runOf(router)) {
        deliver(*run, patch);
    }
}

void SimFleet::setSkew(std::size_t router, Duration ahead)
{
    m_routers[router].skew = ahead;
}

Duration SimFleet::skewOf(std::size_t router) const
{
    return m_routers[router].skew;
}

void SimFleet::deliver(const RunRef &to, KernelEvent event)
{
    if (!isCurrent(to)) {
        return;
    }
    if (m_routers[to.router].paused) {
        m_routers[to.router].inbox.push_back(std::move(event));
        return;
    }
    stepKernel(to.router, event);
}

void SimFleet::stepKernel(std::size_t router, const KernelEvent &event)
{
    Router &state = m_routers[router];
    std::vector<KernelAction> actions;
    step(*state.kernel, event, momentOf(state), actions);
    const RunRef run{router, state.run};
    for (const KernelAction &action : actions) {
        perform(run, action);
    }
    if (isCurrent(run)) {
        scheduleWake(router);
    }
}

void SimFleet::scheduleWake(std::size_t router)
{
    Router &state = m_routers[router];
    const auto wake = nextWake(*state.kernel);
    if (!wake || (state.wakeAt && *state.wakeAt <= *wake)) {
        return;
    }
    TimePoint at = std::max(*wake, m_clock.now());
    if (state.lastTick == at) {
        noteSpin(state);
        at += SpinPause;
    }
    state.wakeAt = at;
    const RunRef run{router, state.run};
    m_clock.at(at - m_clock.now(), [this, run, at] {
        if (!isCurrent(run) || m_routers[run.router].wakeAt != at) {
            return;
        }
        m_routers[run.router].wakeAt.reset();
        m_routers[run.router].lastTick = at;
        deliver(run, Tick{});
    });
}

void SimFleet::perform(const RunRef &from, const KernelAction &action)
{
    Router &state = m_routers[from.router];
    if (const auto *call = std::get_if<CallCommand>(&action)) {
        m_hooks.onCallCommand(from, *call);
    } else if (const auto *command = std::get_if<KvCommand>(&action)) {
        const bool reachable = m_topology.reachable(state.setup.host, state.setup.dataCentre, "platform", "platform");
        m_platform.execute(*command, reachable, [this, from](const KvReply &reply) {
            deliver(from, reply);
        });
    } else if (const auto *message = std::get_if<SendToPeer>(&action)) {
        sendToPeer(from, *message);
    } else if (const auto *link = std::get_if<LinkPeer>(&action)) {
        state.dials.insert(link->host.value);
    } else if (const auto *unlink = std::get_if<UnlinkPeer>(&action)) {
        state.dials.erase(unlink->host.value);
    } else if (const auto *watch = std::get_if<WatchConfig>(&action)) {
        state.watchesConfig = watch->on;
    } else if (const auto *inForce = std::get_if<ConfigInForce>(&action)) {
        m_hooks.onAdopted(state.setup.host, inForce->revision);
    } else if (const auto *answered = std::get_if<ChangeAnswered>(&action)) {
        m_hooks.onChangeAnswered(*answered);
    } else if (std::holds_alternative<IncarnationLost>(action)) {
        m_hooks.onTrace(state.setup.host + " was closed by others and starts anew");
        // The kernel that said so is still on the stack.
        m_clock.at(Duration(0), [this, from] {
            if (isCurrent(from)) {
                endRun(from.router);
                boot(from.router);
                if (m_routers[from.router].draining) {
                    drain(from.router);
                }
            }
        });
    } else if (std::holds_alternative<DrainFinished>(action)) {
        state.drained = true;
        m_clock.at(Duration(0), [this, from] {
            if (isCurrent(from)) {
                kill(from.router);
            }
        });
    } else if (const auto *changed = std::get_if<RouterStateChanged>(&action)) {
        m_hooks.onTrace(state.setup.host + " sees " + changed->incarnation.value + " " + std::string(changed->what));
    } else if (const auto *rejected = std::get_if<ConfigRejected>(&action)) {
        m_hooks.onTrace(state.setup.host + " rejects revision " + std::to_string(rejected->revision) + ": "
                        + rejected->error.message);
    }
}

bool SimFleet::connected(std::size_t a, std::size_t b) const
{
    const HostSetup &one = m_routers[a].setup;
    const HostSetup &other = m_routers[b].setup;
    return m_topology.reachable(one.host, one.dataCentre, other.host, other.dataCentre);
}

void SimFleet::sendToPeer(const RunRef &from, const SendToPeer &message)
{
    const auto target = std::find_if(m_routers.begin(), m_routers.end(), [&](const Router &router) {
        return router.kernel && router.kernel->options.self == message.to;
    });
    if (target == m_routers.end()) {
        return;
    }
    const auto to = static_cast<std::size_t>(target - m_routers.begin());
    const auto link = m_links.find(std::minmax(from.router, to));
    const bool lost = m_lossPercent > 0 && static_cast<std::int64_t>(m_clock.random(100)) < m_lossPercent;
    if (link == m_links.end() || !connected(from.router, to) || lost) {
        return;
    }
    const std::uint64_t number = link->second.number;
    const RunRef receiver{to, target->run};
    PeerMessage received{m_routers[from.router].kernel->options.self, message.topic, message.body};
    m_clock.at(LinkDelay, [this, receiver, number, received = std::move(received), from] {
        const auto still = m_links.find(std::minmax(from.router, receiver.router));
        if (still != m_links.end() && still->second.number == number) {
            deliver(receiver, received);
        }
    });
}

void SimFleet::raiseLink(std::size_t dialler, std::size_t other)
{
    const auto linkTold = [this](std::size_t to, std::size_t about, bool dialledHere) {
        const KernelOptions &options = m_routers[about].kernel->options;
        deliver(*runOf(to),
                PeerLinked{options.self, options.host, options.dataCentre, options.callerAddress, dialledHere});
    };
    Link link;
    link.number = m_nextLink++;
    link.a = *runOf(dialler);
    link.b = *runOf(other);
    m_links[std::minmax(dialler, other)] = link;
    linkTold(dialler, other, true);
    if (m_routers[dialler].kernel && m_routers[other].kernel) {
        linkTold(other, dialler, false);
    }
}

// Tells the ends of the router's links that they are down, the other ends only when they can notice.
void SimFleet::dropLinks(std::size_t router, bool tellOthers)
{
    const Incarnation self = m_routers[router].kernel->options.self;
    for (auto it = m_links.begin(); it != m_links.end();) {
        const auto [a, b] = it->first;
        if (a != router && b != router) {
            ++it;
            continue;
        }
        const auto other = runOf(a == router ? b : a);
        it = m_links.erase(it);
        if (tellOthers && other) {
            m_clock.at(BreakNotice, [this, other, self] {
                deliver(*other, PeerUnlinked{self});
            });
        }
    }
}

// What the mesh does about once in a while: drops links that bring nothing, and dials.
void SimFleet::lookOverLinks()
{
    std::vector<Link> silent;
    for (auto it = m_links.begin(); it != m_links.end();) {
        Link &link = it->second;
        const bool through = connected(link.a.router, link.b.router) && !m_routers[link.a.router].paused
            && !m_routers[link.b.router].paused;
        if (through) {
            link.silentSince.reset();
        } else if (!link.silentSince) {
            link.silentSince = m_clock.now();
        }
        if (link.silentSince && m_clock.now() - *link.silentSince > LinkSilence) {
            silent.push_back(link);
            it = m_links.erase(it);
        } else {
            ++it;
        }
    }
    for (const Link &link : silent) {
        if (isCurrent(link.a) && isCurrent(link.b)) {
            deliver(link.a, PeerUnlinked{m_routers[link.b.router].kernel->options.self});
            deliver(link.b, PeerUnlinked{m_routers[link.a.router].kernel->options.self});
        }
    }
    for (std::size_t dialler = 0; dialler < m_routers.size(); ++dialler) {
        const std::set<std::string> dials = m_routers[dialler].dials;
        for (const std::string &host : dials) {
            const std::size_t other = indexOf(host);
            const bool both = m_routers[dialler].kernel && m_routers[other].kernel && !m_routers[dialler].paused
                && !m_routers[other].paused;
            if (both && connected(dialler, other) && m_links.count(std::minmax(dialler, other)) == 0) {
                raiseLink(dialler, other);
            }
        }
    }
    m_clock.at(LinkSweep, [this] {
        lookOverLinks();
    });
}

HostsRead SimFleet::hostList() const
{
    HostsRead read;
    for (const Router &router : m_routers) {
        if (router.downSince && m_clock.now() - *router.downSince > HostListLag) {
            continue;
        }
        ListedHost host;
        host.host = HostId{router.setup.host};
        host.dataCentre = DataCentreId{router.setup.dataCentre};
        host.router = true;
        host.address = callerAddressOf(router.setup.host);
        host.peerAddress = router.setup.host + ":peer";
        read.hosts.push_back(std::move(host));
    }
    for (const EndpointSetup &endpoint : m_setup.endpoints) {
        ListedHost host;
        host.host = HostId{endpoint.name};
        host.dataCentre = DataCentreId{endpoint.dataCentre};
        host.address = endpointAddress(m_setup, endpoint.name);
        host.leaving = m_leavingEndpoints.count(endpoint.name) > 0;
        read.hosts.push_back(std::move(host));
    }
    return read;
}

void SimFleet::readHosts(std::size_t router)
{
    const HostSetup &setup = m_routers[router].setup;
    const auto run = runOf(router);
    if (run && m_platform.answers() && m_topology.reachable(setup.host, setup.dataCentre, "platform", "platform")) {
        deliver(*run, hostList());
    }
    m_clock.at(HostListPeriod, [this, router] {
        readHosts(router);
    });
}

void SimFleet::onStored(const std::string &key, std::uint64_t version)
{
    if (key != ConfigHeadKey) {
        return;
    }
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        const HostSetup &setup = m_routers[i].setup;
        const auto run = runOf(i);
        if (run && m_routers[i].watchesConfig
            && m_topology.reachable(setup.host, setup.dataCentre, "platform", "platform")) {
            m_clock.at(WatchDelay, [this, run, key, version] {
                deliver(*run, KeyChanged{key, version});
            });
        }
    }
}

} // namespace Godwit::Scenarios
