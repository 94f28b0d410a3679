// Purpose: event: a target was listed, or its properties changed.
#ifndef FESCUEVANE_PLAN_TARGET_SET_HPP
#define FESCUEVANE_PLAN_TARGET_SET_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/resources.hpp"
#include "plan/target_phase.hpp"

#include <string>
#include <vector>

namespace fescuevane::plan
{

struct target_set
{
    target_id const                id_;
    service_id const               service_;
    rack_id const                  rack_;
    std::vector<std::string> const labels_;
    resources const                capacity_;
    target_phase const             phase_ = target_phase::attaching;
    // Runs that a former owner is stopping may go on there until then, without
    // being reported.
    instant const stops_until_;

    friend bool operator==(target_set const&, target_set const&) = default;
};

} // namespace fescuevane::plan

#endif
