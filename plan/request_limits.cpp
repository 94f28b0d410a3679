// Purpose: service time and limits of requests to the policy service.
#include "plan/request_limits.hpp"

#include "plan/planner.hpp"

#include <algorithm>
#include <cstddef>

namespace fescuevane::plan
{

double find_reply_ms(planner const& context, advice_policy const& advice)
{
    auto const targets = std::min<std::size_t>(
        context.targets_.size(), context.settings_.advice_targets_);
    return advice.decision_ms_ +
           advice.per_target_ms_ * static_cast<double>(targets);
}

bool may_request(planner const& context, bool is_long)
{
    return is_long ? context.long_requests_ < context.max_long_requests_
                   : context.short_requests_ <
                         context.settings_.max_short_requests_;
}

bool may_request_any(planner const& context)
{
    return may_request(context, false) || may_request(context, true);
}

bool is_long_request(planner const& context, advice_policy const& advice)
{
    return find_reply_ms(context, advice) > context.settings_.advice_long_ms_;
}

} // namespace fescuevane::plan
