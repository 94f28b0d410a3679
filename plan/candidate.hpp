// Purpose: target that a request to the policy service may name. Internal to
// the package.
#ifndef FESCUEVANE_PLAN_CANDIDATE_HPP
#define FESCUEVANE_PLAN_CANDIDATE_HPP

#include <cstddef>
#include <cstdint>

namespace fescuevane::plan
{

// A target that a stage may use.
struct candidate
{
    std::int64_t fitting_ = 0;   // tasks
    std::size_t  row_ = 0;       // of the target table
    bool         known_ = false; // the policy service allows it
    bool         ticketed_ = false;
};

} // namespace fescuevane::plan

#endif
