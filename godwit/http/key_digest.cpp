#include "godwit/http/key_digest.h"

#include <openssl/sha.h>

#include <array>

namespace Godwit
{
namespace
{

constexpr std::string_view BearerPrefix = "Bearer ";

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 15U]);
    }
    return hex;
}

std::string keyDigestOf(std::string_view authorization)
{
    if (authorization.substr(0, BearerPrefix.size()) != BearerPrefix || authorization.size() == BearerPrefix.size()) {
        return {};
    }
    return sha256Hex(authorization.substr(BearerPrefix.size()));
}

} // namespace Godwit
