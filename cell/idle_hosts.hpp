// Purpose: hosts that can query the policy service for owners. Internal to the
// package.
#ifndef FESCUEVANE_CELL_IDLE_HOSTS_HPP
#define FESCUEVANE_CELL_IDLE_HOSTS_HPP

#include "core/ids.hpp"

#include <set>

namespace fescuevane::cell
{

struct host_row;
struct node;

bool is_usable(node const& context, host_row const& host); // it answers
bool owns_shard(node const& context, host_id const& host);
// Usable hosts other than this one that own nothing.
std::set<host_id> list_idle_hosts(node const& context);

} // namespace fescuevane::cell

#endif
