#pragma once

// A copy of everything under one prefix of the platform's store, built from snapshots and deltas in any order.
//
// A router gets them from the store and from the other routers, over several connections: they overtake each other and
// come twice. Each entry carries its revision, and the newer one stands; a removal is remembered until a snapshot
// covers it, so that a late delta does not bring the entry back.
//
// Pure. Example:
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
    std::uint64_t digest = 0; // Of the items' keys and revisions; kept with each change, since every message names it.
    std::map<std::string, std::uint64_t> removed; // Revisions of removals after `completeTo`, by key.
    // Nothing is missing up to this revision of the store.
    std::uint64_t completeTo = 0;
    std::uint64_t newestChange = 0; // The highest revision of a change that the copy has taken over.
    bool complete = false; // A snapshot was adopted.
};

// When a copy took over each of its latest changes, so that the holder of an older copy can be told how old that is.
struct ChangeTimes
{
    struct Change
    {
        std::uint64_t revision = 0;
        TimePoint at;
    };
    std::deque<Change> changes; // By revision, the oldest first.
};

// Notes that the copy has taken over changes up to `revision`.
void noteChange(ChangeTimes &times, std::uint64_t revision, TimePoint now);

// For how long the copy has held a change after `revision`; zero when it holds none.
Duration timeAheadOf(const ChangeTimes &times, std::uint64_t revision, TimePoint now);

// The revision up to which the copy knows of changes.
std::uint64_t newestRevision(const PrefixCopy &copy);

// Takes over a snapshot of revision `at`, except for entries of the copy that are newer, and returns what it changed.
// A snapshot that is older than the copy changes nothing.
std::vector<StoreItem> applySnapshot(PrefixCopy &copy, const std::vector<StoreItem> &items, std::uint64_t at);

// Applies what the copy does not have yet, and returns that: of several changes of one entry the newest.
std::vector<StoreItem> applyDelta(PrefixCopy &copy, const std::vector<StoreItem> &changes);

// Nothing is missing up to `revision`: the copy equals another one that is complete to it.
void markComplete(PrefixCopy &copy, std::uint64_t revision);

// Whether the copy holds what came after `revision`. One that does differs from a copy of that revision, and lacks
// nothing for all that can be seen.
bool hasNewerThan(const PrefixCopy &copy, std::uint64_t revision);

// Equal for copies with the same keys at the same revisions.
std::uint64_t digestOf(const PrefixCopy &copy);

// The entries as a snapshot.
std::vector<StoreItem> itemsOf(const PrefixCopy &copy);

} // namespace Godwit
