#pragma once

// The parts of a request target that the stand-ins look at.
//
// Example:
//   const Target target = parseTarget("/v1/kv/budgets%2F1?expect=0");
//   target.path == "/v1/kv/budgets%2F1"; target.number("expect") == 0;

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Godwit::Standins
{

struct Target
{
    std::string path; // Still percent-encoded, so that an encoded slash in a key can be told from a separator.
    std::map<std::string, std::string> parameters; // Decoded.

    // The parameter as a number; absent when it is missing or not a number.
    std::optional<std::uint64_t> number(const std::string &name) const;
    // The parameter's text, empty when it is missing.
    std::string text(const std::string &name) const;
};

Target parseTarget(std::string_view target);

std::string percentDecode(std::string_view text);

// Returns what follows `prefix` in `path`, if it starts with it.
std::optional<std::string_view> afterPrefix(std::string_view path, std::string_view prefix);

} // namespace Godwit::Standins
