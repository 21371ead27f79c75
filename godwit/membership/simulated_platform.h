#pragma once

// A key-value service with leases in a few lines, for tests and benchmarks.
//
// Example:
//   SimulatedPlatform platform;
//   const KvReply reply = platform.apply(command, now);

#include "godwit/base/kv.h"
#include "godwit/base/time.h"

#include <map>
#include <random>
#include <string>

namespace Godwit::Simulation
{

class SimulatedPlatform
{
public:
    // Carries out one command at `now`, with the leases that have lapsed by then taken off first.
    KvReply apply(const KvCommand &command, TimePoint now);

    // 0 when the key is absent.
    std::uint64_t versionOf(const std::string &key, TimePoint now);

    std::uint64_t calls = 0;

private:
    struct Stored
    {
        std::uint64_t version = 0;
        std::string value;
        std::string lease;
    };

    struct Lease
    {
        TimePoint until{};
        Duration length{};
    };

    void lapse(TimePoint now);
    KvReply write(const KvCommand &command, KvReply reply);

    std::map<std::string, Stored> m_store;
    std::map<std::string, Lease> m_leases;
    std::uint64_t m_nextVersion = 1;
};

} // namespace Godwit::Simulation
