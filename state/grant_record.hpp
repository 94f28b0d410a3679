// Purpose: what the row of leases of a shard says.
#ifndef FESCUEVANE_STATE_GRANT_RECORD_HPP
#define FESCUEVANE_STATE_GRANT_RECORD_HPP

#include "state/granted_target.hpp"

#include <vector>

namespace fescuevane::state
{

struct grant_record
{
    std::vector<granted_target> const targets_;
    // False: there is no row, or some of it can't be read. Leases may run on
    // targets that it doesn't name.
    bool const complete_ = false;

    friend bool operator==(grant_record const&, grant_record const&) = default;
};

} // namespace fescuevane::state

#endif
