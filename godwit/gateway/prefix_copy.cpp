#include "godwit/gateway/prefix_copy.h"

#include "godwit/base/hash.h"

#include <algorithm>

namespace Godwit
{
namespace
{

// Returns the highest known revision of `key`, or 0.
std::uint64_t knownRevision(const PrefixCopy &copy, const std::string &key)
{
    const auto item = copy.items.find(key);
    const auto removal = copy.removed.find(key);
    return std::max(item == copy.items.end() ? 0 : item->second.revision,
                    removal == copy.removed.end() ? 0 : removal->second);
}

std::uint64_t weightOf(const StoreItem &item)
{
    return rendezvousWeight(item.key, std::to_string(item.revision));
}

// Updates the digest for `change`. Call before the change is applied to the items.
void updateDigest(PrefixCopy &copy, const StoreItem &change)
{
    const auto before = copy.items.find(change.key);
    copy.digest -= before == copy.items.end() ? 0 : weightOf(before->second);
    copy.digest += change.removed ? 0 : weightOf(change);
}

// Number of changes whose times are kept. For a copy older than all of them, the exact age does not matter.
constexpr std::size_t MaxChangeTimes = 256;

void updateNewestChange(PrefixCopy &copy, const std::vector<StoreItem> &changes)
{
    for (const StoreItem &change : changes) {
        copy.newestChange = std::max(copy.newestChange, change.revision);
    }
}

// Returns the changes from `before` to `after`. Missing entries count as removed at revision `at`.
std::vector<StoreItem> difference(const std::map<std::string, StoreItem> &before,
                                  const std::map<std::string, StoreItem> &after,
                                  std::uint64_t at)
{
    std::vector<StoreItem> changes;
    for (const auto &[key, item] : after) {
        const auto found = before.find(key);
        if (found == before.end() || found->second.revision != item.revision) {
            changes.push_back(item);
        }
    }
    for (const auto &[key, item] : before) {
        if (after.count(key) == 0) {
            changes.push_back(StoreItem{key, "", at, true});
        }
    }
    return changes;
}

} // namespace

std::vector<StoreItem> applySnapshot(PrefixCopy &copy, const std::vector<StoreItem> &items, std::uint64_t at)
{
    if (copy.complete && at < copy.completeTo) {
        return {};
    }
    std::map<std::string, StoreItem> entries;
    for (const auto &[key, item] : copy.items) {
        if (item.revision > at) {
            entries[key] = item;
        }
    }
    for (const StoreItem &item : items) {
        if (item.revision >= knownRevision(copy, item.key)) {
            entries[item.key] = item;
        }
    }
    auto changes = difference(copy.items, entries, at);
    for (const StoreItem &change : changes) {
        updateDigest(copy, change);
    }
    copy.items = std::move(entries);
    copy.complete = true;
    updateNewestChange(copy, changes);
    markComplete(copy, at);
    return changes;
}

std::vector<StoreItem> applyDelta(PrefixCopy &copy, const std::vector<StoreItem> &changes)
{
    std::map<std::string, StoreItem> newestByKey;
    for (const StoreItem &change : changes) {
        if (change.revision <= copy.completeTo || change.revision <= knownRevision(copy, change.key)) {
            continue;
        }
        updateDigest(copy, change);
        if (change.removed) {
            copy.items.erase(change.key);
            copy.removed[change.key] = change.revision;
        } else {
            copy.items[change.key] = change;
            copy.removed.erase(change.key);
        }
        newestByKey[change.key] = change;
    }
    std::vector<StoreItem> newest;
    newest.reserve(newestByKey.size());
    for (auto &[key, change] : newestByKey) {
        newest.push_back(std::move(change));
    }
    updateNewestChange(copy, newest);
    return newest;
}

void markComplete(PrefixCopy &copy, std::uint64_t revision)
{
    copy.completeTo = std::max(copy.completeTo, revision);
    for (auto it = copy.removed.begin(); it != copy.removed.end();) {
        it = it->second <= copy.completeTo ? copy.removed.erase(it) : std::next(it);
    }
}

bool hasNewerThan(const PrefixCopy &copy, std::uint64_t revision)
{
    const bool changed = std::any_of(copy.items.begin(), copy.items.end(), [revision](const auto &entry) {
        return entry.second.revision > revision;
    });
    return changed || std::any_of(copy.removed.begin(), copy.removed.end(), [revision](const auto &entry) {
               return entry.second > revision;
           });
}

std::uint64_t newestRevision(const PrefixCopy &copy)
{
    return std::max(copy.completeTo, copy.newestChange);
}

void noteChange(ChangeTimes &times, std::uint64_t revision, TimePoint now)
{
    if (!times.changes.empty() && revision <= times.changes.back().revision) {
        return;
    }
    times.changes.push_back({revision, now});
    if (times.changes.size() > MaxChangeTimes) {
        times.changes.pop_front();
    }
}

Duration timeAheadOf(const ChangeTimes &times, std::uint64_t revision, TimePoint now)
{
    const auto newer = std::upper_bound(times.changes.begin(),
                                        times.changes.end(),
                                        revision,
                                        [](std::uint64_t known, const ChangeTimes::Change &change) {
                                            return known < change.revision;
                                        });
    return newer == times.changes.end() ? Duration::zero() : now - newer->at;
}

std::uint64_t digestOf(const PrefixCopy &copy)
{
    return copy.digest;
}

std::vector<StoreItem> itemsOf(const PrefixCopy &copy)
{
    std::vector<StoreItem> items;
    items.reserve(copy.items.size());
    for (const auto &[key, item] : copy.items) {
        items.push_back(item);
    }
    return items;
}

} // namespace Godwit
