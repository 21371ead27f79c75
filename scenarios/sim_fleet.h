#pragma once

// The routers of a scenario: one kernel each, the links between them, and what cuts them off.

#include "godwit/kernel/kernel.h"
#include "scenarios/scenario_language.h"
#include "scenarios/sim_clock.h"
#include "scenarios/sim_platform.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Godwit::Scenarios
{

// One run of a router: what is sent to it is lost once the run is over.
struct RunRef
{
    std::size_t router = 0;
    std::uint64_t run = 0;

    friend bool operator<(const RunRef &a, const RunRef &b)
    {
        return std::tie(a.router, a.run) < std::tie(b.router, b.run);
    }
};

// What the fleet tells the rest of the world.
struct FleetHooks
{
    std::function<void(const RunRef &, const CallCommand &)> onCallCommand;
    // The process died; its connections break.
    std::function<void(const RunRef &)> onDeath;
    std::function<void(const std::string &host, std::uint64_t revision)> onAdopted;
    std::function<void(const ChangeAnswered &)> onChangeAnswered;
    std::function<void(const std::string &line)> onTrace;
};

// Cuts between named nodes; a node answers to its own name and its data centre's.
class Topology
{
public:
    void cut(const std::string &a, const std::string &b)
    {
        m_cuts.insert(std::minmax(a, b));
    }
    void heal()
    {
        m_cuts.clear();
    }
    bool reachable(const std::string &a,
                   const std::string &aCentre,
                   const std::string &b,
                   const std::string &bCentre) const
    {
        return !isCut(a, b) && !isCut(a, bCentre) && !isCut(aCentre, b) && !isCut(aCentre, bCentre);
    }

private:
    std::set<std::pair<std::string, std::string>> m_cuts;

    bool isCut(const std::string &a, const std::string &b) const
    {
        return m_cuts.count(std::minmax(a, b)) > 0;
    }
};

// Where an endpoint listens, as the configuration and the host list have it.
std::string endpointAddress(const Setup &setup, const std::string &name);

class SimFleet
{
public:
    SimFleet(SimClock &clock, SimPlatform &platform, const Topology &topology, const Setup &setup, FleetHooks hooks);

    void start();
    void takeOutSafeguard(const std::string &name);

    std::size_t indexOf(const std::string &host) const;
    bool isHost(const std::string &name) const;
    // The current run of a router, or nothing while its process is down.
    std::optional<RunRef> runOf(std::size_t router) const;
    const std::string &hostOf(const RunRef &run) const;
    const std::string &dataCentreOf(std::size_t router) const;
    std::optional<std::size_t> routerAt(const std::string &callerAddress) const;
    std::uint64_t revisionOf(std::size_t router) const;
    bool drained(std::size_t router) const;
    // Which decisions of which routers asked to be woken at once although they had just been. In the daemon that is
    // a control thread at full load.
    const std::set<std::string> &spins() const
    {
        return m_spins;
    }
    std::size_t size() const
    {
        return m_routers.size();
    }

    void deliver(const RunRef &to, KernelEvent event);
    void kill(std::size_t router);
    void restart(std::size_t router);
    void pause(std::size_t router);
    void resume(std::size_t router);
    void drain(std::size_t router);
    void submit(std::size_t router, const PatchSubmitted &patch);
    void setLoss(std::int64_t percent)
    {
        m_lossPercent = percent;
    }
    void setSkew(std::size_t router, Duration ahead);
    Duration skewOf(std::size_t router) const;
    void setLeavingEndpoints(std::set<std::string> leaving)
    {
        m_leavingEndpoints = std::move(leaving);
    }

private:
    struct Router
    {
        HostSetup setup;
        std::unique_ptr<Kernel> kernel; // Null while the process is down.
        std::uint64_t run = 0;
        bool paused = false;
        bool draining = false;
        bool drained = false;
        bool watchesConfig = false;
        Duration skew{};
        std::optional<TimePoint> wakeAt;
        std::optional<TimePoint> lastTick;
        std::optional<TimePoint> downSince;
        std::deque<KernelEvent> inbox; // What came while it was paused.
        std::set<std::string> dials; // Hosts that it wants a link to.
    };

    struct Link
    {
        std::uint64_t number = 0;
        RunRef a;
        RunRef b;
        // Since when nothing gets through.
        std::optional<TimePoint> silentSince;
    };

    SimClock &m_clock;
    SimPlatform &m_platform;
    const Topology &m_topology;
    Setup m_setup;
    FleetHooks m_hooks;
    KernelOptions m_defaults;
    std::vector<Router> m_routers;
    std::map<std::pair<std::size_t, std::size_t>, Link> m_links;
    std::uint64_t m_nextLink = 1;
    std::int64_t m_lossPercent = 0;
    std::set<std::string> m_leavingEndpoints;
    std::set<std::string> m_spins;

    void boot(std::size_t router);
    void endRun(std::size_t router);
    Moment momentOf(const Router &router) const;
    bool isCurrent(const RunRef &run) const;
    bool connected(std::size_t a, std::size_t b) const;
    void stepKernel(std::size_t router, const KernelEvent &event);
    void perform(const RunRef &from, const KernelAction &action);
    void scheduleWake(std::size_t router);
    void noteSpin(const Router &router);
    void sendToPeer(const RunRef &from, const SendToPeer &message);
    void lookOverLinks();
    void raiseLink(std::size_t dialler, std::size_t other);
    void dropLinks(std::size_t router, bool tellOthers);
    void readHosts(std::size_t router);
    HostsRead hostList() const;
    void onStored(const std::string &key, std::uint64_t version);
};

} // namespace Godwit::Scenarios
