// Purpose: bounds retries to a fraction of fresh starts.
#ifndef FESCUEVANE_DECIDE_RETRY_BUDGET_HPP
#define FESCUEVANE_DECIDE_RETRY_BUDGET_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::decide
{

// In hundredths of a retry. It also refills slowly with time, so that work is
// not stuck when nothing fresh arrives.
struct retry_budget
{
    std::int64_t hundredths_ = 1000;
    instant      refilled_;
};

} // namespace fescuevane::decide

#endif
