#pragma once

// The key-value service's model: compare-and-swap, leases and the changes that watches wait for.
//
// Pure: the time is passed in. A version is the store's revision at the write, so that a key that was deleted and
// created again never repeats an old version.
//
// Example:
//   KvStore store;
//   const KvResult created = put(store, "a", 0, "value", "", now);
//   const KvResult stale = put(store, "a", 0, "other", "", now);   // Conflict, holds "value".

#include "godwit/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit::Standins
{

struct KvEntry
{
    std::string value;
    std::uint64_t version = 0;
    std::string lease; // Empty: the key stays until it is deleted.
};

struct KvLease
{
    Duration timeToLive{};
    TimePoint expires;
    std::set<std::string> keys;
};

struct KvStore
{
    std::uint64_t revision = 0;
    std::map<std::string, KvEntry> entries;
    std::map<std::string, KvLease> leases;
    std::uint64_t leasesGranted = 0;
    // The last change of each key, deletions too, by revision: what a watch returns.
    std::map<std::uint64_t, std::string> lastChanges;
    std::map<std::string, std::uint64_t> lastChangeOf;
};

enum class KvOutcome {
    Done,
    Absent,
    Conflict,
    LeaseLapsed,
};

// The outcome of a write, with what stands under the key after it.
struct KvResult
{
    KvOutcome outcome = KvOutcome::Done;
    std::uint64_t version = 0;
    std::string value; // Filled for a Conflict alone.
};

struct KvChange
{
    std::string key;
    std::uint64_t version = 0;
    bool deleted = false;
};

// Writes `value` when the key's version is `expected` (0: absent). Binds the key to `lease` unless that is empty.
KvResult put(KvStore &store,
             const std::string &key,
             std::uint64_t expected,
             std::string value,
             const std::string &lease,
             TimePoint now);

// Removes the key when its version is `expected`.
KvResult remove(KvStore &store, const std::string &key, std::uint64_t expected, TimePoint now);

// The entry, or null. Valid until the next call that changes the store.
const KvEntry *find(KvStore &store, const std::string &key, TimePoint now);

// The keys under `prefix` with their versions, in order.
std::vector<KvChange> list(KvStore &store, std::string_view prefix, TimePoint now);

// The last change of each key under `prefix` that changed after revision `after`, oldest first.
std::vector<KvChange> changesAfter(KvStore &store, std::string_view prefix, std::uint64_t after, TimePoint now);

// Returns the new lease's id.
std::string grantLease(KvStore &store, Duration timeToLive, TimePoint now);

// Starts the lease's time anew; false when it has lapsed.
bool renewLease(KvStore &store, const std::string &lease, TimePoint now);

// Ends the lease and deletes its keys; false when there is none.
bool endLease(KvStore &store, const std::string &lease);

// Ends every lease whose time is over. The other functions call it themselves.
void expireLeases(KvStore &store, TimePoint now);

// When the next lease lapses, if there is one.
std::optional<TimePoint> nextExpiry(const KvStore &store);

} // namespace Godwit::Standins
