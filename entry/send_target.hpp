// Purpose: command: send a batch to a target.
#ifndef FESCUEVANE_ENTRY_SEND_TARGET_HPP
#define FESCUEVANE_ENTRY_SEND_TARGET_HPP

#include "core/ids.hpp"
#include "core/task_key.hpp"
#include "decide/command.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::entry
{

struct send_target
{
    target_id const    target_;
    std::int64_t const echo_micros_ = 0;        // clock last heard from it
    std::int64_t const lease_micros_ = 0;       // renewed by it
    std::vector<decide::command> const orders_; // starts, stops, throttles
    std::vector<task_key> const        acknowledged_ends_;

    friend bool operator==(send_target const&, send_target const&) = default;
};

} // namespace fescuevane::entry

#endif
