// Purpose: an open stage with the rows that it belongs to.
#include "plan/stage_view.hpp"

#include "plan/planner.hpp"

namespace fescuevane::plan
{

stage_view view_stage(planner const& context, stage_key const& key)
{
    job_row const& job = *context.jobs_.find(key.job_);
    return {key, *context.stages_.find(key), job, job.spec_->steps_[key.step_],
            context.queues_.find(job.spec_->queue_)};
}

bool needs_ticket(stage_view const& stage)
{
    return stage.queue_ != nullptr && stage.queue_->advice_;
}

} // namespace fescuevane::plan
