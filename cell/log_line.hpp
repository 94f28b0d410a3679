// Purpose: command: write a structured log line.
#ifndef FESCUEVANE_CELL_LOG_LINE_HPP
#define FESCUEVANE_CELL_LOG_LINE_HPP

#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

struct log_line
{
    std::string const                                      event_;
    std::vector<std::pair<std::string, std::string>> const fields_;

    friend bool operator==(log_line const&, log_line const&) = default;
};

} // namespace fescuevane::cell

#endif
