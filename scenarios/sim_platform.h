#pragma once

// The platform's key-value service on simulated time, with its faults as switches.

#include "godwit/base/kv.h"
#include "scenarios/scenario_language.h"
#include "scenarios/sim_clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Godwit::Scenarios
{

struct StoredValue
{
    std::uint64_t version = 0;
    std::string value;
};

class SimPlatform
{
public:
    using Reply = std::function<void(const KvReply &)>;

    explicit SimPlatform(SimClock &clock)
        : m_clock(clock)
    {
    }

    // Carries out `command` for a client that hears `reply` later. An unreachable client's command is not applied.
    void execute(const KvCommand &command, bool reachable, const Reply &reply);

    // An operator's change of one value, without faults.
    void change(const std::string &key, const std::function<bool(std::string &value)> &edit);

    void apply(const PlatformChange &change);

    bool answers() const
    {
        return m_state == PlatformState::Up;
    }

    const std::map<std::string, StoredValue> &values() const
    {
        return m_values;
    }

    // Called with the key and version of each write.
    std::function<void(const std::string &, std::uint64_t)> onWrite;

private:
    SimClock &m_clock;
    std::map<std::string, StoredValue> m_values;
    PlatformState m_state = PlatformState::Up;
    Duration m_delay = std::chrono::milliseconds(2);
    std::int64_t m_loseAnswers = 0;
    std::int64_t m_lateWrites = 0;
    Duration m_lateBy{};
    std::int64_t m_conflicts = 0;

    KvReply applied(const KvCommand &command);
    KvReply write(const KvCommand &command);
    std::string listing(const std::string &prefix) const;
};

} // namespace Godwit::Scenarios
