#pragma once

// JSON answers as text for people: a list of objects as a table, one object as lines.

#include <string>

namespace Godwit
{

// Returns `json` itself when it is no JSON.
std::string renderAnswer(const std::string &json);

} // namespace Godwit
