// Purpose: event: a part of a gang has to stop and return to the gang's shard.
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
