#pragma once

// Reading TOML tables key by key, gathering every fault instead of stopping at the first.
//
// Internal to this package. No exception leaves it.
//
// Example:
//   FaultList faults;
//   TableReader reader(table, "customers.dolna", faults, UnknownKeys::Refuse);
//   customer.share = reader.number("share", 1.0, {0.001, 1000.0});
//   reader.finish();

#include "godwit/base/enum_names.h"
#include "godwit/base/error.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// toml++ asserts that the key of a table header starts well, which hostile text such as "[[[" violates: with
// assertions the process would abort, and without them clang may assume it away. As neither, the parser's next
// line reports an ordinary error.
#pragma push_macro("NDEBUG")
#undef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

namespace Godwit::internal
{

// Keys that the reader never asked for.
enum class UnknownKeys {
    Refuse,
    Ignore,
};

// Every fault of a text, each "file:line: key: what; remedy".
class FaultList
{
public:
    void add(const toml::source_region &where, std::string_view key, std::string_view what);

    // For faults without a place in a file.
    void add(std::string_view key, std::string_view what);

    bool empty() const
    {
        return m_lines.empty() && m_more == 0;
    }

    // One message with all faults, one a line.
    Error toError(ErrorKind kind) const;

private:
    std::vector<std::string> m_lines;
    std::size_t m_more = 0;
};

// The inclusive range of a number.
struct NumberRange
{
    double low;
    double high;
};

class TableReader
{
public:
    // Keeps references: `table` and `faults` must outlive the reader.
    TableReader(const toml::table &table, std::string path, FaultList &faults, UnknownKeys unknown);

    // Each returns the value of `key`, or the fallback when the key is absent or faulty.
    std::string text(std::string_view key, std::string_view fallback);
    std::string requiredText(std::string_view key);
    bool boolean(std::string_view key, bool fallback);
    double number(std::string_view key, double fallback, NumberRange range);
    std::int64_t integer(std::string_view key, std::int64_t fallback, NumberRange range);
    std::vector<std::string> texts(std::string_view key);
    // A date and time with an offset, in milliseconds since the Unix epoch.
    std::optional<std::int64_t> moment(std::string_view key);

    // The table under `key`, or null when it is absent; a fault when it is no table.
    const toml::table *table(std::string_view key);

    template<typename Enum, std::size_t Size>
    Enum choice(std::string_view key, Enum fallback, const EnumName<Enum> (&names)[Size])
    {
        const toml::node *node = find(key);
        if (node == nullptr) {
            return fallback;
        }
        std::string allowed;
        const std::string written = node->value_or(std::string());
        for (const auto &row : names) {
            if (written == row.name) {
                return row.value;
            }
            allowed += allowed.empty() ? "" : ", ";
            allowed += row.name;
        }
        fault(key, "must be one of " + allowed);
        return fallback;
    }

    // Faults of the caller's own checks, at the place of `key`.
    void fault(std::string_view key, std::string_view what);

    bool has(std::string_view key) const;

    // Where `key` stands, if it does.
    std::optional<toml::source_region> placeOf(std::string_view key) const;

    // Reports the keys that nobody asked for, with the nearest known one.
    void finish();

    std::string pathOf(std::string_view key) const;

private:
    const toml::node *find(std::string_view key);

    const toml::table &m_table;
    std::string m_path;
    FaultList &m_faults;
    UnknownKeys m_unknown;
    std::vector<std::string> m_known;
};

// Parses a whole TOML text. `fileName` appears in faults.
std::optional<toml::table> parseToml(std::string_view text, std::string_view fileName, FaultList &faults);

// The number of edits between two words, for suggestions.
std::size_t editDistance(std::string_view a, std::string_view b);

// Splits `customers."a.b".share` into its keys; nothing when it is malformed, too long or too deep.
std::optional<std::vector<std::string>> splitPath(std::string_view path);

// The one spelling of a path, quoted only where needed.
std::string joinPath(const std::vector<std::string> &keys);

// True for well-formed UTF-8 without control characters.
bool isPlainUtf8(std::string_view text);

} // namespace Godwit::internal
