// Purpose: the command line as one function.
#ifndef FESCUEVANE_CTL_CTL_HPP
#define FESCUEVANE_CTL_CTL_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace fescuevane::ctl
{

// Parses the arguments (without the program's name), runs the command and
// returns its exit code. The environment supplies defaults.
int run_program(std::vector<std::string> const& arguments, std::ostream& output,
                std::ostream& errors);

} // namespace fescuevane::ctl

#endif
