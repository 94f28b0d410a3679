// Purpose: command: ask the policy service which targets may run a stage.
#ifndef FESCUEVANE_PLAN_ASK_ADVICE_HPP
#define FESCUEVANE_PLAN_ASK_ADVICE_HPP

#include "core/ids.hpp"
#include "core/stage_key.hpp"

#include <vector>

namespace fescuevane::plan
{

struct ask_advice
{
    stage_key const              stage_;
    std::vector<target_id> const targets_;
    std::int64_t const           validity_ms_ = 0; // of the tickets

    friend bool operator==(ask_advice const&, ask_advice const&) = default;
};

} // namespace fescuevane::plan

#endif
