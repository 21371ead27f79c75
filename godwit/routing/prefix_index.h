#pragma once

// Index of the prompt prefixes that the endpoints of a route are believed to have in their caches.
//
// It is built from the endpoints' cache events, which arrive late and with gaps, and from this router's own dispatches.
// It is only a hint for the choice of endpoint: a wrong entry costs time, never correctness. The size is bounded;
// entries that were not used recently are evicted by the second-chance (CLOCK) algorithm.
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

// Endpoints with a slot number from here on are not tracked; they are chosen by load alone.
constexpr std::size_t MaxTrackedEndpoints = 256;

using EndpointBits = std::array<std::uint64_t, MaxTrackedEndpoints / 64>;

struct PrefixEntry
{
    EndpointBits holders{};
    // Reference bit of the second-chance algorithm.
    bool used = false;
};

struct PrefixIndex
{
    std::size_t capacity = 0;
    std::unordered_map<std::uint64_t, PrefixEntry> entries;
    // All blocks, as the ring that the second-chance algorithm scans.
    std::vector<std::uint64_t> ring;
    std::size_t clockHand = 0;
};

struct PrefixMatches
{
    // Number of leading blocks cached, by slot.
    std::array<std::uint16_t, MaxTrackedEndpoints> blocks{};
};

// Returns an empty index of at most `capacity` blocks, which must be positive.
PrefixIndex makePrefixIndex(std::size_t capacity);

// Records that the endpoint in `slot` has all `blocks` cached.
void recordPrefix(PrefixIndex &index, std::size_t slot, const std::vector<std::uint64_t> &blocks);

void applyCacheEvent(PrefixIndex &index, std::size_t slot, const CacheEvent &event);

// Removes the endpoint in `slot` from all entries. Linear in the size of the index.
void removeEndpoint(PrefixIndex &index, std::size_t slot);

// Sets the number of leading blocks that each endpoint has cached and marks the entries found as used.
void matchPrefixes(PrefixIndex &index, const std::vector<std::uint64_t> &blocks, PrefixMatches &matches);

} // namespace Godwit
