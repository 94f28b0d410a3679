// Purpose: reads the links file of the relay.
#ifndef FESCUEVANE_TESTS_STAND_INS_LINKS_FILE_HPP
#define FESCUEVANE_TESTS_STAND_INS_LINKS_FILE_HPP

#include "tests/stand_ins/link.hpp"

#include <string>
#include <vector>

namespace fescuevane::stand_ins
{

// Throws std::runtime_error with the path and the place of the fault.
std::vector<link> read_links_file(std::string const& path);

} // namespace fescuevane::stand_ins

#endif
