// Purpose: the state of one task as told to the owner.
#ifndef FESCUEVANE_TESTS_STAND_INS_STATUS_ENTRY_HPP
#define FESCUEVANE_TESTS_STAND_INS_STATUS_ENTRY_HPP

#include "decide/start_task.hpp"
#include "decide/task_ended.hpp"
#include "decide/task_rejected.hpp"
#include "decide/task_started.hpp"
#include "decide/usage_reported.hpp"

#include <optional>
#include <variant>

namespace fescuevane::stand_ins
{

struct status_entry
{
    std::variant<decide::task_started, decide::task_ended,
                 decide::task_rejected, decide::usage_reported> const event_;
    std::optional<decide::start_task> const start_; // in snapshots
    bool const omits_payload_ = false; // of start_, in large snapshots

    friend bool operator==(status_entry const&, status_entry const&) = default;
};

} // namespace fescuevane::stand_ins

#endif
