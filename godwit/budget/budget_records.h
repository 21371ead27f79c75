#pragma once

// Keys and codecs of the budgets' records in the platform, and the operators' changes to them.
//
// The operators' functions change a decoded record. Their caller reads the key, decodes, applies, encodes and
// writes by compare-and-swap; after a lost answer it does the same again, since equal ids count once.
//
// Example:
//   const std::string key = budgetShardKey(budget, shardCount);
//   auto shard = decodeShard(reply.value, reason);
//   if (shard && topUp(*shard, budget, "order-18", 500'000, reason)) {
//       compareAndSwap(key, reply.version, encodeShard(*shard));
//   }

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/budget/ledger_record.h"
#include "godwit/budget/shard_record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

// No record is longer; the platform's values hold a megabyte.
constexpr std::size_t MaxRecordBytes = 1'000'000;

// Prefix of all ledger keys, for a List.
constexpr std::string_view LedgerKeyPrefix = "ledger/";

std::uint32_t budgetShard(const BudgetId &budget, std::uint32_t shardCount);
std::string budgetShardKey(std::uint32_t shard);
std::string budgetShardKey(const BudgetId &budget, std::uint32_t shardCount);
std::string ledgerKey(const Incarnation &incarnation);
std::uint64_t requestKeyHash(const RequestKey &key);

// Encodes as CBOR. The result can be longer than MaxRecordBytes; check before writing.
std::string encodeShard(const ShardRecord &shard);
std::string encodeLedger(const LedgerRecord &ledger);

// Decodes what the functions above encoded; nullopt with a reason for any other bytes. An empty value is an empty
// shard, since nobody has written it yet.
std::optional<ShardRecord> decodeShard(std::string_view bytes, LastReason &reason);
std::optional<LedgerRecord> decodeLedger(std::string_view bytes, LastReason &reason);

// Creates a budget. Repeating it with the same `operation` changes nothing and returns true; a budget that was
// created by another operation returns false.
bool createBudget(ShardRecord &shard,
                  const BudgetId &budget,
                  const CustomerId &customer,
                  Tokens prepaid,
                  std::string_view operation,
                  LastReason &reason);

// Adds `amount` to the prepaid total, once for each `operation` id.
bool topUp(ShardRecord &shard, const BudgetId &budget, std::string_view operation, Tokens amount, LastReason &reason);

// Takes `amount` off the prepaid total, once for each `operation` id: at once what is free, the rest as slices come
// back. What is billed meanwhile can't be taken; see BudgetView::reduction for what is still pending.
bool reduce(ShardRecord &shard, const BudgetId &budget, std::string_view operation, Tokens amount, LastReason &reason);

// A budget as operators see it.
struct BudgetView
{
    BudgetId budget;
    CustomerId customer;
    Tokens prepaid = 0;
    Tokens billed = 0;
    Tokens reduction = 0;
    Tokens free = 0;
    std::map<Incarnation, Tokens> held;
};

std::optional<BudgetView> showBudget(const ShardRecord &shard, const BudgetId &budget, LastReason &reason);

// Declares the bills on the witnesses of a closing ledger lost, so that its slices come back. Gives up the guarantee
// of no overspend when the router still runs, and loses the bills that only its witnesses had: make sure first that
// its host is off. Returns false when the ledger is not closing.
bool resolveDoubt(LedgerRecord &ledger, LastReason &reason);

} // namespace Godwit
