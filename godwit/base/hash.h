#pragma once

// Hashes that are equal on every host and in every version, for shard keys and rendezvous choices.

#include <cstdint>
#include <string_view>

namespace Godwit
{

// XXH3 of `text`.
std::uint64_t stableHash(std::string_view text);

// The weight of `node` for `key` in rendezvous hashing: the node with the highest weight wins.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

} // namespace Godwit
