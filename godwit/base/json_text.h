#pragma once

// The place where JSON text from other processes becomes a value. The library's dump(), copies and comparisons of a
// value recurse, so that deep nesting would exhaust the stack.
//
// Example:
//   const nlohmann::json value = parseJson(text);

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace Godwit
{

constexpr std::size_t MaxJsonDepth = 64;

// Throws nlohmann::json::exception if the text is not valid JSON or nested deeper than `maxDepth` levels.
nlohmann::json parseJson(std::string_view text, std::size_t maxDepth = MaxJsonDepth);

// As parseJson(), but returns a discarded value instead.
nlohmann::json tryParseJson(std::string_view text, std::size_t maxDepth = MaxJsonDepth);

} // namespace Godwit
