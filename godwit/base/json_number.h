#pragma once

// Whole numbers out of JSON or CBOR that came from elsewhere.
//
// Example, inside a decoder that catches nlohmann::json::exception:
//   message.revision = naturalNumber(json.at(1));

#include <nlohmann/json.hpp>

#include <cstdint>

namespace Godwit
{

// Returns the number; throws nlohmann::json::type_error when it is none. The library's own get() converts a negative
// or huge floating-point number too, which is undefined.
inline std::uint64_t naturalNumber(const nlohmann::json &value)
{
    if (!value.is_number_unsigned()) {
        throw nlohmann::json::type_error::create(302, "a whole number from 0 is wanted", &value);
    }
    return value.get<std::uint64_t>();
}

} // namespace Godwit
