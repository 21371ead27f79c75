#include "godwit/gateway/copy_freshness.h"
#include "godwit/gateway/prefix_copy.h"
#include "godwit/gateway/read_schedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace Godwit;

namespace
{

StoreItem entry(const std::string &key, std::uint64_t revision, const std::string &value = "ready")
{
    return StoreItem{key, value, revision, false};
}

StoreItem removal(const std::string &key, std::uint64_t revision)
{
    return StoreItem{key, "", revision, true};
}

// A random sequence of changes with revisions from 1, and the content of the store after each.
struct History
{
    explicit History(unsigned seed)
    {
        std::mt19937 random(seed);
        std::map<std::string, StoreItem> items;
        states.push_back(items);
        for (std::uint64_t revision = 1; revision <= 60; ++revision) {
            const std::string key(1, static_cast<char>('a' + random() % 6));
            const bool goes = items.count(key) != 0 && random() % 3 == 0;
            changes.push_back(goes ? removal(key, revision) : entry(key, revision));
            if (goes) {
                items.erase(key);
            } else {
                items[key] = changes.back();
            }
            states.push_back(items);
        }
    }

    std::vector<StoreItem> snapshot(std::uint64_t at) const
    {
        std::vector<StoreItem> items;
        for (const auto &[key, item] : states[at]) {
            items.push_back(item);
        }
        return items;
    }

    std::vector<StoreItem> changes;
    std::vector<std::map<std::string, StoreItem>> states; // By revision.
};

} // namespace

TEST_CASE("reordered and duplicated deltas and snapshots converge to the content of the store")
{
    // Guards against a removed entry that reappears, or a newer entry that is overwritten by an older one. Two readers
    // send changes and a third sends a snapshot over links of different speed, so older updates arrive after newer
    // ones.
    for (unsigned seed = 0; seed < 200; ++seed) {
        const History history(seed);
        std::mt19937 random(seed);
        std::vector<std::vector<StoreItem>> deltas;
        for (int teller = 0; teller < 2; ++teller) {
            for (const StoreItem &change : history.changes) {
                deltas.push_back({change});
            }
        }
        std::shuffle(deltas.begin(), deltas.end(), random);
        PrefixCopy copy;
        for (const auto &delta : deltas) {
            applyDelta(copy, delta);
            if (random() % 20 == 0) {
                const std::uint64_t at = random() % history.states.size();
                applySnapshot(copy, history.snapshot(at), at);
            }
        }
        applySnapshot(copy, history.snapshot(30), 30);
        INFO("seed " << seed);
        PrefixCopy whole;
        applySnapshot(whole, history.snapshot(60), 60);
        CHECK(digestOf(copy) == digestOf(whole));
    }
}

TEST_CASE("applying a snapshot returns its changes, and an older snapshot changes nothing")
{
    PrefixCopy copy;
    CHECK(applySnapshot(copy, {entry("a", 3), entry("b", 4)}, 5).size() == 2);
    const auto changes = applySnapshot(copy, {entry("b", 7, "draining")}, 8);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].key == "b");
    CHECK(changes[1].removed);
    CHECK(changes[1].revision == 8);
    CHECK(applySnapshot(copy, {entry("a", 3), entry("b", 4)}, 6).empty());
    CHECK(copy.items.count("a") == 0);
}

TEST_CASE("a removed entry is not restored by a delayed older delta")
{
    PrefixCopy copy;
    applySnapshot(copy, {entry("a", 3)}, 5);
    CHECK(applyDelta(copy, {removal("a", 9)}).size() == 1);
    CHECK(applyDelta(copy, {entry("a", 7, "draining")}).empty());
    CHECK(copy.items.empty());
    // Also after the tombstone was dropped because a peer with an equal copy has reported a higher complete revision.
    markComplete(copy, 9);
    CHECK(copy.removed.empty());
    CHECK(applyDelta(copy, {entry("a", 7, "draining")}).empty());
    CHECK(applyDelta(copy, {entry("a", 10)}).size() == 1);
}

TEST_CASE("routers with the same view of the fleet agree on the readers, and a removed reader is replaced")
{
    std::vector<std::uint64_t> weights{50, 20, 90, 70, 10};
    const auto readers = [&weights] {
        std::vector<std::uint64_t> chosen;
        for (const std::uint64_t own : weights) {
            auto others = weights;
            others.erase(std::find(others.begin(), others.end(), own));
            if (readerRank(own, others, 2)) {
                chosen.push_back(own);
            }
        }
        return chosen;
    };
    CHECK(readers() == std::vector<std::uint64_t>{90, 70});
    CHECK(readerRank(90, {50, 20, 70, 10}, 2) == 0);
    CHECK(readerRank(70, {50, 20, 90, 10}, 2) == 1);
    weights.erase(weights.begin() + 2);
    CHECK(readers() == std::vector<std::uint64_t>{50, 70});
    CHECK(readerRank(50, {}, 2) == 0);
}

TEST_CASE("a copy reports for how long it has held changes that another copy lacks")
{
    const TimePoint start{std::chrono::seconds(100)};
    const auto at = [start](int milliseconds) {
        return start + std::chrono::milliseconds(milliseconds);
    };
    ChangeTimes times;
    CHECK(timeAheadOf(times, 0, at(0)) == Duration::zero());
    noteChange(times, 5, at(0));
    noteChange(times, 9, at(300));
    noteChange(times, 7, at(400)); // Late; ignored because the copy already knows revision 9.
    CHECK(timeAheadOf(times, 9, at(1000)) == Duration::zero());
    CHECK(timeAheadOf(times, 5, at(1000)) == std::chrono::milliseconds(700));
    CHECK(timeAheadOf(times, 4, at(1000)) == std::chrono::seconds(1));
    for (std::uint64_t revision = 10; revision < 2000; ++revision) {
        noteChange(times, revision, at(1000));
    }
    CHECK(times.changes.size() <= 256);
    CHECK(timeAheadOf(times, 4, at(2500)) == std::chrono::milliseconds(1500));
}

TEST_CASE("a copy is stale if a peer has held newer changes for too long, but not if responses are missing")
{
    const TimePoint start{std::chrono::seconds(100)};
    const FreshnessOptions options;
    CopyFreshness freshness;
    CHECK_FALSE(isStale(freshness, options, start));
    recordPeerState(freshness, start, Duration::zero(), start);
    // A router that has no reason to poll does not become stale.
    CHECK_FALSE(isStale(freshness, options, start + options.responseValidity - std::chrono::milliseconds(1)));
    // A delayed response counts from the time of its request.
    const TimePoint later = start + 2 * options.maxStaleness;
    recordPeerState(freshness, start + std::chrono::milliseconds(10), Duration::zero(), later);
    CHECK(isStale(freshness, options, later));
    CHECK_FALSE(isStale(freshness, options, later + options.responseValidity));
    SECTION("a read from the store makes it current")
    {
        recordFullRead(freshness, later - std::chrono::milliseconds(5), later);
        CHECK_FALSE(isStale(freshness, options, later));
    }
    SECTION("a peer that holds newer changes overrides one that does not")
    {
        recordPeerState(freshness, later, Duration::zero(), later);
        CHECK_FALSE(isStale(freshness, options, later));
        recordPeerState(freshness, later, 3 * options.maxStaleness, later);
        CHECK(isStale(freshness, options, later));
    }
}
