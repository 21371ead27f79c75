#pragma once

// The parts of an HTTP request target.

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit
{

struct Target
{
    std::vector<std::string> segments; // Percent-decoded, without empty ones.
    std::map<std::string, std::string> query;
};

// Returns nullopt for a target with a broken percent escape.
std::optional<Target> parseTarget(std::string_view text);

// Escapes everything but unreserved characters.
std::string percentEncode(std::string_view text);

} // namespace Godwit
