// Measures what claims cost the platform and the router, on simulated time with answers of two milliseconds: see
// docs/REQUESTS.md for what the tables mean.
//
//   claims_bench

#include "godwit/claims/claim_write.h"
#include "godwit/claims/test_claim_world.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <vector>

using namespace Godwit;
using namespace Godwit::Test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Seed = 20261202;
constexpr int Seconds = 20;

struct Traffic
{
    std::size_t routers = 8;
    double rate = 10;
    std::uint32_t shards = 256;
    double writesPerSecond = 40;
};

// Grants are measured from the call to its first execution: the world's send takes no time.
void measure(const Traffic &traffic)
{
    ClaimOptions options;
    options.shardCount = traffic.shards;
    options.writesPerSecond = traffic.writesPerSecond;
    ClaimWorld world(Seed, options, traffic.routers);
    world.runTime = 100ms;
    std::mt19937_64 random(Seed);
    const int count = static_cast<int>(traffic.rate * Seconds);
    std::vector<double> waits;
    for (int i = 0; i < count; ++i) {
        const auto offset = std::uniform_int_distribution<std::int64_t>(0, Seconds * 1'000'000LL)(random);
        const auto router = static_cast<std::size_t>(random() % traffic.routers);
        world.at(Duration(offset), [&world, &waits, router] {
            const auto key = world.newKey();
            const auto sentAt = world.now;
            world.onExecution[key] = [&world, &waits, sentAt] {
                waits.push_back(toSeconds(world.now - sentAt));
            };
            world.call(router, key, true);
        });
    }
    world.run(std::chrono::seconds(Seconds));
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;
    for (const auto &router : world.routers) {
        writes += router.agent.counters.writes;
        reads += router.agent.counters.reads;
        conflicts += router.agent.counters.conflicts;
        refused += router.agent.counters.refused;
    }
    std::sort(waits.begin(), waits.end());
    const auto quantile = [&](double part) {
        return waits.empty() ? 0 : waits[static_cast<std::size_t>(part * static_cast<double>(waits.size() - 1))] * 1000;
    };
    std::printf("%8zu %8.0f %8u %10.0f %9.1f %9.1f %10.1f %9.1f %9.1f %8llu\n",
                traffic.routers,
                traffic.rate,
                traffic.shards,
                traffic.writesPerSecond,
                static_cast<double>(writes) / Seconds,
                static_cast<double>(reads) / Seconds,
                static_cast<double>(conflicts) / Seconds,
                quantile(0.5),
                quantile(0.95),
                static_cast<unsigned long long>(refused));
}

void platformTable()
{
    std::printf("claims with their outcomes, %d s simulated, platform answers in 2 ms\n", Seconds);
    std::printf("%8s %8s %8s %10s %9s %9s %10s %9s %9s %8s\n",
                "routers",
                "claims/s",
                "shards",
                "allowance",
                "writes/s",
                "reads/s",
                "conflicts",
                "p50 ms",
                "p95 ms",
                "refused");
    const Traffic rows[] = {{8, 10, 256, 40},
                            {8, 100, 256, 40},
                            {8, 150, 256, 40},
                            {8, 300, 256, 40},
                            {8, 300, 64, 40},
                            {8, 300, 16, 40},
                            {8, 300, 4, 40},
                            {32, 100, 256, 10},
                            {100, 100, 256, 3}};
    for (const auto &row : rows) {
        measure(row);
    }
}

double microseconds(std::chrono::steady_clock::time_point start, int count)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / count;
}

void recordCost()
{
    std::printf("\none record: bytes stored, time to write and to read it, memory\n");
    for (const std::size_t claims : {100, 1000, 5000}) {
        ClaimWorld world(Seed, ClaimOptions{}, 1);
        ClaimRecord record;
        const auto before = mallinfo2().uordblks;
        for (std::size_t i = 0; i < claims; ++i) {
            ClaimEntry entry;
            entry.state = ClaimState::Ran;
            entry.holder = Incarnation("entry-host-1.a1b2c3d4");
            entry.sequence = i;
            entry.bodyDigest = i * 0x9E3779B97F4A7C15ULL;
            entry.createdAt = WallTime(std::chrono::milliseconds(1'764'000'000'000));
            entry.claimedAt = entry.createdAt;
            record.entries[world.newKey()] = entry;
        }
        const auto memory = mallinfo2().uordblks - before;
        constexpr int rounds = 20;
        std::string text;
        const auto encodeStart = std::chrono::steady_clock::now();
        for (int i = 0; i < rounds; ++i) {
            text = encodeClaimRecord(record);
        }
        const double encode = microseconds(encodeStart, rounds);
        LastReason reason;
        const auto decodeStart = std::chrono::steady_clock::now();
        for (int i = 0; i < rounds; ++i) {
            decodeClaimRecord(text, reason);
        }
        std::printf("%6zu claims: %7zu bytes (%3zu each), write %6.0f us, read %6.0f us, memory %zu bytes each\n",
                    claims,
                    text.size(),
                    text.size() / claims,
                    encode,
                    microseconds(decodeStart, rounds),
                    memory / claims);
    }
}

} // namespace

int main()
{
    std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
    platformTable();
    recordCost();
    return 0;
}
