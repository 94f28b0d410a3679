// Purpose: order in which waiting stages are placed.
#include "plan/stage_rank.hpp"

#include "plan/job_flow.hpp"
#include "plan/planner.hpp"
#include "plan/unconfirmed_work.hpp"

#include <algorithm>

namespace fescuevane::plan
{
namespace
{

// Lateness of a stage in its turn, which is placed before all others.
constexpr std::int32_t turn_lateness = -1;

// Validity of the estimates of a job's critical paths, which change slowly
// while ranks are needed in each tick.
constexpr std::int64_t critical_path_validity_micros = 500'000;

bool has_waiting_task(planner const& context, stage_row const& stage)
{
    return count_waiting(stage) > 0 &&
           std::any_of(stage.tasks_.begin(), stage.tasks_.end(),
                       [&](task_cell const& task)
                       {
                           return is_waiting(task) &&
                                  task.ready_at_ <= context.now_;
                       });
}

} // namespace

void estimate_critical_path(planner const& context, job_row& job)
{
    // Steps depend only on earlier ones, so the last one is estimated first.
    std::vector<step_spec> const& steps = job.spec_->steps_;
    job.critical_paths_ms_.assign(steps.size(), 0);
    job.critical_path_ms_ = 0;
    for (std::size_t step = steps.size(); step-- > 0;)
    {
        double& path_ms = job.critical_paths_ms_[step];
        path_ms +=
            expect_step_ms(context, job, static_cast<std::uint32_t>(step));
        for (std::uint32_t const before : steps[step].after_)
        {
            double& predecessor_ms = job.critical_paths_ms_.at(before);
            predecessor_ms = std::max(predecessor_ms, path_ms);
        }
        job.critical_path_ms_ = std::max(job.critical_path_ms_, path_ms);
    }
}

void estimate_critical_paths(planner& context)
{
    while (!context.estimates_.empty() &&
           context.estimates_.begin()->first <= context.now_)
    {
        job_id const id = context.estimates_.begin()->second;
        context.estimates_.erase(context.estimates_.begin());
        job_row* const job = context.jobs_.find(id);
        // A job that was dropped and added again has a newer entry of its own.
        if (job == nullptr || is_final(job->phase_) ||
            job->critical_paths_until_ > context.now_)
        {
            continue;
        }
        estimate_critical_path(context, *job);
        job->critical_paths_until_ =
            context.now_.after(critical_path_validity_micros);
        context.estimates_.emplace(job->critical_paths_until_, id);
    }
}

stage_rank rank_stage(planner const& context, stage_key const& key)
{
    job_row const&            job = *context.jobs_.find(key.job_);
    queue_policy const* const queue = find_policy(context, *job.spec_);
    std::int32_t const priority = queue == nullptr ? 0 : queue->priority_;
    if (job.spec_->steps_[key.step_].perpetual_)
    {
        return {0, priority, 0, key};
    }
    // The objective of a timed job counts from its due time.
    double const since_ms =
        job.spec_->repeat_count_ > 0
            ? static_cast<double>(context.unix_ms_ -
                                  job.spec_->first_due_unix_ms_ -
                                  job.spec_->interval_ms_ * key.occurrence_)
            : static_cast<double>(
                  job.accepted_at_.remaining_until(context.now_)) /
                  micros_per_milli;
    double const slack = queue == nullptr ? 1 : queue->slack_factor_;
    double const objective =
        slack * job.critical_path_ms_ +
        static_cast<double>(queue == nullptr ? 0 : queue->objective_ms_);
    double const end = since_ms + job.critical_paths_ms_.at(key.step_);
    std::int32_t lateness = end <= objective                       ? 0
                            : end <= objective * zero_value_factor ? 1
                                                                   : 2;
    if (job.over_rate_)
    {
        lateness += over_rate_lateness;
    }
    return {lateness, priority, static_cast<std::int64_t>(objective - end),
            key};
}

std::vector<stage_rank> rank_waiting_stages(planner const& context)
{
    unconfirmed_work const  unseen = find_unconfirmed_work(context);
    std::vector<stage_rank> ranks;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        if (!stage.startable_ || !has_waiting_task(context, stage))
        {
            continue;
        }
        stage_key const& key = context.stages_.key(row);
        if (may_be_unconfirmed(unseen, *context.jobs_.find(key.job_),
                               find_step(context, key)))
        {
            continue;
        }
        stage_rank rank = rank_stage(context, key);
        if (stage.turn_until_ > context.now_)
        {
            rank.lateness_ = turn_lateness;
        }
        ranks.push_back(rank);
    }
    std::sort(ranks.begin(), ranks.end());
    return ranks;
}

} // namespace fescuevane::plan
