// Purpose: one run on the targets that a planner is measured with.
#ifndef FESCUEVANE_BENCH_MODELLED_RUN_HPP
#define FESCUEVANE_BENCH_MODELLED_RUN_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

namespace fescuevane::bench
{

struct modelled_run
{
    target_id target_;
    instant   started_at_;
    instant   ends_at_; // never: doesn't end by itself

    friend bool operator==(modelled_run const&, modelled_run const&) = default;
};

} // namespace fescuevane::bench

#endif
