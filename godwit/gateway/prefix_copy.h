#pragma once

// Local copy of all entries under one prefix of the platform's store, built from snapshots and deltas in any order.
//
// Snapshots and deltas arrive from the store and from other routers over several connections, so they may be reordered
// and duplicated. Each entry carries its revision, and the highest revision wins. A removal is kept as a tombstone
// until a snapshot covers it, so that a delayed delta does not restore the entry.
//
// Pure functions. Example:
//   PrefixCopy copy;
//   applySnapshot(copy, items, at);
//   const auto delta = applyDelta(copy, changes);
//   if (digestOf(copy) != digestElsewhere) { ... ask for a snapshot ... }

#include "godwit/base/time.h"
#include "godwit/gateway/store_item.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Godwit
{

struct PrefixCopy
{
    std::map<std::string, StoreItem> items; // By key.
    std::uint64_t digest = 0; // Of the keys and revisions; updated with each change, because every message includes it.
    std::map<std::string, std::uint64_t> removed; // Tombstones: revisions of removals after `completeTo`, by key.
    // The copy contains all changes up to this revision of the store.
    std::uint64_t completeTo = 0;
    std::uint64_t newestChange = 0; // Highest revision of an applied change.
    bool complete = false; // A snapshot has been applied.
};

// When the latest changes were applied to a copy, so that the holder of an older copy can be told how stale it is.
struct ChangeTimes
{
    struct Change
    {
        std::uint64_t revision = 0;
        TimePoint at;
    };
    std::deque<Change> changes; // Ordered by revision.
};

// Records that changes up to `revision` have been applied.
void noteChange(ChangeTimes &times, std::uint64_t revision, TimePoint now);

// Returns for how long the copy has held a change after `revision`; zero if it holds none.
Duration timeAheadOf(const ChangeTimes &times, std::uint64_t revision, TimePoint now);

// The highest revision of which the copy knows.
std::uint64_t newestRevision(const PrefixCopy &copy);

// Applies a snapshot of revision `at`, except where the copy has newer entries, and returns the resulting changes. A
// snapshot that is older than the copy changes nothing.
std::vector<StoreItem> applySnapshot(PrefixCopy &copy, const std::vector<StoreItem> &items, std::uint64_t at);

// Applies the changes that the copy does not have yet. Returns them, only the newest one for each entry.
std::vector<StoreItem> applyDelta(PrefixCopy &copy, const std::vector<StoreItem> &changes);

// Records that the copy contains all changes up to `revision`: it equals another copy that does.
void markComplete(PrefixCopy &copy, std::uint64_t revision);

// Whether the copy holds changes after `revision`. Such a copy differs from one of that revision without necessarily
// missing anything.
bool hasNewerThan(const PrefixCopy &copy, std::uint64_t revision);

// Copies with the same keys at the same revisions have equal digests.
std::uint64_t digestOf(const PrefixCopy &copy);

// Returns the entries as a snapshot.
std::vector<StoreItem> itemsOf(const PrefixCopy &copy);

} // namespace Godwit
