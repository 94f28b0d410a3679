// Purpose: table of the hosts as listed, which lags behind their changes.
#ifndef FESCUEVANE_TESTS_STAND_INS_HOST_TABLE_HPP
#define FESCUEVANE_TESTS_STAND_INS_HOST_TABLE_HPP

#include "core/column.hpp"
#include "core/instant.hpp"
#include "core/row_index.hpp"
#include "tests/stand_ins/host.hpp"
#include "tests/stand_ins/host_change.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace fescuevane::stand_ins
{

struct host_table
{
    row_index<target_id>    index_;
    column<host>            host_;
    std::deque<host_change> pending_; // in the order of the changes
    std::int64_t            lag_micros_ = 0;
};

void put_host(host_table& table, instant now, host const& value);
void remove_host(host_table& table, instant now, target_id const& target);
// Marks a host as listed or pending; unknown targets are ignored.
void mark_host_leaving(host_table& table, instant now, target_id const& target,
                       bool leaving);
// Applies the changes that are visible at `now`, then lists all hosts.
std::vector<host> list_hosts(host_table& table, instant now);

} // namespace fescuevane::stand_ins

#endif
