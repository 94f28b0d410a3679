// Purpose: row of an offer that an owned shard still has to reply to.
#ifndef FESCUEVANE_CELL_OFFERED_ROW_HPP
#define FESCUEVANE_CELL_OFFERED_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"

namespace fescuevane::cell
{

struct offered_row
{
    shard_id shard_; // receiver of the offer
    job_id   id_;    // offered job
    instant  deadline_;
};

} // namespace fescuevane::cell

#endif
