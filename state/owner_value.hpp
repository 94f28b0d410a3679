// Purpose: value of a row that names a process: `shard/` and `host/`.
#ifndef FESCUEVANE_STATE_OWNER_VALUE_HPP
#define FESCUEVANE_STATE_OWNER_VALUE_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::state
{

// The incarnation tells a restarted process, which has lost its tables, from
// the one that the row was written for.
struct owner_value
{
    host_id const       host_;
    domain_id const     domain_; // of the host
    std::string const   address_;
    std::uint64_t const incarnation_ = 0;
    epoch const         epoch_ = 0; // of the shard; 0 in `host/`

    friend bool operator==(owner_value const&, owner_value const&) = default;
};

} // namespace fescuevane::state

#endif
