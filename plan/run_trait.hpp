// Purpose: traits of runs that systems look for.
#ifndef FESCUEVANE_PLAN_RUN_TRAIT_HPP
#define FESCUEVANE_PLAN_RUN_TRAIT_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class run_trait : std::uint8_t
{
    filler,        // uses processors that others leave
    latency_bound, //
    speculative    // may have a copy
};

} // namespace fescuevane::plan

#endif
