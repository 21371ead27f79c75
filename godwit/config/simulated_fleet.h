#pragma once

// Configuration agents of a whole fleet, a key-value fake and the network between them, on simulated time.
//
// For tests and benchmarks only. Everything follows from the seed.
//
// Example:
//   SimulatedFleet fleet({8, 2, 42});
//   fleet.start();
//   fleet.submit(0, patch);
//   fleet.run(std::chrono::seconds(5));

#include "godwit/config/config_agent.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Godwit::Simulation
{

// Times and faults; may be changed while the fleet runs.
struct FleetOptions
{
    std::size_t nodes = 8;
    std::size_t dataCentres = 3;
    std::uint64_t seed = 1;
    std::size_t links = 0; // Links that each node chooses; 0: all to all.
    Duration nearDelay = std::chrono::milliseconds(1); // One way, within a region; data centres alternate regions.
    Duration farDelay = std::chrono::milliseconds(1);
    Duration platformDelay = std::chrono::milliseconds(2); // One way.
    Duration platformTimeout = std::chrono::seconds(1);
    Duration watchDelay = std::chrono::milliseconds(5);
    Duration heartbeat = std::chrono::seconds(1);
    bool platformUp = true;
    bool watches = true;
    double lostAnswers = 0.0; // Share of the platform's answers that get lost after the command took effect.
    double lostPeerMessages = 0.0;
    std::optional<std::size_t> mute; // All that this node sends to peers is lost.
    std::function<bool(const KvCommand &)> rejects; // Commands that the platform refuses.
    ConfigAgentOptions agent; // Identity is filled in for each node.
};

struct StoredValue
{
    std::uint64_t version = 0;
    std::string value;
};

// One answer to a submitted change.
struct ChangeOutcome
{
    ConfigPatch patch;
    bool accepted = false;
    std::uint64_t revision = 0;
    ErrorKind error = ErrorKind::Internal;
    TimePoint at{};
};

struct Node
{
    ConfigAgent agent;
    bool up = true;
    std::uint64_t life = 0; // Raised at each restart; events of an earlier life are dropped.
    std::vector<std::uint64_t> adopted; // Revisions in force, in order, of this life.
    std::map<std::uint64_t, TimePoint> adoptedAt; // First time of each revision, all lives.
    std::map<ChangeId, ConfigPatch> open;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesReceived = 0;
};

class SimulatedFleet
{
public:
    explicit SimulatedFleet(FleetOptions options);

    void start();
    // Hands the change to one router; a router that is down takes nothing.
    void submit(std::size_t node, ConfigPatch patch);
    void run(Duration time);
    void restart(std::size_t node);
    // Cuts or heals the links between the nodes below `boundary` and the others.
    void cut(std::size_t boundary);
    // Cuts all links of one node.
    void cutOff(std::size_t node);
    void heal();

    TimePoint now() const
    {
        return m_now;
    }

    FleetOptions options;
    std::vector<Node> nodes;
    std::map<std::string, StoredValue> store;
    std::vector<ChangeOutcome> outcomes;
    std::map<std::string, ConfigPatch> submitted; // By patch id.
    std::uint64_t platformCalls = 0;

private:
    void at(TimePoint time, std::function<void()> what);
    void perform(std::size_t node, ConfigActions actions);
    void performCommand(std::size_t node, const KvCommand &command);
    KvReply apply(const KvCommand &command);
    void notifyWatchers(const std::string &key, std::uint64_t version);
    void wake(std::size_t node);
    void beat(std::size_t node);
    void connect(std::size_t node);
    void separate(std::function<bool(std::size_t)> side);
    bool linked(std::size_t a, std::size_t b) const;
    Duration delay(std::size_t a, std::size_t b) const;
    double chance();
    Incarnation nameOf(std::size_t node) const;
    std::size_t indexOf(const Incarnation &incarnation) const;
    void tellLive(std::size_t node);

    TimePoint m_now{};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::mt19937_64 m_random;
    std::vector<std::vector<bool>> m_links;
    std::function<bool(std::size_t)> m_side; // Nodes on different sides are cut; null: no cut.
    std::vector<TimePoint> m_wakes;
};

} // namespace Godwit::Simulation
