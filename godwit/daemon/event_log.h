#pragma once

// Structured log lines for state changes: one event per line, as key=value pairs.
//
// Frequent events are counted in metrics instead. Thread-safe.
//
// Example:
//   logEvent(LogLevel::Info, "config_in_force", {{"revision", "12"}});
//   2026-12-02T19:30:00.123 level=info event=config_in_force revision=12

#include <initializer_list>
#include <string>
#include <string_view>

namespace Godwit
{

enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warning,
    Error,
};

struct LogField
{
    std::string_view key;
    std::string value;
};

// Configures logging to standard error for events at level `minimum` and above, each with `host`. Must be called once,
// before the first event.
void startLog(std::string_view minimum, const std::string &host);

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Godwit
