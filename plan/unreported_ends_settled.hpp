// Purpose: event: no end is awaited any more of runs on a target that were
// judged as over.
#ifndef FESCUEVANE_PLAN_UNREPORTED_ENDS_SETTLED_HPP
#define FESCUEVANE_PLAN_UNREPORTED_ENDS_SETTLED_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

struct unreported_ends_settled
{
    target_id const id_;

    friend bool operator==(unreported_ends_settled const&,
                           unreported_ends_settled const&) = default;
};

} // namespace fescuevane::plan

#endif
