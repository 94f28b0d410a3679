// Purpose: what a target stand-in tells about one target.
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_STATUS_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_STATUS_HPP

#include "core/ids.hpp"
#include "tests/stand_ins/target_counters.hpp"

#include <cstdint>

namespace fescuevane::stand_ins
{

struct target_status
{
    target_id const       target_;
    std::uint64_t const   incarnation_ = 0;
    epoch const           epoch_ = 0;
    std::uint64_t const   running_ = 0;
    target_counters const counters_;

    friend bool operator==(target_status const&,
                           target_status const&) = default;
};

} // namespace fescuevane::stand_ins

#endif
