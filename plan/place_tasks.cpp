// Purpose: system: places waiting tasks on targets, best-ranked stages first.
//
// Index of sections
//   1. Choice of a target
//   2. Single tasks
//   3. Gangs
//   4. Speculative copies
#include "plan/job_flow.hpp"
#include "plan/learn_run_times.hpp"
#include "plan/parts.hpp"
#include "plan/planner.hpp"
#include "plan/rejected_runs.hpp"
#include "plan/room.hpp"
#include "plan/room_reservations.hpp"
#include "plan/stage_rank.hpp"
#include "plan/stage_view.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// 1. Choice of a target

// Weight of the free share of a target: fuller targets are preferred, so that
// large tasks still find a target. Lower than the weight of speed.
constexpr double packing_weight = 0.5;

// A target where the task failed before is chosen only when no other fits.
constexpr double failed_before_cost = 10;

// Fillers interfere with latency-bound tasks, so they are kept apart.
constexpr double interference_cost = 5;

struct placement
{
    stage_view const&      stage_;
    task_cell const&       task_;
    std::set<target_id>    excluded_;
    std::optional<rack_id> rack_; // required rack, if any
};

double free_share(std::int64_t capacity, std::int64_t used)
{
    return static_cast<double>(capacity - used) /
           std::max<double>(1, static_cast<double>(capacity));
}

double cost_of(planner const& context, placement const& request,
               target_id const& id, target_row const& target)
{
    double cost = 1 / std::max(target.speed_, 0.05);
    if (!request.stage_.step_.near_rack_.empty() &&
        target.rack_ != request.stage_.step_.near_rack_)
    {
        cost *= context.settings_.rack_penalty_;
    }
    step_spec const& step = request.stage_.step_;
    if (step.filler_)
    {
        cost += target.serving_ > 0 ? interference_cost : 0;
    }
    else
    {
        cost += step.latency_target_ms_ > 0 && target.fillers_ > 0
                    ? interference_cost
                    : 0;
    }
    // Processors alone would let tasks of one accelerator start on targets that
    // others need whole.
    bool const   uses_accelerators = step.demand_.accelerators() > 0;
    double const processors =
        free_share(target.capacity_.cpu_millis(), target.used_.cpu_millis());
    double const accelerators = free_share(target.capacity_.accelerators(),
                                           target.used_.accelerators());
    if (!step.filler_)
    {
        cost += packing_weight * (uses_accelerators
                                      ? std::min(processors, accelerators)
                                      : processors);
    }
    else
    {
        // The opposite of packing: fillers use the processors that are left
        // over. They hold accelerators like other tasks.
        cost += packing_weight * (1 - processors);
        cost +=
            uses_accelerators ? packing_weight * accelerators : target.fillers_;
    }
    cost += request.task_.failed_on_ == id ? failed_before_cost : 0;
    return cost;
}

std::optional<target_id> choose_target(planner const&   context,
                                       placement const& request)
{
    if (needs_ticket(request.stage_) && request.stage_.row_.tickets_.empty())
    {
        return std::nullopt;
    }
    std::optional<target_id> best;
    double                   best_cost = std::numeric_limits<double>::max();
    resources const          wanted = required_room(request.stage_.step_);
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        // The cheapest check comes first, since most targets are full under
        // high load.
        if (!wanted.fits_in(target.capacity_ - target.used_))
        {
            continue;
        }
        target_id const& id = context.targets_.key(row);
        if (request.excluded_.contains(id) ||
            (request.rack_ && target.rack_ != *request.rack_) ||
            !accepts_stage(context, request.stage_, target) ||
            !has_ticket(context, request.stage_, id) ||
            count_startable(context, request.stage_, id, target) == 0)
        {
            continue;
        }
        double const cost = cost_of(context, request, id, target);
        if (cost < best_cost)
        {
            best = id;
            best_cost = cost;
        }
    }
    return best;
}

std::string find_ticket(stage_row const& stage, target_id const& target)
{
    auto const ticket = stage.tickets_.find(target);
    return ticket == stage.tickets_.end() ? "" : ticket->second.ticket_;
}

// 2. Single tasks

// Starts one run of a task. Returns false when its organisation is at its limit
// or no target is suitable.
bool start_task(planner& context, stage_key const& key, std::uint32_t index,
                std::set<target_id> excluded)
{
    stage_view const stage = view_stage(context, key);
    task_cell const& task = stage.row_.tasks_[index];
    if (!is_within_limit(context, stage.job_.spec_->organisation_, key,
                         stage.step_.demand_))
    {
        return false;
    }
    auto const target =
        choose_target(context, {stage, task, std::move(excluded), {}});
    if (!target)
    {
        return false;
    }
    begin_run(context, {key, index, task.last_run_ + 1}, *target,
              find_ticket(stage.row_, *target));
    return true;
}

void place_single_tasks(planner& context, stage_key const& key,
                        rejected_runs const& rejected)
{
    auto const count =
        static_cast<std::uint32_t>(context.stages_.find(key)->tasks_.size());
    for (std::uint32_t index = 0; index < count; ++index)
    {
        task_cell const& task = context.stages_.find(key)->tasks_[index];
        if (!is_waiting(task) ||
            may_run_rejected(context, rejected, key, index))
        {
            continue;
        }
        if (task.ready_at_ > context.now_)
        {
            wake_at(context, task.ready_at_);
            continue;
        }
        if (!start_task(context, key, index, {}))
        {
            return; // the other tasks of the stage need as much room
        }
    }
}

// 3. Gangs

// Starts all tasks of a gang or none, on one rack when one is given. Rolls back
// the runs begun so far when a task finds no room.
bool start_gang(planner& context, stage_key const& key,
                std::optional<rack_id> const& rack)
{
    step_spec const&     step = find_step(context, key);
    job_row const&       job = *context.jobs_.find(key.job_);
    std::size_t const    orders = context.outbox_.size();
    std::vector<run_key> begun;
    stage_row const&     first = *context.stages_.find(key);
    std::uint32_t        run = first.gang_run_;
    job_phase const      phase = job.phase_;
    std::uint32_t const  gang_run = first.gang_run_;
    task_list const      before = first.tasks_;
    for (task_cell const& task : before)
    {
        run = std::max(run, task.last_run_);
    }
    ++run;
    for (std::uint32_t index = 0; index < step.count_; ++index)
    {
        stage_view const         stage = view_stage(context, key);
        std::optional<target_id> target;
        if (is_within_limit(context, job.spec_->organisation_, key,
                            step.demand_))
        {
            target = choose_target(context,
                                   {stage, stage.row_.tasks_[index], {}, rack});
        }
        if (!target)
        {
            break;
        }
        begun.push_back({key, index, run});
        begin_run(context, begun.back(), *target,
                  find_ticket(stage.row_, *target));
    }
    if (begun.size() == step.count_)
    {
        mark_part_started(*context.stages_.find(key));
        return true;
    }
    for (run_key const& key_of_run : begun)
    {
        // The start commands haven't left the outbox, so no run has to be
        // stopped.
        end_run(context, key_of_run, context.runs_.find(key_of_run)->target_,
                run_end::lost, "");
    }
    while (context.outbox_.size() > orders)
    {
        context.outbox_.pop_back();
    }
    stage_row& stage = *context.stages_.find(key);
    stage.gang_run_ = gang_run;
    stage.tasks_ = before; // also restores the begin of their wait
    context.jobs_.find(key.job_)->phase_ = phase;
    return false;
}

// Rejects most gangs without room before runs are begun and rolled back.
bool has_place_for_all(planner const& context, stage_key const& key)
{
    stage_view const stage = view_stage(context, key);
    std::int64_t     missing = stage.step_.count_;
    for (std::size_t row = 0; row < context.targets_.size() && missing > 0;
         ++row)
    {
        target_row const& target = context.targets_[row];
        target_id const&  id = context.targets_.key(row);
        if (accepts_stage(context, stage, target) &&
            has_ticket(context, stage, id))
        {
            missing -= count_startable(context, stage, id, target);
        }
    }
    return missing <= 0;
}

void place_gang(planner& context, stage_key const& key,
                rejected_runs const& rejected)
{
    stage_row const& stage = *context.stages_.find(key);
    if (!may_start_gang(context, stage) ||
        may_run_rejected(context, rejected, key))
    {
        return;
    }
    for (task_cell const& task : stage.tasks_)
    {
        if (!is_waiting(task))
        {
            return; // an earlier run of the gang has not ended everywhere
        }
        if (task.ready_at_ > context.now_)
        {
            wake_at(context, task.ready_at_);
            return;
        }
    }
    if (!has_place_for_all(context, key))
    {
        return;
    }
    if (find_step(context, key).same_rack_)
    {
        std::set<rack_id> racks;
        for (target_row const& target : context.targets_)
        {
            racks.insert(target.rack_);
        }
        for (rack_id const& rack : racks)
        {
            if (start_gang(context, key, rack))
            {
                return;
            }
        }
    }
    start_gang(context, key, {});
}

// 4. Speculative copies

// Run time in microseconds above which a task gets a copy. Infinite while slow
// runs can't be told from long ones: until a task of the stage has ended, or
// until enough runs of its kind have.
double find_copy_bound(planner const& context, stage_key const& key,
                       stage_row const& stage)
{
    constexpr double min_samples = 8;
    double           bound_ms = std::numeric_limits<double>::infinity();
    if (uses_shared_run_times(context))
    {
        run_time_estimate const estimate = estimate_stage(context, key);
        if (estimate.samples_ >= min_samples)
        {
            bound_ms = estimate.high_ms_;
        }
    }
    else if (stage.samples_ > 0)
    {
        bound_ms = context.settings_.copy_factor_ * expect_run_ms(context, key);
    }
    return std::max(bound_ms * micros_per_milli,
                    static_cast<double>(context.settings_.copy_min_micros_));
}

// Runs of speculative tasks that take much longer than expected.
std::vector<run_key> list_stragglers(planner const& context)
{
    std::vector<run_key> slow;
    for (std::size_t const row : context.runs_.with(run_trait::speculative))
    {
        run_row const& run = context.runs_[row];
        run_key const& key = context.runs_.key(row);
        auto const     ran =
            static_cast<double>(run.started_at_.remaining_until(context.now_));
        if (run.phase_ != run_phase::running ||
            ran <= static_cast<double>(context.settings_.copy_min_micros_))
        {
            continue;
        }
        stage_row const* const stage = context.stages_.find(key.stage_);
        if (stage == nullptr || stage->tasks_[key.index_].runs_ != 1 ||
            stage->tasks_[key.index_].held_)
        {
            continue;
        }
        double const bound = find_copy_bound(context, key.stage_, *stage);
        if (ran > bound)
        {
            slow.push_back(key);
        }
    }
    return slow;
}

void place_copies(planner& context)
{
    for (run_key const& key : list_stragglers(context))
    {
        start_task(context, key.stage_, key.index_,
                   {context.runs_.find(key)->target_});
    }
}

} // namespace

namespace
{

// The largest free amount of each resource on any target.
resources find_most_free(planner const& context)
{
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    for (target_row const& target : context.targets_)
    {
        if (target.phase_ == target_phase::usable)
        {
            resources const free = target.capacity_ - target.used_;
            cpu = std::max<std::int64_t>(cpu, free.cpu_millis());
            memory = std::max<std::int64_t>(memory, free.memory_mib());
            accelerators =
                std::max<std::int64_t>(accelerators, free.accelerators());
        }
    }
    return {cpu, memory, accelerators};
}

void place_stage(planner& context, stage_key const& key,
                 rejected_runs const& rejected)
{
    if (find_step(context, key).gang_)
    {
        place_gang(context, key, rejected);
    }
    else
    {
        place_single_tasks(context, key, rejected);
    }
}

instant find_earliest_pause_end(planner const& context)
{
    instant due = instant::never();
    for (target_row const& target : context.targets_)
    {
        for (instant const until :
             {target.paused_until_, target.probation_until_})
        {
            if (until > context.now_)
            {
                due = std::min(due, until);
            }
        }
    }
    return due;
}

void place_ranked(planner& context, std::vector<stage_rank> const& ranks)
{
    rejected_runs const rejected = find_rejected_runs(context);
    resources           most_free = find_most_free(context);
    for (stage_rank const& rank : ranks)
    {
        // Skips stages that fit on no target, so that a tick with hundreds of
        // waiting stages and full targets stays short.
        if (!required_room(find_step(context, rank.stage_)).fits_in(most_free))
        {
            continue;
        }
        std::size_t const runs = context.runs_.size();
        place_stage(context, rank.stage_, rejected);
        if (context.runs_.size() != runs)
        {
            if (count_reservations(context, rank.stage_) > 0)
            {
                release_reservations(context, rank.stage_);
            }
            most_free = find_most_free(context);
        }
    }
}

} // namespace

void place_tasks(planner& context)
{
    std::vector<stage_rank> const ranks = rank_waiting_stages(context);
    if (!ranks.empty())
    {
        wake_at(context, find_earliest_pause_end(context));
        place_ranked(context, ranks);
    }
    context.ready_at_.erase(context.ready_at_.begin(),
                            context.ready_at_.upper_bound(context.now_));
    if (!context.ready_at_.empty())
    {
        wake_at(context, *context.ready_at_.begin());
    }
    place_copies(context);
}

} // namespace fescuevane::plan
