#pragma once

// What endpoints tell about themselves, late: load and the contents of their prefix cache.

#include "godwit/base/time.h"

#include <cstdint>
#include <vector>

namespace Godwit
{

struct LoadReport
{
    // Requests of all routers that wait at the endpoint and that it runs.
    int queued = 0;
    int running = 0;
    // The used part of its KV cache, from 0 to 1.
    double kvUsed = 0;
    // How long ago the figures were taken.
    Duration age{};
};

enum class CacheEventKind {
    Stored,
    Removed,
    Cleared, // Everything was removed; `block` has no meaning.
};

struct CacheEvent
{
    CacheEventKind kind = CacheEventKind::Stored;
    // The hash of a prompt's beginning up to the end of a block, as in PendingCall::prefixHashes.
    std::uint64_t block = 0;
};

// Events in the order in which they happened, numbered without holes from `firstSequence`.
struct CacheEventBatch
{
    // Changes when the endpoint restarts with an empty cache.
    std::uint64_t epoch = 0;
    std::uint64_t firstSequence = 0;
    std::vector<CacheEvent> events;
};

} // namespace Godwit
