// Purpose: event: no end is awaited any more of runs on a target that were
// judged as over.
#ifndef FESCUEVANE_PLAN_ENDS_READ_HPP
#define FESCUEVANE_PLAN_ENDS_READ_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

struct ends_read
{
    target_id const id_;

    friend bool operator==(ends_read const&, ends_read const&) = default;
};

} // namespace fescuevane::plan

#endif
