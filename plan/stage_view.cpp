// Purpose: an open stage with the rows that it belongs to.
#include "plan/stage_view.hpp"

#include "plan/job_flow.hpp"
#include "plan/planner.hpp"

namespace fescuevane::plan
{

stage_view view_stage(planner const& context, stage_key const& key)
{
    job_row const&   job = *context.jobs_.find(key.job_);
    step_spec const& step = job.spec_->steps_[key.step_];
    return {key,
            *context.stages_.find(key),
            job,
            step,
            find_policy(context, *job.spec_),
            step.spread_limit_ == 0
                ? run_table::rows()
                : context.runs_.of_origin(origin_of(job, key))};
}

bool needs_ticket(stage_view const& stage)
{
    return stage.queue_ != nullptr && stage.queue_->advice_;
}

} // namespace fescuevane::plan
