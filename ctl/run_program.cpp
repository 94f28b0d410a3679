// Purpose: the command line as one function: parse, run, report errors.
#include "ctl/command_entry.hpp"
#include "ctl/command_line.hpp"
#include "ctl/context.hpp"
#include "ctl/ctl.hpp"
#include "ctl/ctl_error.hpp"
#include "ctl/http_client.hpp"
#include "ctl/printer.hpp"

#include <ostream>

namespace fescuevane::ctl
{
namespace
{

exit_code run_command(parsed_line const& line, std::ostream& output,
                      std::ostream& errors)
{
    http_client client(line.options_, errors);
    context     context{
            .options_ = line.options_,
            .client_ = client,
            .printer_ = *find_printer(line.options_.output_),
            .output_ = output,
            .errors_ = errors,
            .deadline_ = g_get_monotonic_time() +
                     static_cast<std::int64_t>(line.options_.timeout_s_ * 1e6)};
    return line.command_->run_(context);
}

} // namespace

int run_program(std::vector<std::string> const& arguments, std::ostream& output,
                std::ostream& errors)
{
    parsed_line const line = parse_arguments(arguments, output, errors);
    if (!line.command_)
    {
        return static_cast<int>(line.code_);
    }
    try
    {
        return static_cast<int>(run_command(line, output, errors));
    }
    catch (ctl_error const& error)
    {
        errors << "fescuevanectl: " << error.what() << '\n';
        return static_cast<int>(error.code());
    }
}

} // namespace fescuevane::ctl
