#pragma once

// A look at the shape of CBOR bytes before a library parses them.
//
// The library's parser recurses for each level: a linked router that sends a deeply nested value would overflow the
// stack and end this process. It also throws for lengths that no message can hold. Bytes that pass here do neither.
//
// Example:
//   if (!hasBoundedShape(bytes, 16)) { return std::nullopt; }

#include <cstddef>
#include <string_view>

namespace Godwit
{

// Returns whether `bytes` begin with one whole value that nests at most `maxDepth` arrays and maps (64 at most), has no
// tags, and claims no length beyond the bytes.
bool hasBoundedShape(std::string_view bytes, std::size_t maxDepth);

} // namespace Godwit
