#pragma once

// Plays faults on a fleet, from outside of its routers: one after another and several at once, all drawn from a seed.
//
// Example:
//   FaultPlayer player(fleet, seed, out);
//   player.run(seconds, yield);

#include "soak/fleet.h"

#include <boost/asio/spawn.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace Godwit::Soak
{

enum class Fault {
    StopRouter, // SIGTERM, and a new start after its end.
    ReloadRouter, // SIGHUP.
    LeaveEndpoint, // An endpoint says that it leaves, and comes back.
    NewDocument,
    PauseRouter, // SIGSTOP and SIGCONT.
    KillRouter, // SIGKILL and a new start.
    DelayLink,
    ResetLink,
    CutToServer,
    CutToRouter,
    SilenceLink,
    AcceptLate,
    HoldUpConnecting, // An endpoint accepts late, and a router is paused while it connects there.
    RepeatAnswers,
    StoreRefuses,
    StoreSilent,
    StoreLosesAnswers,
    StoreDeafWatches,
    EndpointSheds,
    EndpointFails,
    EndpointHangs,
    EndpointBreaksAfterRun,
    EndpointBreaksStreams,
    // On fleets with a low allowance of repeats alone:
    KillFleet, // SIGKILL of all routers, several times in a row.
    CutPeers, // What routers send to each other is held; of one router or of all.
    // Only by choice, as what follows:
    RestartFleet, // SIGKILL of all routers each few seconds, so that each process lives to take its part.
    FreezeFleet, // SIGSTOP of a half of the routers, which wake together.
    StarveRouters, // Every third router runs only a small part of each tenth of a second.
    KillAfterCrash, // SIGKILL of all routers as soon as an endpoint has died of a request.
    // Beside the others, with choices of its own:
    CrashRequests, // Requests that crash endpoints come again and again, and endpoints die of other causes.
    PartitionRouters, // Some routers lose all endpoints, and keep callers, store and peers.
    CrashPromptParts, // Requests with one part of a prompt in common crash engines, as CrashRequests.
    BrittleEndpoints, // Plain endpoints have little room, are brittle at times and crash when they reject too many.
    EngineVersions, // Engines of several versions die while callers take up their streams again.
    EndEndpoints, // Endpoints that are processes are killed while they answer, some with a router paused meanwhile.
    ShapeAnswers, // An endpoint frames its answers, stops in them and closes their connections in any way.
};

std::string_view faultName(Fault fault);
std::optional<Fault> faultNamed(std::string_view name);

struct FaultChoice
{
    bool onFleet = false; // Also what concerns all routers at once, and that most of the time.
    std::vector<Fault> only; // Nothing but these; empty: all that are not by choice alone.
    bool rests = false; // Between two faults of the whole fleet there is time for it to be in touch.
};

// Whether the fault comes, where these alone are played.
bool plays(const std::vector<Fault> &only, Fault fault);

class FaultPlayer
{
public:
    FaultPlayer(Fleet &fleet, std::uint64_t seed, FaultChoice choice, std::ostream &out);

    // Plays for `time`, then lets the fleet end. Storms of all faults, planned work alone and calm take turns.
    void run(std::chrono::milliseconds time, const boost::asio::yield_context &yield);

    // Endpoints that die of no request. Runs beside run().
    void killEndpoints(const boost::asio::yield_context &yield);

    // Ends the processes of endpoints. Runs beside run().
    void endProcesses(const boost::asio::yield_context &yield);

    // Makes the plain endpoints brittle at times. Runs beside run().
    void makeBrittle(const boost::asio::yield_context &yield);

    // Every third router runs a few milliseconds of each tenth of a second. Runs beside run().
    void starveRouters(const boost::asio::yield_context &yield);

    // Ends that nobody asked for, and starts that are due. Runs beside run().
    void watchRouters(const boost::asio::yield_context &yield);

    const std::map<Fault, int> &played() const
    {
        return m_played;
    }

private:
    using Time = std::chrono::milliseconds;

    int draw(int from, int to);
    void spawn(std::function<void(const boost::asio::yield_context &)> body);
    void playFor(Time time, bool storm, const boost::asio::yield_context &yield);
    void begin(Fault fault);
    void beginOnRouter(Fault fault);
    void beginOnLink(Fault fault);
    void beginOnStore(Fault fault);
    void beginOnEndpoint(Fault fault);
    void pauseRouter(std::size_t router, Time before, Time time);
    void stopRouter(std::size_t router);
    void killRouter(std::size_t router);
    void leaveEndpoint(std::size_t endpoint);
    void shapeAnswers();
    Testing::ResponseScript drawShape(bool stream);
    void holdUpConnecting(std::size_t endpoint);
    void killFleet();
    void restartFleet();
    void freezeFleet();
    void killAfterCrashes();
    void killAll();
    void cutPeers();
    void partitionRouters();
    bool fleetRests() const;
    void restAfter(Time time);
    void disturbRouter(std::size_t router, Time time, bool planned);
    void disturbEndpoint(std::size_t endpoint, Time time);
    void say(Fault fault, const std::string &where, Time time);

    Fleet &m_fleet;
    std::mt19937_64 m_random;
    std::mt19937_64 m_deathRandom; // As m_shapeRandom.
    std::mt19937_64 m_shapeRandom; // So that the other faults of a seed stay as they are without shapes.
    FaultChoice m_choice;
    std::ostream &m_out;
    TimePoint m_start;
    TimePoint m_restUntil; // No fault of the whole fleet begins before.
    bool m_restarting = false;
    bool m_killsAfterCrashes = false;
    std::map<Fault, int> m_played;
};

} // namespace Godwit::Soak
