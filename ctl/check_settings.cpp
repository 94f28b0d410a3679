// Purpose: the check of a settings file by the loader of the entry package.
// Builds without that package report that the check is missing.
#include "ctl/commands.hpp"
#include "ctl/context.hpp"
#include "ctl/ctl_error.hpp"
#include "ctl/options.hpp"

#ifdef FESCUEVANE_WITH_SETTINGS_FILE
#    include "entry/settings_file.hpp"
#endif

#include <ostream>

namespace fescuevane::ctl
{

#ifdef FESCUEVANE_WITH_SETTINGS_FILE

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

#else

exit_code check_settings(context& /*context*/)
{
    throw ctl_error(exit_code::usage,
                    "this build has no loader of settings files");
}

#endif

} // namespace fescuevane::ctl
