// Purpose: row of a host of the cell.
#ifndef FESCUEVANE_CELL_HOST_ROW_HPP
#define FESCUEVANE_CELL_HOST_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct host_row
{
    std::string   address_;
    domain_id     domain_;
    double        cpu_share_ = 1;
    std::uint64_t incarnation_ = 0;
    instant       listed_at_; // row of this incarnation first read
    instant       heard_at_;  // latest heartbeat
    bool          heard_ = false;
    bool          store_ok_ = true;
    bool          stopping_ = false;
    std::uint64_t config_version_ = 0; // in its latest heartbeat, 0: none
    instant       next_heartbeat_at_;  // next one to it, if infrequent
    instant       contact_due_ = instant::never(); // then overdue
};

} // namespace fescuevane::cell

#endif
