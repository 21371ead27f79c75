#include "godwit/membership/membership.h"

#include "godwit/base/cbor_shape.h"
#include "godwit/base/json_number.h"
#include <nlohmann/json.hpp>

namespace Godwit
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t MaxHeartbeatDepth = 8;

constexpr std::size_t MaxTextBytes = 256;
constexpr std::uint64_t FlagWantsAll = 1;
constexpr std::uint64_t FlagClosing = 2;
// Far above any real count of denials: a forged number near the end of the range would leave a router no higher
// one to deny with.
constexpr std::uint64_t MaxNumber = 1ULL << 48U;

Json updateToJson(const MemberUpdate &update)
{
    return {update.incarnation.value,
            update.host.value,
            update.dataCentre.value,
            update.address,
            static_cast<int>(update.status),
            update.number,
            update.draining};
}

std::string textFromJson(const Json &json)
{
    auto text = json.get<std::string>();
    if (text.size() > MaxTextBytes) {
        throw std::length_error("a text in a heartbeat is too long");
    }
    return text;
}

MemberUpdate updateFromJson(const Json &json)
{
    MemberUpdate update;
    update.incarnation = Incarnation(textFromJson(json.at(0)));
    update.host = HostId(textFromJson(json.at(1)));
    update.dataCentre = DataCentreId(textFromJson(json.at(2)));
    update.address = textFromJson(json.at(3));
    const int status = json.at(4).get<int>();
    update.number = naturalNumber(json.at(5));
    update.draining = json.at(6).get<bool>();
    if (status < 0 || status > static_cast<int>(MemberStatus::Gone) || update.number > MaxNumber
        || update.incarnation.value.empty()) {
        throw std::out_of_range("a value in a heartbeat is out of range");
    }
    update.status = static_cast<MemberStatus>(status);
    return update;
}

HeartbeatBody bodyFromJson(const Json &json)
{
    HeartbeatBody body;
    body.sender = updateFromJson(json.at(0));
    body.configRevision = naturalNumber(json.at(1));
    const auto flags = naturalNumber(json.at(2));
    body.wantsAll = (flags & FlagWantsAll) != 0;
    body.closing = (flags & FlagClosing) != 0;
    if (json.at(3).size() > MaxUpdatesInHeartbeat) {
        throw std::length_error("a heartbeat holds too many items");
    }
    for (const Json &update : json.at(3)) {
        body.updates.push_back(updateFromJson(update));
    }
    return body;
}

} // namespace

std::string encodeHeartbeat(const HeartbeatBody &body)
{
    Json updates = Json::array();
    for (const MemberUpdate &update : body.updates) {
        updates.push_back(updateToJson(update));
    }
    const std::uint64_t flags = (body.wantsAll ? FlagWantsAll : 0) | (body.closing ? FlagClosing : 0);
    const Json json = {updateToJson(body.sender), body.configRevision, flags, std::move(updates)};
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::optional<HeartbeatBody> decodeHeartbeat(std::string_view bytes)
{
    try {
        if (!hasBoundedShape(bytes, MaxHeartbeatDepth)) {
            return std::nullopt;
        }
        return bodyFromJson(Json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Godwit
