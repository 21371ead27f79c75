#pragma once

// The engine's answers: deterministic from the request id, so that a checker can tell whose answer it reads and
// whether it is whole.
//
// Example:
//   tokenText("r7", 0) + tokenText("r7", 1) == "r7:0 r7:1 ";

#include <cstdint>
#include <string>
#include <string_view>

namespace Godwit::Standins
{

// The text of the answer's token `index`.
std::string tokenText(std::string_view requestId, std::int64_t index);

// The answer of `count` tokens.
std::string answerText(std::string_view requestId, std::int64_t count);

// How many tokens the answer has when no limit cuts it: from 1 to `longest`, by the id's hash.
std::int64_t naturalLength(std::string_view requestId, std::int64_t longest);

// The prompt's tokens: four bytes each, rounded up, so never more than its bytes.
std::int64_t promptTokens(std::string_view prompt);

} // namespace Godwit::Standins
