// Purpose: event: more or fewer hosts may query the policy service.
#ifndef FESCUEVANE_PLAN_ADVICE_LIMIT_CHANGED_HPP
#define FESCUEVANE_PLAN_ADVICE_LIMIT_CHANGED_HPP

#include <cstdint>

namespace fescuevane::plan
{

struct advice_limit_changed
{
    std::uint32_t const long_requests_ = 0; // in flight at most

    friend bool operator==(advice_limit_changed const&,
                           advice_limit_changed const&) = default;
};

} // namespace fescuevane::plan

#endif
