#pragma once

// Delta encoding of a large value against its previous version.
//
// Both values are split by content-defined chunking, so that an insertion does not move later chunk boundaries. Chunks
// that the base contains as well are referenced instead of transmitted. Works for arbitrary bytes.
//
// Pure functions. Example:
//   const ValueDelta delta = makeValueDelta(before, after);
//   if (const auto value = applyValueDelta(before, delta)) { ... }

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

struct ValueDelta
{
    // A part of the new value: either a range of the base or new bytes.
    struct Part
    {
        std::uint64_t offset = 0; // In the base.
        std::uint64_t length = 0; // 0: the part consists of `bytes`.
        std::string bytes;
    };
    std::vector<Part> parts;
    std::uint64_t hash = 0; // Of the new value.
};

ValueDelta makeValueDelta(std::string_view base, std::string_view value);

// Returns the new value, or nullopt if `base` differs from the base of the delta in a range that the delta references.
std::optional<std::string> applyValueDelta(std::string_view base, const ValueDelta &delta);

// Returns the approximate size of the encoded delta in bytes.
std::size_t encodedSize(const ValueDelta &delta);

} // namespace Godwit
