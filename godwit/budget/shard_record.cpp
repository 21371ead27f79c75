#include "godwit/budget/shard_record.h"

#include "godwit/budget/ledger_record.h"

#include <algorithm>
#include <unordered_set>

namespace Godwit
{

Tokens heldTokens(const BudgetRecord &budget)
{
    Tokens sum = 0;
    for (const auto &[holder, slice] : budget.held) {
        sum += slice.amount;
    }
    return sum;
}

Tokens freeTokens(const BudgetRecord &budget)
{
    return std::max<Tokens>(0, budget.prepaid - budget.billed - heldTokens(budget) - budget.reduction);
}

void absorbReduction(BudgetRecord &budget)
{
    budget.reduction = std::min(budget.reduction, budget.prepaid - budget.billed);
    const Tokens unheld = budget.prepaid - budget.billed - heldTokens(budget);
    const Tokens taken = std::min(budget.reduction, unheld);
    budget.prepaid -= taken;
    budget.reduction -= taken;
}

std::vector<std::uint64_t> foldBills(ShardRecord &shard,
                                     const Incarnation &writer,
                                     const std::deque<LedgerBill> &bills,
                                     const FoldRules &rules)
{
    std::vector<std::uint64_t> duplicates;
    std::unordered_set<std::uint64_t> billed(shard.billedKeys.begin(), shard.billedKeys.end());
    for (const LedgerBill &bill : bills) {
        const auto budget = shard.budgets.find(bill.budget);
        if (budget == shard.budgets.end()) {
            continue;
        }
        // A caller that repeats its request at another router, because the first one's answer was late or lost,
        // would otherwise pay for both runs.
        if (!billed.insert(bill.keyHash).second && !rules.ignoreKeys) {
            duplicates.push_back(bill.sequence);
            continue;
        }
        Tokens &held = budget->second.held[writer].amount;
        // The slice covers its bills by construction; the bound keeps the invariant even against a faulty writer.
        const Tokens amount = std::min(bill.amount, held);
        held -= amount;
        budget->second.billed += amount;
        shard.billedKeys.push_back(bill.keyHash);
    }
    while (shard.billedKeys.size() > rules.keysKept) {
        shard.billedKeys.pop_front();
    }
    return duplicates;
}

void closeWriter(ShardRecord &shard,
                 const Incarnation &gone,
                 const std::deque<LedgerBill> &bills,
                 const FoldRules &rules)
{
    const auto mark = shard.marks.find(gone);
    if (mark == shard.marks.end()) {
        return;
    }
    std::deque<LedgerBill> unfolded;
    for (const LedgerBill &bill : bills) {
        // The router may have folded this bill before it died: without its mark the bill would count twice.
        if (bill.sequence > mark->second.foldedThrough || rules.ignoreMark) {
            unfolded.push_back(bill);
        }
    }
    foldBills(shard, gone, unfolded, rules);
    for (auto &[id, budget] : shard.budgets) {
        if (budget.held.erase(gone) > 0) {
            absorbReduction(budget);
        }
    }
    shard.marks.erase(mark);
}

} // namespace Godwit
