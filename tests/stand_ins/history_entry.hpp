// Purpose: one line of a target's history.
#ifndef FESCUEVANE_TESTS_STAND_INS_HISTORY_ENTRY_HPP
#define FESCUEVANE_TESTS_STAND_INS_HISTORY_ENTRY_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "decide/start_task.hpp"

#include <optional>
#include <string>

namespace fescuevane::stand_ins
{

struct history_entry
{
    instant const     time_;
    std::string const event_; // start, end, reject, lapse, fenced, epoch, ...
    target_id const   target_;
    domain_id const   domain_;
    std::string const shard_;
    epoch const       epoch_ = 0;
    std::string const outcome_; // of an end
    std::string const reason_;
    std::optional<decide::start_task> const task_; // none: the whole target

    friend bool operator==(history_entry const&,
                           history_entry const&) = default;
};

} // namespace fescuevane::stand_ins

#endif
