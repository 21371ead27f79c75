#include "godwit/budget/budget_messages.h"

#include "godwit/budget/cbor.h"

#include <type_traits>

namespace Godwit
{
namespace
{

using internal::readString;
using internal::readUnsigned;
using nlohmann::json;

constexpr std::uint64_t MessageVersion = 1;

json encodeFields(const BillCopy &copy)
{
    return json::array({copy.epoch, copy.base, copy.after, copy.through, internal::encodeBills(copy.bills)});
}

json encodeFields(const CopyAck &ack)
{
    return json::array({ack.epoch, ack.through, ack.sealed ? 1U : 0U});
}

json encodeFields(const SealRequest &request)
{
    return json::array({request.about.value, request.epoch});
}

json encodeFields(const SealedTail &tail)
{
    return json::array({tail.about.value, tail.epoch, internal::encodeBills(tail.bills)});
}

json encodeFields(const ForgetTail &forget)
{
    return json::array({forget.about.value});
}

json encodeFields(const NeedBudget &need)
{
    return json::array({need.budget.value});
}

bool decodeFields(const json &fields, BillCopy &copy)
{
    return fields.size() == 5 && readUnsigned(fields[0], copy.epoch) && readUnsigned(fields[1], copy.base)
        && readUnsigned(fields[2], copy.after) && readUnsigned(fields[3], copy.through)
        && internal::decodeBills(fields[4], copy.bills);
}

bool decodeFields(const json &fields, CopyAck &ack)
{
    std::uint64_t sealed = 0;
    if (fields.size() != 3 || !readUnsigned(fields[0], ack.epoch) || !readUnsigned(fields[1], ack.through)
        || !readUnsigned(fields[2], sealed) || sealed > 1) {
        return false;
    }
    ack.sealed = sealed == 1;
    return true;
}

bool decodeFields(const json &fields, SealRequest &request)
{
    return fields.size() == 2 && readString(fields[0], request.about.value) && readUnsigned(fields[1], request.epoch);
}

bool decodeFields(const json &fields, SealedTail &tail)
{
    return fields.size() == 3 && readString(fields[0], tail.about.value) && readUnsigned(fields[1], tail.epoch)
        && internal::decodeBills(fields[2], tail.bills);
}

bool decodeFields(const json &fields, ForgetTail &forget)
{
    return fields.size() == 1 && readString(fields[0], forget.about.value);
}

bool decodeFields(const json &fields, NeedBudget &need)
{
    return fields.size() == 1 && readString(fields[0], need.budget.value);
}

// Decodes `fields` as the alternative with the number `kind`.
template<std::size_t Index = 0>
std::optional<BudgetMessage> decodeKind(std::uint64_t kind, const json &fields)
{
    if constexpr (Index < std::variant_size_v<BudgetMessage>) {
        if (kind != Index) {
            return decodeKind<Index + 1>(kind, fields);
        }
        std::variant_alternative_t<Index, BudgetMessage> message;
        if (fields.is_array() && decodeFields(fields, message)) {
            return BudgetMessage(std::move(message));
        }
    }
    return std::nullopt;
}

} // namespace

std::string encodeBudgetMessage(const BudgetMessage &message)
{
    json fields = std::visit(
        [](const auto &alternative) {
            return encodeFields(alternative);
        },
        message);
    return internal::encodeCbor(
        json::array({MessageVersion, static_cast<std::uint64_t>(message.index()), std::move(fields)}));
}

std::optional<BudgetMessage> decodeBudgetMessage(std::string_view cbor, LastReason &reason)
{
    const auto value = internal::decodeCbor(cbor, MaxBudgetMessageBytes, reason);
    if (!value) {
        return std::nullopt;
    }
    std::uint64_t version = 0;
    std::uint64_t kind = 0;
    std::optional<BudgetMessage> message;
    if (value->is_array() && value->size() == 3 && readUnsigned((*value)[0], version) && version == MessageVersion
        && readUnsigned((*value)[1], kind)) {
        message = decodeKind(kind, (*value)[2]);
    }
    if (!message) {
        Error error;
        error.message = "a message about budgets has an unknown version or kind; run the same version at all routers";
        reason = error;
    }
    return message;
}

} // namespace Godwit
