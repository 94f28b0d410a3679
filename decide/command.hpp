// Purpose: the output of a scheduler.
#ifndef FESCUEVANE_DECIDE_COMMAND_HPP
#define FESCUEVANE_DECIDE_COMMAND_HPP

#include "decide/job_changed.hpp"
#include "decide/start_task.hpp"
#include "decide/stop_task.hpp"
#include "decide/throttle_task.hpp"

#include <variant>

namespace fescuevane::decide
{

// A checkpoint is a `stop_task` that keeps progress.
using command = std::variant<start_task, stop_task, throttle_task, job_changed>;

} // namespace fescuevane::decide

#endif
