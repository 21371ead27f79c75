#include "godwit/claims/claim_record.h"

#include "godwit/base/enum_names.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace Godwit
{
namespace
{

using Json = nlohmann::json;

constexpr EnumName<ClaimState> ClaimStateNames[] = {
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Ran, "ran"},
    {ClaimState::Unknown, "unknown"},
};

// The stored form is {"horizon": ms, "claims": [[...], ...]}; a claim is an array in this order, the answer optional.
enum Field : std::size_t {
    CustomerField,
    IdField,
    StateField,
    HolderField,
    SequenceField,
    DigestField,
    CreatedField,
    ClaimedField,
    AnswerField,
};

// Brackets, commas, quotes and four numbers of at most 20 digits.
constexpr std::size_t FixedClaimBytes = 4 * 20 + 32;

// Answers may hold any bytes, JSON text only valid UTF-8: each byte is stored as the code point of its value.
std::string bytesToText(std::string_view bytes)
{
    constexpr unsigned char firstTwoByteValue = 0x80;
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < firstTwoByteValue) {
            text.push_back(c);
        } else {
            text.push_back(static_cast<char>(0xC0 | (byte >> 6)));
            text.push_back(static_cast<char>(0x80 | (byte & 0x3F)));
        }
    }
    return text;
}

std::optional<std::string> textToBytes(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto first = static_cast<unsigned char>(text[i]);
        if (first < 0x80) {
            bytes.push_back(text[i]);
            continue;
        }
        if ((first & 0xFC) != 0xC0 || i + 1 >= text.size()) {
            return std::nullopt;
        }
        ++i;
        bytes.push_back(static_cast<char>((first & 0x03) << 6 | (static_cast<unsigned char>(text[i]) & 0x3F)));
    }
    return bytes;
}

std::size_t storedTextBytes(std::string_view bytes)
{
    std::size_t size = 2;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20) {
            size += 6;
        } else if (byte >= 0x80 || c == '"' || c == '\\') {
            size += 2;
        } else {
            size += 1;
        }
    }
    return size;
}

std::int64_t toMilliseconds(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime fromMilliseconds(std::int64_t milliseconds)
{
    return WallTime(std::chrono::milliseconds(milliseconds));
}

Json encodeClaim(const RequestKey &key, const ClaimEntry &entry)
{
    Json fields = Json::array({bytesToText(key.customer.value),
                               bytesToText(key.id),
                               claimStateName(entry.state),
                               bytesToText(entry.holder.value),
                               entry.sequence,
                               entry.bodyDigest,
                               toMilliseconds(entry.createdAt),
                               toMilliseconds(entry.claimedAt)});
    if (entry.answer) {
        fields.push_back(bytesToText(*entry.answer));
    }
    return fields;
}

std::optional<std::pair<RequestKey, ClaimEntry>> decodeClaim(const Json &fields)
{
    if (!fields.is_array() || fields.size() < AnswerField || fields.size() > AnswerField + 1) {
        return std::nullopt;
    }
    const auto customer = textToBytes(fields[CustomerField].get_ref<const std::string &>());
    const auto id = textToBytes(fields[IdField].get_ref<const std::string &>());
    const auto holder = textToBytes(fields[HolderField].get_ref<const std::string &>());
    const auto state = enumFromName(ClaimStateNames, fields[StateField].get_ref<const std::string &>());
    if (!customer || !id || !holder || !state) {
        return std::nullopt;
    }
    ClaimEntry entry;
    entry.state = *state;
    entry.holder = Incarnation(*holder);
    entry.sequence = fields[SequenceField].get<std::uint64_t>();
    entry.bodyDigest = fields[DigestField].get<std::uint64_t>();
    entry.createdAt = fromMilliseconds(fields[CreatedField].get<std::int64_t>());
    entry.claimedAt = fromMilliseconds(fields[ClaimedField].get<std::int64_t>());
    if (fields.size() > AnswerField) {
        entry.answer = textToBytes(fields[AnswerField].get_ref<const std::string &>());
        if (!entry.answer) {
            return std::nullopt;
        }
    }
    return std::make_pair(RequestKey{CustomerId(*customer), *id}, std::move(entry));
}

std::optional<ClaimRecord> decodeJson(const Json &json)
{
    ClaimRecord record;
    record.horizon = fromMilliseconds(json.at("horizon").get<std::int64_t>());
    for (const auto &fields : json.at("claims")) {
        auto claim = decodeClaim(fields);
        if (!claim) {
            return std::nullopt;
        }
        record.entries.insert(std::move(*claim));
    }
    return record;
}

} // namespace

std::string_view claimStateName(ClaimState state)
{
    return enumName(ClaimStateNames, state);
}

std::string encodeClaimRecord(const ClaimRecord &record)
{
    Json claims = Json::array();
    for (const auto &[key, entry] : record.entries) {
        claims.push_back(encodeClaim(key, entry));
    }
    Json json;
    json["horizon"] = toMilliseconds(record.horizon);
    json["claims"] = std::move(claims);
    return json.dump();
}

std::optional<ClaimRecord> decodeClaimRecord(std::string_view text, LastReason &reason)
{
    if (text.empty()) {
        return ClaimRecord{};
    }
    try {
        if (auto record = decodeJson(Json::parse(text))) {
            return record;
        }
    } catch (const Json::exception &) {
        // Reported below: the text is not a record.
    }
    reason = Error{ErrorKind::Internal,
                   "a stored claim record can't be read; restore or delete its key in the platform's service",
                   Execution::Unknown,
                   std::nullopt};
    return std::nullopt;
}

std::size_t encodedClaimSize(const RequestKey &key, const ClaimEntry &entry)
{
    std::size_t size = FixedClaimBytes + claimStateName(entry.state).size();
    size += storedTextBytes(key.customer.value) + storedTextBytes(key.id) + storedTextBytes(entry.holder.value);
    if (entry.answer) {
        size += storedTextBytes(*entry.answer) + 1;
    }
    return size;
}

std::optional<WallTime> uuidV7Time(std::string_view id)
{
    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t versionPlace = 14;
    constexpr std::size_t variantPlace = 19;
    if (id.size() != uuidLength) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < id.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        const bool hex =
            (id[i] >= '0' && id[i] <= '9') || (id[i] >= 'a' && id[i] <= 'f') || (id[i] >= 'A' && id[i] <= 'F');
        if (dash ? id[i] != '-' : !hex) {
            return std::nullopt;
        }
    }
    constexpr std::string_view variants = "89abAB";
    if (id[versionPlace] != '7' || variants.find(id[variantPlace]) == std::string_view::npos) {
        return std::nullopt;
    }
    // The first 48 bits are milliseconds since the Unix epoch: eight digits, a dash, four digits.
    const std::string digits = std::string(id.substr(0, 8)) + std::string(id.substr(9, 4));
    std::int64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, 16);
    return fromMilliseconds(milliseconds);
}

} // namespace Godwit
