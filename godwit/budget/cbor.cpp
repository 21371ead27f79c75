#include "godwit/budget/cbor.h"

#include "godwit/budget/shard_record.h"

#include <exception>

namespace Godwit::internal
{
namespace
{

constexpr std::size_t MaxDepth = 8;
constexpr std::size_t HashBytes = 8;

enum CborMajor : std::uint8_t { CborBytes = 2, CborText = 3, CborArray = 4, CborMap = 5, CborTag = 6 };

struct CborHead
{
    std::uint8_t major = 0;
    std::uint64_t argument = 0;
};

std::optional<CborHead> readHead(std::string_view bytes, std::size_t &at)
{
    if (at >= bytes.size()) {
        return std::nullopt;
    }
    const auto first = static_cast<std::uint8_t>(bytes[at++]);
    CborHead head;
    head.major = first >> 5U;
    const unsigned info = first & 0x1fU;
    if (info < 24) {
        head.argument = info;
        return head;
    }
    if (info > 27) {
        return std::nullopt;
    }
    const std::size_t length = std::size_t{1} << (info - 24);
    if (bytes.size() - at < length) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < length; ++i) {
        head.argument = (head.argument << 8U) | static_cast<std::uint8_t>(bytes[at++]);
    }
    return head;
}

// The library's decoder recurses for each level and reserves what an array announces: a short message could
// otherwise exhaust the stack or the memory. Walking the heads first bounds both.
bool withinBounds(std::string_view bytes)
{
    std::vector<std::uint64_t> open{1};
    std::size_t at = 0;
    while (!open.empty()) {
        if (open.back() == 0) {
            open.pop_back();
            continue;
        }
        --open.back();
        const auto head = readHead(bytes, at);
        if (!head || head->major == CborTag) {
            return false;
        }
        const std::size_t left = bytes.size() - at;
        if (head->major == CborBytes || head->major == CborText) {
            if (head->argument > left) {
                return false;
            }
            at += head->argument;
        } else if (head->major == CborArray || head->major == CborMap) {
            if (head->argument > left || open.size() > MaxDepth) {
                return false;
            }
            open.push_back(head->major == CborMap ? 2 * head->argument : head->argument);
        }
    }
    return at == bytes.size();
}

Error malformed(const char *what)
{
    Error error;
    error.kind = ErrorKind::Internal;
    error.message = std::string("a stored record or a message is no CBOR of this version: ") + what;
    return error;
}

} // namespace

std::string encodeCbor(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

std::optional<nlohmann::json> decodeCbor(std::string_view bytes, std::size_t maxBytes, LastReason &reason)
{
    if (bytes.size() > maxBytes) {
        reason = malformed("it is too long");
        return std::nullopt;
    }
    if (!withinBounds(bytes)) {
        reason = malformed("its structure is broken");
        return std::nullopt;
    }
    // The library throws for some lengths even when it is told not to.
    try {
        auto value = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (!value.is_discarded()) {
            return value;
        }
    } catch (const std::exception &) {
        reason = malformed("the library refuses it");
        return std::nullopt;
    }
    reason = malformed("a value is broken");
    return std::nullopt;
}

nlohmann::json packHashes(const std::deque<std::uint64_t> &hashes)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(hashes.size() * HashBytes);
    for (const std::uint64_t hash : hashes) {
        for (std::size_t i = 0; i < HashBytes; ++i) {
            bytes.push_back(static_cast<std::uint8_t>(hash >> (8 * i)));
        }
    }
    return nlohmann::json::binary(std::move(bytes));
}

std::optional<std::deque<std::uint64_t>> unpackHashes(const nlohmann::json &value)
{
    if (!value.is_binary() || value.get_binary().size() % HashBytes != 0) {
        return std::nullopt;
    }
    const auto &bytes = value.get_binary();
    std::deque<std::uint64_t> hashes;
    for (std::size_t at = 0; at < bytes.size(); at += HashBytes) {
        std::uint64_t hash = 0;
        for (std::size_t i = 0; i < HashBytes; ++i) {
            hash |= static_cast<std::uint64_t>(bytes[at + i]) << (8 * i);
        }
        hashes.push_back(hash);
    }
    return hashes;
}

bool readUnsigned(const nlohmann::json &value, std::uint64_t &result)
{
    if (!value.is_number_unsigned()) {
        return false;
    }
    result = value.get<std::uint64_t>();
    return true;
}

bool readAmount(const nlohmann::json &value, std::int64_t &result)
{
    std::uint64_t amount = 0;
    if (!readUnsigned(value, amount) || amount > static_cast<std::uint64_t>(MaxTokens)) {
        return false;
    }
    result = static_cast<std::int64_t>(amount);
    return true;
}

bool readString(const nlohmann::json &value, std::string &result)
{
    if (!value.is_string()) {
        return false;
    }
    result = value.get<std::string>();
    return true;
}

const nlohmann::json &member(const nlohmann::json &object, const char *name)
{
    static const nlohmann::json absent;
    if (!object.is_object()) {
        return absent;
    }
    const auto found = object.find(name);
    return found == object.end() ? absent : *found;
}

} // namespace Godwit::internal
