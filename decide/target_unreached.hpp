// Purpose: event: a target may run tasks that this owner can't see.
#ifndef FESCUEVANE_DECIDE_TARGET_UNREACHED_HPP
#define FESCUEVANE_DECIDE_TARGET_UNREACHED_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/resources.hpp"

namespace fescuevane::decide
{

// The target gets no work. Until it joins, or until `lapse_deadline_`, when
// every lease it may hold has lapsed, `capacity_` counts as used by each team
// that has an upper limit. With `never` the lapse is told with `target_lost`.
struct target_unreached
{
    target_id const target_;
    resources const capacity_; // zero when it was never seen
    instant const   lapse_deadline_;
    bool const      idle_ = false; // runs nothing, so no capacity is counted

    friend bool operator==(target_unreached const&,
                           target_unreached const&) = default;
};

} // namespace fescuevane::decide

#endif
