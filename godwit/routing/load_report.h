#pragma once

// Reports of endpoints on their load and the contents of their prefix cache. They arrive late.

#include "godwit/base/time.h"

#include <cstdint>
#include <vector>

namespace Godwit
{

struct LoadReport
{
    // Requests of all routers that are queued and running at the endpoint.
    int queued = 0;
    int running = 0;
    // Used fraction of the KV cache, from 0 to 1.
    double kvUsed = 0;
    // Time since the figures were taken.
    Duration age{};
};

enum class CacheEventKind {
    Stored,
    Removed,
    Cleared, // All blocks were removed; `block` is not used.
};

struct CacheEvent
{
    CacheEventKind kind = CacheEventKind::Stored;
    // Hash of the prompt prefix that ends with this block, as in PendingCall::prefixHashes.
    std::uint64_t block = 0;
};

// Cache events in order, with consecutive sequence numbers from `firstSequence`.
struct CacheEventBatch
{
    // Changes when the endpoint restarts with an empty cache.
    std::uint64_t epoch = 0;
    std::uint64_t firstSequence = 0;
    std::vector<CacheEvent> events;
};

} // namespace Godwit
