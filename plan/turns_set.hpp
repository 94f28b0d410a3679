// Purpose: event: the limits of organisations and whose claims are served.
#ifndef FESCUEVANE_PLAN_TURNS_SET_HPP
#define FESCUEVANE_PLAN_TURNS_SET_HPP

#include "plan/limit_turn.hpp"

#include <vector>

namespace fescuevane::plan
{

// Organisations that aren't named have no limit.
struct turns_set
{
    std::vector<limit_turn> const turns_;

    friend bool operator==(turns_set const&, turns_set const&) = default;
};

} // namespace fescuevane::plan

#endif
