#include "standins/common/url.h"

#include <charconv>

namespace Godwit::Standins
{

std::optional<std::uint64_t> Target::number(const std::string &name) const
{
    const auto found = parameters.find(name);
    if (found == parameters.end()) {
        return std::nullopt;
    }
    const std::string &text = found->second;
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string Target::text(const std::string &name) const
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
}

std::string percentDecode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        const bool escape = text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3;
        if (escape) {
            out.push_back(static_cast<char>(code));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

Target parseTarget(std::string_view target)
{
    Target result;
    const std::size_t question = target.find('?');
    result.path = std::string(target.substr(0, question));
    while (question != std::string_view::npos && !target.empty()) {
        const std::size_t start = target.find_first_of("?&");
        if (start == std::string_view::npos) {
            break;
        }
        target.remove_prefix(start + 1);
        const std::string_view pair = target.substr(0, target.find('&'));
        const std::size_t equals = pair.find('=');
        const std::string_view value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        result.parameters[percentDecode(pair.substr(0, equals))] = percentDecode(value);
    }
    return result;
}

std::optional<std::string_view> afterPrefix(std::string_view path, std::string_view prefix)
{
    if (path.substr(0, prefix.size()) != prefix) {
        return std::nullopt;
    }
    return path.substr(prefix.size());
}

} // namespace Godwit::Standins
