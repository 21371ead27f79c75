#pragma once

// Tells the fingerprints of prompt parts from those of requests.
//
// A part is in flight at every death of a request that contains it, so it is no other explanation for these deaths.

#include <cstdint>

namespace Godwit
{

inline constexpr int PromptPartTagShift = 48;
inline constexpr std::uint64_t PromptPartTag = 0x5041; // The upper bits; those of a request match it by chance only.

constexpr std::uint64_t tagAsPromptPart(std::uint64_t hash)
{
    constexpr std::uint64_t lowerBits = (std::uint64_t{1} << PromptPartTagShift) - 1;
    return (PromptPartTag << PromptPartTagShift) | (hash & lowerBits);
}

constexpr bool isPromptPart(std::uint64_t fingerprint)
{
    return fingerprint >> PromptPartTagShift == PromptPartTag;
}

} // namespace Godwit
