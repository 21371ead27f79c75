#pragma once

// The engine's limited cache of prompt prefixes, and its events: late, numbered, some of them lost.
//
// A block is 64 bytes (16 tokens) of the prompt; it is named by the stable hash of the prompt's beginning up to its
// end. Pure: time and random numbers are passed in.
//
// Example:
//   PrefixCache cache;
//   cache.capacity = 1000;
//   const auto blocks = prefixBlocks(prompt);
//   const std::size_t cached = useBlocks(cache, blocks, now, draw);   // 0 the first time.

#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Godwit::Standins
{

constexpr std::size_t BlockBytes = 64;
constexpr std::int64_t BlockTokens = 16;

struct PrefixEvent
{
    std::uint64_t sequence = 0;
    TimePoint published; // Readers see it from then on.
    bool stored = true; // False: removed.
    std::uint64_t block = 0;
};

struct PrefixCache
{
    std::size_t capacity = 4096;
    Duration eventLag{};
    double eventGap = 0; // Probability that an event is lost; its number stays unused.
    std::size_t eventsKept = 10'000;

    std::list<std::uint64_t> order; // Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
    std::deque<PrefixEvent> events;
    std::uint64_t lastSequence = 0;
};

// Uniform in [0, 1).
using Draw = std::function<double()>;

// The names of the prompt's whole blocks, at most 64.
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt);

// Returns how many leading blocks were cached, and caches all of them.
std::size_t useBlocks(PrefixCache &cache, const std::vector<std::uint64_t> &blocks, TimePoint now, const Draw &draw);

// The published events after number `after`, up to the first hole. The first may be later than `after` + 1: a gap.
std::vector<PrefixEvent> eventsAfter(const PrefixCache &cache, std::uint64_t after, TimePoint now);

} // namespace Godwit::Standins
