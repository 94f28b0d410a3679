// Purpose: random identifiers of jobs and traces.
#ifndef FESCUEVANE_CTL_RANDOM_ID_HPP
#define FESCUEVANE_CTL_RANDOM_ID_HPP

#include <cstddef>
#include <string>

namespace fescuevane::ctl
{

std::string make_random_hex(std::size_t bytes); // two digits per byte
std::string make_job_id();                      // "ctl-" and 16 digits

} // namespace fescuevane::ctl

#endif
