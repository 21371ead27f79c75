#include "godwit/routing/prefix_index.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

std::vector<std::uint64_t> blocksFrom(std::uint64_t first, std::size_t count)
{
    std::vector<std::uint64_t> blocks;
    for (std::size_t i = 0; i < count; ++i) {
        blocks.push_back(first + i);
    }
    return blocks;
}

int matchOf(PrefixIndex &index, std::size_t slot, const std::vector<std::uint64_t> &blocks)
{
    PrefixMatches matches;
    matchPrefixes(index, blocks, matches);
    return matches.blocks[slot];
}

} // namespace

TEST_CASE("each endpoint is matched up to its longest cached prefix")
{
    auto index = makePrefixIndex(100);
    recordPrefix(index, 3, blocksFrom(10, 4));
    recordPrefix(index, 200, blocksFrom(10, 2));
    CHECK(matchOf(index, 3, blocksFrom(10, 6)) == 4);
    CHECK(matchOf(index, 200, blocksFrom(10, 6)) == 2);
    CHECK(matchOf(index, 4, blocksFrom(10, 6)) == 0);
    applyCacheEvent(index, 3, {CacheEventKind::Removed, 13});
    CHECK(matchOf(index, 3, blocksFrom(10, 6)) == 3);
    applyCacheEvent(index, 3, {CacheEventKind::Cleared, 0});
    CHECK(matchOf(index, 3, blocksFrom(10, 6)) == 0);
    CHECK(matchOf(index, 200, blocksFrom(10, 6)) == 2);
}

TEST_CASE("the index stays within its capacity and keeps entries in use")
{
    auto index = makePrefixIndex(50);
    const auto used = blocksFrom(1, 10);
    recordPrefix(index, 0, used);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        applyCacheEvent(index, 1, {CacheEventKind::Stored, 1000 + i});
        CHECK(matchOf(index, 0, used) == 10);
    }
    CHECK(index.entries.size() == 50);
    CHECK(index.ring.size() == 50);
}

TEST_CASE("endpoints beyond the tracked slots are ignored")
{
    auto index = makePrefixIndex(50);
    recordPrefix(index, MaxTrackedEndpoints, blocksFrom(1, 3));
    applyCacheEvent(index, MaxTrackedEndpoints + 1, {CacheEventKind::Stored, 1});
    removeEndpoint(index, MaxTrackedEndpoints);
    CHECK(index.entries.empty());
}
