#include "godwit/budget/budget_records.h"

#include "godwit/base/hash.h"
#include "godwit/budget/cbor.h"

#include <algorithm>

namespace Godwit
{
namespace
{

using nlohmann::json;

constexpr std::uint64_t RecordVersion = 1;
constexpr std::size_t BillFields = 4;
constexpr std::size_t BudgetFields = 6;
constexpr std::size_t HeldFields = 3;
constexpr std::uint32_t MaxShardNumber = 1U << 20U;

Error malformedRecord(const char *field)
{
    Error error;
    error.kind = ErrorKind::Internal;
    error.message = std::string("a budget record in the platform has a bad field \"") + field
        + "\"; restore the key from the platform's history";
    return error;
}

Error operatorError(ErrorKind kind, std::string message)
{
    Error error;
    error.kind = kind;
    error.message = std::move(message);
    return error;
}

json encodeBudget(const BudgetRecord &budget, const std::map<Incarnation, std::size_t> &writers)
{
    json held = json::array();
    for (const auto &[holder, slice] : budget.held) {
        const auto index = writers.find(holder);
        if (index != writers.end() && (slice.amount > 0 || slice.demand > 0)) {
            held.push_back(index->second);
            held.push_back(static_cast<std::uint64_t>(slice.amount));
            held.push_back(static_cast<std::uint64_t>(slice.demand));
        }
    }
    return json::array({budget.customer.value,
                        static_cast<std::uint64_t>(budget.prepaid),
                        static_cast<std::uint64_t>(budget.billed),
                        static_cast<std::uint64_t>(budget.reduction),
                        internal::packHashes(budget.operations),
                        std::move(held)});
}

bool decodeHeld(const json &value, const std::vector<Incarnation> &writers, BudgetRecord &budget)
{
    if (!value.is_array() || value.size() % HeldFields != 0) {
        return false;
    }
    for (std::size_t i = 0; i < value.size(); i += HeldFields) {
        std::uint64_t index = 0;
        HeldSlice slice;
        if (!internal::readUnsigned(value[i], index) || index >= writers.size()) {
            return false;
        }
        if (!internal::readAmount(value[i + 1], slice.amount) || !internal::readAmount(value[i + 2], slice.demand)
            || !budget.held.emplace(writers[index], slice).second) {
            return false;
        }
    }
    return true;
}

bool decodeBudget(const json &value, const std::vector<Incarnation> &writers, BudgetRecord &budget)
{
    if (!value.is_array() || value.size() != BudgetFields) {
        return false;
    }
    auto operations = internal::unpackHashes(value[4]);
    if (!operations) {
        return false;
    }
    budget.operations = std::move(*operations);
    return internal::readString(value[0], budget.customer.value) && internal::readAmount(value[1], budget.prepaid)
        && internal::readAmount(value[2], budget.billed) && internal::readAmount(value[3], budget.reduction)
        && decodeHeld(value[5], writers, budget) && budget.billed + heldTokens(budget) <= budget.prepaid;
}

bool decodeMarks(const json &names, const json &numbers, ShardRecord &shard, std::vector<Incarnation> &writers)
{
    if (!names.is_array() || !numbers.is_array() || numbers.size() != 2 * names.size()) {
        return false;
    }
    for (std::size_t i = 0; i < names.size(); ++i) {
        Incarnation writer;
        WriterMark mark;
        if (!internal::readString(names[i], writer.value) || !internal::readUnsigned(numbers[2 * i], mark.write)
            || !internal::readUnsigned(numbers[2 * i + 1], mark.foldedThrough)
            || !shard.marks.emplace(writer, mark).second) {
            return false;
        }
        writers.push_back(std::move(writer));
    }
    return true;
}

bool hasVersion(const json &value)
{
    std::uint64_t version = 0;
    return internal::readUnsigned(internal::member(value, "v"), version) && version == RecordVersion;
}

json encodeNames(const std::vector<Incarnation> &names)
{
    json value = json::array();
    for (const Incarnation &name : names) {
        value.push_back(name.value);
    }
    return value;
}

bool decodeNames(const json &value, std::vector<Incarnation> &names)
{
    if (!value.is_array()) {
        return false;
    }
    for (const json &name : value) {
        Incarnation incarnation;
        if (!internal::readString(name, incarnation.value)) {
            return false;
        }
        names.push_back(std::move(incarnation));
    }
    return true;
}

bool decodeShardNumbers(const json &value, std::set<std::uint32_t> &shards)
{
    if (!value.is_array()) {
        return false;
    }
    for (const json &number : value) {
        std::uint64_t shard = 0;
        if (!internal::readUnsigned(number, shard) || shard >= MaxShardNumber) {
            return false;
        }
        shards.insert(static_cast<std::uint32_t>(shard));
    }
    return true;
}

BudgetRecord *findBudget(ShardRecord &shard, const BudgetId &budget, LastReason &reason)
{
    const auto found = shard.budgets.find(budget);
    if (found == shard.budgets.end()) {
        reason = operatorError(ErrorKind::UnknownBudget, "there is no budget \"" + budget.value + "\"");
        return nullptr;
    }
    return &found->second;
}

bool isAmount(Tokens amount, LastReason &reason)
{
    if (amount >= 0 && amount <= MaxTokens) {
        return true;
    }
    reason = operatorError(ErrorKind::MalformedRequest,
                           "an amount must lie between 0 and " + std::to_string(MaxTokens) + " tokens");
    return false;
}

bool wasApplied(const BudgetRecord &budget, std::uint64_t operation)
{
    return std::find(budget.operations.begin(), budget.operations.end(), operation) != budget.operations.end();
}

void remember(BudgetRecord &budget, std::uint64_t operation)
{
    budget.operations.push_back(operation);
    if (budget.operations.size() > OperationIdsKept) {
        budget.operations.pop_front();
    }
}

} // namespace

namespace internal
{

json encodeBills(const std::deque<LedgerBill> &bills)
{
    std::map<BudgetId, std::size_t> indices;
    json names = json::array();
    json fields = json::array();
    for (const LedgerBill &bill : bills) {
        const auto [index, added] = indices.emplace(bill.budget, indices.size());
        if (added) {
            names.push_back(bill.budget.value);
        }
        fields.push_back(bill.sequence);
        fields.push_back(index->second);
        fields.push_back(bill.keyHash);
        fields.push_back(static_cast<std::uint64_t>(bill.amount));
    }
    return json::array({std::move(names), std::move(fields)});
}

bool decodeBills(const json &value, std::deque<LedgerBill> &bills)
{
    if (!value.is_array() || value.size() != 2 || !value[0].is_array() || !value[1].is_array()) {
        return false;
    }
    const json &names = value[0];
    const json &fields = value[1];
    if (fields.size() % BillFields != 0) {
        return false;
    }
    for (std::size_t at = 0; at < fields.size(); at += BillFields) {
        LedgerBill bill;
        std::uint64_t index = 0;
        if (!readUnsigned(fields[at], bill.sequence) || !readUnsigned(fields[at + 1], index) || index >= names.size()
            || !readString(names[index], bill.budget.value) || !readUnsigned(fields[at + 2], bill.keyHash)
            || !readAmount(fields[at + 3], bill.amount)) {
            return false;
        }
        if (!bills.empty() && bills.back().sequence >= bill.sequence) {
            return false;
        }
        bills.push_back(std::move(bill));
    }
    return true;
}

} // namespace internal

std::uint32_t budgetShard(const BudgetId &budget, std::uint32_t shardCount)
{
    return static_cast<std::uint32_t>(stableHash(budget.value) % std::max<std::uint32_t>(1, shardCount));
}

std::string budgetShardKey(std::uint32_t shard)
{
    return "budgets/" + std::to_string(shard);
}

std::string budgetShardKey(const BudgetId &budget, std::uint32_t shardCount)
{
    return budgetShardKey(budgetShard(budget, shardCount));
}

std::string ledgerKey(const Incarnation &incarnation)
{
    return std::string(LedgerKeyPrefix) + incarnation.value;
}

std::uint64_t requestKeyHash(const RequestKey &key)
{
    // The length keeps ("a", "bc") and ("ab", "c") apart.
    return stableHash(std::to_string(key.customer.value.size()) + ":" + key.customer.value + key.id);
}

std::string encodeShard(const ShardRecord &shard)
{
    std::map<Incarnation, std::size_t> writers;
    json names = json::array();
    json numbers = json::array();
    for (const auto &[writer, mark] : shard.marks) {
        writers.emplace(writer, writers.size());
        names.push_back(writer.value);
        numbers.push_back(mark.write);
        numbers.push_back(mark.foldedThrough);
    }
    json budgets = json::object();
    for (const auto &[id, budget] : shard.budgets) {
        budgets[id.value] = encodeBudget(budget, writers);
    }
    json value = {{"v", RecordVersion}};
    value["b"] = std::move(budgets);
    value["w"] = std::move(names);
    value["m"] = std::move(numbers);
    value["k"] = internal::packHashes(shard.billedKeys);
    return internal::encodeCbor(value);
}

std::optional<ShardRecord> decodeShard(std::string_view bytes, LastReason &reason)
{
    ShardRecord shard;
    if (bytes.empty()) {
        return shard;
    }
    const auto value = internal::decodeCbor(bytes, MaxRecordBytes, reason);
    if (!value) {
        return std::nullopt;
    }
    auto keys = internal::unpackHashes(internal::member(*value, "k"));
    std::vector<Incarnation> writers;
    if (!hasVersion(*value) || !keys
        || !decodeMarks(internal::member(*value, "w"), internal::member(*value, "m"), shard, writers)) {
        reason = malformedRecord("v, w, m or k");
        return std::nullopt;
    }
    shard.billedKeys = std::move(*keys);
    const json &budgets = internal::member(*value, "b");
    if (!budgets.is_object()) {
        reason = malformedRecord("b");
        return std::nullopt;
    }
    for (const auto &[id, budget] : budgets.items()) {
        if (!decodeBudget(budget, writers, shard.budgets[BudgetId{id}])) {
            reason = malformedRecord(id.c_str());
            return std::nullopt;
        }
    }
    return shard;
}

std::string encodeLedger(const LedgerRecord &ledger)
{
    json value = {{"v", RecordVersion}};
    value["s"] = static_cast<std::uint64_t>(ledger.state);
    value["e"] = ledger.epoch;
    value["w"] = ledger.write;
    value["r"] = ledger.recordedThrough;
    value["f"] = encodeNames(ledger.witnesses.far);
    value["n"] = encodeNames(ledger.witnesses.near);
    value["h"] = ledger.shards;
    value["b"] = internal::encodeBills(ledger.bills);
    return internal::encodeCbor(value);
}

std::optional<LedgerRecord> decodeLedger(std::string_view bytes, LastReason &reason)
{
    const auto value = internal::decodeCbor(bytes, MaxRecordBytes, reason);
    if (!value) {
        return std::nullopt;
    }
    LedgerRecord ledger;
    std::uint64_t state = 0;
    const bool numbers = hasVersion(*value) && internal::readUnsigned(internal::member(*value, "s"), state)
        && state <= static_cast<std::uint64_t>(LedgerState::Closed)
        && internal::readUnsigned(internal::member(*value, "e"), ledger.epoch)
        && internal::readUnsigned(internal::member(*value, "w"), ledger.write)
        && internal::readUnsigned(internal::member(*value, "r"), ledger.recordedThrough);
    if (!numbers) {
        reason = malformedRecord("v, s, e, w or r");
        return std::nullopt;
    }
    ledger.state = static_cast<LedgerState>(state);
    if (!decodeNames(internal::member(*value, "f"), ledger.witnesses.far)
        || !decodeNames(internal::member(*value, "n"), ledger.witnesses.near)
        || !decodeShardNumbers(internal::member(*value, "h"), ledger.shards)
        || !internal::decodeBills(internal::member(*value, "b"), ledger.bills)) {
        reason = malformedRecord("f, n, h or b");
        return std::nullopt;
    }
    return ledger;
}

bool createBudget(ShardRecord &shard,
                  const BudgetId &budget,
                  const CustomerId &customer,
                  Tokens prepaid,
                  std::string_view operation,
                  LastReason &reason)
{
    if (!isAmount(prepaid, reason)) {
        return false;
    }
    if (budget.value.empty()) {
        reason = operatorError(ErrorKind::MalformedRequest, "a budget needs a name");
        return false;
    }
    const std::uint64_t id = stableHash(operation);
    const auto found = shard.budgets.find(budget);
    if (found != shard.budgets.end()) {
        if (wasApplied(found->second, id) && found->second.customer == customer) {
            return true;
        }
        reason = operatorError(ErrorKind::RevisionConflict,
                               "budget \"" + budget.value + "\" exists already; top it up instead");
        return false;
    }
    BudgetRecord &created = shard.budgets[budget];
    created.customer = customer;
    created.prepaid = prepaid;
    remember(created, id);
    return true;
}

bool topUp(ShardRecord &shard, const BudgetId &budget, std::string_view operation, Tokens amount, LastReason &reason)
{
    BudgetRecord *record = findBudget(shard, budget, reason);
    if (record == nullptr || !isAmount(amount, reason)) {
        return false;
    }
    const std::uint64_t id = stableHash(operation);
    // The operator's tool repeats a top-up whose answer was lost; without the id the customer would get it twice.
    if (wasApplied(*record, id)) {
        return true;
    }
    if (!isAmount(record->prepaid + amount, reason)) {
        return false;
    }
    record->prepaid += amount;
    remember(*record, id);
    absorbReduction(*record);
    return true;
}

bool reduce(ShardRecord &shard, const BudgetId &budget, std::string_view operation, Tokens amount, LastReason &reason)
{
    BudgetRecord *record = findBudget(shard, budget, reason);
    if (record == nullptr || !isAmount(amount, reason)) {
        return false;
    }
    const std::uint64_t id = stableHash(operation);
    if (wasApplied(*record, id)) {
        return true;
    }
    record->reduction += amount;
    remember(*record, id);
    absorbReduction(*record);
    return true;
}

std::optional<BudgetView> showBudget(const ShardRecord &shard, const BudgetId &budget, LastReason &reason)
{
    const auto found = shard.budgets.find(budget);
    if (found == shard.budgets.end()) {
        reason = operatorError(ErrorKind::UnknownBudget, "there is no budget \"" + budget.value + "\"");
        return std::nullopt;
    }
    const BudgetRecord &record = found->second;
    BudgetView view;
    view.budget = budget;
    view.customer = record.customer;
    view.prepaid = record.prepaid;
    view.billed = record.billed;
    view.reduction = record.reduction;
    view.free = freeTokens(record);
    for (const auto &[holder, slice] : record.held) {
        if (slice.amount > 0) {
            view.held.emplace(holder, slice.amount);
        }
    }
    return view;
}

bool resolveDoubt(LedgerRecord &ledger, LastReason &reason)
{
    if (ledger.state != LedgerState::Closing) {
        reason = operatorError(ErrorKind::RevisionConflict,
                               "the ledger is not in doubt; only one that routers try to close can be resolved");
        return false;
    }
    ledger.state = LedgerState::Closed;
    return true;
}

} // namespace Godwit
