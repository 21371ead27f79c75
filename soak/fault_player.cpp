#include "soak/fault_player.h"

#include "godwit/base/enum_names.h"

#include <boost/asio/steady_timer.hpp>

#include <signal.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Godwit::Soak
{
namespace
{

using boost::asio::yield_context;
using std::chrono::milliseconds;

constexpr EnumName<Fault> FaultNames[] = {
    {Fault::StopRouter, "stop"},
    {Fault::ReloadRouter, "reload"},
    {Fault::LeaveEndpoint, "endpoint leaves"},
    {Fault::NewDocument, "new document"},
    {Fault::PauseRouter, "pause"},
    {Fault::KillRouter, "kill"},
    {Fault::DelayLink, "delay"},
    {Fault::ResetLink, "reset"},
    {Fault::CutToServer, "cut to server"},
    {Fault::CutToRouter, "cut to router"},
    {Fault::SilenceLink, "silence"},
    {Fault::AcceptLate, "accept late"},
    {Fault::HoldUpConnecting, "hold up connecting"},
    {Fault::RepeatAnswers, "repeat answers"},
    {Fault::StoreRefuses, "store refuses"},
    {Fault::StoreSilent, "store silent"},
    {Fault::StoreLosesAnswers, "store loses answers"},
    {Fault::StoreDeafWatches, "store deaf watches"},
    {Fault::EndpointSheds, "endpoint sheds"},
    {Fault::EndpointFails, "endpoint fails"},
    {Fault::EndpointHangs, "endpoint hangs"},
    {Fault::EndpointBreaksAfterRun, "endpoint breaks after run"},
    {Fault::EndpointBreaksStreams, "endpoint breaks streams"},
    {Fault::KillFleet, "kill fleet"},
    {Fault::CutPeers, "cut peers"},
    {Fault::RestartFleet, "restart fleet"},
    {Fault::FreezeFleet, "freeze fleet"},
    {Fault::StarveRouters, "starve routers"},
    {Fault::KillAfterCrash, "kill after crash"},
    {Fault::CrashRequests, "crash requests"},
    {Fault::PartitionRouters, "partition routers"},
    {Fault::CrashPromptParts, "crash prompt parts"},
    {Fault::BrittleEndpoints, "brittle endpoints"},
    {Fault::EngineVersions, "engine versions"},
    {Fault::EndEndpoints, "end endpoints"},
    {Fault::ShapeAnswers, "shape answers"},
};

constexpr std::array Planned = {
    Fault::StopRouter, Fault::ReloadRouter, Fault::LeaveEndpoint, Fault::NewDocument, Fault::NewDocument};

// Between a SIGTERM and the platform's SIGKILL.
constexpr auto StopGrace = std::chrono::seconds(8);
// The exit code of godwitd that stopped before all was given back.
constexpr int UnfinishedStop = 3;
constexpr auto WatchStep = milliseconds(50);
// An opening packet that was dropped is repeated after this.
constexpr auto OpeningRepeat = milliseconds(1000);
// Of a router that gets little processor time.
constexpr auto ProcessorPeriod = milliseconds(100);
constexpr auto LeastTurn = milliseconds(5);
constexpr auto MostTurn = milliseconds(14);
// Some longer than any request takes, so that faults end before the fleet does.
constexpr auto EndingTime = std::chrono::seconds(5);

void waitFor(boost::asio::io_context &io, milliseconds time, const yield_context &yield)
{
    boost::asio::steady_timer timer(io, time);
    timer.async_wait(yield);
}

int drawFrom(std::mt19937_64 &random, int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random);
}

void extend(TimePoint &until, milliseconds time)
{
    until = std::max(until, steadyNow() + time);
}

} // namespace

std::string_view faultName(Fault fault)
{
    return enumName(FaultNames, fault);
}

std::optional<Fault> faultNamed(std::string_view name)
{
    return enumFromName(FaultNames, name);
}

bool plays(const std::vector<Fault> &only, Fault fault)
{
    return std::find(only.begin(), only.end(), fault) != only.end();
}

FaultPlayer::FaultPlayer(Fleet &fleet, std::uint64_t seed, FaultChoice choice, std::ostream &out)
    : m_fleet(fleet)
    , m_random(seed)
    , m_deathRandom(seed)
    , m_shapeRandom(seed)
    , m_choice(std::move(choice))
    , m_out(out)
    , m_start(steadyNow())
{
}

void FaultPlayer::run(Time time, const yield_context &yield)
{
    const TimePoint end = steadyNow() + time;
    const auto left = [&end](int most) {
        return std::min(milliseconds(most), std::chrono::duration_cast<milliseconds>(end - steadyNow()));
    };
    waitFor(m_fleet.io, left(2000), yield);
    while (steadyNow() < end) {
        playFor(left(draw(6000, 12000)), true, yield);
        waitFor(m_fleet.io, left(draw(3200, 4500)), yield);
        playFor(left(draw(3000, 6000)), false, yield);
    }
    m_fleet.ending = true;
    waitFor(m_fleet.io, EndingTime, yield);
}

void FaultPlayer::playFor(Time time, bool storm, const yield_context &yield)
{
    const TimePoint end = steadyNow() + time;
    while (steadyNow() < end) {
        const bool planned = !storm || draw(0, 3) == 0;
        if (m_choice.only.size() == 1) {
            begin(m_choice.only.front());
        } else if (!m_choice.only.empty()) {
            begin(m_choice.only.at(static_cast<std::size_t>(draw(0, static_cast<int>(m_choice.only.size()) - 1))));
        } else if (m_choice.onFleet && draw(0, 2) == 0) {
            begin(draw(0, 2) == 0 ? Fault::KillFleet : Fault::CutPeers);
        } else if (planned) {
            begin(Planned.at(static_cast<std::size_t>(draw(0, Planned.size() - 1))));
        } else if (draw(0, 4) == 0) {
            // Needs many requests at one moment to show anything, so it comes more often than the others.
            begin(Fault::HoldUpConnecting);
        } else {
            begin(static_cast<Fault>(
                draw(static_cast<int>(Fault::PauseRouter), static_cast<int>(Fault::EndpointBreaksStreams))));
        }
        if (storm && m_choice.only.empty() && drawFrom(m_shapeRandom, 0, 2) == 0) {
            begin(Fault::ShapeAnswers);
        }
        waitFor(m_fleet.io, milliseconds(storm ? draw(50, 1000) : draw(400, 2000)), yield);
    }
}

void FaultPlayer::killEndpoints(const yield_context &yield)
{
    while (!m_fleet.ending) {
        waitFor(m_fleet.io, milliseconds(drawFrom(m_deathRandom, 2500, 7000)), yield);
        for (int left = drawFrom(m_deathRandom, 1, 2); left > 0 && !m_fleet.ending; --left) {
            const auto endpoint =
                static_cast<std::size_t>(drawFrom(m_deathRandom, 0, static_cast<int>(m_fleet.endpoints.size()) - 1));
            const Time down(drawFrom(m_deathRandom, 500, 3000));
            ++m_played[Fault::CrashRequests];
            say(Fault::CrashRequests, m_fleet.endpoints[endpoint].id + " dies", down);
            killEndpoint(m_fleet, endpoint, down);
        }
    }
}

void FaultPlayer::endProcesses(const yield_context &yield)
{
    const int all = static_cast<int>(m_fleet.processEndpoints.size());
    while (!m_fleet.ending) {
        waitFor(m_fleet.io, milliseconds(drawFrom(m_deathRandom, 1200, 4000)), yield);
        const int number = drawFrom(m_deathRandom, 0, 2) == 0 ? SIGTERM : SIGKILL;
        const bool atOnce = drawFrom(m_deathRandom, 0, 1) == 0;
        const Time absence(drawFrom(m_deathRandom, 50, 2000));
        const Time down = atOnce ? Time(0) : absence;
        const int first = drawFrom(m_deathRandom, 0, all - 1);
        const int count = drawFrom(m_deathRandom, 1, all / 2);
        if (drawFrom(m_deathRandom, 0, 2) == 0) {
            // It sees the end of the process when another one may be at its address already.
            const int router = drawFrom(m_deathRandom, 0, static_cast<int>(m_fleet.routers.size()) - 1);
            const Time time(drawFrom(m_deathRandom, 50, 600));
            ++m_played[Fault::PauseRouter];
            say(Fault::PauseRouter, "router-" + std::to_string(router), time);
            pauseRouter(static_cast<std::size_t>(router), Time(0), time);
        }
        for (int i = first; i < first + count; ++i) {
            const auto index = static_cast<std::size_t>(i % all);
            ++m_played[Fault::EndEndpoints];
            say(Fault::EndEndpoints, m_fleet.processEndpoints[index].id, down);
            endProcess(m_fleet, index, number, down);
        }
    }
}

void FaultPlayer::makeBrittle(const yield_context &yield)
{
    while (!m_fleet.ending) {
        waitFor(m_fleet.io, milliseconds(drawFrom(m_deathRandom, 1500, 3000)), yield);
        const int maxRejections = drawFrom(m_deathRandom, 2, 6);
        const Time time(drawFrom(m_deathRandom, 5000, 10000));
        ++m_played[Fault::BrittleEndpoints];
        say(Fault::BrittleEndpoints, "tolerate " + std::to_string(maxRejections) + " rejections", time);
        m_fleet.promises.brittleSpells.push_back({m_fleet.rooms.size(), 0, 0});
        for (Testing::EndpointRoom *room : m_fleet.rooms) {
            room->setBrittle(maxRejections);
        }
        waitFor(m_fleet.io, time, yield);
        for (Testing::EndpointRoom *room : m_fleet.rooms) {
            room->setBrittle(std::nullopt);
        }
    }
}

void FaultPlayer::starveRouters(const yield_context &yield)
{
    constexpr std::size_t each = 3;
    ++m_played[Fault::StarveRouters];
    const Time turn(drawFrom(m_deathRandom, LeastTurn.count(), MostTurn.count()));
    say(Fault::StarveRouters, "to " + std::to_string(turn.count()) + " ms of each 100 ms", {});
    while (!m_fleet.ending) {
        for (std::size_t i = 0; i < m_fleet.routers.size(); i += each) {
            m_fleet.routers[i].process->signal(SIGSTOP);
        }
        waitFor(m_fleet.io, ProcessorPeriod - turn, yield);
        for (std::size_t i = 0; i < m_fleet.routers.size(); i += each) {
            if (m_fleet.routers[i].pauses == 0) {
                m_fleet.routers[i].process->signal(SIGCONT);
            }
        }
        waitFor(m_fleet.io, turn, yield);
    }
}

void FaultPlayer::watchRouters(const yield_context &yield)
{
    while (!m_fleet.ending) {
        waitFor(m_fleet.io, WatchStep, yield);
        for (std::size_t i = 0; i < m_fleet.routers.size(); ++i) {
            Router &router = m_fleet.routers[i];
            const auto ended = router.process->pollExit();
            if (!ended) {
                continue;
            }
            router.running = false;
            // Its code for a stop in which budget could not be given back, which takes the store.
            const bool unfinished =
                *ended == UnfinishedStop && m_fleet.promises.disturbed.unplanned + ContactTime >= router.stopAskedAt;
            if (!router.killed && (!router.stopping || (*ended != 0 && !unfinished))) {
                noteBreach(m_fleet.promises,
                           Promise::Crash,
                           {},
                           "router-" + std::to_string(i) + " ended with code " + std::to_string(*ended)
                               + (router.stopping ? " after a signal to stop" : ", which nobody asked for"));
            }
            spawn([this, i, wait = milliseconds(draw(100, 1500))](const yield_context &own) {
                waitFor(m_fleet.io, wait, own);
                Router &again = m_fleet.routers[i];
                again.running = true;
                again.stopping = false;
                again.killed = false;
                ++again.boot;
                again.process->start();
                disturbRouter(i, milliseconds(0), true);
            });
        }
    }
}

int FaultPlayer::draw(int from, int to)
{
    return drawFrom(m_random, from, to);
}

void FaultPlayer::spawn(std::function<void(const yield_context &)> body)
{
    boost::asio::spawn(m_fleet.io, std::move(body), [](const std::exception_ptr &) {});
}

void FaultPlayer::begin(Fault fault)
{
    if (fault == Fault::EndEndpoints) {
        // The processes end beside run().
        constexpr std::array onRouters = {Fault::StopRouter, Fault::KillRouter, Fault::PauseRouter};
        if (draw(0, 2) == 0) {
            begin(onRouters.at(static_cast<std::size_t>(draw(0, onRouters.size() - 1))));
        }
        return;
    }
    const bool ofFleet = fault == Fault::KillFleet || fault == Fault::FreezeFleet || fault == Fault::CutPeers;
    if (ofFleet && fleetRests()) {
        return;
    }
    ++m_played[fault];
    switch (fault) {
    case Fault::StopRouter:
    case Fault::ReloadRouter:
    case Fault::PauseRouter:
    case Fault::KillRouter:
        beginOnRouter(fault);
        return;
    case Fault::NewDocument: {
        const int more = draw(0, 2) == 0 ? draw(1'000, 20'000) : 0;
        putNextDocument(m_fleet, more);
        say(fault, std::to_string(m_fleet.promises.document) + " with " + std::to_string(more) + " tokens more", {});
        return;
    }
    case Fault::DelayLink:
    case Fault::ResetLink:
    case Fault::CutToServer:
    case Fault::CutToRouter:
    case Fault::SilenceLink:
        beginOnLink(fault);
        return;
    case Fault::StoreRefuses:
    case Fault::StoreSilent:
    case Fault::StoreLosesAnswers:
    case Fault::StoreDeafWatches:
        beginOnStore(fault);
        return;
    case Fault::KillFleet:
        killFleet();
        return;
    case Fault::CutPeers:
        cutPeers();
        return;
    case Fault::RestartFleet:
        restartFleet();
        return;
    case Fault::FreezeFleet:
        freezeFleet();
        return;
    case Fault::KillAfterCrash:
        killAfterCrashes();
        return;
    case Fault::PartitionRouters:
        partitionRouters();
        return;
    case Fault::EngineVersions: {
        const auto first = std::find_if(m_fleet.endpoints.begin(), m_fleet.endpoints.end(), [](const Endpoint &each) {
            return each.service == "engine";
        });
        const auto from = static_cast<int>(first - m_fleet.endpoints.begin());
        const int engine = draw(from, static_cast<int>(m_fleet.endpoints.size()) - 1);
        const Time down(draw(200, 1500));
        say(fault, m_fleet.endpoints[static_cast<std::size_t>(engine)].id + " dies", down);
        killEndpoint(m_fleet, static_cast<std::size_t>(engine), down);
        return;
    }
    case Fault::BrittleEndpoints:
    case Fault::StarveRouters:
    case Fault::CrashRequests:
    case Fault::CrashPromptParts:
        // They come beside all other faults.
        return;
    case Fault::ShapeAnswers:
        shapeAnswers();
        return;
    default:
        beginOnEndpoint(fault);
        return;
    }
}

void FaultPlayer::beginOnRouter(Fault fault)
{
    const auto router = static_cast<std::size_t>(draw(0, static_cast<int>(m_fleet.routers.size()) - 1));
    const std::string name = "router-" + std::to_string(router);
    if (fault == Fault::StopRouter) {
        say(fault, name, {});
        stopRouter(router);
    } else if (fault == Fault::KillRouter) {
        say(fault, name, {});
        killRouter(router);
    } else if (fault == Fault::ReloadRouter) {
        say(fault, name, {});
        m_fleet.routers[router].process->signal(SIGHUP);
    } else {
        const Time time(draw(0, 1) == 0 ? draw(20, 800) : draw(1000, 2600));
        say(fault, name, time);
        pauseRouter(router, Time(0), time);
    }
}

// Half of these are on the way from a router to the store, half on the way to an endpoint.
void FaultPlayer::beginOnLink(Fault fault)
{
    const bool toStore = draw(0, 1) == 0;
    const auto count = toStore ? m_fleet.routers.size() : m_fleet.endpoints.size();
    const auto index = static_cast<std::size_t>(draw(0, static_cast<int>(count) - 1));
    Testing::FaultProxy &proxy = toStore ? *m_fleet.routers[index].store : *m_fleet.endpoints[index].proxy;
    const Time time(draw(200, 3000));
    const Time delay(draw(10, 250));
    say(fault, toStore ? "store of router-" + std::to_string(index) : m_fleet.endpoints[index].id, time);
    if (toStore) {
        disturbRouter(index, time, false);
    } else {
        disturbEndpoint(index, time);
    }
    if (fault == Fault::ResetLink) {
        proxy.resetAll();
    } else if (fault == Fault::SilenceLink) {
        proxy.silenceAll();
    } else {
        proxy.faults().delay = fault == Fault::DelayLink ? delay : proxy.faults().delay;
        proxy.faults().cutToServer = proxy.faults().cutToServer || fault == Fault::CutToServer;
        proxy.faults().cutToCaller = proxy.faults().cutToCaller || fault == Fault::CutToRouter;
        spawn([this, &proxy, time](const yield_context &yield) {
            waitFor(m_fleet.io, time, yield);
            proxy.faults() = {};
        });
    }
}

void FaultPlayer::beginOnStore(Fault fault)
{
    const Time time(draw(200, 4000));
    say(fault, "store", time);
    extend(m_fleet.promises.disturbed.store, time);
    extend(m_fleet.promises.disturbed.unplanned, time);
    Testing::StoreFaults &faults = m_fleet.store.faults();
    faults.refuse = faults.refuse || fault == Fault::StoreRefuses;
    faults.hang = faults.hang || fault == Fault::StoreSilent;
    faults.dropWriteResponses = faults.dropWriteResponses || fault == Fault::StoreLosesAnswers;
    faults.suppressWatchEvents = faults.suppressWatchEvents || fault == Fault::StoreDeafWatches;
    spawn([this, time](const yield_context &yield) {
        waitFor(m_fleet.io, time, yield);
        m_fleet.store.faults() = {};
    });
}

void FaultPlayer::beginOnEndpoint(Fault fault)
{
    const auto index = static_cast<std::size_t>(draw(0, static_cast<int>(m_fleet.endpoints.size()) - 1));
    Endpoint &endpoint = m_fleet.endpoints[index];
    const Time time(draw(200, 2500));
    if (fault == Fault::LeaveEndpoint) {
        leaveEndpoint(index);
        return;
    }
    if (fault == Fault::HoldUpConnecting) {
        holdUpConnecting(index);
        return;
    }
    say(fault, endpoint.id, time);
    disturbEndpoint(index, time);
    Testing::EndpointFaults &faults = endpoint.replica->faults();
    faults.shed = faults.shed || fault == Fault::EndpointSheds;
    faults.fail = faults.fail || fault == Fault::EndpointFails;
    faults.hang = faults.hang || fault == Fault::EndpointHangs;
    faults.resetAfterRun = faults.resetAfterRun || fault == Fault::EndpointBreaksAfterRun;
    faults.resetAfterEvents = fault == Fault::EndpointBreaksStreams ? draw(0, EventsOfStream - 1) : -1;
    endpoint.proxy->faults().repeatAnswers = fault == Fault::RepeatAnswers;
    if (fault == Fault::AcceptLate) {
        endpoint.proxy->acceptLate();
    }
    spawn([this, index, time](const yield_context &yield) {
        waitFor(m_fleet.io, time, yield);
        m_fleet.endpoints[index].replica->faults() = m_fleet.lastingFaults[index];
        m_fleet.endpoints[index].proxy->faults().repeatAnswers = false;
        m_fleet.endpoints[index].proxy->acceptAgain();
    });
}

// The endpoint's connections end, its accept queue is full, and routers that connect anew are held up; the endpoint
// accepts again before the opening packets are repeated, so that they meet routers that do not run.
void FaultPlayer::holdUpConnecting(std::size_t endpoint)
{
    const auto router = static_cast<std::size_t>(draw(0, static_cast<int>(m_fleet.routers.size()) - 1));
    const bool all = draw(0, 1) == 0;
    const Time connecting(draw(150, 380));
    const Time paused = OpeningRepeat + Time(draw(0, 600));
    say(Fault::HoldUpConnecting,
        m_fleet.endpoints[endpoint].id + " and " + (all ? "all routers" : "router-" + std::to_string(router)),
        connecting + paused);
    disturbEndpoint(endpoint, connecting + paused);
    Testing::FaultProxy &proxy = *m_fleet.endpoints[endpoint].proxy;
    proxy.acceptLate();
    proxy.resetAll();
    for (std::size_t i = 0; i < m_fleet.routers.size(); ++i) {
        if (all || i == router) {
            pauseRouter(i, connecting, paused);
        }
    }
    spawn([this, &proxy, connecting](const yield_context &yield) {
        waitFor(m_fleet.io, connecting + milliseconds(100), yield);
        proxy.acceptAgain();
    });
}

bool FaultPlayer::fleetRests() const
{
    return m_choice.rests && steadyNow() < m_restUntil;
}

void FaultPlayer::restAfter(Time time)
{
    if (m_choice.rests) {
        m_restUntil = steadyNow() + time + milliseconds(draw(5000, 9000));
    }
}

void FaultPlayer::killFleet()
{
    const int times = draw(1, 3);
    restAfter(times * milliseconds(2800));
    say(Fault::KillFleet, std::to_string(times) + " times", {});
    spawn([this, times](const yield_context &yield) {
        for (int i = 0; i < times; ++i) {
            killAll();
            waitFor(m_fleet.io, milliseconds(draw(1600, 4000)), yield);
        }
    });
}

void FaultPlayer::restartFleet()
{
    if (std::exchange(m_restarting, true)) {
        return;
    }
    spawn([this](const yield_context &yield) {
        while (!m_fleet.ending) {
            waitFor(m_fleet.io, milliseconds(draw(4500, 6000)), yield);
            say(Fault::RestartFleet, "all routers", {});
            killAll();
        }
    });
}

void FaultPlayer::freezeFleet()
{
    const Time time(draw(600, 4000));
    restAfter(time);
    const auto first = static_cast<std::size_t>(draw(0, 1));
    say(Fault::FreezeFleet, "every second router", time);
    for (std::size_t i = first; i < m_fleet.routers.size(); i += 2) {
        pauseRouter(i, Time(0), time);
    }
}

void FaultPlayer::killAfterCrashes()
{
    if (std::exchange(m_killsAfterCrashes, true)) {
        return;
    }
    spawn([this](const yield_context &yield) {
        std::size_t seen = crashCount(m_fleet.promises);
        while (!m_fleet.ending) {
            waitFor(m_fleet.io, milliseconds(5), yield);
            const std::size_t crashes = crashCount(m_fleet.promises);
            if (std::exchange(seen, crashes) == crashes) {
                continue;
            }
            const Time wait(draw(0, 60));
            waitFor(m_fleet.io, wait, yield);
            say(Fault::KillAfterCrash, "all routers", {});
            killAll();
        }
    });
}

void FaultPlayer::killAll()
{
    for (std::size_t router = 0; router < m_fleet.routers.size(); ++router) {
        killRouter(router);
    }
}

void FaultPlayer::cutPeers()
{
    const bool all = draw(0, 1) == 0;
    const auto chosen = static_cast<std::size_t>(draw(0, static_cast<int>(m_fleet.routers.size()) - 1));
    const Time time(draw(1500, 8000));
    if (all) {
        restAfter(time);
    }
    say(Fault::CutPeers, all ? "all routers" : "router-" + std::to_string(chosen), time);
    for (std::size_t i = 0; i < m_fleet.routers.size(); ++i) {
        if (!all && i != chosen) {
            continue;
        }
        disturbRouter(i, time, false);
        Testing::FaultProxy &proxy = *m_fleet.routers[i].peers;
        proxy.faults().cutOff = true;
        spawn([this, &proxy, time](const yield_context &yield) {
            waitFor(m_fleet.io, time, yield);
            proxy.faults() = {};
        });
    }
}

void FaultPlayer::partitionRouters()
{
    // Each router more makes the search for the owner of a connection longer.
    constexpr int mostRouters = 6;
    constexpr std::array modes = {Testing::PartitionMode::Reset,
                                  Testing::PartitionMode::Hang,
                                  Testing::PartitionMode::HangAndReset,
                                  Testing::PartitionMode::ResetNew};
    Promises &promises = m_fleet.promises;
    if (!promises.partitions.empty() && steadyNow() < promises.partitions.back().until + ContactTime) {
        return;
    }
    const int all = static_cast<int>(m_fleet.routers.size());
    const int count = draw(1, std::min(mostRouters, all - 1));
    const auto first = static_cast<std::size_t>(draw(0, all - 1));
    std::set<std::size_t> routers;
    for (int i = 0; i < count; ++i) {
        routers.insert((first + static_cast<std::size_t>(i)) % m_fleet.routers.size());
    }
    const auto mode = modes.at(static_cast<std::size_t>(draw(0, modes.size() - 1)));
    const Time time(draw(6000, 10000));
    say(Fault::PartitionRouters, std::to_string(count) + " routers from router-" + std::to_string(first), time);
    const auto ownerOf = [this, routers](std::uint16_t port) -> std::optional<std::size_t> {
        for (const std::size_t router : routers) {
            if (Testing::holdsLocalPort(m_fleet.routers[router].process->pid(), port)) {
                return router;
            }
        }
        return std::nullopt;
    };
    promises.partitions.push_back({steadyNow(), steadyNow() + time, routers, {}, {}});
    extend(promises.disturbed.unplanned, time);
    for (TimePoint &endpoint : promises.disturbed.endpoints) {
        extend(endpoint, time);
    }
    for (Endpoint &endpoint : m_fleet.endpoints) {
        endpoint.proxy->partition(routers, mode, ownerOf);
    }
    spawn([this, time](const yield_context &yield) {
        waitFor(m_fleet.io, time, yield);
        for (Endpoint &endpoint : m_fleet.endpoints) {
            endpoint.proxy->heal();
        }
    });
}

void FaultPlayer::pauseRouter(std::size_t router, Time before, Time time)
{
    disturbRouter(router, before + time, false);
    spawn([this, router, before, time](const yield_context &yield) {
        waitFor(m_fleet.io, before, yield);
        ++m_fleet.routers[router].pauses;
        m_fleet.routers[router].process->signal(SIGSTOP);
        waitFor(m_fleet.io, time, yield);
        --m_fleet.routers[router].pauses;
        m_fleet.routers[router].process->signal(SIGCONT);
    });
}

void FaultPlayer::stopRouter(std::size_t router)
{
    Router &stopped = m_fleet.routers[router];
    stopped.process->signal(SIGTERM);
    disturbRouter(router, milliseconds(0), true);
    if (std::exchange(stopped.stopping, true)) {
        return;
    }
    stopped.stopAskedAt = steadyNow();
    spawn([this, router, boot = stopped.boot](const yield_context &yield) {
        const TimePoint limit = steadyNow() + StopGrace;
        Router &own = m_fleet.routers[router];
        while (own.boot == boot && own.running && steadyNow() < limit) {
            disturbRouter(router, milliseconds(0), true);
            waitFor(m_fleet.io, WatchStep, yield);
        }
        if (own.boot != boot || !own.running) {
            return;
        }
        if (m_fleet.promises.disturbed.unplanned + ContactTime < limit - StopGrace) {
            noteBreach(m_fleet.promises, Promise::StopTooLong, {}, "router-" + std::to_string(router));
        }
        killRouter(router);
    });
}

void FaultPlayer::killRouter(std::size_t router)
{
    m_fleet.routers[router].killed = true;
    m_fleet.routers[router].process->signal(SIGKILL);
    disturbRouter(router, milliseconds(0), false);
}

// One of a service at a time, so that others can take what comes.
void FaultPlayer::leaveEndpoint(std::size_t endpoint)
{
    auto &leaving = m_fleet.promises.leavingSince;
    for (std::size_t i = 0; i < leaving.size(); ++i) {
        if (leaving[i] && m_fleet.endpoints[i].service == m_fleet.endpoints[endpoint].service) {
            return;
        }
    }
    const Time time(draw(1000, 7000));
    say(Fault::LeaveEndpoint, m_fleet.endpoints[endpoint].id, time);
    listEndpoint(m_fleet, endpoint, "draining");
    spawn([this, endpoint, time](const yield_context &yield) {
        waitFor(m_fleet.io, time, yield);
        listEndpoint(m_fleet, endpoint, "ready");
    });
}

// An answer that its endpoint ends too early, and yet declares whole, is left out: nobody could tell.
Testing::ResponseScript FaultPlayer::drawShape(bool stream)
{
    using Framing = Standins::BodyFraming::Kind;
    using Testing::ResponseCut;
    using Testing::ResponseTermination;
    Testing::ResponseScript shape;
    shape.framing = static_cast<Framing>(drawFrom(m_shapeRandom, 0, 2));
    shape.cut = static_cast<ResponseCut>(drawFrom(m_shapeRandom, 0, 4));
    shape.eventsBeforeCut = drawFrom(m_shapeRandom, 1, EventsOfStream - 1);
    shape.termination = static_cast<ResponseTermination>(drawFrom(m_shapeRandom, 0, 2));
    const bool inside = shape.cut == ResponseCut::InsideEventId || shape.cut == ResponseCut::InsideEvent;
    const bool shows = shape.framing == Framing::Connection || shape.cut == ResponseCut::None || (stream && inside);
    if (shape.termination == ResponseTermination::AsFramed && !shows) {
        shape.termination = ResponseTermination::Close;
    }
    return shape;
}

void FaultPlayer::shapeAnswers()
{
    const auto index =
        static_cast<std::size_t>(drawFrom(m_shapeRandom, 0, static_cast<int>(m_fleet.endpoints.size()) - 1));
    const Endpoint &endpoint = m_fleet.endpoints[index];
    const bool stream = endpoint.service == "engine";
    const Time time(drawFrom(m_shapeRandom, 200, 2500));
    say(Fault::ShapeAnswers, endpoint.id, time);
    disturbEndpoint(index, time);
    endpoint.replica->setResponseScript([this, stream](const std::string &attempt) {
        const Testing::ResponseScript shape = drawShape(stream);
        if (shape.framing == Standins::BodyFraming::Kind::Connection) {
            noteUndeclaredEnd(m_fleet.promises, attempt);
        }
        return std::optional(shape);
    });
    spawn([this, index, time](const yield_context &yield) {
        waitFor(m_fleet.io, time, yield);
        m_fleet.endpoints[index].replica->setResponseScript(nullptr);
    });
}

void FaultPlayer::disturbRouter(std::size_t router, Time time, bool planned)
{
    extend(m_fleet.promises.disturbed.routers[router], time);
    if (!planned) {
        extend(m_fleet.promises.disturbed.unplanned, time);
    }
}

void FaultPlayer::disturbEndpoint(std::size_t endpoint, Time time)
{
    extend(m_fleet.promises.disturbed.endpoints[endpoint], time);
    extend(m_fleet.promises.disturbed.unplanned, time);
}

void FaultPlayer::say(Fault fault, const std::string &where, Time time)
{
    const auto now = std::chrono::duration_cast<milliseconds>(steadyNow() - m_start);
    m_out << "  " << now.count() << " ms: " << faultName(fault) << ' ' << where;
    if (time.count() > 0) {
        m_out << " for " << time.count() << " ms";
    }
    m_out << std::endl;
}

} // namespace Godwit::Soak
