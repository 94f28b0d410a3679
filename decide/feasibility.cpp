// Purpose: whether a job can ever run on this shard.
#include "decide/feasibility.hpp"

#include "decide/scheduler.hpp"

#include <algorithm>
#include <limits>

namespace fescuevane::decide
{

std::int64_t count_fits(resources const& room, resources const& demand,
                        std::int64_t slots)
{
    auto const divide = [](std::int64_t have, std::int64_t want)
    {
        return want > 0 ? have / want
                        : std::numeric_limits<std::int64_t>::max();
    };
    return std::min({divide(room.cpu_millis(), demand.cpu_millis()),
                     divide(room.memory_mib(), demand.memory_mib()),
                     divide(room.accelerators(), demand.accelerators()),
                     slots});
}

namespace
{

bool is_gang_too_large(target_table const& targets, job_spec const& spec)
{
    std::int64_t fits = 0;
    for (std::size_t row = 0; row < targets.index_.size(); ++row)
    {
        bool const stays =
            targets.seen_[row] != 0 && targets.leaving_[row] == 0;
        fits += stays ? count_fits(targets.capacity_[row], spec.demand_,
                                   targets.slots_[row])
                      : 0;
    }
    return fits < spec.task_count_;
}

} // namespace

std::string find_obstacle(scheduler const& context, std::size_t job)
{
    job_spec const&   spec = *context.jobs_.spec_[job];
    std::size_t const team = context.jobs_.team_[job];
    bool const        gang = spec.kind_ == work_kind::gang;
    auto const&       allotment = context.teams_.allotment_[team];
    if (allotment &&
        !(spec.demand_ * (gang ? spec.task_count_ : 1)).fits_in(*allotment))
    {
        return "larger than the limit of the team";
    }
    if (context.targets_.unreached_ > 0 || context.targets_.index_.size() == 0)
    {
        return {}; // capacity may still join
    }
    if (!context.targets_.capacities_.find_fit(spec.demand_, 0))
    {
        return "larger than any target";
    }
    return gang && is_gang_too_large(context.targets_, spec)
               ? "gang is larger than the shard"
               : "";
}

} // namespace fescuevane::decide
