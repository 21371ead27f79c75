#pragma once

// A queue of keys by time, one entry a key, so that a tick touches only what is due.
//
// Example:
//   DueQueue<CallId> giveUps;
//   scheduleEarlier(giveUps, call, now + std::chrono::seconds(1));
//   while (const auto due = popDue(giveUps, now)) {
//       giveUp(*due);
//   }

#include "godwit/base/time.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Godwit
{

template<typename Key>
struct DueQueue
{
    std::map<Key, TimePoint> times;
    std::set<std::pair<TimePoint, Key>> order;
};

template<typename Key>
void unschedule(DueQueue<Key> &queue, const Key &key)
{
    const auto found = queue.times.find(key);
    if (found != queue.times.end()) {
        queue.order.erase({found->second, key});
        queue.times.erase(found);
    }
}

// Sets the time of `key`, whatever it was.
template<typename Key>
void schedule(DueQueue<Key> &queue, const Key &key, TimePoint at)
{
    unschedule(queue, key);
    queue.times.emplace(key, at);
    queue.order.emplace(at, key);
}

// Sets the time of `key` unless it is due before.
template<typename Key>
void scheduleEarlier(DueQueue<Key> &queue, const Key &key, TimePoint at)
{
    const auto found = queue.times.find(key);
    if (found == queue.times.end() || at < found->second) {
        schedule(queue, key, at);
    }
}

// Removes and returns the key that is due longest, if any is due at `now`.
template<typename Key>
std::optional<Key> popDue(DueQueue<Key> &queue, TimePoint now)
{
    if (queue.order.empty() || queue.order.begin()->first > now) {
        return std::nullopt;
    }
    Key key = queue.order.begin()->second;
    unschedule(queue, key);
    return key;
}

template<typename Key>
std::optional<TimePoint> earliest(const DueQueue<Key> &queue)
{
    if (queue.order.empty()) {
        return std::nullopt;
    }
    return queue.order.begin()->first;
}

} // namespace Godwit
