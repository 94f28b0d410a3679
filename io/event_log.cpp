// Purpose: structured log lines, one JSON object a line.
#include "io/event_log.hpp"

#include "io/bounded_appender.hpp"
#include "io/main_loop.hpp"

#include <log4cplus/initializer.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace fescuevane::io
{
namespace
{

log4cplus::Logger open_logger()
{
    static log4cplus::Initializer const library;
    return log4cplus::Logger::getInstance("fescuevane.cell");
}

} // namespace

event_log::event_log(std::string host, std::uint32_t lines_a_second)
    : host_(std::move(host)), bounded_(nullptr), logger_(open_logger())
{
    auto* const appender = new bounded_appender(STDOUT_FILENO, lines_a_second);
    bounded_ = appender;
    appender_ = log4cplus::SharedAppenderPtr(appender);
    logger_.removeAllAppenders();
    logger_.addAppender(appender_);
    logger_.setAdditivity(false);
    logger_.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void event_log::write(std::string const& event, fields const& values) const
{
    nlohmann::ordered_json line{
        {"unix_ms", read_unix_ms()}, {"host", host_}, {"event", event}};
    for (auto const& [name, value] : values)
    {
        line[name] = value;
    }
    logger_.log(log4cplus::INFO_LOG_LEVEL,
                line.dump(-1, ' ', false,
                          nlohmann::ordered_json::error_handler_t::replace));
}

std::uint64_t event_log::dropped() const
{
    return bounded_->dropped();
}

} // namespace fescuevane::io
