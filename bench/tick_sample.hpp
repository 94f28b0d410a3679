// Purpose: what one tick cost and did.
#ifndef FESCUEVANE_BENCH_TICK_SAMPLE_HPP
#define FESCUEVANE_BENCH_TICK_SAMPLE_HPP

#include <cstdint>

namespace fescuevane::bench
{

struct tick_sample
{
    double const        micros_ = 0; // processor time of the thread
    std::uint32_t const starts_ = 0;

    friend bool operator==(tick_sample const&, tick_sample const&) = default;
};

} // namespace fescuevane::bench

#endif
