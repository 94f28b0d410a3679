// Purpose: a target in memory: its runs, its ends and the hold that waits.
#ifndef FESCUEVANE_BENCH_TARGET_MODEL_HPP
#define FESCUEVANE_BENCH_TARGET_MODEL_HPP

#include "cell/reported_end.hpp"
#include "core/run_key.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace fescuevane::bench
{

struct target_model
{
    std::set<run_key>                runs_;
    std::map<std::uint64_t, run_key> ends_; // not forgotten yet
    std::uint64_t                    last_end_ = 0;
    std::uint64_t                    hold_ = 0; // that waits, 0: none
};

} // namespace fescuevane::bench

#endif
