#include "godwit/config/gateway_settings.h"

#include "godwit/config/settings.h"
#include "godwit/config/toml_reader.h"

#include <cmath>

namespace Godwit
{
namespace
{

using internal::FaultList;
using internal::TableReader;
using internal::UnknownKeys;

// A larger receive buffer would hold any body, so that deferring saves the link nothing.
constexpr double MaxAdmissionWindowBytes = 1024.0 * 1024;
constexpr double MaxDescriptors = 1024.0 * 1024;

Duration seconds(double value)
{
    return Duration(std::llround(value * 1e6));
}

std::string address(TableReader &reader, std::string_view key, bool required)
{
    std::string text = required ? reader.requiredText(key) : reader.text(key, "");
    if (!text.empty() && !isIpAndPort(text)) {
        reader.fault(key, "must be an IP number and a port, such as 10.0.0.4:8740");
    }
    return text;
}

std::map<DataCentreId, RegionId> readRegions(const toml::table &table, FaultList &faults)
{
    TableReader reader(table, "gateway.regions", faults, UnknownKeys::Refuse);
    std::map<DataCentreId, RegionId> regions;
    for (const auto &[key, node] : table) {
        const std::string dataCentre(key.str());
        regions[DataCentreId{dataCentre}] = RegionId{reader.requiredText(dataCentre)};
    }
    return regions;
}

} // namespace

bool hasGatewaySettings(std::string_view text)
{
    FaultList faults;
    const auto table = internal::parseToml(text, "", faults);
    return table && table->contains("gateway");
}

std::optional<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                    std::string_view fileName,
                                                    LastReason &reason)
{
    FaultList faults;
    GatewaySettings settings;
    if (const auto root = internal::parseToml(text, fileName, faults)) {
        TableReader top(*root, "", faults, UnknownKeys::Refuse);
        settings.host = HostId{top.requiredText("host")};
        settings.dataCentre = DataCentreId{top.requiredText("data_centre")};
        static const toml::table empty;
        const toml::table *gateway = top.table("gateway");
        TableReader reader(gateway == nullptr ? empty : *gateway, "gateway", faults, UnknownKeys::Refuse);
        settings.callerListen = address(reader, "callers", true);
        settings.readyListen = address(reader, "ready", true);
        settings.addressesListen = address(reader, "addresses", false);
        settings.peerListen = address(reader, "peers", true);
        settings.lendingListen = address(reader, "lending", false);
        settings.metricsListen = address(reader, "metrics", false);
        settings.store = address(reader, "store", true);
        settings.cores = reader.number("cores", settings.cores, {0.001, 1024});
        settings.linkMbps = reader.number("link_mbps", settings.linkMbps, {0.001, 1e6});
        settings.memoryMb = reader.number("memory_mb", settings.memoryMb, {0, 1'048'576});
        settings.descriptors = static_cast<std::uint64_t>(reader.integer("descriptors", 0, {0, MaxDescriptors}));
        settings.stalledReaderTimeout = seconds(reader.number("stalled_reader_s", 4, {0.5, 60}));
        settings.stopWithin = seconds(reader.number("stop_within_s", 8, {1, 3600}));
        settings.addressesFor = seconds(reader.number("addresses_for_s", 2, {0.1, 60}));
        settings.repeatRatio = reader.number("repeat_ratio", settings.repeatRatio, {0, 10});
        settings.repeatSlack = reader.number("repeat_slack", settings.repeatSlack, {0, 1e6});
        settings.repeatWindow = seconds(reader.number("repeat_window_s", 10, {0.1, 3600}));
        settings.hedgeRatio = reader.number("hedge_ratio", settings.hedgeRatio, {0, 0.5});
        settings.hedgeQuantile = reader.number("hedge_quantile", settings.hedgeQuantile, {0.5, 0.999});
        settings.coldOverrun = reader.number("cold_overrun", settings.coldOverrun, {0, 100});
        settings.coldSlack = reader.number("cold_slack", settings.coldSlack, {0, 1e6});
        settings.admission = reader.boolean("admission", settings.admission);
        settings.admissionWindowBytes =
            static_cast<int>(reader.integer("admission_window_bytes", 0, {0, MaxAdmissionWindowBytes}));
        settings.shareSpeeds = reader.boolean("share_speeds", settings.shareSpeeds);
        if (const toml::table *regions = reader.table("regions")) {
            settings.regions = readRegions(*regions, faults);
        }
        reader.finish();
        top.finish();
    }
    if (!faults.empty()) {
        reason = faults.toError(ErrorKind::InvalidSettings);
        return std::nullopt;
    }
    return settings;
}

} // namespace Godwit
