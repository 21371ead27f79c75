#pragma once

// The weight store's rate, shared by all holders of engine groups.
//
// One record in the platform, `orders/weights`, says when the store is free again. Whoever wants to order a load
// moves that moment by the load's size over the rate, with a compare-and-swap, and may order at the moment that
// stood before. The sum of all reservations is a straight line of the rate, whoever makes them; a holder that dies
// wastes its reservation and nothing else. Hosts' wall clocks may differ: a clock that is ahead by d lets at most
// d times the rate through early.
//
// Example:
//   WeightRate rate = makeWeightRate({TagBase, 1e9});
//   reserve(rate, "load-7", 40'000'000'000);
//   for (auto &command : onTick(rate, now, wall)) { send(command); }
//   if (mayLoad(rate, "load-7", wall)) { ... }

#include "godwit/base/kv.h"
#include "godwit/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

constexpr std::string_view WeightRateKey = "orders/weights";

struct WeightRateOptions
{
    std::uint64_t tagBase = 0; // Tags are tagBase + a counter below 2^32.
    double bytesPerSecond = 1e9;
    // Nothing is reserved further ahead, so that a holder that dies wastes little.
    std::chrono::milliseconds maxAhead = std::chrono::seconds(60);
    // A reservation that wasn't used by then is void: late ones together would exceed the rate.
    std::chrono::milliseconds usableFor = std::chrono::seconds(10);
    Duration retryEvery = std::chrono::milliseconds(500);
    std::size_t maxWanted = 256;
    // Fault switches for tests: loads start at once; a reservation whose answer got lost is made again.
    bool faultNoSharing = false;
    bool faultForgetOwnIds = false;
};

struct WeightRate
{
    WeightRateOptions options;
    std::map<std::string, std::uint64_t> wanted; // Reservation id and bytes.
    std::map<std::string, WallTime> granted; // When each may start.
    std::uint64_t version = 0;
    std::string record;
    std::uint64_t nextTag = 1;
    std::uint64_t openTag = 0;
    bool known = false; // `record` and `version` are the platform's, as far as this router knows.
    std::vector<std::string> asked; // Ids in the open write.
    TimePoint nextAttempt{};
};

WeightRate makeWeightRate(WeightRateOptions options);

// Wants `bytes` under `id`, once. Returns false when too many wait.
bool reserve(WeightRate &rate, const std::string &id, std::uint64_t bytes);

// Forgets a reservation, made or not.
void cancel(WeightRate &rate, const std::string &id);

// True once the reservation is too old to be used: cancel it and reserve under a new id.
bool isVoid(const WeightRate &rate, const std::string &id, WallTime wall);

// True from the moment that the reservation names until it is void.
bool mayLoad(const WeightRate &rate, const std::string &id, WallTime wall);

std::vector<KvCommand> onTick(WeightRate &rate, TimePoint now, WallTime wall);

// Returns false for a foreign tag.
bool onKvReply(WeightRate &rate, const KvReply &reply, TimePoint now);

} // namespace Godwit
