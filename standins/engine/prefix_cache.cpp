#include "standins/engine/prefix_cache.h"

#include "godwit/base/hash.h"

#include <algorithm>

namespace Godwit::Standins
{

namespace
{

constexpr std::size_t MaxBlocks = 64;

void publish(PrefixCache &cache, bool stored, std::uint64_t block, TimePoint now, const Draw &draw)
{
    const std::uint64_t sequence = ++cache.lastSequence;
    if (cache.eventGap > 0 && draw() < cache.eventGap) {
        return;
    }
    cache.events.push_back({sequence, now + cache.eventLag, stored, block});
    if (cache.events.size() > cache.eventsKept) {
        cache.events.pop_front();
    }
}

void store(PrefixCache &cache, std::uint64_t block, TimePoint now, const Draw &draw)
{
    cache.order.push_front(block);
    cache.blocks[block] = cache.order.begin();
    publish(cache, true, block, now, draw);
    if (cache.blocks.size() > cache.capacity) {
        const std::uint64_t oldest = cache.order.back();
        cache.order.pop_back();
        cache.blocks.erase(oldest);
        publish(cache, false, oldest, now, draw);
    }
}

} // namespace

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    for (std::size_t end = BlockBytes; end <= prompt.size() && blocks.size() < MaxBlocks; end += BlockBytes) {
        blocks.push_back(stableHash(prompt.substr(0, end)));
    }
    return blocks;
}

std::size_t useBlocks(PrefixCache &cache, const std::vector<std::uint64_t> &blocks, TimePoint now, const Draw &draw)
{
    std::size_t cached = 0;
    while (cached < blocks.size() && cache.blocks.count(blocks[cached]) > 0) {
        ++cached;
    }
    // From the end, so that the beginning is the most recently used: a block without its beginning is of no use.
    for (std::size_t i = blocks.size(); i > 0; --i) {
        const auto found = cache.blocks.find(blocks[i - 1]);
        if (found == cache.blocks.end()) {
            store(cache, blocks[i - 1], now, draw);
        } else {
            cache.order.splice(cache.order.begin(), cache.order, found->second);
        }
    }
    return cached;
}

std::vector<PrefixEvent> eventsAfter(const PrefixCache &cache, std::uint64_t after, TimePoint now)
{
    auto event = std::lower_bound(
        cache.events.begin(), cache.events.end(), after + 1, [](const PrefixEvent &e, std::uint64_t sequence) {
            return e.sequence < sequence;
        });
    std::vector<PrefixEvent> run;
    for (; event != cache.events.end() && event->published <= now; ++event) {
        if (!run.empty() && event->sequence != run.back().sequence + 1) {
            break;
        }
        run.push_back(*event);
    }
    return run;
}

} // namespace Godwit::Standins
