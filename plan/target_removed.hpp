// Purpose: event: a target was removed and has no runs any more.
#ifndef FESCUEVANE_PLAN_TARGET_REMOVED_HPP
#define FESCUEVANE_PLAN_TARGET_REMOVED_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

struct target_removed
{
    target_id const id_;

    friend bool operator==(target_removed const&,
                           target_removed const&) = default;
};

} // namespace fescuevane::plan

#endif
