// Purpose: commands that a planner issues.
#ifndef FESCUEVANE_PLAN_COMMAND_HPP
#define FESCUEVANE_PLAN_COMMAND_HPP

#include "plan/answer_offer.hpp"
#include "plan/ask_advice.hpp"
#include "plan/job_changed.hpp"
#include "plan/note.hpp"
#include "plan/pace_run.hpp"
#include "plan/start_run.hpp"
#include "plan/stop_run.hpp"

#include <variant>

namespace fescuevane::plan
{

using command = std::variant<start_run, stop_run, pace_run, ask_advice,
                             job_changed, note, answer_offer>;

} // namespace fescuevane::plan

#endif
