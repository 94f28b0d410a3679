// Purpose: row of a job that was sent to a shard after the heartbeat that its
// owner's load is known from.
#ifndef FESCUEVANE_CELL_SENT_WORK_HPP
#define FESCUEVANE_CELL_SENT_WORK_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/shard_id.hpp"

namespace fescuevane::cell
{

struct sent_work
{
    shard_id  shard_;
    job_id    job_;
    resources demand_;
    instant   reported_from_; // heartbeats received later include it

    friend bool operator==(sent_work const&, sent_work const&) = default;
};

} // namespace fescuevane::cell

#endif
