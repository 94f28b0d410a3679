// Purpose: log of state changes, on the standard error stream.
#ifndef FESCUEVANE_ENTRY_LOGGING_HPP
#define FESCUEVANE_ENTRY_LOGGING_HPP

#include <log4cplus/logger.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuevane::entry
{

struct settings;
struct log_format;

// Names and values, in the order in which they are written.
using log_fields = std::vector<std::pair<std::string_view, std::string>>;

// The process's logger and the form of its lines.
struct state_logger
{
    log4cplus::Logger logger_;
    log_format const* format_ = nullptr; // never null
};

// Sets up log4cplus from the settings' format and level. Called once, before
// the first line; the library's static state ends with the process.
state_logger make_state_logger(settings const& values);

// Writes one line. For changes of state only: a shard acquired or lost, a
// ticket accepted, a peer or store reached or not, start and stop. What happens
// to each call or task is counted instead.
void log_state_change(state_logger const& logger, std::string_view event,
                      log_fields const& fields);

} // namespace fescuevane::entry

#endif
