#include "godwit/daemon/fleet_messages.h"

#include "godwit/base/cbor_shape.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace Godwit::internal
{
namespace
{

using nlohmann::json;

// Heartbeats nest two levels deep.
constexpr std::size_t MaxDepth = 4;

// Unit of ratios in speed reports, and the largest that is accepted.
constexpr double RatioUnit = 1000;
constexpr std::int64_t MaxReportedRejections = 1'000'000;
constexpr std::int64_t MaxReportAge = 60'000; // Milliseconds.
constexpr std::int64_t MaxScaledRatio = 100'000;

bool isIntegerUpTo(const json &value, std::int64_t most)
{
    return value.is_number_integer() && value.get<std::int64_t>() > 0 && value.get<std::int64_t>() <= most;
}

bool isBoundedString(const json &value)
{
    return value.is_string() && value.get_ref<const std::string &>().size() <= MaxStreamNameBytes;
}

// As isIntegerUpTo(), but zero is valid too.
bool isNaturalUpTo(const json &value, std::int64_t most)
{
    return isIntegerUpTo(value, most) || (value.is_number_integer() && value.get<std::int64_t>() == 0);
}

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

json encodeStreamRecords(const std::vector<RecordedStream> &streams)
{
    json rows = json::array();
    for (const RecordedStream &stream : streams) {
        const StreamOrigin &origin = stream.origin;
        rows.push_back(json::array({stream.attempt, origin.customer.value, origin.service, origin.version}));
    }
    return rows;
}

std::vector<RecordedStream> decodeStreamRecords(const json &rows)
{
    std::vector<RecordedStream> streams;
    if (!rows.is_array()) {
        return streams;
    }
    for (const json &row : rows) {
        const bool wellFormed =
            row.is_array() && row.size() == 4 && std::all_of(row.begin(), row.end(), isBoundedString);
        if (wellFormed && streams.size() < MaxStreamRecords) {
            streams.push_back(
                {row[0].get<std::string>(),
                 {CustomerId{row[1].get<std::string>()}, row[2].get<std::string>(), row[3].get<std::string>()}});
        }
    }
    return streams;
}

json encodeEarlierVersions(const std::vector<EarlierVersion> &versions)
{
    json rows = json::array();
    for (const EarlierVersion &earlier : versions) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(earlier.age).count();
        rows.push_back(json::array({earlier.service, earlier.version, age}));
    }
    return rows;
}

std::vector<EarlierVersion> decodeEarlierVersions(const json &rows)
{
    std::vector<EarlierVersion> versions;
    if (!rows.is_array()) {
        return versions;
    }
    for (const json &row : rows) {
        const bool wellFormed = row.is_array() && row.size() == 3 && isBoundedString(row[0]) && isBoundedString(row[1])
            && isNaturalUpTo(row[2], MaxReportAge);
        if (wellFormed && versions.size() < MaxStreamRecords) {
            versions.push_back({row[0].get<std::string>(),
                                row[1].get<std::string>(),
                                std::chrono::milliseconds(row[2].get<std::int64_t>())});
        }
    }
    return versions;
}

json encodeBrittleReports(const std::vector<BrittleReport> &reports)
{
    json rows = json::array();
    for (const BrittleReport &report : reports) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(report.age).count();
        rows.push_back(json::array({report.service, report.maxRejections, age}));
    }
    return rows;
}

std::vector<BrittleReport> decodeBrittleReports(const json &rows)
{
    std::vector<BrittleReport> reports;
    if (!rows.is_array()) {
        return reports;
    }
    for (const json &row : rows) {
        const bool wellFormed = row.is_array() && row.size() == 3 && row[0].is_string()
            && isNaturalUpTo(row[1], MaxReportedRejections) && isNaturalUpTo(row[2], MaxReportAge);
        if (wellFormed && reports.size() < MaxBrittleReports) {
            reports.push_back(
                {row[0].get<std::string>(), row[1].get<int>(), std::chrono::milliseconds(row[2].get<std::int64_t>())});
        }
    }
    return reports;
}

json encodeSpeedReports(const std::vector<SpeedReport> &reports)
{
    json rows = json::array();
    for (const SpeedReport &report : reports) {
        const auto scaled = std::llround(report.ratio * RatioUnit);
        rows.push_back(json::array({report.endpoint.value, report.startedAt, scaled, report.samples}));
    }
    return rows;
}

std::vector<SpeedReport> decodeSpeedReports(const json &rows)
{
    std::vector<SpeedReport> reports;
    if (!rows.is_array()) {
        return reports;
    }
    for (const json &row : rows) {
        const bool wellFormed = row.is_array() && row.size() == 4 && row[0].is_string() && row[1].is_number_integer()
            && isIntegerUpTo(row[2], MaxScaledRatio) && isIntegerUpTo(row[3], MaxReportedSamples);
        if (wellFormed && reports.size() < MaxSpeedReports) {
            reports.push_back({EndpointId{row[0].get<std::string>()},
                               row[1].get<EndpointIncarnation>(),
                               static_cast<double>(row[2].get<std::int64_t>()) / RatioUnit,
                               row[3].get<int>()});
        }
    }
    return reports;
}

} // namespace Godwit::internal
