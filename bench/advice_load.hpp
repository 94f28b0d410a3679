// Purpose: size and events of a modelled cell whose jobs need the policy
// service.
#ifndef FESCUEVANE_BENCH_ADVICE_LOAD_HPP
#define FESCUEVANE_BENCH_ADVICE_LOAD_HPP

#include "bench/arrival_phase.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::bench
{

struct advice_load
{
    std::uint64_t const              seed_ = 1;
    std::uint32_t const              shards_ = 8;
    std::uint32_t const              targets_ = 45; // of a shard
    std::uint32_t const              hosts_ = 40;   // one owner a shard
    std::vector<arrival_phase> const arrivals_;     // in order of time
    instant const                    stop_at_;      // of all hosts
    instant const                    restart_at_;
    instant const                    attach_at_; // targets are usable again

    friend bool operator==(advice_load const&, advice_load const&) = default;
};

} // namespace fescuevane::bench

#endif
