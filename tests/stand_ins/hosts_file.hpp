// Purpose: reads the hosts file of the stand-ins.
#ifndef FESCUEVANE_TESTS_STAND_INS_HOSTS_FILE_HPP
#define FESCUEVANE_TESTS_STAND_INS_HOSTS_FILE_HPP

#include "tests/stand_ins/host.hpp"

#include <string>
#include <vector>

namespace fescuevane::stand_ins
{

// Throws std::runtime_error with the path and the place of the fault.
std::vector<host> read_hosts_file(std::string const& path);

} // namespace fescuevane::stand_ins

#endif
