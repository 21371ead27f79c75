#include "godwit/daemon/fleet_messages.h"

#include "godwit/base/cbor_shape.h"

namespace Godwit::internal
{
namespace
{

using nlohmann::json;

// Heartbeats nest two levels deep.
constexpr std::size_t MaxDepth = 4;

} // namespace

std::string encodeFleetMessage(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

json decodeFleetMessage(const std::string &bytes)
{
    if (!hasBoundedShape(bytes, MaxDepth)) {
        return {};
    }
    json value = json::from_cbor(bytes, true, false);
    return value.is_discarded() ? json() : value;
}

std::optional<Amounts> decodeAmounts(const json &message, std::size_t count)
{
    if (!message.is_array() || message.size() != 1 + count || !message[0].is_string()) {
        return std::nullopt;
    }
    Amounts amounts;
    amounts.customer = CustomerId{message[0].get<std::string>()};
    for (std::size_t i = 0; i < count; ++i) {
        if (!message[i + 1].is_number_integer()) {
            return std::nullopt;
        }
        amounts.tokens[i] = message[i + 1].get<Tokens>();
    }
    return amounts;
}

} // namespace Godwit::internal
