// Purpose: wait of one step for its first start.
#ifndef FESCUEVANE_BENCH_STEP_WAIT_HPP
#define FESCUEVANE_BENCH_STEP_WAIT_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::bench
{

struct step_wait
{
    std::uint32_t const width_ = 0; // number of tasks
    bool const          gang_ = false;
    bool const          stopped_ = false; // was waiting when all hosts stopped
    bool const          started_ = false;
    instant const       accepted_at_;
    double const        seconds_ = 0; // so far when it hasn't started

    friend bool operator==(step_wait const&, step_wait const&) = default;
};

} // namespace fescuevane::bench

#endif
