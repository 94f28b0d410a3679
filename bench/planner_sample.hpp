// Purpose: processor time of one tick of a planner, by system.
#ifndef FESCUEVANE_BENCH_PLANNER_SAMPLE_HPP
#define FESCUEVANE_BENCH_PLANNER_SAMPLE_HPP

#include <cstdint>
#include <vector>

namespace fescuevane::bench
{

struct planner_sample
{
    std::vector<double> const system_micros_; // in the order of the systems
    double const              all_micros_ = 0;
    std::uint32_t const       starts_ = 0;

    friend bool operator==(planner_sample const&,
                           planner_sample const&) = default;
};

} // namespace fescuevane::bench

#endif
