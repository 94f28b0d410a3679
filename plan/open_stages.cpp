// Purpose: system: opens the occurrences of timed jobs that are due.
#include "plan/job_flow.hpp"
#include "plan/planner.hpp"

#include <vector>

namespace fescuevane::plan
{
namespace
{

// Opens the occurrences that are due. Returns false when no later occurrence
// remains.
bool open_due_occurrences(planner& context, job_id const& id)
{
    while (true)
    {
        job_row const* const job = context.jobs_.find(id);
        if (job == nullptr || is_final(job->phase_) ||
            job->next_occurrence_ >= count_occurrences(*job))
        {
            return false;
        }
        std::int64_t const due =
            job->spec_->first_due_unix_ms_ +
            job->spec_->interval_ms_ * job->next_occurrence_ -
            context.settings_.early_start_ms_;
        if (due > context.unix_ms_)
        {
            wake_at(context, context.now_.after((due - context.unix_ms_) *
                                                micros_per_milli));
            return true;
        }
        open_occurrence(context, id);
    }
}

} // namespace

void open_stages(planner& context)
{
    std::vector<job_id> const timed(context.timed_.begin(),
                                    context.timed_.end());
    for (job_id const& id : timed)
    {
        if (!open_due_occurrences(context, id))
        {
            context.timed_.erase(id);
        }
    }
}

} // namespace fescuevane::plan
