// Purpose: what an owner sends to a target at once.
#ifndef FESCUEVANE_TESTS_STAND_INS_OWNER_BATCH_HPP
#define FESCUEVANE_TESTS_STAND_INS_OWNER_BATCH_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/task_key.hpp"
#include "decide/start_task.hpp"
#include "decide/stop_task.hpp"
#include "decide/throttle_task.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::stand_ins
{

struct owner_batch
{
    std::uint64_t const                      stream_ = 0; // it came on, from 1
    epoch const                              epoch_ = 0;
    std::uint64_t const                      attachment_ = 0;
    instant const                            echo_; // target's clock; 0: none
    std::int64_t const                       lease_micros_ = 0; // after echo_
    std::vector<decide::start_task> const    starts_;
    std::vector<decide::stop_task> const     stops_;
    std::vector<decide::throttle_task> const throttles_;
    std::vector<task_key> const              acknowledged_ends_;
    std::string const                        shard_;

    friend bool operator==(owner_batch const&, owner_batch const&) = default;
};

} // namespace fescuevane::stand_ins

#endif
