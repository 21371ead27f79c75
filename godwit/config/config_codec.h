#pragma once

// The texts that configuration agents keep in the platform and the bytes that they send each other.
//
// Internal to this package. Decoding never throws and returns nothing for what it can't read.

#include "godwit/config/config_agent.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit::internal
{

std::string encodeHead(const ConfigHead &head);
std::optional<ConfigHead> decodeHead(std::string_view text);

// The key of one chunk of a snapshot.
std::string snapshotKey(std::uint64_t revision, std::uint64_t digest, std::size_t chunk);
// The revision in such a key.
std::optional<std::uint64_t> snapshotRevisionOf(std::string_view key);

// A key and its version, as KvVerb::List answers.
struct ListedKey
{
    std::string key;
    std::uint64_t version = 0;
};
std::vector<ListedKey> decodeList(std::string_view text);

enum class PeerMessageKind {
    Notice, // "I stand at `revision`."
    Ask, // "Send me what I lack after `revision`."
    Patches, // The patches after `revision`; `digest` is the result's.
    Full, // The whole document.
};

struct PeerMessage
{
    PeerMessageKind kind = PeerMessageKind::Notice;
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    std::vector<AppliedPatch> patches;
    std::string document;
};

std::string encodePeerMessage(const PeerMessage &message);
std::optional<PeerMessage> decodePeerMessage(std::string_view cbor);

} // namespace Godwit::internal
