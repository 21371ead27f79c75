#pragma once

// The two records in the platform that keep prepaid totals safe, and their JSON codec.
//
// The ledger is shared by all routers and written under a condition on its revision. In every stored version, for
// each customer: spent + sum(granted) <= total, unless the operators have lowered the total below that.
// A mark belongs to one router. It says how far the router goes until some time after the mark was written.
//
// Example:
//   LastReason reason;
//   const auto ledger = decodePrepaidLedger(bytes, reason);
//   const Tokens room = roomOf(ledger->customers.at(customer));

#include "godwit/base/error.h"
#include "godwit/base/ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

// One router as the ledger names it: the address that callers connect to, which outlives a restart of the process.
using HolderId = StrongId<struct HolderTag, std::string>;

struct LedgerAccount
{
    Tokens total = 0; // As the document of PrepaidLedger::documentVersion gives it.
    Tokens spent = 0; // Charged for good, by routers that have ended.
    // Part of `spent` that may never have been used: a router died and only its mark was known.
    Tokens unsure = 0;
    // How far each router may go in all: used, plus sent to others, less received from others.
    std::map<HolderId, Tokens> granted;
};

struct PrepaidLedger
{
    std::uint64_t documentVersion = 0;
    std::map<CustomerId, LedgerAccount> accounts;
};

struct Mark
{
    Tokens limit = 0; // The router goes no further than this while the mark binds.
    Tokens used = 0; // Where it was when it wrote the mark.
    Tokens growthPerSecond = 0; // How fast the limit grows once the mark binds no more.
    // How long the limit stands, and so for how long a successor may trust it.
    std::chrono::milliseconds fixedPeriod{};
};

// A moment as one host knows it. Unlike the time of day, the uptime makes no jumps; it starts anew with the host.
struct HostTime
{
    std::chrono::milliseconds uptime{}; // Counts while the host is suspended.
    std::chrono::milliseconds wall{}; // Since the Unix epoch.
    std::string boot; // Which start of the host; empty when the system does not tell.
};

struct MarkRecord
{
    // The process that wrote it. A process that finds its own mark knows that its write took effect.
    Incarnation writer;
    HostTime writtenAt;
    // The time of day that the writer started with, carried on by the uptime: it does not follow later steps.
    std::chrono::milliseconds steadyWall{};
    std::map<CustomerId, Mark> marks;
    // Written by a stop, together with the ledger that has all given back. A process that finds its own knows that, and
    // a successor has nothing to take over.
    bool returned = false;
};

// A mark's limit grows no longer than this. A successor whose clocks can't place the mark charges no more than all of
// the growth: a time of day that jumps beside a loss of power cost whole grants, and with them most of a budget. The
// store is away for some 9 s at a time, and 2.3 s of lead and 5 s of growth at twice the demand last for 12 s.
inline constexpr std::chrono::milliseconds MarkGrowthPeriod{5000};

// How far a mark lets its router go when it is `age` old. The router reckons with the least age that its clocks allow
// and its successor with the greatest, so that the one never goes beyond what the other charges.
Tokens limitAtAge(const Mark &mark, std::chrono::milliseconds age);

// How far it lets its router go at any age.
Tokens maxLimitOf(const Mark &mark);

// What is neither spent nor granted. Negative after the total was lowered.
Tokens unallocatedTokens(const LedgerAccount &account);

std::string encodePrepaidLedger(const PrepaidLedger &ledger);
std::optional<PrepaidLedger> decodePrepaidLedger(std::string_view bytes, LastReason &reason);

std::string encodeMark(const MarkRecord &mark);
std::optional<MarkRecord> decodeMark(std::string_view bytes, LastReason &reason);

} // namespace Godwit
