// Purpose: event: all parts of a gang are ready, so this one may start.
#ifndef FESCUEVANE_PLAN_PART_ORDERED_HPP
#define FESCUEVANE_PLAN_PART_ORDERED_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

namespace fescuevane::plan
{

struct part_ordered
{
    job_id const id_;
    instant const
        start_by_; // deadline; a later start would miss the other parts

    friend bool operator==(part_ordered const&, part_ordered const&) = default;
};

} // namespace fescuevane::plan

#endif
