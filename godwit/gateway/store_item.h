#pragma once

// An entry of the platform's store: key, value, and the revision of its last change.

#include <cstdint>
#include <string>

namespace Godwit
{

struct StoreItem
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false; // The entry was removed; only set in changes.
};

} // namespace Godwit
