// Purpose: reading of files named on the command line.
#ifndef FESCUEVANE_CTL_READ_FILE_HPP
#define FESCUEVANE_CTL_READ_FILE_HPP

#include "ctl/json.hpp"

#include <string>

namespace fescuevane::ctl
{

// Both throw ctl_error (usage): the file can't be read, or is no JSON object.
std::string read_file(std::string const& path);
json        read_json_file(std::string const& path);

} // namespace fescuevane::ctl

#endif
