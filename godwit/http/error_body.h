#pragma once

// The JSON form of an Error, as callers and operators receive it.
//
// Example of a body:
//   {"error": {"type": "budget_exhausted", "message": "...", "remedy": "...", "execution": "not_run",
//              "not_run": true, "retry_after_ms": 1500}}

#include "godwit/base/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace Godwit
{

std::string errorToJson(const Error &error);

// Reads what errorToJson wrote; nullopt for any other text.
std::optional<Error> errorFromJson(std::string_view json);

// The value of a Retry-After header: whole seconds, at least one.
std::string retryAfterSeconds(Duration retryAfter);

} // namespace Godwit
