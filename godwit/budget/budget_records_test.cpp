#include "godwit/budget/budget_messages.h"
#include "godwit/budget/budget_records.h"
#include "godwit/budget/testing/fake_kv.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Godwit;

namespace
{

const BudgetId Budget{"north-2026"};
const CustomerId Customer{"north"};

ShardRecord filledShard()
{
    ShardRecord shard;
    LastReason reason;
    REQUIRE(createBudget(shard, Budget, Customer, 1000, "order-1", reason));
    shard.marks[Incarnation{"a.1"}] = {7, 3};
    shard.budgets[Budget].held[Incarnation{"a.1"}] = {300, 12};
    shard.budgets[Budget].billed = 200;
    shard.billedKeys = {1, 0xffffffffffffffffULL};
    return shard;
}

LedgerRecord filledLedger()
{
    LedgerRecord ledger;
    ledger.state = LedgerState::Closing;
    ledger.epoch = 3;
    ledger.write = 9;
    ledger.recordedThrough = 12;
    ledger.witnesses.far = {Incarnation{"b.1"}, Incarnation{"c.1"}};
    ledger.witnesses.near = {Incarnation{"a.2"}};
    ledger.shards = {0, 63};
    ledger.bills = {{11, Budget, 5, 100}, {12, BudgetId{"other"}, 6, 0}};
    return ledger;
}

// One operator's change as the tool makes it: read, apply, write, and all over again after a conflict.
bool changeUntilWritten(FakeKv &kv, const FakeKvEntry &firstRead, std::string_view operation, Tokens amount)
{
    const std::string key = budgetShardKey(Budget, 1);
    FakeKvEntry read = firstRead;
    for (;;) {
        LastReason reason;
        auto shard = decodeShard(read.value, reason);
        if (!shard || !topUp(*shard, Budget, operation, amount, reason)) {
            return false;
        }
        KvCommand swap;
        swap.verb = KvVerb::CompareAndSwap;
        swap.key = key;
        swap.expectedVersion = read.version;
        swap.value = encodeShard(*shard);
        const KvReply reply = applyCommand(kv, swap);
        if (reply.status == KvStatus::Ok) {
            return true;
        }
        read = {reply.version, reply.value};
    }
}

} // namespace

TEST_CASE("records survive encoding")
{
    LastReason reason;
    const auto shard = decodeShard(encodeShard(filledShard()), reason);
    REQUIRE(shard);
    CHECK(encodeShard(*shard) == encodeShard(filledShard()));
    CHECK(shard->budgets.at(Budget).held.at(Incarnation{"a.1"}).amount == 300);
    CHECK(shard->budgets.at(Budget).held.at(Incarnation{"a.1"}).demand == 12);
    CHECK(shard->marks.at(Incarnation{"a.1"}).foldedThrough == 3);
    CHECK(shard->billedKeys == filledShard().billedKeys);

    const auto ledger = decodeLedger(encodeLedger(filledLedger()), reason);
    REQUIRE(ledger);
    CHECK(encodeLedger(*ledger) == encodeLedger(filledLedger()));
    CHECK(ledger->bills.at(1).budget == BudgetId{"other"});
    CHECK(ledger->witnesses.near.size() == 1);
    CHECK(decodeShard("", reason)->budgets.empty());
}

TEST_CASE("broken bytes give a reason, never a record that breaks the invariant")
{
    // A peer or the platform hands over bytes that were cut, changed or made up. Whatever decodes must be safe to use.
    std::mt19937 random(20261202);
    const std::string samples[] = {
        encodeShard(filledShard()),
        encodeLedger(filledLedger()),
        encodeBudgetMessage(SealedTail{Incarnation{"a.1"}, 3, filledLedger().bills}),
    };
    for (const std::string &sample : samples) {
        for (std::size_t length = 1; length < sample.size(); ++length) {
            LastReason reason;
            CHECK_FALSE(decodeShard(sample.substr(0, length), reason));
            CHECK_FALSE(decodeLedger(sample.substr(0, length), reason));
            CHECK_FALSE(decodeBudgetMessage(sample.substr(0, length), reason));
            CHECK(reason);
        }
        for (int i = 0; i < 20'000; ++i) {
            std::string changed = sample;
            changed[random() % changed.size()] = static_cast<char>(random());
            LastReason reason;
            if (const auto shard = decodeShard(changed, reason)) {
                for (const auto &[id, budget] : shard->budgets) {
                    REQUIRE(budget.billed + heldTokens(budget) <= budget.prepaid);
                }
            }
            decodeLedger(changed, reason);
            decodeBudgetMessage(changed, reason);
        }
    }
    LastReason reason;
    CHECK_FALSE(decodeShard(std::string(900'000, '\x81'), reason));
    CHECK_FALSE(decodeBudgetMessage("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", reason));
    CHECK_FALSE(decodeShard(std::string(MaxRecordBytes + 1, '\0'), reason));
}

TEST_CASE("operators' changes count once for each id and refuse what makes no sense")
{
    ShardRecord shard;
    LastReason reason;
    CHECK(createBudget(shard, Budget, Customer, 1000, "order-1", reason));
    CHECK(createBudget(shard, Budget, Customer, 1000, "order-1", reason));
    CHECK_FALSE(createBudget(shard, Budget, Customer, 1000, "order-2", reason));
    CHECK(reason->kind == ErrorKind::RevisionConflict);
    CHECK(topUp(shard, Budget, "order-3", 500, reason));
    CHECK(topUp(shard, Budget, "order-3", 500, reason));
    CHECK(showBudget(shard, Budget, reason)->prepaid == 1500);
    CHECK(reduce(shard, Budget, "refund-1", 200, reason));
    CHECK(reduce(shard, Budget, "refund-1", 200, reason));
    CHECK(showBudget(shard, Budget, reason)->prepaid == 1300);
    CHECK_FALSE(topUp(shard, Budget, "order-4", -1, reason));
    CHECK_FALSE(topUp(shard, Budget, "order-4", MaxTokens, reason));
    CHECK_FALSE(topUp(shard, BudgetId{"none"}, "order-4", 1, reason));
    CHECK(reason->kind == ErrorKind::UnknownBudget);
    CHECK_FALSE(showBudget(shard, BudgetId{"none"}, reason));
    LedgerRecord open;
    CHECK_FALSE(resolveDoubt(open, reason));
}

TEST_CASE("a reduction never takes what is billed")
{
    ShardRecord shard = filledShard();
    LastReason reason;
    CHECK(reduce(shard, Budget, "refund", 5000, reason));
    CHECK(showBudget(shard, Budget, reason)->prepaid == 500);
    CHECK(showBudget(shard, Budget, reason)->reduction == 300);
    shard.budgets[Budget].held.clear();
    absorbReduction(shard.budgets[Budget]);
    CHECK(showBudget(shard, Budget, reason)->prepaid == 200);
    CHECK(showBudget(shard, Budget, reason)->reduction == 0);
}

TEST_CASE("two operators change one shard at the same time")
{
    // Both tools read the same version. The slower one's write conflicts; it applies its change to what the reply
    // shows. Neither top-up is lost, and a repeat of the first after a lost answer counts once.
    FakeKv kv;
    ShardRecord shard;
    LastReason reason;
    REQUIRE(createBudget(shard, Budget, Customer, 1000, "order-1", reason));
    kv.entries[budgetShardKey(Budget, 1)] = {1, encodeShard(shard)};
    const FakeKvEntry read = kv.entries[budgetShardKey(Budget, 1)];
    CHECK(changeUntilWritten(kv, read, "first", 100));
    CHECK(changeUntilWritten(kv, read, "second", 10));
    CHECK(changeUntilWritten(kv, read, "first", 100));
    const auto written = decodeShard(kv.entries[budgetShardKey(Budget, 1)].value, reason);
    CHECK(showBudget(*written, Budget, reason)->prepaid == 1110);
}

TEST_CASE("request keys of different customers never meet")
{
    CHECK(requestKeyHash({CustomerId{"a"}, "bc"}) != requestKeyHash({CustomerId{"ab"}, "c"}));
}
