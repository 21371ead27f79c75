#include "godwit/routing/prefix_index.h"

#include <algorithm>
#include <limits>

namespace Godwit
{
namespace
{

constexpr std::size_t WordBits = 64;

void setBit(EndpointBits &bits, std::size_t slot)
{
    bits[slot / WordBits] |= 1ULL << slot % WordBits;
}

void clearBit(EndpointBits &bits, std::size_t slot)
{
    bits[slot / WordBits] &= ~(1ULL << slot % WordBits);
}

// Removes the first entry that was not used since the clock hand last passed it. Returns its position in the ring.
std::size_t evictOne(PrefixIndex &index)
{
    while (true) {
        const auto place = index.clockHand;
        index.clockHand = (index.clockHand + 1) % index.ring.size();
        auto &entry = index.entries.at(index.ring[place]);
        if (!entry.used) {
            index.entries.erase(index.ring[place]);
            return place;
        }
        entry.used = false;
    }
}

PrefixEntry &entryFor(PrefixIndex &index, std::uint64_t block)
{
    const auto found = index.entries.find(block);
    if (found != index.entries.end()) {
        return found->second;
    }
    if (index.ring.size() < index.capacity) {
        index.ring.push_back(block);
    } else {
        index.ring[evictOne(index)] = block;
    }
    return index.entries[block];
}

} // namespace

PrefixIndex makePrefixIndex(std::size_t capacity)
{
    PrefixIndex index;
    index.capacity = capacity;
    return index;
}

void recordPrefix(PrefixIndex &index, std::size_t slot, const std::vector<std::uint64_t> &blocks)
{
    if (slot >= MaxTrackedEndpoints) {
        return;
    }
    for (const auto block : blocks) {
        auto &entry = entryFor(index, block);
        entry.used = true;
        setBit(entry.holders, slot);
    }
}

void applyCacheEvent(PrefixIndex &index, std::size_t slot, const CacheEvent &event)
{
    if (slot >= MaxTrackedEndpoints) {
        return;
    }
    switch (event.kind) {
    case CacheEventKind::Stored:
        setBit(entryFor(index, event.block).holders, slot);
        return;
    case CacheEventKind::Removed: {
        const auto found = index.entries.find(event.block);
        if (found != index.entries.end()) {
            clearBit(found->second.holders, slot);
        }
        return;
    }
    case CacheEventKind::Cleared:
        removeEndpoint(index, slot);
        return;
    }
}

void removeEndpoint(PrefixIndex &index, std::size_t slot)
{
    if (slot >= MaxTrackedEndpoints) {
        return;
    }
    for (auto &[block, entry] : index.entries) {
        clearBit(entry.holders, slot);
    }
}

void matchPrefixes(PrefixIndex &index, const std::vector<std::uint64_t> &blocks, PrefixMatches &matches)
{
    matches.blocks.fill(0);
    EndpointBits seen{};
    const std::size_t longest = std::min<std::size_t>(blocks.size(), std::numeric_limits<std::uint16_t>::max());
    for (std::size_t count = longest; count > 0; --count) {
        const auto found = index.entries.find(blocks[count - 1]);
        if (found == index.entries.end()) {
            continue;
        }
        found->second.used = true;
        for (std::size_t word = 0; word < seen.size(); ++word) {
            auto fresh = found->second.holders[word] & ~seen[word];
            seen[word] |= fresh;
            while (fresh != 0) {
                const auto bit = static_cast<std::size_t>(__builtin_ctzll(fresh));
                matches.blocks[word * WordBits + bit] = static_cast<std::uint16_t>(count);
                fresh &= fresh - 1;
            }
        }
    }
}

} // namespace Godwit
