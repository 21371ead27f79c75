#include "godwit/http/event_stream.h"

#include "godwit/base/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Godwit
{
namespace
{

constexpr std::string_view DataPrefix = "data:";
constexpr std::string_view NumberPrefix = "id:";
constexpr std::size_t MaxBlankLineBytes = 4; // With the end of the line before it.
constexpr std::string_view LineEnds = "\r\n";
// Consumed bytes are dropped from the buffer only now and then: dropping them at each event would copy too often.
constexpr std::size_t CompactAfterBytes = 16UL * 1024;

std::string_view dataOf(std::string_view event)
{
    if (event.substr(0, DataPrefix.size()) != DataPrefix) {
        return {};
    }
    event.remove_prefix(DataPrefix.size());
    while (!event.empty() && (event.front() == ' ')) {
        event.remove_prefix(1);
    }
    while (!event.empty() && (event.back() == '\n' || event.back() == '\r')) {
        event.remove_suffix(1);
    }
    return event;
}

} // namespace

void appendBytes(EventSplitter &splitter, std::string_view bytes)
{
    if (splitter.begin > CompactAfterBytes) {
        splitter.buffer.erase(0, splitter.begin);
        splitter.begin = 0;
    }
    splitter.buffer.append(bytes);
}

std::optional<std::string> takeEvent(EventSplitter &splitter)
{
    const std::string_view rest = std::string_view(splitter.buffer).substr(splitter.begin);
    std::size_t end = rest.find("\n\n", splitter.searched);
    std::size_t length = 2;
    const std::size_t carriage = rest.find("\r\n\r\n", splitter.searched);
    if (carriage < end) {
        end = carriage;
        length = 4;
    }
    if (end == std::string_view::npos) {
        splitter.searched = rest.size() - std::min(rest.size(), MaxBlankLineBytes - 1);
        return std::nullopt;
    }
    std::string event(rest.substr(0, end + length));
    splitter.begin += event.size();
    splitter.searched = 0;
    splitter.tookEvent = true;
    return event;
}

std::size_t pendingBytes(const EventSplitter &splitter)
{
    return splitter.buffer.size() - splitter.begin;
}

std::string takePending(EventSplitter &splitter)
{
    const EventSplitter taken = std::exchange(splitter, {});
    return taken.buffer.substr(taken.begin);
}

StreamPosition positionIn(const EventSplitter &splitter)
{
    const std::string_view rest = std::string_view(splitter.buffer).substr(splitter.begin);
    if (rest.find_first_not_of(LineEnds) == std::string_view::npos) {
        return splitter.tookEvent ? StreamPosition::AtEdge : StreamPosition::BeforeFirst;
    }
    const std::size_t lineEnd = rest.find_last_of(LineEnds);
    const std::string_view lastLine = lineEnd == std::string_view::npos ? rest : rest.substr(lineEnd + 1);
    const bool inNumber = lastLine.substr(0, NumberPrefix.size()) == NumberPrefix;
    return inNumber ? StreamPosition::InsideNumber : StreamPosition::InsideEvent;
}

bool isDoneEvent(std::string_view event)
{
    return dataOf(event) == "[DONE]";
}

std::optional<Usage> usageOfEvent(std::string_view event)
{
    // Inside a JSON string every quote is escaped, so the bare key can't stand in generated text.
    if (event.find("\"usage\"") == std::string_view::npos) {
        return std::nullopt;
    }
    return usageOfBody(dataOf(event));
}

std::optional<Usage> usageOfBody(std::string_view json)
{
    const auto document = tryParseJson(json);
    if (!document.is_object()) {
        return std::nullopt;
    }
    const auto usage = document.find("usage");
    if (usage == document.end() || !usage->is_object()) {
        return std::nullopt;
    }
    const auto count = [&usage](const char *key) -> Tokens {
        const auto found = usage->find(key);
        return found != usage->end() && found->is_number_integer() ? found->get<Tokens>() : 0;
    };
    return Usage{count("prompt_tokens"), count("completion_tokens")};
}

} // namespace Godwit
