#include "standins/loadtool/answer_check.h"

#include <nlohmann/json.hpp>

namespace Godwit::Standins
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data: ";
constexpr std::string_view DoneData = "[DONE]";

bool endsWith(std::string_view text, std::string_view end)
{
    return text.size() >= end.size() && text.substr(text.size() - end.size()) == end;
}

// The object under `key`, or null.
const Json *member(const Json &object, const char *key)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(key);
    return found == object.end() ? nullptr : &*found;
}

std::optional<std::int64_t> number(const Json &object, const char *key)
{
    const Json *value = member(object, key);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    return value->get<std::int64_t>();
}

std::string text(const Json &object, const char *key)
{
    const Json *value = member(object, key);
    return value != nullptr && value->is_string() ? value->get<std::string>() : std::string();
}

void takeUsage(ChatAnswer &answer, const Json &body)
{
    const Json *usage = member(body, "usage");
    if (usage != nullptr && usage->is_object()) {
        answer.promptTokens = number(*usage, "prompt_tokens");
        answer.completionTokens = number(*usage, "completion_tokens");
    }
}

// The first choice's object under `key` ("delta" or "message"), or null.
const Json *firstChoice(const Json &body, const char *key)
{
    const Json *choices = member(body, "choices");
    if (choices == nullptr || !choices->is_array() || choices->empty()) {
        return nullptr;
    }
    return member(choices->front(), key);
}

// Returns whether the event held a piece of text.
bool takeEvent(ChatAnswer &answer, std::string_view event)
{
    const std::size_t field = event.find(DataField);
    if (field == std::string_view::npos) {
        return false;
    }
    const std::string_view data = event.substr(field + DataField.size());
    if (data == DoneData) {
        answer.done = true;
        return false;
    }
    const Json body = Json::parse(data, nullptr, false);
    if (member(body, "error") != nullptr) {
        answer.errorBody = std::string(data);
        return false;
    }
    takeUsage(answer, body);
    const Json *delta = firstChoice(body, "delta");
    const std::string piece = delta == nullptr ? std::string() : text(*delta, "content");
    answer.text += piece;
    answer.pieces += piece.empty() ? 0 : 1;
    return !piece.empty();
}

} // namespace

std::int64_t feedStream(ChatAnswer &answer, std::string_view bytes)
{
    answer.pending += bytes;
    std::int64_t pieces = 0;
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = answer.pending.find(EventEnd, begin);
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event = std::string_view(answer.pending).substr(begin, end - begin);
        pieces += takeEvent(answer, event) ? 1 : 0;
        begin = end + EventEnd.size();
    }
    answer.pending.erase(0, begin);
    return pieces;
}

void readPlain(ChatAnswer &answer, std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    const Json *message = firstChoice(json, "message");
    if (message == nullptr) {
        return;
    }
    answer.text = text(*message, "content");
    answer.done = true;
    takeUsage(answer, json);
}

AnswerVerdict judgeChat(const ChatAnswer &answer, std::string_view id)
{
    std::string_view rest = answer.text;
    std::int64_t tokens = 0;
    while (!rest.empty()) {
        const std::size_t space = rest.find(' ');
        const std::string_view token = rest.substr(0, space);
        const std::size_t colon = token.rfind(':');
        if (colon == std::string_view::npos || !endsWith(token.substr(0, colon), id)) {
            return AnswerVerdict::Foreign;
        }
        if (space == std::string_view::npos || token.substr(colon + 1) != std::to_string(tokens)) {
            return AnswerVerdict::Incomplete;
        }
        ++tokens;
        rest.remove_prefix(space + 1);
    }
    const bool whole = answer.done && answer.errorBody.empty() && tokens > 0 && answer.completionTokens == tokens;
    return whole ? AnswerVerdict::Whole : AnswerVerdict::Incomplete;
}

AnswerVerdict judgeBooking(std::string_view body, std::string_view id)
{
    const Json json = Json::parse(body, nullptr, false);
    const std::string answered = text(json, "id");
    if (answered.empty() || text(json, "result").empty()) {
        return AnswerVerdict::Incomplete;
    }
    return endsWith(answered, id) ? AnswerVerdict::Whole : AnswerVerdict::Foreign;
}

std::optional<Refusal> readRefusal(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    const Json *error = member(json, "error");
    if (error == nullptr || !error->is_object()) {
        return std::nullopt;
    }
    Refusal refusal;
    refusal.type = text(*error, "type");
    refusal.message = text(*error, "message");
    const Json *notRun = member(*error, "not_run");
    refusal.notRun = notRun != nullptr && notRun->is_boolean() && notRun->get<bool>();
    refusal.retryAfterMs = number(*error, "retry_after_ms");
    return refusal;
}

} // namespace Godwit::Standins
