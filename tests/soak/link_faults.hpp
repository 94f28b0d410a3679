// Purpose: faults of the links between hosts, targets and the store. None:
// there is nothing to harm now.
#ifndef FESCUEVANE_TESTS_SOAK_LINK_FAULTS_HPP
#define FESCUEVANE_TESTS_SOAK_LINK_FAULTS_HPP

#include "tests/soak/active_fault.hpp"

#include <optional>

namespace fescuevane::soak
{

struct soak_run;

std::optional<active_fault> cut_store_link(soak_run& run, instant now);
std::optional<active_fault> reset_store_link(soak_run& run, instant now);
std::optional<active_fault> delay_store_link(soak_run& run, instant now);

// One link, or about half of those of a host, in one direction or both.
std::optional<active_fault> cut_link(soak_run& run, instant now);
std::optional<active_fault> cut_some_links(soak_run& run, instant now);
std::optional<active_fault> reset_links(soak_run& run, instant now);
std::optional<active_fault> delay_links(soak_run& run, instant now);

} // namespace fescuevane::soak

#endif
