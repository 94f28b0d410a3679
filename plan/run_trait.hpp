// Purpose: traits by which systems look up runs.
#ifndef FESCUEVANE_PLAN_RUN_TRAIT_HPP
#define FESCUEVANE_PLAN_RUN_TRAIT_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class run_trait : std::uint8_t
{
    filler,        // uses CPU time that others leave
    latency_bound, //
    speculative    // may have a speculative copy
};

} // namespace fescuevane::plan

#endif
