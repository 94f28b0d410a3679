// Purpose: room of the targets that a request may name. Internal to the
// package.
#ifndef FESCUEVANE_PLAN_COVERAGE_HPP
#define FESCUEVANE_PLAN_COVERAGE_HPP

#include <cstdint>

namespace fescuevane::plan
{

// Number of tasks that candidates have room for, and how many of them on
// targets with tickets.
struct coverage
{
    std::int64_t const fitting_ = 0;
    std::int64_t const ticketed_ = 0;
};

} // namespace fescuevane::plan

#endif
