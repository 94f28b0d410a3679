// Purpose: event: a part of a gang is to stop, and to go back to its shard.
#ifndef FESCUEVANE_PLAN_PART_WITHDRAWN_HPP
#define FESCUEVANE_PLAN_PART_WITHDRAWN_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

struct part_withdrawn
{
    job_id const id_;

    friend bool operator==(part_withdrawn const&,
                           part_withdrawn const&) = default;
};

} // namespace fescuevane::plan

#endif
