#include "standins/platform/call_counts.h"
#include "standins/platform/host_list.h"
#include "standins/platform/kv_store.h"

#include <catch2/catch.hpp>

using namespace Godwit;
using namespace Godwit::Standins;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration Second = std::chrono::seconds(1);

} // namespace

TEST_CASE("a write needs the version that stands")
{
    KvStore store;
    const KvResult created = put(store, "k", 0, "one", "", Start);
    REQUIRE(created.outcome == KvOutcome::Done);

    const KvResult stale = put(store, "k", 0, "two", "", Start);
    CHECK(stale.outcome == KvOutcome::Conflict);
    CHECK(stale.version == created.version);
    CHECK(stale.value == "one");

    const KvResult absent = put(store, "other", 7, "x", "", Start);
    CHECK(absent.outcome == KvOutcome::Conflict);
    CHECK(absent.version == 0);
    CHECK(absent.value.empty());

    CHECK(put(store, "k", created.version, "two", "", Start).outcome == KvOutcome::Done);
    CHECK(find(store, "k", Start)->value == "two");
}

TEST_CASE("a key that was deleted and created again has a new version")
{
    // A writer read version V, paused, and the key was deleted and created again. If the new key had version V,
    // the paused writer's compare-and-swap would succeed on a value that it never read.
    KvStore store;
    const std::uint64_t first = put(store, "k", 0, "one", "", Start).version;
    REQUIRE(remove(store, "k", first, Start).outcome == KvOutcome::Done);
    CHECK(remove(store, "k", first, Start).outcome == KvOutcome::Absent);
    const std::uint64_t second = put(store, "k", 0, "two", "", Start).version;
    CHECK(second > first);
    CHECK(put(store, "k", first, "stale", "", Start).outcome == KvOutcome::Conflict);
    CHECK(remove(store, "k", first, Start).outcome == KvOutcome::Conflict);
}

TEST_CASE("a lease that lapses takes its keys with it, and a watch sees that")
{
    KvStore store;
    const std::string lease = grantLease(store, 2 * Second, Start);
    const std::uint64_t version = put(store, "member/r1", 0, "up", lease, Start).version;
    CHECK(nextExpiry(store) == Start + 2 * Second);

    REQUIRE(renewLease(store, lease, Start + Second));
    CHECK(find(store, "member/r1", Start + 2 * Second) != nullptr);

    const TimePoint lapsed = Start + 3 * Second;
    const auto changes = changesAfter(store, "member/", version, lapsed);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].key == "member/r1");
    CHECK(changes[0].deleted);
    CHECK(changes[0].version > version);
    CHECK_FALSE(renewLease(store, lease, lapsed));
    CHECK(put(store, "member/r1", 0, "up", lease, lapsed).outcome == KvOutcome::LeaseLapsed);
    CHECK_FALSE(nextExpiry(store));
}

TEST_CASE("a key that was rewritten without its lease outlives it")
{
    KvStore store;
    const std::string lease = grantLease(store, Second, Start);
    const std::uint64_t version = put(store, "k", 0, "one", lease, Start).version;
    REQUIRE(put(store, "k", version, "two", "", Start).outcome == KvOutcome::Done);
    CHECK(find(store, "k", Start + 2 * Second) != nullptr);
}

TEST_CASE("a lease can be ended early, with its keys")
{
    KvStore store;
    const std::string lease = grantLease(store, Second, Start);
    put(store, "k", 0, "one", lease, Start);
    CHECK(endLease(store, lease));
    CHECK_FALSE(endLease(store, lease));
    CHECK(find(store, "k", Start) == nullptr);
}

TEST_CASE("a watch returns the last change of each key under its prefix, oldest first")
{
    KvStore store;
    const std::uint64_t a = put(store, "p/a", 0, "1", "", Start).version;
    put(store, "p/b", 0, "1", "", Start);
    put(store, "q/c", 0, "1", "", Start);
    const std::uint64_t again = put(store, "p/a", a, "2", "", Start).version;

    const auto all = changesAfter(store, "p/", 0, Start);
    REQUIRE(all.size() == 2);
    CHECK(all[0].key == "p/b");
    CHECK(all[1].key == "p/a");
    CHECK(all[1].version == again);
    CHECK(changesAfter(store, "p/", again, Start).empty());
    CHECK(list(store, "p/", Start).size() == 2);
    CHECK(list(store, "", Start).size() == 3);
}

TEST_CASE("the host list shows a change after its lag")
{
    HostList hosts;
    hosts.lag = 2 * Second;
    setHost(hosts, "r1", {{"role", "router"}}, Start);
    CHECK(visibleHosts(hosts, Start + Second).empty());
    REQUIRE(visibleHosts(hosts, Start + 2 * Second).count("r1") == 1);
    CHECK(visibleHosts(hosts, Start + 2 * Second).at("r1").at("host") == "r1");

    removeHost(hosts, "r1", Start + 3 * Second);
    CHECK(visibleHosts(hosts, Start + 4 * Second).size() == 1);
    CHECK(visibleHosts(hosts, Start + 5 * Second).empty());
}

TEST_CASE("calls are counted by kind and host, with the busiest second")
{
    CallCounts counts;
    countCall(counts, CallKind::Put, "r1", 10, Start);
    countCall(counts, CallKind::Put, "r2", 5, Start);
    countCall(counts, CallKind::Watch, "r1", 0, Start);
    countCall(counts, CallKind::LeaseRenew, "r1", 0, Start + Second);
    const nlohmann::json json = toJson(counts);
    CHECK(json["writes"] == 3);
    CHECK(json["reads"] == 1);
    CHECK(json["peak_writes_per_second"] == 2);
    CHECK(json["calls"]["put"] == 2);
    CHECK(json["calls_by_host"]["r1"] == 3);
    CHECK(json["bytes_in"] == 15);
}
