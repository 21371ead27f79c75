#pragma once

// Tables that give each enumerator its public name.
//
// Example:
//   enum class Colour { Red, Green };
//   constexpr EnumName<Colour> ColourNames[] = {{Colour::Red, "red"}, {Colour::Green, "green"}};
//   std::string_view name = enumName(ColourNames, Colour::Red);

#include <cstddef>
#include <optional>
#include <string_view>

namespace Godwit
{

template<typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

// Returns the name of `value`, or "unnamed" when the table lacks it.
template<typename Enum, std::size_t Size>
constexpr std::string_view enumName(const EnumName<Enum> (&table)[Size], Enum value)
{
    for (const auto &row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unnamed";
}

// Returns the enumerator called `name`, if there is one.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> enumFromName(const EnumName<Enum> (&table)[Size], std::string_view name)
{
    for (const auto &row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace Godwit
