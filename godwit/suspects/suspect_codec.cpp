#include "godwit/suspects/suspect_codec.h"

#include "godwit/base/cbor_shape.h"

#include <nlohmann/json.hpp>

namespace Godwit
{
namespace
{

constexpr std::size_t MaxNoticeBytes = 2048;
constexpr std::size_t FieldCount = 7;
constexpr std::size_t ExtendedFieldCount = 9; // With ranFor and trial, which earlier router versions do not send.
constexpr std::size_t MaxNoticesBytes = 256UL * 1024;
constexpr std::int64_t UnknownDuration = -1;
constexpr std::int64_t MaxMicroseconds = 86'400'000'000; // A day. Longer durations are implausible and rejected.

// Parses without throwing. Even with exceptions disabled, the library throws for an array that declares an impossible
// length; bytes from a connected router would then terminate this process.
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

nlohmann::json toRow(const SuspectNotice &notice)
{
    nlohmann::json row = nlohmann::json::array({notice.fingerprint,
                                                static_cast<int>(notice.status),
                                                notice.endpoint.value,
                                                notice.host.value,
                                                notice.dataCentre.value,
                                                notice.age.count(),
                                                notice.refuseFor.count()});
    if (notice.ranFor || notice.trial) {
        row.push_back(notice.ranFor ? notice.ranFor->count() : UnknownDuration);
        row.push_back(notice.trial);
    }
    return row;
}

std::optional<SuspectNotice> fromRow(const nlohmann::json &fields)
{
    if (!fields.is_array() || (fields.size() != FieldCount && fields.size() != ExtendedFieldCount)
        || !fields[0].is_number_integer() || !fields[1].is_number_integer() || !fields[2].is_string()
        || !fields[3].is_string() || !fields[4].is_string()) {
        return std::nullopt;
    }
    const auto status = fields[1].get<std::int64_t>();
    const auto age = readDuration(fields[5]);
    const auto refuseFor = readDuration(fields[6]);
    if (status < 0 || status > static_cast<int>(SuspectStatus::Convicted) || !age || !refuseFor) {
        return std::nullopt;
    }
    SuspectNotice notice;
    if (fields.size() == ExtendedFieldCount) {
        if (!fields[7].is_number_integer() || !fields[8].is_boolean()) {
            return std::nullopt;
        }
        notice.ranFor = readDuration(fields[7]);
        notice.trial = fields[8].get<bool>();
    }
    notice.fingerprint = fields[0].get<std::uint64_t>();
    notice.status = static_cast<SuspectStatus>(status);
    notice.endpoint = EndpointId{fields[2].get<std::string>()};
    notice.host = HostId{fields[3].get<std::string>()};
    notice.dataCentre = DataCentreId{fields[4].get<std::string>()};
    notice.age = *age;
    notice.refuseFor = *refuseFor;
    return notice;
}

std::string toByteString(const nlohmann::json &value)
{
    const auto bytes = nlohmann::json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encodeSuspectNotice(const SuspectNotice &notice)
{
    return toByteString(toRow(notice));
}

std::optional<SuspectNotice> decodeSuspectNotice(const std::string &cbor)
{
    if (cbor.size() > MaxNoticeBytes || !hasBoundedShape(cbor, 1)) {
        return std::nullopt;
    }
    return fromRow(parseCbor(cbor));
}

std::string encodeSuspectNotices(const std::vector<SuspectNotice> &notices)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const SuspectNotice &notice : notices) {
        rows.push_back(toRow(notice));
    }
    return toByteString(rows);
}

std::vector<SuspectNotice> decodeSuspectNotices(const std::string &cbor)
{
    std::vector<SuspectNotice> notices;
    if (cbor.size() > MaxNoticesBytes || !hasBoundedShape(cbor, 2)) {
        return notices;
    }
    const auto rows = parseCbor(cbor);
    if (!rows.is_array()) {
        return notices;
    }
    for (const auto &row : rows) {
        if (auto notice = fromRow(row)) {
            notices.push_back(std::move(*notice));
        }
    }
    return notices;
}

} // namespace Godwit
