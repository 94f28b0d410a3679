// Purpose: what one process used while it was measured.
#ifndef FESCUEVANE_BENCH_USAGE_HPP
#define FESCUEVANE_BENCH_USAGE_HPP

#include <cstdint>

namespace fescuevane::bench
{

struct usage
{
    double        cpu_micros_ = 0;
    double        switches_ = 0; // voluntary context switches: wake-ups
    std::uint64_t calls_ = 0;    // what the work counts

    friend bool operator==(usage const&, usage const&) = default;
};

} // namespace fescuevane::bench

#endif
