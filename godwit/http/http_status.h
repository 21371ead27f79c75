#pragma once

// Status codes of HTTP responses.

namespace Godwit
{

// Whether the code is of a class that HTTP defines (RFC 9110, section 15). Parsers accept any three digits.
constexpr bool isStatus(unsigned code)
{
    return code >= 100 && code <= 599;
}

} // namespace Godwit
