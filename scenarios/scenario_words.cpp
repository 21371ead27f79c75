#include "scenarios/scenario_words.h"

#include <tao/pegtl.hpp>

namespace Godwit::Scenarios
{
namespace
{

namespace pegtl = tao::pegtl;

// clang-format off
struct Blank : pegtl::one<' ', '\t'> {};
struct Comment : pegtl::seq<pegtl::one<'#'>, pegtl::star<pegtl::not_one<'\n'>>> {};
struct WordEnd : pegtl::at<pegtl::sor<Blank, pegtl::one<'#'>, pegtl::eolf>> {};
struct Digits : pegtl::plus<pegtl::digit> {};
struct Decimal : pegtl::seq<Digits, pegtl::opt<pegtl::one<'.'>, Digits>> {};

struct Number : pegtl::seq<Decimal, WordEnd> {};
struct Range : pegtl::seq<Digits, pegtl::two<'.'>, Digits, WordEnd> {};
struct Rate : pegtl::seq<Decimal, pegtl::string<'/', 's'>, WordEnd> {};
struct Percent : pegtl::seq<Digits, pegtl::one<'%'>, WordEnd> {};
struct Unit : pegtl::sor<pegtl::string<'u', 's'>, pegtl::string<'m', 's'>, pegtl::one<'s', 'm'>> {};
struct Span : pegtl::seq<Decimal, Unit, WordEnd> {};
struct Name : pegtl::plus<pegtl::not_one<' ', '\t', '\n', '#', '"'>> {};
struct TextBody : pegtl::star<pegtl::not_one<'"', '\n'>> {};
struct TextEnd : pegtl::one<'"'> {};
struct Text : pegtl::if_must<pegtl::one<'"'>, TextBody, TextEnd> {};

struct AnyWord : pegtl::sor<Text, Range, Rate, Percent, Span, Number, Name> {};
struct Line : pegtl::seq<pegtl::star<Blank>, pegtl::star<AnyWord, pegtl::star<Blank>>, pegtl::opt<Comment>> {};
struct LineEnd : pegtl::eol {};
struct File : pegtl::must<Line, pegtl::star<LineEnd, Line>, pegtl::eof> {};
// clang-format on

struct Collector
{
    std::vector<WordLine> lines;
    WordLine current;

    void endLine()
    {
        if (!current.empty()) {
            lines.push_back(std::move(current));
            current.clear();
        }
    }
};

template<typename Rule>
struct Collect : pegtl::nothing<Rule>
{
};

template<WordKind Kind>
struct CollectWord
{
    template<typename Input>
    static void apply(const Input &input, Collector &collector)
    {
        collector.current.push_back({Kind, input.string(), input.position().line});
    }
};

// clang-format off
template<> struct Collect<Number> : CollectWord<WordKind::Number> {};
template<> struct Collect<Range> : CollectWord<WordKind::Range> {};
template<> struct Collect<Rate> : CollectWord<WordKind::Rate> {};
template<> struct Collect<Percent> : CollectWord<WordKind::Percent> {};
template<> struct Collect<Span> : CollectWord<WordKind::Span> {};
template<> struct Collect<Name> : CollectWord<WordKind::Name> {};
template<> struct Collect<TextBody> : CollectWord<WordKind::Text> {};
// clang-format on

template<>
struct Collect<LineEnd>
{
    static void apply0(Collector &collector)
    {
        collector.endLine();
    }
};

} // namespace

std::optional<std::vector<WordLine>> readWords(const std::string &name, std::string_view text, LastReason &reason)
{
    Collector collector;
    try {
        pegtl::memory_input input(text.data(), text.size(), name);
        pegtl::parse<File, Collect>(input, collector);
        collector.endLine();
        return std::move(collector.lines);
    } catch (const pegtl::parse_error &e) {
        const auto &at = e.positions().front();
        reason = Error{ErrorKind::MalformedRequest,
                       name + ": line " + std::to_string(at.line) + ", column " + std::to_string(at.column)
                           + ": a quoted text that does not end on its line; close it with \"",
                       Execution::NotRun,
                       std::nullopt};
        return std::nullopt;
    }
}

} // namespace Godwit::Scenarios
