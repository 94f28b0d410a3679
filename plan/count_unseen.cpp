// Purpose: system: counts unconfirmed work, which may run on targets that a new
// owner hasn't reached yet or that are stopping it, against the limits of
// organisations.
#include "plan/planner.hpp"
#include "plan/task_cell.hpp"
#include "plan/unconfirmed_work.hpp"

#include <algorithm>

namespace fescuevane::plan
{

namespace
{

bool may_run_unreported(planner const& context, target_row const& target)
{
    return target.phase_ == target_phase::attaching ||
           target.stops_until_ > context.now_;
}

} // namespace

unconfirmed_work find_unconfirmed_work(planner const& context)
{
    bool const runs =
        std::any_of(context.targets_.begin(), context.targets_.end(),
                    [&context](target_row const& target)
                    {
                        return may_run_unreported(context, target);
                    });
    bool const ends =
        std::any_of(context.targets_.begin(), context.targets_.end(),
                    [](target_row const& target)
                    {
                        return target.phase_ == target_phase::lapsed;
                    });
    return {.runs_ = runs, .ends_ = runs || ends};
}

namespace
{

resources count_unconfirmed_room(planner const& context)
{
    resources room;
    for (target_row const& target : context.targets_)
    {
        if (may_run_unreported(context, target))
        {
            room = room + target.capacity_;
        }
    }
    return room;
}

} // namespace

// Recovered tasks that no target has reported may be running on targets that
// aren't reached yet, or that are stopping runs. They count up to the capacity
// of those targets.
void count_unconfirmed(planner& context)
{
    for (target_row const& target : context.targets_)
    {
        if (target.stops_until_ > context.now_)
        {
            wake_at(context, target.stops_until_);
        }
    }
    for (organisation_row& row : context.organisations_)
    {
        row.unseen_ = resources();
    }
    if (!find_unconfirmed_work(context).runs_)
    {
        return;
    }
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        stage_key const& key = context.stages_.key(row);
        job_row const&   job = *context.jobs_.find(key.job_);
        if (!job.recovered_ || !stage.startable_)
        {
            continue;
        }
        auto const        waiting = count_waiting(stage);
        organisation_row& owner =
            context.organisations_.ensure(job.spec_->organisation_);
        owner.unseen_ =
            owner.unseen_ + job.spec_->steps_[key.step_].demand_ * waiting;
    }
    resources const room = count_unconfirmed_room(context);
    for (organisation_row& row : context.organisations_)
    {
        row.unseen_ = min(row.unseen_, room);
    }
}

} // namespace fescuevane::plan
