#include "godwit/config/config_codec.h"

#include "godwit/base/cbor_shape.h"
#include "godwit/base/json_number.h"
#include <charconv>
#include <nlohmann/json.hpp>

namespace Godwit::internal
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t MaxMessageDepth = 8;

Json patchesToJson(const std::vector<AppliedPatch> &patches)
{
    Json rows = Json::array();
    for (const AppliedPatch &applied : patches) {
        const ConfigPatch &patch = applied.patch;
        rows.push_back({applied.revision,
                        patch.site,
                        patch.path,
                        patch.value ? Json(*patch.value) : Json(nullptr),
                        patch.expectedRevision,
                        patch.id,
                        patch.author,
                        patch.at.time_since_epoch().count()});
    }
    return rows;
}

std::vector<AppliedPatch> patchesFromJson(const Json &rows)
{
    std::vector<AppliedPatch> patches;
    for (const Json &row : rows) {
        AppliedPatch applied;
        applied.revision = naturalNumber(row.at(0));
        applied.patch.site = row.at(1).get<std::string>();
        applied.patch.path = row.at(2).get<std::string>();
        if (!row.at(3).is_null()) {
            applied.patch.value = row.at(3).get<std::string>();
        }
        applied.patch.expectedRevision = naturalNumber(row.at(4));
        applied.patch.id = row.at(5).get<std::string>();
        applied.patch.author = row.at(6).get<std::string>();
        applied.patch.at = WallTime(std::chrono::milliseconds(row.at(7).get<std::int64_t>()));
        patches.push_back(std::move(applied));
    }
    return patches;
}

ConfigHead headFromJson(const Json &json)
{
    ConfigHead head;
    head.revision = naturalNumber(json.at("revision"));
    head.digest = naturalNumber(json.at("digest"));
    const Json &snapshot = json.at("snapshot");
    head.snapshotRevision = naturalNumber(snapshot.at("revision"));
    head.snapshotDigest = naturalNumber(snapshot.at("digest"));
    head.snapshotChunks = naturalNumber(snapshot.at("chunks"));
    head.patches = patchesFromJson(json.at("patches"));
    return head;
}

PeerMessage messageFromJson(const Json &json)
{
    PeerMessage message;
    message.kind = static_cast<PeerMessageKind>(naturalNumber(json.at(0)));
    message.revision = naturalNumber(json.at(1));
    message.digest = naturalNumber(json.at(2));
    message.patches = patchesFromJson(json.at(3));
    message.document = json.at(4).get<std::string>();
    return message;
}

} // namespace

std::string encodeHead(const ConfigHead &head)
{
    const Json json = {
        {"revision", head.revision},
        {"digest", head.digest},
        {"snapshot",
         {{"revision", head.snapshotRevision}, {"digest", head.snapshotDigest}, {"chunks", head.snapshotChunks}}},
        {"patches", patchesToJson(head.patches)},
    };
    return json.dump();
}

std::optional<ConfigHead> decodeHead(std::string_view text)
{
    try {
        return headFromJson(Json::parse(text));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string snapshotKey(std::uint64_t revision, std::uint64_t digest, std::size_t chunk)
{
    return std::string(ConfigSnapshotPrefix) + std::to_string(revision) + '-' + std::to_string(digest) + '/'
        + std::to_string(chunk);
}

std::optional<std::uint64_t> snapshotRevisionOf(std::string_view key)
{
    if (key.substr(0, ConfigSnapshotPrefix.size()) != ConfigSnapshotPrefix) {
        return std::nullopt;
    }
    key.remove_prefix(ConfigSnapshotPrefix.size());
    std::uint64_t revision = 0;
    const auto [end, fault] = std::from_chars(key.data(), key.data() + key.size(), revision);
    if (fault != std::errc{} || end == key.data() + key.size() || *end != '-') {
        return std::nullopt;
    }
    return revision;
}

std::vector<ListedKey> decodeList(std::string_view text)
{
    std::vector<ListedKey> keys;
    try {
        for (const Json &row : Json::parse(text)) {
            keys.push_back({row.at("key").get<std::string>(), naturalNumber(row.at("version"))});
        }
    } catch (const Json::exception &) {
        keys.clear();
    }
    return keys;
}

std::string encodePeerMessage(const PeerMessage &message)
{
    const Json json = {static_cast<int>(message.kind),
                       message.revision,
                       message.digest,
                       patchesToJson(message.patches),
                       message.document};
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view cbor)
{
    if (!hasBoundedShape(cbor, MaxMessageDepth)) {
        return std::nullopt;
    }
    try {
        PeerMessage message = messageFromJson(Json::from_cbor(cbor.begin(), cbor.end()));
        const auto kind = static_cast<int>(message.kind);
        if (kind < 0 || kind > static_cast<int>(PeerMessageKind::Full)) {
            return std::nullopt;
        }
        return message;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Godwit::internal
