// Purpose: parsing of arguments by the table of commands.
#ifndef FESCUEVANE_CTL_COMMAND_LINE_HPP
#define FESCUEVANE_CTL_COMMAND_LINE_HPP

#include "ctl/exit_code.hpp"
#include "ctl/options.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace fescuevane::ctl
{

struct command_entry;

struct parsed_line
{
    command_entry const* const command_ = nullptr;      // null: nothing to run
    exit_code const            code_ = exit_code::done; // when null
    options const              options_;
};

// Help and version go to `output`, messages on wrong arguments to `errors`.
parsed_line parse_arguments(std::vector<std::string> arguments,
                            std::ostream& output, std::ostream& errors);

} // namespace fescuevane::ctl

#endif
