#pragma once

// The platform's record of one router incarnation's own bills.
//
// Only its router writes it while it is open. Other routers may move it to closing, and to closed once one witness
// of each group is sealed; the router may reopen it from closing.
//
// Example:
//   LedgerRecord ledger;
//   ledger.bills.push_back({1, BudgetId{"north-2026"}, keyHash, 1200});
//   ledger.recordedThrough = 1;

#include "godwit/base/ids.h"

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace Godwit
{

// One bill that may not be folded yet.
struct LedgerBill
{
    // Counts the bills of one incarnation, over all budgets, from 1.
    std::uint64_t sequence = 0;
    BudgetId budget;
    // Hash of the request key; see requestKeyHash().
    std::uint64_t keyHash = 0;
    Tokens amount = 0;
};

enum class LedgerState {
    Open,
    Closing, // Appends fail; the tail on the witnesses is being collected.
    Closed, // Complete: the slices can go back. Without shards they have gone back.
};

// The routers that hold copies of the bills that the ledger does not have yet. A bill may be released when all of
// one group have it, so one sealed member of each group tells every bill that can have been released.
struct WitnessGroups
{
    std::vector<Incarnation> far; // In other data centres.
    std::vector<Incarnation> near; // In the router's own data centre, for when it is cut off.
};

struct LedgerRecord
{
    LedgerState state = LedgerState::Open;
    // Counts reopenings. Copies of an epoch that a witness sealed are refused.
    std::uint64_t epoch = 1;
    // Counts the router's writes, so that it recognises its own after a lost answer.
    std::uint64_t write = 0;
    // Each bill up to this sequence number is in `bills` or folded into its shard.
    std::uint64_t recordedThrough = 0;
    WitnessGroups witnesses;
    // The shards in which it may hold slices; written before the first draw there.
    std::set<std::uint32_t> shards;
    std::deque<LedgerBill> bills;
};

} // namespace Godwit
