// Purpose: event: ends of runs on a target that were declared over are no
// longer awaited.
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
