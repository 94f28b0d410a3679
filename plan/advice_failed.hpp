// Purpose: event: the policy service sent no reply to a request for a stage.
#ifndef FESCUEVANE_PLAN_ADVICE_FAILED_HPP
#define FESCUEVANE_PLAN_ADVICE_FAILED_HPP

#include "core/stage_key.hpp"

namespace fescuevane::plan
{

struct advice_failed
{
    stage_key const stage_;

    friend bool operator==(advice_failed const&,
                           advice_failed const&) = default;
};

} // namespace fescuevane::plan

#endif
