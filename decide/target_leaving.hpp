// Purpose: event: a target is about to leave and gets no new work.
#ifndef FESCUEVANE_DECIDE_TARGET_LEAVING_HPP
#define FESCUEVANE_DECIDE_TARGET_LEAVING_HPP

#include "core/ids.hpp"

namespace fescuevane::decide
{

// Running requests end by themselves; other tasks are moved.
struct target_leaving
{
    target_id const target_;

    friend bool operator==(target_leaving const&,
                           target_leaving const&) = default;
};

} // namespace fescuevane::decide

#endif
