#include "godwit/prepaid/prepaid_record.h"

#include "godwit/base/json_number.h"
#include "godwit/base/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwit
{
namespace
{

using nlohmann::json;

Tokens integerFromJson(const json &value)
{
    if (!value.is_number_integer()) {
        throw json::type_error::create(302, "expected an integer", &value);
    }
    return value.get<Tokens>();
}

json accountToJson(const LedgerAccount &account)
{
    json granted = json::object();
    for (const auto &[holder, amount] : account.granted) {
        granted[holder.value] = amount;
    }
    return json{{"total", account.total},
                {"spent", account.spent},
                {"unsure", account.unsure},
                {"granted", std::move(granted)}};
}

LedgerAccount accountFromJson(const json &value)
{
    LedgerAccount account;
    account.total = integerFromJson(value.at("total"));
    account.spent = integerFromJson(value.at("spent"));
    account.unsure = integerFromJson(value.at("unsure"));
    for (const auto &[holder, amount] : value.at("granted").items()) {
        account.granted[HolderId{holder}] = integerFromJson(amount);
    }
    return account;
}

Error malformed(std::string_view what, const std::exception &error)
{
    Error result;
    result.kind = ErrorKind::Internal;
    result.message = std::string(what) + " record from the store is malformed: " + error.what();
    return result;
}

} // namespace

Tokens limitAtAge(const Mark &mark, std::chrono::milliseconds age)
{
    const auto beyond = std::clamp<std::int64_t>((age - mark.fixedPeriod).count(), 0, MarkGrowthPeriod.count());
    return mark.limit
        + static_cast<Tokens>(static_cast<double>(mark.growthPerSecond) * static_cast<double>(beyond) / 1000);
}

Tokens maxLimitOf(const Mark &mark)
{
    return limitAtAge(mark, mark.fixedPeriod + MarkGrowthPeriod);
}

Tokens unallocatedTokens(const LedgerAccount &account)
{
    Tokens unallocated = account.total - account.spent;
    for (const auto &[holder, amount] : account.granted) {
        unallocated -= amount;
    }
    return unallocated;
}

std::string encodePrepaidLedger(const PrepaidLedger &ledger)
{
    json accounts = json::object();
    for (const auto &[customer, account] : ledger.accounts) {
        accounts[customer.value] = accountToJson(account);
    }
    return json{{"version", ledger.documentVersion}, {"accounts", std::move(accounts)}}.dump();
}

std::optional<PrepaidLedger> decodePrepaidLedger(std::string_view bytes, LastReason &reason)
{
    try {
        const json value = parseJson(bytes);
        PrepaidLedger ledger;
        ledger.documentVersion = naturalNumber(value.at("version"));
        for (const auto &[customer, account] : value.at("accounts").items()) {
            ledger.accounts[CustomerId{customer}] = accountFromJson(account);
        }
        return ledger;
    } catch (const json::exception &error) {
        reason = malformed("prepaid ledger", error);
        return std::nullopt;
    }
}

std::string encodeMark(const MarkRecord &mark)
{
    json marks = json::object();
    for (const auto &[customer, entry] : mark.marks) {
        marks[customer.value] =
            json::array({entry.limit, entry.used, entry.growthPerSecond, entry.fixedPeriod.count()});
    }
    json value{{"writer", mark.writer.value},
               {"uptime_ms", mark.writtenAt.uptime.count()},
               {"wall_ms", mark.writtenAt.wall.count()},
               {"steady_wall_ms", mark.steadyWall.count()},
               {"boot", mark.writtenAt.boot},
               {"marks", std::move(marks)}};
    if (mark.returned) {
        value["returned"] = true;
    }
    return value.dump();
}

std::optional<MarkRecord> decodeMark(std::string_view bytes, LastReason &reason)
{
    try {
        const json value = parseJson(bytes);
        MarkRecord mark;
        mark.writer = Incarnation{value.at("writer").get<std::string>()};
        mark.writtenAt.uptime = std::chrono::milliseconds(integerFromJson(value.at("uptime_ms")));
        mark.writtenAt.wall = std::chrono::milliseconds(integerFromJson(value.at("wall_ms")));
        // Records written by earlier versions lack this field.
        const auto steady = value.find("steady_wall_ms");
        mark.steadyWall =
            steady == value.end() ? mark.writtenAt.wall : std::chrono::milliseconds(integerFromJson(*steady));
        mark.writtenAt.boot = value.at("boot").get<std::string>();
        mark.returned = value.value("returned", false);
        for (const auto &[customer, entry] : value.at("marks").items()) {
            mark.marks[CustomerId{customer}] = Mark{integerFromJson(entry.at(0)),
                                                    integerFromJson(entry.at(1)),
                                                    integerFromJson(entry.at(2)),
                                                    std::chrono::milliseconds(integerFromJson(entry.at(3)))};
        }
        return mark;
    } catch (const json::exception &error) {
        reason = malformed("prepaid mark", error);
        return std::nullopt;
    }
}

} // namespace Godwit
