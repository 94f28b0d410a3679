// Purpose: faults of the links between hosts, targets and the store, and of a
// failure domain as a whole. None: there is nothing to harm now.
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

// All links of the hosts and targets of a failure domain to the outside.
std::optional<active_fault> cut_domain(soak_run& run, instant now);

// The hosts of a domain stop in turn, the domain is cut off, and around the
// heal hosts are paused and killed.
std::optional<active_fault> roll_and_cut_domain(soak_run& run, instant now);

} // namespace fescuevane::soak

#endif
