#include "godwit/orders/weight_rate.h"

#include "godwit/membership/simulated_platform.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace Godwit;
using namespace Godwit::Simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr double Rate = 1e6;
constexpr std::uint64_t LoadBytes = 2000000;

struct Result
{
    std::size_t loads = 0;
    double mostBytesInTenSeconds = 0.0;
};

// Five holders order loads as fast as they may for two minutes, with answers lost.
Result loadFor(double lostAnswers, bool faultNoSharing, bool faultForgetOwnIds)
{
    SimulatedPlatform platform;
    std::mt19937_64 random(3);
    WeightRateOptions options;
    options.bytesPerSecond = Rate;
    options.faultNoSharing = faultNoSharing;
    options.faultForgetOwnIds = faultForgetOwnIds;
    std::vector<WeightRate> holders(5, makeWeightRate(options));
    std::vector<int> numbers(5, 0);
    std::vector<TimePoint> starts;
    TimePoint now{seconds(1000)};
    for (int step = 0; step < 1200; ++step) {
        now += milliseconds(100);
        const WallTime wall(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()));
        for (std::size_t holder = 0; holder < holders.size(); ++holder) {
            const std::string id = std::to_string(holder) + '-' + std::to_string(numbers[holder]);
            reserve(holders[holder], id, LoadBytes);
            if (mayLoad(holders[holder], id, wall)) {
                starts.push_back(now);
                cancel(holders[holder], id);
                ++numbers[holder];
            }
            for (const KvCommand &command : onTick(holders[holder], now, wall)) {
                KvReply reply = platform.apply(command, now);
                if (std::uniform_real_distribution<double>(0, 1)(random) < lostAnswers) {
                    reply = KvReply{command.tag, KvStatus::Unknown, 0, ""};
                }
                onKvReply(holders[holder], reply, now);
            }
        }
    }
    Result result;
    result.loads = starts.size();
    for (const TimePoint start : starts) {
        const auto within = std::count_if(starts.begin(), starts.end(), [&](TimePoint other) {
            return other >= start && other < start + seconds(10);
        });
        result.mostBytesInTenSeconds =
            std::max(result.mostBytesInTenSeconds, static_cast<double>(within) * static_cast<double>(LoadBytes));
    }
    return result;
}

} // namespace

TEST_CASE("all holders together stay below the weight store's rate")
{
    // In ten seconds at most the rate's worth and one load that had just begun.
    const double most = Rate * 10.0 + static_cast<double>(LoadBytes);
    CHECK(loadFor(0.0, false, false).mostBytesInTenSeconds <= most);
    CHECK(loadFor(0.2, false, false).mostBytesInTenSeconds <= most);
    CHECK(loadFor(0.0, true, false).mostBytesInTenSeconds > most);
}

TEST_CASE("a reservation whose answer got lost is found again instead of being made twice")
{
    CHECK(loadFor(0.2, false, false).loads > loadFor(0.2, false, true).loads);
    CHECK(loadFor(0.0, false, false).loads >= 58);
}

TEST_CASE("a reservation that was not used in time is void, and few are made ahead")
{
    // A holder that stood still comes back with reservations whose time is over. Used together they would exceed
    // the rate, and a holder that dies must not have filled the store's time for long.
    SimulatedPlatform platform;
    WeightRateOptions options;
    options.bytesPerSecond = Rate;
    WeightRate holder = makeWeightRate(options);
    TimePoint now{seconds(1000)};
    const auto wallAt = [](TimePoint time) {
        return WallTime(std::chrono::duration_cast<milliseconds>(time.time_since_epoch()));
    };
    for (int load = 0; load < 100; ++load) {
        reserve(holder, "load-" + std::to_string(load), LoadBytes);
    }
    for (int step = 0; step < 10; ++step) {
        for (const KvCommand &command : onTick(holder, now, wallAt(now))) {
            onKvReply(holder, platform.apply(command, now), now);
        }
    }
    CHECK(holder.granted.size() <= 32);
    CHECK(holder.granted.size() >= 29);
    const std::string first = holder.granted.begin()->first;
    CHECK(mayLoad(holder, first, wallAt(now) + seconds(1)));
    CHECK_FALSE(isVoid(holder, first, wallAt(now) + seconds(9)));
    CHECK_FALSE(mayLoad(holder, first, wallAt(now) + seconds(11)));
    CHECK(isVoid(holder, first, wallAt(now) + seconds(11)));
}
