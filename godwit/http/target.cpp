#include "godwit/http/target.h"

namespace Godwit
{
namespace
{

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded.push_back(text[i]);
            continue;
        }
        const int high = i + 2 < text.size() ? hexDigit(text[i + 1]) : -1;
        const int low = i + 2 < text.size() ? hexDigit(text[i + 2]) : -1;
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        decoded.push_back(static_cast<char>(high * 16 + low));
        i += 2;
    }
    return decoded;
}

// Calls `take` with each part of `text` between separators; stops when it returns false.
template<typename Take>
bool splitBy(std::string_view text, char separator, Take take)
{
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        const std::string_view part = text.substr(0, end);
        if (!part.empty() && !take(part)) {
            return false;
        }
        if (end == std::string_view::npos) {
            break;
        }
        text.remove_prefix(end + 1);
    }
    return true;
}

} // namespace

std::optional<Target> parseTarget(std::string_view text)
{
    Target target;
    const std::size_t question = text.find('?');
    const bool pathOk = splitBy(text.substr(0, question), '/', [&target](std::string_view part) {
        auto decoded = percentDecode(part);
        if (!decoded) {
            return false;
        }
        target.segments.push_back(std::move(*decoded));
        return true;
    });
    if (!pathOk) {
        return std::nullopt;
    }
    if (question == std::string_view::npos) {
        return target;
    }
    const bool queryOk = splitBy(text.substr(question + 1), '&', [&target](std::string_view part) {
        const std::size_t equals = part.find('=');
        auto key = percentDecode(part.substr(0, equals));
        auto value = equals == std::string_view::npos ? std::string() : percentDecode(part.substr(equals + 1));
        if (!key || !value) {
            return false;
        }
        target.query[*key] = std::move(*value);
        return true;
    });
    if (!queryOk) {
        return std::nullopt;
    }
    return target;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.' || c == '~';
        if (unreserved) {
            encoded.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4U]);
        encoded.push_back(digits[byte & 15U]);
    }
    return encoded;
}

} // namespace Godwit
