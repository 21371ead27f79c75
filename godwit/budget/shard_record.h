#pragma once

// The platform's record of the budgets of one shard.
//
// In every stored version each budget keeps billed + sum(held) <= prepaid. Whoever changes a record does it by one
// compare-and-swap over the whole shard, so the invariant needs no other lock.
//
// Example:
//   ShardRecord shard;
//   createBudget(shard, BudgetId{"north-2026"}, CustomerId{"north"}, 1'000'000, "order-17", reason);
//   Tokens rest = freeTokens(shard.budgets.at(BudgetId{"north-2026"}));

#include "godwit/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace Godwit
{

struct LedgerBill;

// Ids of changes by operators that a budget remembers; a repeated id among them counts once.
constexpr std::size_t OperationIdsKept = 1024;

// The largest amount that a record takes; sums of a few of them can't overflow.
constexpr Tokens MaxTokens = 1'000'000'000'000'000;

// What one router incarnation may spend of a budget, and what it expects to.
struct HeldSlice
{
    // Covers the incarnation's bills until they are folded.
    Tokens amount = 0;
    // Tokens a second; the others size their slices by it.
    Tokens demand = 0;
};

struct BudgetRecord
{
    CustomerId customer;
    Tokens prepaid = 0;
    Tokens billed = 0;
    // Still to be taken off `prepaid` as slices come back.
    Tokens reduction = 0;
    // Hashes of the last OperationIdsKept ids of top-ups and reductions, oldest first.
    std::deque<std::uint64_t> operations;
    std::map<Incarnation, HeldSlice> held;
};

// What one incarnation last wrote to a shard.
struct WriterMark
{
    // The number of its last write that took effect.
    std::uint64_t write = 0;
    // All its bills of this shard up to this sequence number are in `billed`.
    std::uint64_t foldedThrough = 0;
};

struct ShardRecord
{
    std::map<BudgetId, BudgetRecord> budgets;
    // Every holder has a mark. A missing mark tells a router that it was closed.
    std::map<Incarnation, WriterMark> marks;
    // Hashes of the request keys billed last, oldest first.
    std::deque<std::uint64_t> billedKeys;
};

// Returns the sum of all slices.
Tokens heldTokens(const BudgetRecord &budget);

// Returns what may be drawn: prepaid, less billed, held and what a reduction still takes.
Tokens freeTokens(const BudgetRecord &budget);

// Takes as much of a pending reduction as is free now.
void absorbReduction(BudgetRecord &budget);

struct FoldRules
{
    // Bounds the memory for request keys.
    std::size_t keysKept = 0;
    // Take safeguards out, in tests only.
    bool ignoreKeys = false;
    bool ignoreMark = false;
};

// Moves `bills` from the slices of `writer` to the billed totals. A bill whose request key was billed already stays in
// the slice; the sequence numbers of those are returned.
std::vector<std::uint64_t> foldBills(ShardRecord &shard,
                                     const Incarnation &writer,
                                     const std::deque<LedgerBill> &bills,
                                     const FoldRules &rules);

// Returns every slice of `gone`, after folding those of its bills that its mark does not cover yet, and removes its
// mark. Without a mark nothing is done: someone did it before.
void closeWriter(ShardRecord &shard,
                 const Incarnation &gone,
                 const std::deque<LedgerBill> &bills,
                 const FoldRules &rules);

} // namespace Godwit
