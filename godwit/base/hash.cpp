#include "godwit/base/hash.h"

#include <xxhash.h>

namespace Godwit
{

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return XXH3_64bits_withSeed(node.data(), node.size(), stableHash(key));
}

} // namespace Godwit
