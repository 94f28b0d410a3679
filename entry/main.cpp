// Purpose: main function of fescuevane, the entry process.
#include "entry/front_error.hpp"
#include "entry/link_error.hpp"
#include "entry/process.hpp"
#include "entry/settings.hpp"
#include "entry/settings_error.hpp"
#include "entry/settings_file.hpp"
#include "io/fatal_signals.hpp"
#include "platform/process.hpp"

#include <CLI/CLI.hpp>
#include <glib.h>
#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

constexpr int exit_settings = 2; // the settings are not usable
constexpr int exit_failure = 1;  // the process can't start

int run(std::string const& file, bool check_only)
{
    using namespace fescuevane::entry;
    settings values = load_settings(file);
    if (check_only)
    {
        std::cout << print_settings(values);
        return 0;
    }
    fescuevane::io::write_stack_on_fatal_signals();
    // New at each start, so that no commit id of an earlier process recurs.
    values.state_.incarnation_ = static_cast<std::uint64_t>(g_get_real_time());
    process entry(values);
    entry.run();
    return 0;
}

// Ends without destroying static objects: gRPC's own threads may still finish
// streams that were canceled, and crash in the library's destroyed state.
[[noreturn]] void leave(int status)
{
    std::cout.flush();
    std::cerr.flush();
    std::quick_exit(status);
}

} // namespace

int main(int count, char** values)
{
    CLI::App    app("fescuevane, an entry process of the cluster scheduler");
    std::string file;
    bool        check_only = false;
    app.add_option("--settings", file, "YAML file of settings")
        ->type_name("FILE");
    app.add_flag("--check", check_only,
                 "check the settings, print them in full and exit");
    CLI::App* const cell = app.add_subcommand(
        "cell", "run a cell on leased targets, on the users' platform");
    cell->add_option("--settings", file, "YAML file of settings")
        ->required()
        ->type_name("FILE");
    cell->add_flag("--check", check_only, "check the settings and exit");
    app.set_version_flag("--version", FESCUEVANE_VERSION);
    app.footer("Exit status: 0 after a graceful stop, 1 when the process can't "
               "start,\n2 for wrong options or settings.");
    try
    {
        app.parse(count, values);
        if (file.empty())
        {
            throw CLI::RequiredError("--settings");
        }
    }
    catch (CLI::ParseError const& error)
    {
        return app.exit(error) == 0 ? 0 : exit_settings;
    }
    try
    {
        if (cell->parsed())
        {
            leave(check_only ? fescuevane::platform::check_settings(file)
                             : fescuevane::platform::run_process(file));
        }
        leave(run(file, check_only));
    }
    catch (fescuevane::entry::settings_error const& error)
    {
        std::cerr << error.what() << '\n';
        return exit_settings;
    }
    catch (std::exception const& error)
    {
        std::cerr << "fescuevane: " << error.what() << '\n';
        return exit_failure;
    }
}
