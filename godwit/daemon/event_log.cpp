#include "godwit/daemon/event_log.h"

#include "godwit/base/enum_names.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace Godwit
{
namespace
{

namespace expr = boost::log::expressions;

constexpr EnumName<LogLevel> LogLevelNames[] = {
    {LogLevel::Trace, "trace"},
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
};

using Logger = boost::log::sources::severity_logger_mt<LogLevel>;

Logger &logger()
{
    static Logger instance;
    return instance;
}

std::string &hostName()
{
    static std::string name;
    return name;
}

// Quotes a value that contains separators, quotes or line breaks; line breaks become spaces.
std::string quoteValue(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text.push_back('\\');
        }
        text.push_back(c == '\n' || c == '\r' ? ' ' : c);
    }
    return text + '"';
}

} // namespace

void startLog(std::string_view minimum, const std::string &host)
{
    hostName() = host;
    boost::log::add_common_attributes();
    boost::log::add_console_log(
        std::cerr,
        boost::log::keywords::format = expr::stream
            << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f") << ' '
            << expr::smessage,
        boost::log::keywords::auto_flush = true);
    const auto level = enumFromName(LogLevelNames, minimum).value_or(LogLevel::Info);
    boost::log::core::get()->set_filter(expr::attr<LogLevel>("Severity") >= level);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "host=" + quoteValue(hostName()) + " level=" + std::string(enumName(LogLevelNames, level))
        + " event=" + std::string(event);
    for (const auto &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += quoteValue(field.value);
    }
    BOOST_LOG_SEV(logger(), level) << line;
}

} // namespace Godwit
