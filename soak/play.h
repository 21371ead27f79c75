#pragma once

// One play of a soak from its seed to its result.
//
// Example:
//   const PlayResult result = playSeed({program, 7, std::chrono::seconds(40), "soak-logs"}, std::cout);

#include "soak/fault_player.h"
#include "soak/promises.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace Godwit::Soak
{

struct PlayOptions
{
    std::string program; // godwitd.
    std::uint64_t seed = 1;
    std::chrono::milliseconds time{40'000};
    std::vector<Fault> only; // Plays nothing but these faults.
    bool fleet = false; // Many routers with a low allowance of repeats, and faults that concern all of them at once.
    std::size_t routers = 0; // A fleet of so many, whose endpoints fail every second request; 0: drawn.
    std::string logFolder; // Where the routers' logs of a play that broke a promise go; empty: nowhere.
};

struct PlayResult
{
    std::uint64_t seed = 0;
    std::size_t requests = 0;
    std::map<std::string, int> outcomes;
    std::map<Fault, int> faults;
    std::vector<Breach> breaches;
    std::int64_t spent = 0;
    std::int64_t prepaidTotal = 0;
    std::map<std::string, ServiceTraffic> traffic;
    std::vector<PartitionSpell> partitions;
    std::vector<BrittleSpell> brittleSpells;
    ResumptionCounts resumptions;
    std::map<std::string, CrashHistory> crashes;
    TimeHanded timeHanded;
    std::chrono::milliseconds longestLag{0}; // Of the soak's own loop.
};

// Says on `out` what it does, each broken promise as soon as it is found, and at the end the routers' log lines on it.
PlayResult playSeed(const PlayOptions &options, std::ostream &out);

} // namespace Godwit::Soak
