// Purpose: system: opens the occurrences of timed jobs that are due.
//
// An open occurrence takes memory and is looked at in each tick, and a job may
// have any number of occurrences due at once. So only as many are open as keep
// some tasks waiting to start.
#include "core/job_progress.hpp"
#include "plan/job_flow.hpp"
#include "plan/planner.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// Waiting tasks of a job above which no further occurrence is opened. A shard
// starts fewer tasks in one tick, so it doesn't run out of them.
constexpr std::uint64_t max_waiting_tasks = 256;

// Tasks in open stages of a job above which no further occurrence is opened. A
// task takes 200 bytes and a stage 264, so this is 4 to 9 MB.
constexpr std::uint64_t max_open_tasks = 20'000;

// Tasks opened in one tick, of all jobs.
constexpr std::uint64_t max_opened_tasks = 2'000;

// Tasks of the stage that could start now.
std::uint64_t count_startable(planner const& context, stage_key const& key)
{
    stage_row const& stage = *context.stages_.find(key);
    return stage.startable_ ? static_cast<std::uint64_t>(count_waiting(stage))
                            : 0;
}

bool has_enough_waiting(planner const& context, job_id const& id,
                        job_row const& job)
{
    std::uint64_t waiting = 0;
    for (auto const& [occurrence, step] : job.open_stages_)
    {
        waiting += count_startable(context, {id, occurrence, step});
        if (waiting >= max_waiting_tasks)
        {
            return true;
        }
    }
    return false;
}

// The first occurrence from `occurrence` on in which a step hasn't ended.
std::uint32_t skip_ended(job_row const& job, std::uint32_t occurrence)
{
    std::uint32_t const count = count_occurrences(job);
    while (occurrence < count)
    {
        std::uint32_t end = std::numeric_limits<std::uint32_t>::max();
        for (std::uint32_t step = 0; step < job.spec_->steps_.size(); ++step)
        {
            auto const ended = job.ended_steps_.find(step);
            if (ended == job.ended_steps_.end())
            {
                return occurrence;
            }
            auto const range = ended->second.find(occurrence);
            if (range == ended->second.end())
            {
                return occurrence;
            }
            end = std::min(end, range->upper());
        }
        occurrence = std::min(end, count);
    }
    return count;
}

std::uint64_t count_tasks(staged_job const& job)
{
    std::uint64_t tasks = 0;
    for (step_spec const& step : job.steps_)
    {
        tasks += step.count_;
    }
    return tasks;
}

// A job may have one occurrence open whatever its size.
bool exceeds_open_tasks(job_row const& job)
{
    return !job.open_stages_.empty() &&
           job.open_tasks_ + count_tasks(*job.spec_) > max_open_tasks;
}

// Opens the next occurrence, or makes one startable that was opened before it
// was due.
void open_next_occurrence(planner& context, job_id const& id)
{
    job_row&            job = *context.jobs_.find(id);
    std::uint32_t const occurrence = job.next_occurrence_++;
    if (job.opened_early_.erase(occurrence) > 0)
    {
        start_successors(context, id, occurrence);
        return;
    }
    open_occurrence(context, id, occurrence);
}

// Opens occurrences of a job that are due, and reduces `budget` by their tasks.
// Returns false when no later occurrence remains.
bool open_due_occurrences(planner& context, job_id const& id,
                          std::uint64_t& budget)
{
    std::uint64_t opened = 0; // since waiting tasks were counted
    while (true)
    {
        job_row* const job = context.jobs_.find(id);
        if (job == nullptr || is_final(job->phase_))
        {
            return false;
        }
        job->next_occurrence_ = skip_ended(*job, job->next_occurrence_);
        std::uint32_t const occurrence = job->next_occurrence_;
        if (occurrence >= count_occurrences(*job))
        {
            finish_job_if_complete(context, id);
            return false;
        }
        if (!is_due(context, *job, occurrence))
        {
            std::int64_t const due = job->spec_->first_due_unix_ms_ +
                                     job->spec_->interval_ms_ * occurrence -
                                     context.settings_.early_start_ms_;
            wake_at(context, context.now_.after((due - context.unix_ms_) *
                                                micros_per_milli));
            return true;
        }
        if (exceeds_open_tasks(*job))
        {
            return true; // goes on when stages have ended
        }
        if (opened == 0 || opened >= max_waiting_tasks)
        {
            if (has_enough_waiting(context, id, *job))
            {
                return true; // goes on when tasks have started
            }
            opened = 0;
        }
        if (budget == 0)
        {
            wake_at(context, context.now_);
            return true;
        }
        std::uint64_t const tasks = count_tasks(*job->spec_);
        budget -= std::min(budget, tasks);
        opened += tasks;
        open_next_occurrence(context, id);
    }
}

} // namespace

void open_stored(planner& context, job_id const& id,
                 job_progress const& progress)
{
    std::set<std::uint32_t> occurrences;
    for (task_progress const& task : progress.tasks_)
    {
        occurrences.insert(task.occurrence_);
    }
    for (auto const& [place, tasks] : progress.done_tasks_)
    {
        occurrences.insert(place.first);
    }
    for (std::uint32_t const occurrence : occurrences)
    {
        if (exceeds_open_tasks(*context.jobs_.find(id)))
        {
            return;
        }
        open_reported(context, {id, occurrence, 0});
    }
}

void open_stages(planner& context)
{
    std::vector<job_id> const timed(context.timed_.begin(),
                                    context.timed_.end());
    std::uint64_t             budget = max_opened_tasks;
    for (job_id const& id : timed)
    {
        if (!open_due_occurrences(context, id, budget))
        {
            context.timed_.erase(id);
        }
    }
}

} // namespace fescuevane::plan
