// Purpose: row of an offer of another shard that an owned shard has to answer.
#ifndef FESCUEVANE_CELL_OFFERED_ROW_HPP
#define FESCUEVANE_CELL_OFFERED_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"

namespace fescuevane::cell
{

struct offered_row
{
    shard_id shard_; // that is asked
    job_id   id_;    // of the offered job
    instant  deadline_;
};

} // namespace fescuevane::cell

#endif
