#include "standins/platform/kv_store.h"

#include <algorithm>
#include <utility>

namespace Godwit::Standins
{

namespace
{

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

std::uint64_t recordChange(KvStore &store, const std::string &key)
{
    const std::uint64_t revision = ++store.revision;
    std::uint64_t &last = store.lastChangeOf[key];
    store.lastChanges.erase(last);
    store.lastChanges[revision] = key;
    last = revision;
    return revision;
}

void unbind(KvStore &store, const std::string &key, const std::string &lease)
{
    const auto found = store.leases.find(lease);
    if (found != store.leases.end()) {
        found->second.keys.erase(key);
    }
}

void erase(KvStore &store, const std::string &key)
{
    const auto found = store.entries.find(key);
    if (found == store.entries.end()) {
        return;
    }
    unbind(store, key, found->second.lease);
    store.entries.erase(found);
    recordChange(store, key);
}

} // namespace

KvResult put(KvStore &store,
             const std::string &key,
             std::uint64_t expected,
             std::string value,
             const std::string &lease,
             TimePoint now)
{
    expireLeases(store, now);
    if (!lease.empty() && store.leases.count(lease) == 0) {
        return {KvOutcome::LeaseLapsed, 0, {}};
    }
    const auto found = store.entries.find(key);
    const std::uint64_t version = found == store.entries.end() ? 0 : found->second.version;
    if (version != expected) {
        return {KvOutcome::Conflict, version, version == 0 ? std::string() : found->second.value};
    }
    if (version != 0) {
        unbind(store, key, found->second.lease);
    }
    if (!lease.empty()) {
        store.leases[lease].keys.insert(key);
    }
    const std::uint64_t revision = recordChange(store, key);
    store.entries[key] = KvEntry{std::move(value), revision, lease};
    return {KvOutcome::Done, revision, {}};
}

KvResult remove(KvStore &store, const std::string &key, std::uint64_t expected, TimePoint now)
{
    expireLeases(store, now);
    const auto found = store.entries.find(key);
    if (found == store.entries.end()) {
        return {KvOutcome::Absent, 0, {}};
    }
    if (found->second.version != expected) {
        return {KvOutcome::Conflict, found->second.version, found->second.value};
    }
    erase(store, key);
    return {KvOutcome::Done, 0, {}};
}

const KvEntry *find(KvStore &store, const std::string &key, TimePoint now)
{
    expireLeases(store, now);
    const auto found = store.entries.find(key);
    return found == store.entries.end() ? nullptr : &found->second;
}

std::vector<KvChange> list(KvStore &store, std::string_view prefix, TimePoint now)
{
    expireLeases(store, now);
    std::vector<KvChange> keys;
    for (auto entry = store.entries.lower_bound(std::string(prefix)); entry != store.entries.end(); ++entry) {
        if (!startsWith(entry->first, prefix)) {
            break;
        }
        keys.push_back({entry->first, entry->second.version, false});
    }
    return keys;
}

std::vector<KvChange> changesAfter(KvStore &store, std::string_view prefix, std::uint64_t after, TimePoint now)
{
    expireLeases(store, now);
    std::vector<KvChange> changes;
    for (auto change = store.lastChanges.upper_bound(after); change != store.lastChanges.end(); ++change) {
        if (startsWith(change->second, prefix)) {
            changes.push_back({change->second, change->first, store.entries.count(change->second) == 0});
        }
    }
    return changes;
}

std::string grantLease(KvStore &store, Duration timeToLive, TimePoint now)
{
    expireLeases(store, now);
    std::string id = "lease-" + std::to_string(++store.leasesGranted);
    store.leases[id] = KvLease{timeToLive, now + timeToLive, {}};
    return id;
}

bool renewLease(KvStore &store, const std::string &lease, TimePoint now)
{
    expireLeases(store, now);
    const auto found = store.leases.find(lease);
    if (found == store.leases.end()) {
        return false;
    }
    found->second.expires = now + found->second.timeToLive;
    return true;
}

bool endLease(KvStore &store, const std::string &lease)
{
    const auto found = store.leases.find(lease);
    if (found == store.leases.end()) {
        return false;
    }
    const std::set<std::string> keys = std::move(found->second.keys);
    store.leases.erase(found);
    for (const auto &key : keys) {
        erase(store, key);
    }
    return true;
}

void expireLeases(KvStore &store, TimePoint now)
{
    std::vector<std::string> lapsed;
    for (const auto &[id, lease] : store.leases) {
        if (lease.expires <= now) {
            lapsed.push_back(id);
        }
    }
    for (const auto &id : lapsed) {
        endLease(store, id);
    }
}

std::optional<TimePoint> nextExpiry(const KvStore &store)
{
    std::optional<TimePoint> next;
    for (const auto &[id, lease] : store.leases) {
        next = std::min(next.value_or(lease.expires), lease.expires);
    }
    return next;
}

} // namespace Godwit::Standins
