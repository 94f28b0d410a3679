// Purpose: demand of a planner for long requests to the policy service.
#include "plan/wanted_requests.hpp"

#include "plan/job_flow.hpp"
#include "plan/plan.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"

#include <algorithm>

namespace fescuevane::plan
{
namespace
{

bool has_long_requests(planner const& context, staged_job const& job)
{
    queue_policy const* const queue = find_policy(context, job);
    if (queue == nullptr || !queue->advice_)
    {
        return false;
    }
    auto const targets = std::min<std::size_t>(
        context.targets_.size(), context.settings_.advice_targets_);
    return static_cast<double>(expect_reply_micros(*queue->advice_, targets)) >
           context.settings_.advice_long_ms_ * micros_per_milli;
}

bool lacks_ticket(planner const& context, stage_row const& stage)
{
    return std::none_of(stage.tickets_.begin(), stage.tickets_.end(),
                        [&context](auto const& entry)
                        {
                            return is_valid(context, entry.second);
                        });
}

bool lacks_request(planner const& context, stage_key const& key,
                   stage_row const& stage)
{
    return stage.startable_ && stage.asked_ == 0 && count_waiting(stage) > 0 &&
           stage.request_after_ <= context.now_ &&
           has_long_requests(context, *stage.spec_) &&
           lacks_ticket(context, stage) &&
           is_within_limit(context, stage.spec_->organisation_, key,
                           stage.spec_->steps_[key.step_].demand_);
}

} // namespace

std::uint32_t count_long_requests(planner const& context)
{
    return context.long_requests_;
}

std::uint32_t count_wanted_requests(planner const& context)
{
    std::uint32_t wanted = context.long_requests_;
    // Below the limit, stages without a request don't wait for other stages.
    if (context.long_requests_ < context.max_long_requests_)
    {
        return wanted;
    }
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        wanted += lacks_request(context, context.stages_.key(row),
                                context.stages_[row])
                      ? 1
                      : 0;
    }
    return wanted;
}

} // namespace fescuevane::plan
