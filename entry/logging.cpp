// Purpose: log of state changes.
#include "entry/logging.hpp"

#include "entry/settings.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>
#include <algorithm>
#include <array>
#include <cassert>

namespace fescuevane::entry
{

// One form of lines; `pattern_` is that of the library, in UTC.
struct log_format
{
    std::string_view const name_;
    char const* const      pattern_;
    std::string (*const write_)(std::string_view, log_fields const&);
};

namespace
{

std::string quote(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
}

// Values that have a space, quote, '=' or control character are quoted, so that
// a value can't pass for another field or line.
std::string write_plain(std::string const& value)
{
    bool const plain =
        !value.empty() && std::all_of(value.begin(), value.end(),
                                      [](unsigned char c)
                                      {
                                          return c > ' ' && c != '"' &&
                                                 c != '=' && c != 127;
                                      });
    return plain ? value : quote(value);
}

std::string write_text(std::string_view event, log_fields const& fields)
{
    std::string line(event);
    for (auto const& [name, value] : fields)
    {
        line.append(" ").append(name).append("=").append(write_plain(value));
    }
    return line;
}

// The members of an object whose braces stand in the pattern.
std::string write_json(std::string_view event, log_fields const& fields)
{
    std::string line = "\"event\":" + quote(event);
    for (auto const& [name, value] : fields)
    {
        line.append(",").append(quote(name)).append(":").append(quote(value));
    }
    return line;
}

constexpr std::array<log_format, 2> log_formats = {{
    {"text", "%d{%Y-%m-%dT%H:%M:%S.%qZ} %p %m%n", &write_text},
    {"json", "{\"time\":\"%d{%Y-%m-%dT%H:%M:%S.%qZ}\",\"level\":\"%p\",%m}%n",
     &write_json},
}};

struct log_level
{
    std::string_view const    name_;
    log4cplus::LogLevel const value_;
};

constexpr std::array<log_level, 4> log_levels = {{
    {"debug", log4cplus::DEBUG_LOG_LEVEL},
    {"info", log4cplus::INFO_LOG_LEVEL},
    {"warn", log4cplus::WARN_LOG_LEVEL},
    {"error", log4cplus::ERROR_LOG_LEVEL},
}};

template <typename Row, std::size_t Size>
Row const& find_row(std::array<Row, Size> const& rows, std::string_view name)
{
    auto const found = std::find_if(rows.begin(), rows.end(),
                                    [&](Row const& row)
                                    {
                                        return row.name_ == name;
                                    });
    assert(found != rows.end() && "settings were checked on loading");
    return *found;
}

} // namespace

state_logger make_state_logger(settings const& values)
{
    static log4cplus::Initializer const library;
    log_format const& format = find_row(log_formats, values.log_format_);
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(true, true)); // stderr, flush each line
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(format.pattern_));
    log4cplus::Logger logger = log4cplus::Logger::getInstance("fescuevane");
    logger.removeAllAppenders();
    logger.addAppender(appender);
    logger.setAdditivity(false);
    logger.setLogLevel(find_row(log_levels, values.log_level_).value_);
    return {logger, &format};
}

void log_state_change(state_logger const& logger, std::string_view event,
                      log_fields const& fields)
{
    if (logger.logger_.isEnabledFor(log4cplus::INFO_LOG_LEVEL))
    {
        logger.logger_.log(log4cplus::INFO_LOG_LEVEL,
                           logger.format_->write_(event, fields));
    }
}

} // namespace fescuevane::entry
