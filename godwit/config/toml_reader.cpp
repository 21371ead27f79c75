#include "godwit/config/toml_reader.h"

#include "godwit/config/config_document.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace Godwit::internal
{
namespace
{

constexpr std::size_t MaxFaultLines = 20;
constexpr std::size_t MaxKeySegments = 16;
constexpr std::size_t MaxKeyEdits = 3;

bool isBareKeyCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
}

bool isBareKey(std::string_view key)
{
    return !key.empty() && std::all_of(key.begin(), key.end(), isBareKeyCharacter);
}

// A key of thousands of segments makes as many nested tables, and destroying those recursively overflows the
// stack: the process would die on a few hundred kilobytes of input. The parser bounds nested values only.
bool hasDeepKey(std::string_view text)
{
    std::size_t segments = 0;
    for (const char c : text) {
        if (c == '.') {
            ++segments;
            if (segments >= MaxKeySegments) {
                return true;
            }
        } else if (!isBareKeyCharacter(c) && c != '"' && c != '\'' && c != ' ' && c != '\t') {
            segments = 0;
        }
    }
    return false;
}

std::string numberText(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

// Reads one quoted key that starts at `at`; returns the place after its closing quote.
std::optional<std::size_t> readQuoted(std::string_view path, std::size_t at, std::string &key)
{
    const char quote = path[at];
    for (std::size_t i = at + 1; i < path.size(); ++i) {
        if (path[i] == quote) {
            return i + 1;
        }
        if (path[i] == '\\') {
            return std::nullopt;
        }
        key += path[i];
    }
    return std::nullopt;
}

std::size_t readBare(std::string_view path, std::size_t at, std::string &key)
{
    while (at < path.size() && isBareKeyCharacter(path[at])) {
        key += path[at];
        ++at;
    }
    return at;
}

} // namespace

void FaultList::add(const toml::source_region &where, std::string_view key, std::string_view what)
{
    std::string line;
    if (where.path) {
        line += *where.path;
        line += ':';
    }
    if (where.begin.line > 0) {
        line += std::to_string(where.begin.line);
        line += ':';
    }
    if (!line.empty()) {
        line += ' ';
    }
    if (!key.empty()) {
        line += key;
        line += ": ";
    }
    line += what;
    if (m_lines.size() < MaxFaultLines) {
        m_lines.push_back(std::move(line));
    } else {
        ++m_more;
    }
}

void FaultList::add(std::string_view key, std::string_view what)
{
    add(toml::source_region{}, key, what);
}

Error FaultList::toError(ErrorKind kind) const
{
    std::string message;
    for (const std::string &line : m_lines) {
        message += message.empty() ? "" : "\n";
        message += line;
    }
    if (m_more > 0) {
        message += "\nand " + std::to_string(m_more) + " more faults";
    }
    return Error{kind, message, Execution::NotRun, std::nullopt};
}

TableReader::TableReader(const toml::table &table, std::string path, FaultList &faults, UnknownKeys unknown)
    : m_table(table)
    , m_path(std::move(path))
    , m_faults(faults)
    , m_unknown(unknown)
{
}

const toml::node *TableReader::find(std::string_view key)
{
    m_known.emplace_back(key);
    return m_table.get(key);
}

bool TableReader::has(std::string_view key) const
{
    return m_table.contains(key);
}

std::optional<toml::source_region> TableReader::placeOf(std::string_view key) const
{
    const auto entry = m_table.find(key);
    return entry == m_table.end() ? std::nullopt : std::optional(entry->first.source());
}

std::string TableReader::pathOf(std::string_view key) const
{
    const std::string last = isBareKey(key) ? std::string(key) : '"' + std::string(key) + '"';
    return m_path.empty() ? last : m_path + '.' + last;
}

void TableReader::fault(std::string_view key, std::string_view what)
{
    const auto entry = m_table.find(key);
    m_faults.add(entry != m_table.end() ? entry->first.source() : m_table.source(), pathOf(key), what);
}

std::string TableReader::text(std::string_view key, std::string_view fallback)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return std::string(fallback);
    }
    if (!node->is_string()) {
        fault(key, "must be a string; put it in quotes");
        return std::string(fallback);
    }
    return node->as_string()->get();
}

std::string TableReader::requiredText(std::string_view key)
{
    std::string value = text(key, "");
    if (!has(key)) {
        m_faults.add(m_table.source(), pathOf(key), "is missing; add it");
    } else if (value.empty() && m_table.get(key)->is_string()) {
        fault(key, "must not be empty; write its value");
    }
    return value;
}

bool TableReader::boolean(std::string_view key, bool fallback)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_boolean()) {
        fault(key, "must be true or false");
        return fallback;
    }
    return node->as_boolean()->get();
}

double TableReader::number(std::string_view key, double fallback, NumberRange range)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    const std::optional<double> value = node->value<double>();
    if (!node->is_number() || !value || !std::isfinite(*value) || *value < range.low || *value > range.high) {
        const std::string found = node->is_number() && value ? ", not " + numberText(*value) : "";
        fault(key, "must be a number from " + numberText(range.low) + " to " + numberText(range.high) + found);
        return fallback;
    }
    return *value;
}

std::int64_t TableReader::integer(std::string_view key, std::int64_t fallback, NumberRange range)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto *value = node->as_integer();
    if (value == nullptr || static_cast<double>(value->get()) < range.low
        || static_cast<double>(value->get()) > range.high) {
        fault(key,
              "must be a whole number from " + std::to_string(static_cast<std::int64_t>(range.low)) + " to "
                  + std::to_string(static_cast<std::int64_t>(range.high)));
        return fallback;
    }
    return value->get();
}

std::vector<std::string> TableReader::texts(std::string_view key)
{
    std::vector<std::string> values;
    const toml::node *node = find(key);
    if (node == nullptr) {
        return values;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        fault(key, "must be an array of strings, such as [\"a\", \"b\"]");
        return values;
    }
    for (const toml::node &element : *array) {
        if (!element.is_string()) {
            fault(key, "must hold strings only; put each element in quotes");
            return values;
        }
        values.push_back(element.as_string()->get());
    }
    return values;
}

std::optional<std::int64_t> TableReader::moment(std::string_view key)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto *value = node->as_date_time();
    if (value == nullptr || !value->get().offset) {
        fault(key, "must be a date and time with an offset, such as 2026-12-31T00:00:00Z");
        return std::nullopt;
    }
    const toml::date_time &when = value->get();
    // Days since the epoch by the civil calendar.
    const std::int64_t year = when.date.year - (when.date.month <= 2 ? 1 : 0);
    const std::int64_t era = (year >= 0 ? year : year - 399) / 400;
    const std::int64_t yearOfEra = year - era * 400;
    const std::int64_t shiftedMonth = when.date.month + (when.date.month > 2 ? -3 : 9);
    const std::int64_t dayOfYear = (153 * shiftedMonth + 2) / 5 + when.date.day - 1;
    const std::int64_t dayOfEra = yearOfEra * 365 + yearOfEra / 4 - yearOfEra / 100 + dayOfYear;
    const std::int64_t days = era * 146097 + dayOfEra - 719468;
    const std::int64_t minutes = (days * 24 + when.time.hour) * 60 + when.time.minute - when.offset->minutes;
    return (minutes * 60 + when.time.second) * 1000 + when.time.nanosecond / 1000000;
}

const toml::table *TableReader::table(std::string_view key)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return nullptr;
    }
    if (!node->is_table()) {
        fault(key, "must be a table; write [" + pathOf(key) + "]");
        return nullptr;
    }
    return node->as_table();
}

void TableReader::finish()
{
    if (m_unknown == UnknownKeys::Ignore) {
        return;
    }
    for (const auto &[key, node] : m_table) {
        if (std::find(m_known.begin(), m_known.end(), key.str()) != m_known.end()) {
            continue;
        }
        std::string nearest;
        std::size_t best = MaxKeyEdits + 1;
        for (const std::string &known : m_known) {
            const std::size_t distance = editDistance(key.str(), known);
            if (distance < best) {
                best = distance;
                nearest = known;
            }
        }
        std::string what = "unknown key; ";
        what += nearest.empty() ? "remove it" : "did you mean \"" + nearest + "\"?";
        m_faults.add(key.source(), pathOf(key.str()), what);
    }
}

std::optional<toml::table> parseToml(std::string_view text, std::string_view fileName, FaultList &faults)
{
    toml::source_region whole;
    whole.path = std::make_shared<const std::string>(fileName);
    if (hasDeepKey(text)) {
        faults.add(whole, "", "a key has more than 15 dots; use shorter paths");
        return std::nullopt;
    }
    try {
        return toml::parse(text, fileName);
    } catch (const toml::parse_error &error) {
        faults.add(error.source(), "", std::string(error.description()) + "; correct the TOML at this line");
    } catch (const std::exception &error) {
        faults.add(whole, "", std::string(error.what()) + "; correct the TOML");
    }
    return std::nullopt;
}

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j < row.size(); ++j) {
        row[j] = j;
    }
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t change = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({change, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

std::optional<std::vector<std::string>> splitPath(std::string_view path)
{
    std::vector<std::string> keys;
    if (path.empty()) {
        return keys;
    }
    if (path.size() > MaxPatchPathBytes || !isPlainUtf8(path)) {
        return std::nullopt;
    }
    std::size_t at = 0;
    while (keys.size() < MaxPatchPathDepth) {
        std::string key;
        if (at < path.size() && (path[at] == '"' || path[at] == '\'')) {
            const auto end = readQuoted(path, at, key);
            if (!end) {
                return std::nullopt;
            }
            at = *end;
        } else {
            at = readBare(path, at, key);
        }
        if (key.empty()) {
            return std::nullopt;
        }
        keys.push_back(std::move(key));
        if (at == path.size()) {
            return keys;
        }
        if (path[at] != '.') {
            return std::nullopt;
        }
        ++at;
    }
    return std::nullopt;
}

std::string joinPath(const std::vector<std::string> &keys)
{
    std::string path;
    for (const std::string &key : keys) {
        path += path.empty() ? "" : ".";
        if (isBareKey(key)) {
            path += key;
        } else {
            const char quote = key.find('"') == std::string::npos ? '"' : '\'';
            path += quote + key + quote;
        }
    }
    return path;
}

bool isPlainUtf8(std::string_view text)
{
    std::size_t i = 0;
    while (i < text.size()) {
        const auto lead = static_cast<unsigned char>(text[i]);
        if (lead < 0x20 || lead == 0x7f) {
            return false;
        }
        std::size_t length = 1;
        std::uint32_t code = lead;
        if (lead >= 0x80) {
            length = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : 2;
            if (lead < 0xc2 || lead > 0xf4 || i + length > text.size()) {
                return false;
            }
            code = lead & (0xffU >> (length + 1));
        }
        for (std::size_t j = 1; j < length; ++j) {
            const auto next = static_cast<unsigned char>(text[i + j]);
            if ((next & 0xc0U) != 0x80U) {
                return false;
            }
            code = (code << 6U) | (next & 0x3fU);
        }
        const bool overlong = (length == 3 && code < 0x800) || (length == 4 && code < 0x10000);
        const bool surrogate = code >= 0xd800 && code <= 0xdfff;
        if (overlong || surrogate || code > 0x10ffff) {
            return false;
        }
        i += length;
    }
    return true;
}

} // namespace Godwit::internal
