// Purpose: structured log lines, one JSON object a line.
#ifndef FESCUEVANE_IO_EVENT_LOG_HPP
#define FESCUEVANE_IO_EVENT_LOG_HPP

#include <log4cplus/logger.h>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::io
{

class bounded_appender;

class event_log
{
public:
    using fields = std::vector<std::pair<std::string, std::string>>;

    // `host` stands in each line.
    event_log(std::string host, std::uint32_t lines_a_second);

    void          write(std::string const& event, fields const& values) const;
    std::uint64_t dropped() const; // lines, since the start

private:
    std::string const            host_;
    log4cplus::SharedAppenderPtr appender_;
    bounded_appender const*      bounded_;
    log4cplus::Logger            logger_;
};

} // namespace fescuevane::io

#endif
