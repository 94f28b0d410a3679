// Purpose: the check of a settings file by the loader of the entry package.
#include "ctl/commands.hpp"
#include "ctl/context.hpp"
#include "ctl/ctl_error.hpp"
#include "ctl/options.hpp"
#include "entry/settings.hpp"
#include "entry/settings_error.hpp"
#include "entry/settings_file.hpp"

#include <ostream>

namespace fescuevane::ctl
{

exit_code check_settings(context& context)
{
    try
    {
        entry::load_settings(context.options_.file_);
    }
    catch (entry::settings_error const& error)
    {
        throw ctl_error(exit_code::usage, error.what());
    }
    context.output_ << context.options_.file_ << ": valid\n";
    return exit_code::done;
}

} // namespace fescuevane::ctl
