#include "godwit/ctl/render.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace Godwit
{
namespace
{

using Json = nlohmann::ordered_json;

std::string cell(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void appendPadded(std::string &out, const std::string &text, std::size_t width)
{
    out += text;
    out.append(width > text.size() ? width - text.size() : 0, ' ');
}

std::string table(const Json &rows)
{
    if (rows.empty()) {
        return "(none)\n";
    }
    std::vector<std::string> columns;
    std::vector<std::size_t> widths;
    for (const auto &[key, value] : rows.front().items()) {
        std::size_t width = key.size();
        for (const auto &row : rows) {
            width = std::max(width, row.contains(key) ? cell(row[key]).size() : 0);
        }
        columns.push_back(key);
        widths.push_back(width + 2);
    }
    std::string out;
    const auto appendRow = [&](auto textOf) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            appendPadded(out, textOf(columns[i]), i + 1 < columns.size() ? widths[i] : 0);
        }
        out += '\n';
    };
    appendRow([](const std::string &column) {
        return column;
    });
    for (const auto &row : rows) {
        appendRow([&row](const std::string &column) {
            return row.contains(column) ? cell(row[column]) : std::string();
        });
    }
    return out;
}

bool isTable(const Json &value)
{
    return value.is_array() && std::all_of(value.begin(), value.end(), [](const Json &row) {
               return row.is_object();
           });
}

std::string lines(const Json &object)
{
    std::size_t width = 0;
    for (const auto &[key, value] : object.items()) {
        width = std::max(width, key.size() + 2);
    }
    std::string out;
    for (const auto &[key, value] : object.items()) {
        appendPadded(out, key, width);
        out += cell(value) + '\n';
    }
    return out;
}

} // namespace

std::string renderAnswer(const std::string &json)
{
    const auto answer = Json::parse(json, nullptr, false);
    if (!answer.is_object()) {
        return json + '\n';
    }
    if (answer.size() == 1 && isTable(answer.front())) {
        return table(answer.front());
    }
    return lines(answer);
}

} // namespace Godwit
