// Purpose: finds shards without suitable targets for a step of a job.
#include "cell/node.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace fescuevane::cell
{
namespace
{

std::int64_t count_fits(std::int64_t demand, std::int64_t capacity)
{
    return demand > 0 ? capacity / demand
                      : std::numeric_limits<std::int64_t>::max();
}

// Number of tasks of the step that the target can run at the same time.
std::int64_t count_slots(step_spec const& step, listed_target const& target)
{
    bool const label_matches =
        step.required_label_.empty() ||
        std::find(target.labels_.begin(), target.labels_.end(),
                  step.required_label_) != target.labels_.end();
    bool const rack_matches =
        step.near_rack_.empty() || step.near_rack_ == target.rack_;
    if (!label_matches || !rack_matches || target.leaving_)
    {
        return 0;
    }
    std::int64_t const fits = std::min(
        {count_fits(step.demand_.cpu_millis(), target.capacity_.cpu_millis()),
         count_fits(step.demand_.memory_mib(), target.capacity_.memory_mib()),
         count_fits(step.demand_.accelerators(),
                    target.capacity_.accelerators()),
         static_cast<std::int64_t>(step.count_)});
    return step.spread_limit_ == 0
               ? fits
               : std::min(fits, static_cast<std::int64_t>(step.spread_limit_));
}

} // namespace

std::set<shard_id> list_unfit_shards(node const&       context,
                                     service_id const& service,
                                     step_spec const&  step)
{
    std::map<shard_id, std::int64_t> slots;
    for (session_row const& session : context.sessions_)
    {
        if (session.info_ && session.listed_ &&
            session.info_->service_ == service)
        {
            slots[session.shard_] += count_slots(step, *session.info_);
        }
    }
    std::int64_t const needed = step.gang_ ? step.count_ : 1;
    std::set<shard_id> unfit;
    for (auto const& [shard, count] : slots)
    {
        if (count < needed)
        {
            unfit.insert(shard);
        }
    }
    return unfit;
}

} // namespace fescuevane::cell
