#include "godwit/base/json_text.h"

#include <algorithm>
#include <string>

namespace Godwit
{
namespace
{

using nlohmann::json;

// Levels of arrays and objects. Exact up to the first error of the text, where the parser stops.
std::size_t nestingDepth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            inString = !inString;
        } else if (inString) {
            i += c == '\\' ? 1 : 0;
        } else if (c == '[' || c == '{') {
            deepest = std::max(deepest, ++depth);
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return deepest;
}

} // namespace

json parseJson(std::string_view text, std::size_t maxDepth)
{
    if (nestingDepth(text) > maxDepth) {
        throw json::other_error::create(
            501, "nested deeper than " + std::to_string(maxDepth) + " levels; flatten the value", nullptr);
    }
    return json::parse(text);
}

json tryParseJson(std::string_view text, std::size_t maxDepth)
{
    return nestingDepth(text) > maxDepth ? json(json::value_t::discarded) : json::parse(text, nullptr, false);
}

} // namespace Godwit
