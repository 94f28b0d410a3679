// Purpose: commands that a planner issues.
#ifndef FESCUEVANE_PLAN_COMMAND_HPP
#define FESCUEVANE_PLAN_COMMAND_HPP

#include "plan/advice_request.hpp"
#include "plan/answer_offer.hpp"
#include "plan/job_changed.hpp"
#include "plan/note.hpp"
#include "plan/pace_run.hpp"
#include "plan/start_run.hpp"
#include "plan/stop_run.hpp"

#include <variant>

namespace fescuevane::plan
{

using command = std::variant<start_run, stop_run, pace_run, advice_request,
                             job_changed, note, answer_offer>;

} // namespace fescuevane::plan

#endif
