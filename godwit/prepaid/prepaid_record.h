#pragma once

// The two records in the platform's key-value store that keep prepaid totals safe, and their JSON codec.
//
// The ledger is shared by all routers; every write is conditional on its revision. In every stored version, for each
// customer: spent + sum(granted) <= total, unless the operators have lowered the total below that.
//
// A mark record belongs to one router. For each customer it holds a high-water mark that bounds the router's usage as a
// function of the time since the record was written.
//
// Example:
//   LastReason reason;
//   const auto ledger = decodePrepaidLedger(bytes, reason);
//   const Tokens unallocated = unallocatedTokens(ledger->accounts.at(customer));

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

// Identifies a router in the ledger: the address that callers connect to, which stays the same when the process
// restarts.
using HolderId = StrongId<struct HolderTag, std::string>;

struct LedgerAccount
{
    Tokens total = 0; // From the document of PrepaidLedger::documentVersion.
    Tokens spent = 0; // Final charges, by routers that have ended.
    // Part of `spent` that may not have been used: charged for a router that died and left only its mark.
    Tokens unsure = 0;
    // Upper bound on each router's net usage: tokens used, plus sent to other routers, less received from them.
    std::map<HolderId, Tokens> granted;
};

struct PrepaidLedger
{
    std::uint64_t documentVersion = 0;
    std::map<CustomerId, LedgerAccount> accounts;
};

struct Mark
{
    Tokens limit = 0; // Upper bound on the router's net usage during `fixedPeriod`.
    Tokens used = 0; // Net usage when the mark was written.
    Tokens growthPerSecond = 0; // Growth rate of the limit after `fixedPeriod`.
    // How long the limit stays fixed after the write. A successor that starts within this time charges no more than
    // `limit`.
    std::chrono::milliseconds fixedPeriod{};
};

// A point in time by one host's clocks. Unlike the time of day, the uptime is never stepped; it restarts with the host.
struct HostTime
{
    std::chrono::milliseconds uptime{}; // Includes time during which the host is suspended.
    std::chrono::milliseconds wall{}; // Since the Unix epoch.
    std::string boot; // Identifies the boot of the host; empty if the system does not provide it.
};

struct MarkRecord
{
    // The process that wrote the record. A process that reads back its own record knows that its write took effect.
    Incarnation writer;
    HostTime writtenAt;
    // The wall time at which the writer started plus the uptime since then, so that later clock steps are not included.
    std::chrono::milliseconds steadyWall{};
    std::map<CustomerId, Mark> marks;
    // Set by a planned stop, in the same transaction as a ledger without this router's grants. A process that reads
    // back its own such record knows that the return took effect; a successor has nothing to take over.
    bool returned = false;
};

// How long a mark's limit grows after its fixed period. If a successor's clocks cannot determine the mark's age, it
// charges the full growth but no more: charging the whole grant made a clock step during a power failure cost most of a
// budget. Store outages last some 9 s; 2.3 s of write-ahead and 5 s of growth at twice the demand cover 12 s.
inline constexpr std::chrono::milliseconds MarkGrowthPeriod{5000};

// The mark's limit when it is `age` old. The router passes the smallest age that its clocks allow and its successor the
// largest, so that the router never uses more than its successor charges.
Tokens limitAtAge(const Mark &mark, std::chrono::milliseconds age);

// The largest limit that the mark reaches at any age.
Tokens maxLimitOf(const Mark &mark);

// Tokens that are neither spent nor granted. May be negative after the total was lowered.
Tokens unallocatedTokens(const LedgerAccount &account);

std::string encodePrepaidLedger(const PrepaidLedger &ledger);
std::optional<PrepaidLedger> decodePrepaidLedger(std::string_view bytes, LastReason &reason);

std::string encodeMark(const MarkRecord &mark);
std::optional<MarkRecord> decodeMark(std::string_view bytes, LastReason &reason);

} // namespace Godwit
