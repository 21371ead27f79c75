// Simulates the retries of a whole fleet as its endpoints count them: routers with their shares, and a store with
// leases.

#include "godwit/gateway/limit_shares.h"
#include "godwit/gateway/retry_budget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

using namespace Godwit;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr TimePoint Start{std::chrono::hours(100)};
constexpr Duration Step = milliseconds(20);
constexpr Duration LeaseTime = seconds(12);
constexpr Duration RenewInterval = milliseconds(3500);
constexpr Duration ClaimInterval = milliseconds(500);

struct Store
{
    struct Entry
    {
        StoredShare share;
        std::uint64_t lease = 0;
    };
    std::map<int, Entry> entries;
    std::map<std::uint64_t, TimePoint> leases; // Expiry times.
    std::uint64_t last = 0; // Last assigned revision or lease id.
};

struct Router
{
    std::string name;
    RetryBudget budget;
    LimitShares shares;
    std::size_t knownRouters = 1; // Number of routers that it considers live, including itself.
    TimePoint partitionedUntil; // Partitioned from the store until then.
    TimePoint renewAt;
    TimePoint claimAt;
};

struct Fleet
{
    RetryBudgetOptions rules;
    LimitShareOptions options;
    Store store;
    std::vector<Router> routers;
    double requestsPerSecond = 100;
    int wanted = 1; // Retries attempted per request.
    std::function<void(Fleet &, TimePoint)> disturb = [](Fleet &, TimePoint) {};
};

struct Repeats
{
    double maxUse = 0; // Maximum over all windows, as a multiple of what is allowed.
    int taken = 0;
};

Duration uptimeAt(TimePoint now)
{
    return now - Start;
}

void expire(Store &store, TimePoint now)
{
    for (auto lease = store.leases.begin(); lease != store.leases.end();) {
        if (now < lease->second) {
            ++lease;
            continue;
        }
        for (auto entry = store.entries.begin(); entry != store.entries.end();) {
            entry = entry->second.lease == lease->first ? store.entries.erase(entry) : std::next(entry);
        }
        lease = store.leases.erase(lease);
    }
}

void renewLease(Fleet &fleet, Router &router, TimePoint now)
{
    const auto stored = fleet.store.leases.find(router.shares.lease);
    std::uint64_t lease = router.shares.lease;
    if (stored == fleet.store.leases.end()) {
        dropShareLease(router.shares);
        lease = ++fleet.store.last;
    }
    fleet.store.leases[lease] = now + LeaseTime;
    renewShareLease(router.shares, lease, uptimeAt(now) + LeaseTime);
    router.renewAt = now + RenewInterval;
}

void claimShares(Fleet &fleet, Router &router, TimePoint now, int first)
{
    router.claimAt = now + ClaimInterval;
    const int fair = fairShareCount(router.knownRouters, minShares(fleet.rules));
    for (const ShareClaim &released : releaseSurplus(router.shares, fleet.options, fair)) {
        fleet.store.entries.erase(released.number);
    }
    if (!needsShares(router.shares, fair)) {
        return;
    }
    std::map<int, StoredShare> stored;
    for (const auto &[number, entry] : fleet.store.entries) {
        stored[number] = entry.share;
    }
    const auto claims = planClaims(router.shares, fleet.options, stored, router.name, fair, first);
    const std::uint64_t revision = ++fleet.store.last;
    for (const ShareClaim &claim : claims) {
        fleet.store.entries[claim.number] = {{router.name, revision}, router.shares.lease};
    }
    addShares(router.shares, claims, revision, now + fleet.rules.window + fleet.options.maxSendDelay);
}

void restart(Router &router)
{
    router.budget = {};
    router.shares = {};
    router.knownRouters = 1;
    router.renewAt = {};
    router.claimAt = {};
}

Fleet fleetOf(std::size_t routers, double ratio, double slack)
{
    Fleet fleet;
    fleet.rules.ratio = ratio;
    fleet.rules.slack = slack;
    fleet.routers.resize(routers);
    for (std::size_t i = 0; i < routers; ++i) {
        fleet.routers[i].name = "router-" + std::to_string(i);
        fleet.routers[i].knownRouters = routers;
    }
    return fleet;
}

double allowedIn(const Fleet &fleet, std::deque<TimePoint> &requests, std::deque<TimePoint> &repeats, TimePoint now)
{
    for (auto *moments : {&requests, &repeats}) {
        while (!moments->empty() && moments->front() <= now - fleet.rules.window) {
            moments->pop_front();
        }
    }
    return fleet.rules.ratio * static_cast<double>(requests.size()) + fleet.rules.slack;
}

// Distributes the requests round-robin over the routers.
Repeats simulate(Fleet &fleet, Duration time, std::uint64_t seed = 1)
{
    std::mt19937_64 random(seed);
    Repeats result;
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
    std::size_t turn = 0;
    double due = 0;
    for (TimePoint now = Start; now < Start + time; now += Step) {
        expire(fleet.store, now);
        fleet.disturb(fleet, now);
        for (Router &router : fleet.routers) {
            if (now >= router.partitionedUntil && now >= router.renewAt) {
                renewLease(fleet, router, now);
            }
            if (now >= router.partitionedUntil && now >= router.claimAt) {
                claimShares(fleet, router, now, static_cast<int>(random() % 64));
            }
        }
        due += fleet.requestsPerSecond * toSeconds(Step);
        while (due >= 1) {
            due -= 1;
            Router &router = fleet.routers[turn++ % fleet.routers.size()];
            requests.push_back(now);
            countRequest(router.budget, fleet.rules, now);
            const double part = fractionOf(usableShares(router.shares, now, uptimeAt(now)));
            for (int i = 0; i < fleet.wanted && tryTakeRetry(router.budget, fleet.rules, part, now).granted; ++i) {
                repeats.push_back(now);
                ++result.taken;
            }
        }
        const double allowed = allowedIn(fleet, requests, repeats, now);
        result.maxUse = std::max(result.maxUse, static_cast<double>(repeats.size()) / allowed);
    }
    return result;
}

} // namespace

TEST_CASE("a fleet whose routers do not know of each other stays within its retry budget")
{
    Fleet fleet = fleetOf(8, 0.02, 56);
    for (Router &router : fleet.routers) {
        router.knownRouters = 1;
    }
    CHECK(simulate(fleet, seconds(30)).maxUse <= 1);
}

TEST_CASE("a fleet whose routers restart repeatedly stays within its retry budget")
{
    Fleet fleet = fleetOf(8, 0.02, 56);
    fleet.disturb = [next = Start + seconds(3)](Fleet &own, TimePoint now) mutable {
        if (now >= next) {
            std::for_each(own.routers.begin(), own.routers.end(), restart);
            next += seconds(3);
        }
    };
    CHECK(simulate(fleet, seconds(30)).maxUse <= 1);
}

TEST_CASE("retries just before a restart and in the window after it stay within one retry budget")
{
    // Guards against exceeding the budget after a restart: a new process does not know how much of the budget of the
    // same window its predecessor has used.
    Fleet fleet = fleetOf(8, 0.2, 0);
    fleet.disturb = [](Fleet &own, TimePoint now) {
        const Duration since = now - Start;
        const bool bursts = (since >= milliseconds(9800) && since < seconds(10))
            || (since >= milliseconds(19'600) && since < milliseconds(19'800));
        own.wanted = bursts ? 1000 : 0;
        if (now == Start + seconds(10)) {
            std::for_each(own.routers.begin(), own.routers.end(), restart);
        }
    };
    const Repeats repeats = simulate(fleet, seconds(30));
    CHECK(repeats.taken > 0);
    CHECK(repeats.maxUse <= 1);
}

TEST_CASE("a fleet with partitions, restarts and wrong views of its size stays within its retry budget")
{
    const std::uint64_t seed = GENERATE(range(1, 25));
    std::mt19937_64 random(seed);
    Fleet fleet = fleetOf(4 + random() % 60, seed % 3 == 0 ? 0 : 0.05, static_cast<double>(20 + random() % 200));
    fleet.requestsPerSecond = 300;
    fleet.disturb = [&random](Fleet &own, TimePoint now) {
        Router &router = own.routers[random() % own.routers.size()];
        switch (random() % 40) {
        case 0:
            restart(router);
            break;
        case 1:
            router.partitionedUntil = now + seconds(random() % 30);
            break;
        case 2:
            router.knownRouters = 1 + random() % (2 * own.routers.size());
            break;
        case 3:
            if (random() % 20 == 0) {
                std::for_each(own.routers.begin(), own.routers.end(), restart);
            }
            break;
        default:
            break;
        }
    };
    CHECK(simulate(fleet, seconds(120), seed).maxUse <= 1);
}

TEST_CASE("an undisturbed fleet can use most of its retry budget")
{
    const auto [routers, part] =
        GENERATE(table<std::size_t, double>({{1, 0.7 * 0.9}, {3, 0.7 * 0.9}, {8, 0.9 * 0.9}, {60, 0.6}}));
    Fleet fleet = fleetOf(routers, 0.02, 56);
    const double allowed = 0.02 * 1000 + 56;
    CHECK(simulate(fleet, seconds(40)).maxUse >= (part * 56 + 0.4 * 20) / allowed);
}

TEST_CASE("a claimed share is usable only after a window has passed")
{
    LimitShares shares;
    renewShareLease(shares, 1, seconds(12));
    addShares(shares, {{0, 0}}, 7, Start + seconds(12));
    CHECK(usableShares(shares, Start + seconds(11), seconds(1)).none());
    CHECK(usableShares(shares, Start + seconds(12), seconds(1)).any());
    SECTION("not after the lease may have expired")
    {
        CHECK(usableShares(shares, Start + seconds(12), seconds(12)).none());
    }
    SECTION("not under a different lease")
    {
        renewShareLease(shares, 2, seconds(24));
        CHECK(usableShares(shares, Start + seconds(12), seconds(1)).none());
    }
}
