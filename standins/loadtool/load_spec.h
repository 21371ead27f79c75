#pragma once

// What the load tool sends, to whom and for how long.

#include "godwit/base/enum_names.h"
#include "godwit/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Godwit::Standins
{

enum class LoadKind {
    StreamedChat,
    PlainChat,
    Booking, // Not repeatable.
};

constexpr EnumName<LoadKind> LoadKindNames[] = {
    {LoadKind::StreamedChat, "streamed"},
    {LoadKind::PlainChat, "plain"},
    {LoadKind::Booking, "booking"},
};

constexpr std::size_t LoadKindCount = sizeof(LoadKindNames) / sizeof(LoadKindNames[0]);

struct LoadCustomer
{
    std::string name;
    std::string key;
    double share = 1;
};

struct LoadSpec
{
    // Routers that are asked for addresses; with `direct`, what the calls go to.
    std::vector<std::string> targets;
    // The targets are relays: no addresses are asked for, and bookings go to the service's own path.
    bool direct = false;

    double rate = 50; // Calls a second, over all threads, with open-loop arrivals.
    std::size_t connections = 0; // Above 0: closed loop of so many callers instead.
    Duration duration = std::chrono::seconds(10);
    std::array<double, LoadKindCount> mix{{1, 1, 1}};
    std::vector<LoadCustomer> customers;

    std::string model = "matching";
    std::string service = "bookings";
    std::string servicePath = "/call/slot";
    bool lookups = false; // The calls of the service are lookups, which may be repeated, instead of bookings.
    std::int64_t maxTokens = 32;
    std::size_t promptBytes = 400;
    std::size_t prefixes = 20; // Different prompt beginnings: half of the prompt is shared by the calls of one prefix.
    int priority = 0;
    std::int64_t deadlineMs = 0; // 0: no header.

    int attempts = 4; // The first one and the repeats with the same id.
    Duration longestRetryWait = std::chrono::seconds(2); // A longer Retry-After ends the call.
    Duration timeout = std::chrono::seconds(30); // Of one attempt.
    std::size_t maxInFlight = 20'000; // Calls beyond are not sent and counted as such.
    std::size_t threads = 1;
    std::uint64_t seed = 1;
};

} // namespace Godwit::Standins
