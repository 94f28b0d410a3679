// Purpose: one row of the table of commands.
#ifndef FESCUEVANE_CTL_COMMAND_ENTRY_HPP
#define FESCUEVANE_CTL_COMMAND_ENTRY_HPP

#include "ctl/exit_code.hpp"

#include <span>
#include <string_view>

namespace CLI // NOLINT(readability-identifier-naming): name of CLI11
{
class App;
}

namespace fescuevane::ctl
{

struct context;
struct options;

struct command_entry
{
    std::string_view name_; // "group name" for a command of a group
    std::string_view help_;
    void (*add_options_)(CLI::App& command, options& values);
    exit_code (*run_)(context& context);
};

std::span<command_entry const> list_commands();

} // namespace fescuevane::ctl

#endif
