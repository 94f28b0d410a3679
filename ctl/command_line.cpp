// Purpose: parsing of arguments by the table of commands.
#include "ctl/command_line.hpp"

#include "ctl/command_entry.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <string>

namespace fescuevane::ctl
{
namespace
{

constexpr char const* footer =
    "Exit codes:\n"
    "  0  done, or answered and succeeded\n"
    "  1  answered, but failed or canceled\n"
    "  2  wrong arguments or settings\n"
    "  3  refused, not run\n"
    "  4  outcome unknown\n"
    "  5  no connection, or no end within the timeout\n"
    "  6  rejected: key, permission or content\n"
    "  7  conflict: id or ticket number in use with other content\n";

constexpr double max_timeout_s = 86'400;

void add_access_options(CLI::App& app, options& values)
{
    app.add_option("--server", values.servers_,
                   "Address of an entry process; may be repeated")
        ->envname("FESCUEVANE_SERVER")
        ->delimiter(',')
        ->allow_extra_args(false);
    app.add_option("--team", values.team_, "Team of the caller")
        ->envname("FESCUEVANE_TEAM");
    app.add_option("--key", values.key_, "Key of the team")
        ->envname("FESCUEVANE_KEY");
    app.add_option("--operator-key", values.operator_key_,
                   "Key of the operators")
        ->envname("FESCUEVANE_OPERATOR_KEY");
}

void add_global_options(CLI::App& app, options& values)
{
    add_access_options(app, values);
    app.add_option("--output", values.output_, "text or json")
        ->check(CLI::IsMember({"text", "json"}));
    app.add_option("--timeout", values.timeout_s_,
                   "Seconds until the command gives up")
        ->check(CLI::Range(0.001, max_timeout_s));
    app.add_flag("--verbose", values.verbose_,
                 "Print each call and its traceparent to standard error");
    app.set_version_flag("--version", FESCUEVANE_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
}

// The group of "group name", made on first use; the app itself otherwise.
CLI::App& find_group(CLI::App& app, std::string const& name)
{
    std::size_t const space = name.find(' ');
    if (space == std::string::npos)
    {
        return app;
    }
    std::string const group = name.substr(0, space);
    auto const        found = app.get_subcommands(
        [&](CLI::App const* each)
        {
            return each->get_name() == group;
        });
    if (!found.empty())
    {
        return *found.front();
    }
    CLI::App* const made =
        app.add_subcommand(group, "Commands on " + group + "s");
    made->require_subcommand(1)->fallthrough();
    return *made;
}

CLI::App* add_command(CLI::App& app, command_entry const& entry,
                      options& values)
{
    std::string const name(entry.name_);
    CLI::App* const   command = find_group(app, name).add_subcommand(
          name.substr(name.find(' ') + 1), std::string(entry.help_));
    command->fallthrough();
    entry.add_options_(*command, values);
    return command;
}

} // namespace

parsed_line parse_arguments(std::vector<std::string> arguments,
                            std::ostream& output, std::ostream& errors)
{
    options                values;
    CLI::App               app("Command line of fescuevane", "fescuevanectl");
    std::vector<CLI::App*> commands;
    add_global_options(app, values);
    for (command_entry const& entry : list_commands())
    {
        commands.push_back(add_command(app, entry, values));
    }
    try
    {
        // CLI11 takes the arguments last to first.
        std::reverse(arguments.begin(), arguments.end());
        app.parse(arguments);
    }
    catch (CLI::ParseError const& error)
    {
        bool const ended = app.exit(error, output, errors) == 0;
        return {.code_ = ended ? exit_code::done : exit_code::usage};
    }
    auto const chosen = std::find_if(commands.begin(), commands.end(),
                                     [](auto* each)
                                     {
                                         return each->parsed();
                                     });
    return {.command_ = &list_commands()[static_cast<std::size_t>(
                chosen - commands.begin())],
            .options_ = values};
}

} // namespace fescuevane::ctl
