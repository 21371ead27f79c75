#pragma once

// Which endpoints of a route hold which beginnings of prompts in their cache, as far as is known.
//
// Knowledge comes from the endpoints' cache events, late and with gaps, and from own dispatches. It is a hint for the
// choice of endpoint: a wrong entry costs time, never correctness. Bounded: the entries unused for longest are dropped.
//
// Example:
//   PrefixIndex index = makePrefixIndex(100'000);
//   recordPrefix(index, endpointSlot, call.prefixHashes);
//   const PrefixMatches matches = matchPrefixes(index, call.prefixHashes);
//   matches.blocks[endpointSlot]; // Leading blocks of the prompt that it holds.

#include "godwit/routing/load_report.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Godwit
{

// Endpoints with a higher slot number are not tracked: they are chosen by load alone.
constexpr std::size_t MaxTrackedEndpoints = 256;

using EndpointBits = std::array<std::uint64_t, MaxTrackedEndpoints / 64>;

struct PrefixEntry
{
    EndpointBits holders{};
    // For the second-chance scan that drops unused entries.
    bool used = false;
};

struct PrefixIndex
{
    std::size_t capacity = 0;
    std::unordered_map<std::uint64_t, PrefixEntry> entries;
    // All blocks, in a ring for the second-chance scan.
    std::vector<std::uint64_t> ring;
    std::size_t clockHand = 0;
};

struct PrefixMatches
{
    // For each tracked slot the number of leading blocks held.
    std::array<std::uint16_t, MaxTrackedEndpoints> blocks{};
};

// Returns an empty index of at most `capacity` blocks, which must be positive.
PrefixIndex makePrefixIndex(std::size_t capacity);

// Notes that the endpoint in `slot` holds all `blocks`.
void recordPrefix(PrefixIndex &index, std::size_t slot, const std::vector<std::uint64_t> &blocks);

void applyCacheEvent(PrefixIndex &index, std::size_t slot, const CacheEvent &event);

// Forgets all that is known of the endpoint in `slot`. Cost: the whole index.
void removeEndpoint(PrefixIndex &index, std::size_t slot);

// Counts the leading blocks that each endpoint holds and marks the entries met as used.
void matchPrefixes(PrefixIndex &index, const std::vector<std::uint64_t> &blocks, PrefixMatches &matches);

} // namespace Godwit
