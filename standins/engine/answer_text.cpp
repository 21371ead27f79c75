#include "standins/engine/answer_text.h"

#include "godwit/base/hash.h"

namespace Godwit::Standins
{

namespace
{

constexpr std::int64_t BytesPerToken = 4;

} // namespace

std::string tokenText(std::string_view requestId, std::int64_t index)
{
    std::string text(requestId);
    text += ':';
    text += std::to_string(index);
    text += ' ';
    return text;
}

std::string answerText(std::string_view requestId, std::int64_t count)
{
    std::string text;
    for (std::int64_t index = 0; index < count; ++index) {
        text += tokenText(requestId, index);
    }
    return text;
}

std::int64_t naturalLength(std::string_view requestId, std::int64_t longest)
{
    return 1 + static_cast<std::int64_t>(stableHash(requestId) % static_cast<std::uint64_t>(longest));
}

std::int64_t promptTokens(std::string_view prompt)
{
    return (static_cast<std::int64_t>(prompt.size()) + BytesPerToken - 1) / BytesPerToken;
}

} // namespace Godwit::Standins
