#pragma once

// A large value as what changed against its previous one.
//
// Both values are cut into pieces at places that their bytes decide, so that an insertion moves no later cut, and a
// piece that the base has as well is named instead of sent. Works for any bytes.
//
// Pure. Example:
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
    // A part of the new value: bytes of the base, or new ones.
    struct Part
    {
        std::uint64_t offset = 0; // In the base.
        std::uint64_t length = 0; // 0: `bytes` are new.
        std::string bytes;
    };
    std::vector<Part> parts;
    std::uint64_t hash = 0; // Of the new value.
};

ValueDelta makeValueDelta(std::string_view base, std::string_view value);

// The new value, or nothing when `base` differs from the one that the delta was made for in what it takes from it.
std::optional<std::string> applyValueDelta(std::string_view base, const ValueDelta &delta);

// What it takes to send the delta, about.
std::size_t encodedSize(const ValueDelta &delta);

} // namespace Godwit
