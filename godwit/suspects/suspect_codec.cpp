#include "godwit/suspects/suspect_codec.h"

#include "godwit/base/cbor_shape.h"

#include <nlohmann/json.hpp>

namespace Godwit
{
namespace
{

constexpr std::size_t MaxNoticeBytes = 2048;
constexpr std::size_t FieldCount = 7;
constexpr std::int64_t MaxMicroseconds = 86'400'000'000; // A day: more is not believed.

// Parses without throwing. Asked not to throw, the library still does so for an array that claims an impossible
// length; a linked router's bytes would then end this process.
nlohmann::json parseCbor(const std::string &cbor)
{
    try {
        return nlohmann::json::from_cbor(cbor, true, false);
    } catch (const nlohmann::json::exception &) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
}

std::optional<Duration> readDuration(const nlohmann::json &value)
{
    if (!value.is_number_integer()) {
        return std::nullopt;
    }
    const auto count = value.get<std::int64_t>();
    return count >= 0 && count <= MaxMicroseconds ? std::optional<Duration>(Duration(count)) : std::nullopt;
}

} // namespace

std::string encodeSuspectNotice(const SuspectNotice &notice)
{
    const auto bytes = nlohmann::json::to_cbor(nlohmann::json::array({notice.fingerprint,
                                                                      static_cast<int>(notice.status),
                                                                      notice.endpoint.value,
                                                                      notice.host.value,
                                                                      notice.dataCentre.value,
                                                                      notice.age.count(),
                                                                      notice.refuseFor.count()}));
    return {bytes.begin(), bytes.end()};
}

std::optional<SuspectNotice> decodeSuspectNotice(const std::string &cbor)
{
    if (cbor.size() > MaxNoticeBytes || !hasBoundedShape(cbor, 1)) {
        return std::nullopt;
    }
    const auto fields = parseCbor(cbor);
    if (!fields.is_array() || fields.size() != FieldCount || !fields[0].is_number_integer()
        || !fields[1].is_number_integer() || !fields[2].is_string() || !fields[3].is_string()
        || !fields[4].is_string()) {
        return std::nullopt;
    }
    const auto status = fields[1].get<std::int64_t>();
    const auto age = readDuration(fields[5]);
    const auto refuseFor = readDuration(fields[6]);
    if (status < 0 || status > static_cast<int>(SuspectStatus::Convicted) || !age || !refuseFor) {
        return std::nullopt;
    }
    SuspectNotice notice;
    notice.fingerprint = fields[0].get<std::uint64_t>();
    notice.status = static_cast<SuspectStatus>(status);
    notice.endpoint = EndpointId{fields[2].get<std::string>()};
    notice.host = HostId{fields[3].get<std::string>()};
    notice.dataCentre = DataCentreId{fields[4].get<std::string>()};
    notice.age = *age;
    notice.refuseFor = *refuseFor;
    return notice;
}

} // namespace Godwit
