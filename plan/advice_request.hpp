// Purpose: command: query the policy service for targets that may run a stage.
#ifndef FESCUEVANE_PLAN_ADVICE_REQUEST_HPP
#define FESCUEVANE_PLAN_ADVICE_REQUEST_HPP

#include "core/ids.hpp"
#include "core/stage_key.hpp"

#include <vector>

namespace fescuevane::plan
{

struct advice_request
{
    stage_key const              stage_;
    std::vector<target_id> const targets_;
    std::int64_t const           validity_ms_ = 0; // of the tickets

    friend bool operator==(advice_request const&,
                           advice_request const&) = default;
};

} // namespace fescuevane::plan

#endif
