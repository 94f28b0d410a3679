// Purpose: size and load of one node that is measured.
#ifndef FESCUEVANE_BENCH_CELL_SIZE_HPP
#define FESCUEVANE_BENCH_CELL_SIZE_HPP

#include <cstdint>

namespace fescuevane::bench
{

struct cell_size
{
    std::uint32_t const targets_ = 0;       // of the owned shard
    std::uint32_t const other_targets_ = 0; // of the other shard
    std::uint32_t const starts_a_second_ = 0;
    std::uint32_t const kept_records_ = 0; // of ended jobs
    std::uint32_t const open_calls_ = 0;   // that wait for the other owner

    friend bool operator==(cell_size const&, cell_size const&) = default;
};

} // namespace fescuevane::bench

#endif
