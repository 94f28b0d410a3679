// Purpose: rate at which jobs arrive until a time.
#ifndef FESCUEVANE_BENCH_ARRIVAL_PHASE_HPP
#define FESCUEVANE_BENCH_ARRIVAL_PHASE_HPP

#include "core/instant.hpp"

namespace fescuevane::bench
{

struct arrival_phase
{
    instant const until_;
    double const  jobs_a_second_ = 0;

    friend bool operator==(arrival_phase const&,
                           arrival_phase const&) = default;
};

} // namespace fescuevane::bench

#endif
