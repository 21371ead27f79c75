#pragma once

// The lexical level of the scenario language: lines of typed words.

#include "godwit/base/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwit::Scenarios
{

enum class WordKind {
    Name,
    Number,
    Range, // 50..150
    Rate, // 20/s
    Percent, // 10%
    Span, // 5s, 200ms, 10us, 5m
    Text, // "quoted"
};

struct Word
{
    WordKind kind = WordKind::Name;
    // Without quotes.
    std::string text;
    std::size_t line = 0;
};

using WordLine = std::vector<Word>;

// Splits `text` into its lines of words, without comments and empty lines.
std::optional<std::vector<WordLine>> readWords(const std::string &name, std::string_view text, LastReason &reason);

} // namespace Godwit::Scenarios
