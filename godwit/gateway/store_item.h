#pragma once

// One entry of the platform's store: a key, its value, and the revision of its last change.

#include <cstdint>
#include <string>

namespace Godwit
{

struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false; // In changes only.
};

} // namespace Godwit
