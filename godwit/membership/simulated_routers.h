#pragma once

// Membership of a whole fleet on simulated time, with links, cuts, pauses and deaths.
//
// For tests and benchmarks only. Everything follows from the seed.
//
// Example:
//   SimulatedRouters routers({50, 1});
//   routers.run(std::chrono::seconds(20));
//   routers.kill(3);

#include "godwit/membership/membership.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Godwit::Simulation
{

struct RoutersOptions
{
    std::size_t nodes = 8;
    std::uint64_t seed = 1;
    std::size_t dataCentres = 3;
    Duration delay = std::chrono::milliseconds(2); // One way.
    Duration hostListLag = std::chrono::seconds(20);
    double lostHeartbeats = 0.0;
    MembershipOptions membership; // Identity is filled in for each node.
};

struct RouterNode
{
    MembershipState state;
    bool up = false;
    bool paused = false;
    std::uint64_t life = 0;
    std::vector<HeartbeatBody> unread; // Arrived while paused, with their senders.
    std::map<Incarnation, TimePoint> goneAt; // RouterGone told here.
    std::map<Incarnation, TimePoint> liveAt; // First RouterLive told here.
    std::size_t falseGone = 0; // RouterGone of a router that was up and not paused.
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesSent = 0;
};

class SimulatedRouters
{
public:
    explicit SimulatedRouters(RoutersOptions options);

    void run(Duration time);
    void start(std::size_t node);
    void kill(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    // Messages between nodes that `cut` separates are lost; links look up.
    void cut(std::function<bool(std::size_t, std::size_t)> separated);
    void drain(std::size_t node);
    Incarnation nameOf(std::size_t node) const;
    // How many of the others `node` takes for alive, of those that are up.
    std::size_t seesAlive(std::size_t node) const;
    // Every running node takes exactly the other running ones for alive.
    bool converged() const;

    TimePoint now() const
    {
        return m_now;
    }

    RoutersOptions options;
    std::vector<RouterNode> nodes;

private:
    void at(TimePoint time, std::function<void()> what);
    void perform(std::size_t node, const MembershipActions &actions);
    void connect(std::size_t from, const std::string &address);
    void unlink(std::size_t a, std::size_t b);
    void beat(std::size_t node);
    void tellHosts(std::size_t node);
    bool separated(std::size_t a, std::size_t b) const;

    TimePoint m_now{std::chrono::seconds(1000)};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::mt19937_64 m_random;
    std::set<std::pair<std::size_t, std::size_t>> m_links;
    std::function<bool(std::size_t, std::size_t)> m_separated;
};

} // namespace Godwit::Simulation
