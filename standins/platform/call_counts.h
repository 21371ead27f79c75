#pragma once

// Counts of the platform's calls, in total and at the busiest second.
//
// Example:
//   CallCounts counts;
//   countCall(counts, CallKind::Put, "r1", 120, now);
//   toJson(counts);   // {"writes": 1, "calls": {"put": 1, ...}, ...}

#include "godwit/base/enum_names.h"
#include "godwit/base/time.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Godwit::Standins
{

enum class CallKind {
    Get,
    Put,
    Delete,
    List,
    Watch,
    LeaseGrant,
    LeaseRenew,
    LeaseEnd,
    Hosts,
};

constexpr EnumName<CallKind> CallKindNames[] = {
    {CallKind::Get, "get"},
    {CallKind::Put, "put"},
    {CallKind::Delete, "delete"},
    {CallKind::List, "list"},
    {CallKind::Watch, "watch"},
    {CallKind::LeaseGrant, "lease_grant"},
    {CallKind::LeaseRenew, "lease_renew"},
    {CallKind::LeaseEnd, "lease_end"},
    {CallKind::Hosts, "hosts"},
};

constexpr std::size_t CallKindCount = sizeof(CallKindNames) / sizeof(CallKindNames[0]);

// Calls in the current second and the most of any second so far.
struct SecondPeak
{
    std::int64_t second = 0;
    std::uint64_t current = 0;
    std::uint64_t peak = 0;
};

struct CallCounts
{
    std::array<std::uint64_t, CallKindCount> calls{};
    std::map<std::string, std::uint64_t> callsOfHost;
    std::uint64_t reads = 0; // A waiting watch counts as one.
    std::uint64_t writes = 0;
    SecondPeak readPeak;
    SecondPeak writePeak;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t answersLost = 0;
    std::uint64_t refused = 0;
};

// True for the kinds that change the store.
bool isWrite(CallKind kind);

void countCall(CallCounts &counts, CallKind kind, const std::string &host, std::size_t bodyBytes, TimePoint now);

nlohmann::json toJson(const CallCounts &counts);

} // namespace Godwit::Standins
