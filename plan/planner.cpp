// Purpose: the context of a planner, its tick and its queries.
//
// Index of sections
//   1. Context
//   2. Ticks
//   3. Progress
//   4. Load
#include "plan/planner.hpp"

#include "core/job_progress.hpp"
#include "plan/job_flow.hpp"
#include "plan/load_summary.hpp"
#include "plan/plan.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace fescuevane::plan
{

// 1. Context

void planner_deleter::operator()(planner* context) const
{
    delete context;
}

planner_ptr make_planner(settings const& values)
{
    return planner_ptr(new planner{.settings_ = values});
}

// 2. Ticks

namespace
{

constexpr std::array<system_entry, 6> list_systems = {{
    {"apply_events", &apply_events},
    {"open_stages", &open_stages},
    {"watch_runs", &watch_runs},
    {"pace_fillers", &pace_fillers},
    {"request_advice", &request_advice},
    {"place_tasks", &place_tasks},
}};

} // namespace

void post_event(planner& context, event input)
{
    context.inbox_.push_back(std::move(input));
}

void run_tick(planner& context, instant now, std::int64_t unix_ms,
              std::vector<command>& output)
{
    context.now_ = now;
    context.unix_ms_ = unix_ms;
    context.wake_ = instant::never();
    for (system_entry const& system : list_systems)
    {
        system.run_(context);
    }
    for (command& order : context.outbox_)
    {
        output.push_back(std::move(order));
    }
    context.outbox_.clear();
}

instant next_deadline(planner const& context)
{
    return context.inbox_.empty() ? context.wake_ : context.now_;
}

void wake_at(planner& context, instant due)
{
    context.wake_ = std::min(context.wake_, due);
}

// 3. Progress

std::optional<job_phase> find_phase(planner const& context, job_id const& job)
{
    job_row const* const row = context.jobs_.find(job);
    return row == nullptr ? std::nullopt : std::optional(row->phase_);
}

std::shared_ptr<staged_job const> find_job(planner const& context,
                                           job_id const&  job)
{
    job_row const* const row = context.jobs_.find(job);
    return row == nullptr ? nullptr : row->spec_;
}

job_progress write_progress(planner const& context, job_id const& job)
{
    job_row const& row = *context.jobs_.find(job);
    job_progress   progress{.phase_ = row.phase_};
    if (is_final(row.phase_))
    {
        return progress;
    }
    for (auto const& [place, tasks] : row.closed_)
    {
        if (!context.stages_.contains({job, place.first, place.second}))
        {
            progress.tasks_.insert(progress.tasks_.end(), tasks.begin(),
                                   tasks.end());
        }
    }
    for (std::uint32_t occurrence = 0; occurrence < row.next_occurrence_;
         ++occurrence)
    {
        for (std::uint32_t step = 0; step < row.spec_->steps_.size(); ++step)
        {
            stage_key const  key{job, occurrence, step};
            stage_row const* stage = context.stages_.find(key);
            if (stage != nullptr)
            {
                append_stage_progress(key, *stage, progress.tasks_);
            }
        }
    }
    return progress;
}

bool has_runs(planner const& context, job_id const& job)
{
    job_row const* const row = context.jobs_.find(job);
    return row != nullptr && row->runs_ > 0;
}

std::vector<job_id> list_idle_jobs(planner const& context)
{
    std::vector<job_id> idle;
    for (std::size_t row = 0; row < context.jobs_.size(); ++row)
    {
        job_row const& job = context.jobs_[row];
        if (!is_final(job.phase_) && job.runs_ == 0)
        {
            idle.push_back(context.jobs_.key(row));
        }
    }
    return idle;
}

// 4. Load

load_summary summarize_load(planner const& context)
{
    load_summary sum;
    for (target_row const& target : context.targets_)
    {
        if (target.phase_ == target_phase::usable)
        {
            sum.capacity_ = sum.capacity_ + target.capacity_;
            sum.used_ = sum.used_ + target.used_;
        }
    }
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        if (!stage.startable_)
        {
            continue;
        }
        stage_key const&     key = context.stages_.key(row);
        job_row const* const job = context.jobs_.find(key.job_);
        auto const           waiting = static_cast<std::int64_t>(
            std::count_if(stage.tasks_.begin(), stage.tasks_.end(),
                                    [](task_cell const& task)
                                    {
                              return !task.done_ && task.runs_ == 0;
                          }));
        sum.queued_ =
            sum.queued_ + job->spec_->steps_[key.step_].demand_ * waiting;
    }
    std::map<queue_id, std::uint32_t> waiting;
    for (job_row const& job : context.jobs_)
    {
        if (job.phase_ == job_phase::pending)
        {
            ++waiting[job.spec_->queue_];
        }
    }
    for (auto const& [queue, count] : waiting)
    {
        sum.queues_.push_back({queue, count});
    }
    return sum;
}

} // namespace fescuevane::plan
