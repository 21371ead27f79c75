#include "godwit/http/error_body.h"

#include "godwit/base/json_text.h"

#include <nlohmann/json.hpp>

namespace Godwit
{

std::string errorToJson(const Error &error)
{
    nlohmann::json body = {
        {"type", errorName(error.kind)},
        {"message", error.message},
        {"remedy", errorRemedy(error.kind)},
        {"execution", executionName(error.execution)},
        {"not_run", error.execution == Execution::NotRun},
    };
    if (error.retryAfter) {
        body["retry_after_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*error.retryAfter).count();
    }
    return nlohmann::json{{"error", std::move(body)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Error> errorFromJson(std::string_view json)
{
    const auto document = tryParseJson(json);
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object()) {
        return std::nullopt;
    }
    const auto &body = document["error"];
    const auto text = [&body](const char *key) {
        const auto found = body.find(key);
        return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    const auto kind = errorKindFromName(text("type"));
    if (!kind) {
        return std::nullopt;
    }
    Error error{*kind, text("message")};
    const std::string execution = text("execution");
    error.execution = execution == executionName(Execution::NotRun) ? Execution::NotRun
        : execution == executionName(Execution::Run)                ? Execution::Run
                                                                    : Execution::Unknown;
    if (const auto wait = body.find("retry_after_ms"); wait != body.end() && wait->is_number_integer()) {
        error.retryAfter = std::chrono::milliseconds(wait->get<std::int64_t>());
    }
    return error;
}

std::string retryAfterSeconds(Duration retryAfter)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    return std::to_string(seconds < 1 ? 1 : seconds);
}

} // namespace Godwit
