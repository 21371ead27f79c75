#pragma once

// What the budgets of two routers say to each other.
//
// Example:
//   out.push_back(PeerSend{witness, encodeBudgetMessage(CopyAck{epoch, through, false})});

#include "godwit/base/error.h"
#include "godwit/base/ids.h"
#include "godwit/budget/ledger_record.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Godwit
{

// No message between routers is longer.
constexpr std::size_t MaxBudgetMessageBytes = 1'000'000;

// To a witness: keep these bills of mine. All my bills up to `base` are in my ledger or folded, and those of
// (after, through] that aren't folded are here; `after` is what the witness acknowledged.
struct BillCopy
{
    std::uint64_t epoch = 0;
    std::uint64_t base = 0;
    std::uint64_t after = 0;
    std::uint64_t through = 0;
    std::deque<LedgerBill> bills;
};

// From a witness: I have your bills up to `through`; or, when sealed, I take no more of this epoch.
struct CopyAck
{
    std::uint64_t epoch = 0;
    std::uint64_t through = 0;
    bool sealed = false;
};

// From a closer to a witness: take no more copies of `about` in this epoch, and tell me what you have.
struct SealRequest
{
    Incarnation about;
    std::uint64_t epoch = 0;
};

// From a sealed witness to a closer.
struct SealedTail
{
    Incarnation about;
    std::uint64_t epoch = 0;
    std::deque<LedgerBill> bills;
};

// To a witness: the ledger of `about` is complete; its copies may go. The seal stays.
struct ForgetTail
{
    Incarnation about;
};

// To a holder: calls wait for this budget here; return what you don't need soon.
struct NeedBudget
{
    BudgetId budget;
};

using BudgetMessage = std::variant<BillCopy, CopyAck, SealRequest, SealedTail, ForgetTail, NeedBudget>;

std::string encodeBudgetMessage(const BudgetMessage &message);
std::optional<BudgetMessage> decodeBudgetMessage(std::string_view cbor, LastReason &reason);

} // namespace Godwit
