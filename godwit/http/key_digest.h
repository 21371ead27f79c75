#pragma once

// Keys and tokens are compared and stored as digests; the secret itself stays with its holder.
//
// Example:
//   keyDigestOf("Bearer secret") == sha256Hex("secret")

#include <string>
#include <string_view>

namespace Godwit
{

// SHA-256 in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

// The digest of the key in "Bearer <key>"; empty without a key.
std::string keyDigestOf(std::string_view authorization);

} // namespace Godwit
