// Purpose: event: a target has left and runs nothing any more.
#ifndef FESCUEVANE_PLAN_TARGET_GONE_HPP
#define FESCUEVANE_PLAN_TARGET_GONE_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

struct target_gone
{
    target_id const id_;

    friend bool operator==(target_gone const&, target_gone const&) = default;
};

} // namespace fescuevane::plan

#endif
