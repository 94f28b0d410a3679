// Purpose: event: the end of a delegate is stored, so that a later owner of the
// shard knows that its tasks are no longer elsewhere.
#ifndef FESCUEVANE_PLAN_DELEGATE_END_STORED_HPP
#define FESCUEVANE_PLAN_DELEGATE_END_STORED_HPP

#include "core/ids.hpp"
#include "core/stage_key.hpp"

namespace fescuevane::plan
{

struct delegate_end_stored
{
    stage_key const stage_;
    job_id const    delegate_;

    friend bool operator==(delegate_end_stored const&,
                           delegate_end_stored const&) = default;
};

} // namespace fescuevane::plan

#endif
