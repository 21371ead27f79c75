#pragma once

// The difference of two texts by lines.
//
// Example:
//   lineDiff("a\nb\n", "a\nc\n") == " a\n-b\n+c\n"

#include <string>
#include <string_view>

namespace Godwit
{

// Each line with ' ' (in both), '-' (only in `before`) or '+' (only in `after`) before it; empty when both are equal.
std::string lineDiff(std::string_view before, std::string_view after);

} // namespace Godwit
