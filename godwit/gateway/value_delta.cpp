#include "godwit/gateway/value_delta.h"

#include "godwit/base/hash.h"

#include <array>
#include <numeric>
#include <unordered_map>

namespace Godwit
{
namespace
{

// Average chunk size of 128 bytes. A row of a document has about 200, so a change affects only a few rows.
constexpr std::uint64_t BoundaryMask = 0x7f;
constexpr std::size_t MinChunkSize = 32;
constexpr std::size_t MaxChunkSize = 1024;
// Encoded size of a part in a message, apart from its new bytes.
constexpr std::size_t PartOverhead = 8;

// Table of the gear rolling hash: a pseudo-random value per byte (splitmix64), the same in every version.
constexpr std::array<std::uint64_t, 256> makeGearTable()
{
    std::array<std::uint64_t, 256> gears{};
    std::uint64_t state = 0;
    for (std::uint64_t &gear : gears) {
        state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t mixed = state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        gear = mixed ^ (mixed >> 31U);
    }
    return gears;
}

constexpr std::array<std::uint64_t, 256> GearTable = makeGearTable();

// Removes the next chunk from `rest` and returns it. Its end depends only on the bytes before it.
std::string_view takeChunk(std::string_view &rest)
{
    std::uint64_t rolling = 0;
    std::size_t length = 0;
    while (length < rest.size() && length < MaxChunkSize) {
        rolling = (rolling << 1U) + GearTable[static_cast<unsigned char>(rest[length])];
        ++length;
        // The high bits depend on the most bytes.
        if (length >= MinChunkSize && ((rolling >> 32U) & BoundaryMask) == 0) {
            break;
        }
    }
    const std::string_view chunk = rest.substr(0, length);
    rest.remove_prefix(length);
    return chunk;
}

void appendCopy(ValueDelta &delta, std::uint64_t offset, std::uint64_t length)
{
    if (!delta.parts.empty()) {
        ValueDelta::Part &last = delta.parts.back();
        if (last.length > 0 && last.offset + last.length == offset) {
            last.length += length;
            return;
        }
    }
    delta.parts.push_back({offset, length, {}});
}

void appendBytes(ValueDelta &delta, std::string_view bytes)
{
    if (delta.parts.empty() || delta.parts.back().length > 0) {
        delta.parts.emplace_back();
    }
    delta.parts.back().bytes += bytes;
}

} // namespace

ValueDelta makeValueDelta(std::string_view base, std::string_view value)
{
    std::unordered_map<std::string_view, std::uint64_t> offsets;
    for (std::string_view rest = base; !rest.empty();) {
        const auto offset = static_cast<std::uint64_t>(base.size() - rest.size());
        offsets.emplace(takeChunk(rest), offset);
    }
    ValueDelta delta;
    delta.hash = stableHash(value);
    for (std::string_view rest = value; !rest.empty();) {
        const std::string_view chunk = takeChunk(rest);
        const auto found = offsets.find(chunk);
        if (found != offsets.end()) {
            appendCopy(delta, found->second, chunk.size());
        } else {
            appendBytes(delta, chunk);
        }
    }
    return delta;
}

std::optional<std::string> applyValueDelta(std::string_view base, const ValueDelta &delta)
{
    std::string value;
    for (const ValueDelta::Part &part : delta.parts) {
        if (part.length == 0) {
            value += part.bytes;
        } else if (part.offset <= base.size() && part.length <= base.size() - part.offset) {
            value += base.substr(part.offset, part.length);
        } else {
            return std::nullopt;
        }
    }
    return stableHash(value) == delta.hash ? std::optional(std::move(value)) : std::nullopt;
}

std::size_t encodedSize(const ValueDelta &delta)
{
    return std::accumulate(
        delta.parts.begin(), delta.parts.end(), std::size_t{0}, [](std::size_t sum, const ValueDelta::Part &part) {
            return sum + PartOverhead + part.bytes.size();
        });
}

} // namespace Godwit
