// Purpose: the context of a planner, its tick and its queries.
//
// Index of sections
//   1. Context
//   2. Ticks
//   3. Progress
//   4. Overflow
//   5. Load
#include "plan/planner.hpp"

#include "core/job_progress.hpp"
#include "plan/job_flow.hpp"
#include "plan/limit_claims.hpp"
#include "plan/load_summary.hpp"
#include "plan/overflow.hpp"
#include "plan/plan.hpp"
#include "plan/rejected_runs.hpp"
#include "plan/room.hpp"
#include "plan/stage_rank.hpp"
#include "plan/stage_view.hpp"
#include "plan/unconfirmed_work.hpp"

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

void post_event(planner& context, event input)
{
    context.inbox_.push_back(std::move(input));
}

std::span<system_entry const> list_systems()
{
    static constexpr std::array<system_entry, 15> systems = {{
        {"apply_events", &apply_events},
        {"open_stages", &open_stages},
        {"count_unseen", &count_unconfirmed},
        {"merge_learnt", &merge_learnt},
        {"estimate_chains", &estimate_critical_paths},
        {"watch_runs", &watch_runs},
        {"pace_fillers", &pace_fillers},
        {"follow_parts", &follow_parts},
        {"claim_limits", &claim_limits},
        {"hold_room", &hold_room},
        {"hold_gangs", &hold_gangs},
        {"request_advice", &request_advice},
        {"place_tasks", &place_tasks},
        {"answer_offers", &answer_offers},
        {"explain_waits", &explain_waits},
    }};
    return systems;
}

void begin_tick(planner& context, instant now, std::int64_t unix_ms)
{
    context.now_ = now;
    context.unix_ms_ = unix_ms;
    context.wake_ = instant::never();
}

void end_tick(planner& context, std::vector<command>& output)
{
    for (command& order : context.outbox_)
    {
        output.push_back(std::move(order));
    }
    context.outbox_.clear();
}

void run_tick(planner& context, instant now, std::int64_t unix_ms,
              std::vector<command>& output)
{
    begin_tick(context, now, unix_ms);
    for (system_entry const& system : list_systems())
    {
        system.run_(context);
    }
    end_tick(context, output);
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

bool is_recovered(planner const& context, job_id const& job)
{
    job_row const* const row = context.jobs_.find(job);
    return row != nullptr && row->recovered_;
}

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

std::optional<queue_policy> find_policy(planner const& context,
                                        job_id const&  job)
{
    job_row const* const      row = context.jobs_.find(job);
    queue_policy const* const queue =
        row == nullptr ? nullptr : find_policy(context, *row->spec_);
    return queue == nullptr ? std::nullopt : std::optional(*queue);
}

job_progress write_progress(planner const& context, job_id const& job)
{
    job_row const& row = *context.jobs_.find(job);
    job_progress   progress{.phase_ = row.phase_};
    if (is_final(row.phase_))
    {
        return progress;
    }
    progress.ended_steps_ = row.ended_steps_;
    progress.done_tasks_ = row.closed_done_;
    for (auto const& [place, tasks] : row.closed_tasks_)
    {
        progress.tasks_.insert(progress.tasks_.end(), tasks.begin(),
                               tasks.end());
    }
    for (auto const& [occurrence, step] : row.open_stages_)
    {
        stage_key const key{job, occurrence, step};
        append_stage_progress(key, *context.stages_.find(key), progress);
    }
    return progress;
}

bool has_runs(planner const& context, job_id const& job)
{
    job_row const* const row = context.jobs_.find(job);
    return row != nullptr && row->runs_ > 0;
}

// 4. Overflow

namespace
{

// A task waits for the time of this many replies of the policy service before
// it moves to another shard.
constexpr std::int64_t overflow_replies = 3;

std::int64_t advice_reply_micros(planner const& context, job_row const& job)
{
    queue_policy const* const queue = find_policy(context, *job.spec_);
    return queue != nullptr && queue->advice_
               ? expect_reply_micros(*queue->advice_, context.targets_.size())
               : 0;
}

// Long-running tasks that have waited this long move to another shard that has
// room, even when work here may end soon or an advice request is in flight.
// Long enough for a reservation here to succeed on most busy shards.
constexpr std::int64_t long_running_move_micros = 4'000'000;

// Tasks of a stage that move to another shard as one job, unless they are a
// gang: the row of that job names each of them.
constexpr std::size_t max_moved_tasks = 500;

// Indices of the tasks that have waited for at least `micros`.
std::vector<std::uint32_t> list_waiting(planner const&       context,
                                        rejected_runs const& rejected,
                                        stage_key const& key, instant now,
                                        std::int64_t micros)
{
    stage_row const&           stage = *context.stages_.find(key);
    std::vector<std::uint32_t> indices;
    for (std::uint32_t index = 0; index < stage.tasks_.size(); ++index)
    {
        task_cell const& task = stage.tasks_[index];
        // An end that is reported later has to count on the shard that has the
        // task.
        if (is_waiting(task) && task.unreported_runs_.empty() &&
            task.waiting_since_.after(micros) <= now &&
            !may_run_rejected(context, rejected, key, index))
        {
            indices.push_back(index);
        }
    }
    return indices;
}

void limit_moved(overflow& tasks)
{
    tasks.indices_.resize(std::min(tasks.indices_.size(), max_moved_tasks));
}

// Time since which all of the tasks have been waiting.
instant find_waiting_since(stage_row const& stage, overflow const& tasks)
{
    instant since;
    for (std::uint32_t const index : tasks.indices_)
    {
        since = std::max(since, stage.tasks_[index].waiting_since_);
    }
    return since;
}

} // namespace

std::int64_t count_handovers(job_id const& job)
{
    return std::count(job.str().begin(), job.str().end(), '~');
}

std::vector<overflow> list_overflow(planner const& context, instant now,
                                    std::int64_t micros)
{
    unconfirmed_work const unseen = find_unconfirmed_work(context);
    rejected_runs const    rejected = find_rejected_runs(context);
    std::vector<overflow>  found;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        if (!stage.startable_ || count_waiting(stage) == 0 ||
            stage.part_ != part_phase::none)
        {
            continue;
        }
        stage_key const& key = context.stages_.key(row);
        job_row const&   job = *context.jobs_.find(key.job_);
        step_spec const& step = job.spec_->steps_[key.step_];
        if (may_have_unreported_end(unseen, job, step))
        {
            continue;
        }
        // Each earlier handover lengthens the wait, so that tasks move less and
        // less.
        std::int64_t const wait = micros * (1 + count_handovers(key.job_));
        overflow           tasks{.stage_ = key, .demand_ = step.demand_};
        tasks.indices_ = list_waiting(context, rejected, key, now, wait);
        if (tasks.indices_.empty())
        {
            continue;
        }
        // Targets without advice count as allowed, so no reply makes a blocked
        // stage startable.
        tasks.blocked_ = is_blocked(context, view_stage(context, key));
        if (!tasks.blocked_ && step.perpetual_ && !step.gang_)
        {
            std::vector<std::uint32_t> overdue = list_waiting(
                context, rejected, key, now, long_running_move_micros);
            if (!overdue.empty())
            {
                tasks.blocked_ = true;
                tasks.indices_ = std::move(overdue);
                limit_moved(tasks);
                found.push_back(std::move(tasks));
                continue;
            }
        }
        // A gang that was divided, or has run before, has had these replies
        // before.
        if (!tasks.blocked_ && (!step.gang_ || stage.gang_run_ == 0))
        {
            tasks.indices_ = stage.asked_ > 0
                                 ? std::vector<std::uint32_t>()
                                 : list_waiting(context, rejected, key, now,
                                                wait + overflow_replies *
                                                           advice_reply_micros(
                                                               context, job));
        }
        if (!step.gang_)
        {
            limit_moved(tasks);
        }
        if (!tasks.indices_.empty() &&
            (!step.gang_ || tasks.indices_.size() == stage.tasks_.size()))
        {
            tasks.since_ = find_waiting_since(stage, tasks);
            found.push_back(std::move(tasks));
        }
    }
    return found;
}

std::optional<overflow> find_waiting(planner const&   context,
                                     stage_key const& key)
{
    stage_row const* const stage = context.stages_.find(key);
    if (stage == nullptr || !stage->startable_)
    {
        return std::nullopt;
    }
    job_row const&   job = *context.jobs_.find(key.job_);
    step_spec const& step = job.spec_->steps_[key.step_];
    overflow         tasks{.stage_ = key, .demand_ = step.demand_};
    tasks.indices_ = list_waiting(context, find_rejected_runs(context), key,
                                  context.now_, 0);
    if (tasks.indices_.empty() ||
        (step.gang_ && tasks.indices_.size() != stage->tasks_.size()) ||
        may_have_unreported_end(find_unconfirmed_work(context), job, step))
    {
        return std::nullopt;
    }
    if (!step.gang_)
    {
        limit_moved(tasks);
    }
    tasks.since_ = find_waiting_since(*stage, tasks);
    tasks.blocked_ = is_blocked(context, view_stage(context, key));
    return tasks;
}

bool is_unstarted(planner const& context, stage_key const& key)
{
    stage_row const* const stage = context.stages_.find(key);
    job_row const* const   job = context.jobs_.find(key.job_);
    if (stage == nullptr || job->recovered_ || stage->gang_run_ != 0 ||
        may_run_rejected(context, find_rejected_runs(context), key))
    {
        return false; // a former owner may have started runs
    }
    std::uint32_t const first = find_first_run(context, *job->spec_);
    return std::all_of(stage->tasks_.begin(), stage->tasks_.end(),
                       [first](task_cell const& task)
                       {
                           return is_waiting(task) && task.last_run_ <= first;
                       });
}

overflow find_delegated(planner const& context, stage_key const& key,
                        job_id const& delegate)
{
    overflow               tasks{.stage_ = key};
    stage_row const* const stage = context.stages_.find(key);
    for (std::uint32_t index = 0;
         stage != nullptr && index < stage->tasks_.size(); ++index)
    {
        task_cell const& task = stage->tasks_[index];
        if (task.delegate_ == delegate && !task.done_)
        {
            tasks.indices_.push_back(index);
            tasks.gang_run_ = task.delegate_run_;
        }
    }
    return tasks;
}

bool is_delegate_finished(planner const& context, stage_key const& key,
                          job_id const& delegate)
{
    if (stage_row const* const stage = context.stages_.find(key))
    {
        return std::none_of(stage->tasks_.begin(), stage->tasks_.end(),
                            [&delegate](task_cell const& task)
                            {
                                return task.delegate_ == delegate &&
                                       !task.done_;
                            });
    }
    // A stage that hasn't been opened yet may still have delegated tasks.
    job_row const* const job = context.jobs_.find(key.job_);
    return job != nullptr && is_opened(*job, key.occurrence_);
}

bool is_task_open(planner const& context, stage_key const& key,
                  std::uint32_t index)
{
    if (stage_row const* const stage = context.stages_.find(key))
    {
        return index < stage->tasks_.size() && !stage->tasks_[index].done_ &&
               stage->tasks_[index].delegate_.empty();
    }
    job_row const* const job = context.jobs_.find(key.job_);
    return job == nullptr ||
           (!is_final(job->phase_) && !is_opened(*job, key.occurrence_));
}

std::shared_ptr<staged_job const> make_delegate(planner const&  context,
                                                overflow const& tasks,
                                                job_id const&   delegate)
{
    stage_key const&  key = tasks.stage_;
    staged_job const& job = *context.jobs_.find(key.job_)->spec_;
    stage_row const&  stage = *context.stages_.find(key);
    step_spec const&  step = job.steps_[key.step_];
    task_alias        alias;
    alias.stage_ = job.alias_ ? job.alias_->stage_ : key;
    alias.gang_run_ = tasks.gang_run_;
    for (std::uint32_t const index : tasks.indices_)
    {
        task_cell const& task = stage.tasks_[index];
        alias.indices_.push_back(job.alias_ ? job.alias_->indices_[index]
                                            : index);
        alias.failures_.push_back(
            task.failures_ +
            static_cast<std::uint32_t>(step.gang_ ? stage.gang_failures_.size()
                                                  : task.failed_runs_.size()));
        alias.checkpoints_.push_back(task.checkpoint_);
        alias.first_run_ =
            std::max({alias.first_run_, task.last_run_, stage.gang_run_});
    }
    if (tasks.gang_run_ != 0)
    {
        // When the delegate is created again, its tasks already have the number
        // of the gang's run.
        alias.first_run_ = tasks.gang_run_ - 1;
    }
    step_spec const only{.count_ =
                             static_cast<std::uint32_t>(alias.indices_.size()),
                         .demand_ = step.demand_,
                         .estimate_ms_ = step.estimate_ms_,
                         .checkpointing_ = step.checkpointing_,
                         .gang_ = step.gang_,
                         .same_rack_ = step.same_rack_,
                         .speculative_ = step.speculative_,
                         .perpetual_ = step.perpetual_,
                         .filler_ = step.filler_,
                         .required_label_ = step.required_label_,
                         .near_rack_ = step.near_rack_,
                         .spread_limit_ = step.spread_limit_,
                         .image_ = step.image_,
                         .latency_target_ms_ = step.latency_target_ms_,
                         .max_unavailable_ = step.max_unavailable_};
    return std::make_shared<staged_job const>(
        staged_job{.id_ = delegate,
                   .organisation_ = job.organisation_,
                   .queue_ = job.queue_,
                   .service_ = job.service_,
                   .payload_ = job.payload_,
                   .steps_ = {only},
                   .accepted_unix_ms_ = job.accepted_unix_ms_,
                   .alias_ = std::move(alias),
                   .policy_ = job.policy_});
}

// 5. Load

resources sum_freed(planner const& context)
{
    constexpr double ms_per_second = 1000;
    constexpr double min_run_ms = 100;
    double           cpu = 0;
    double           memory = 0;
    double           accelerators = 0;
    for (std::size_t row = 0; row < context.runs_.size(); ++row)
    {
        run_row const&   run = context.runs_[row];
        stage_key const& stage = context.runs_.key(row).stage_;
        if (run.lasting_ || !context.stages_.contains(stage))
        {
            continue;
        }
        resources const charge = charged_resources(run.demand_, run.filler_);
        double const    runs_a_second =
            ms_per_second / std::max(min_run_ms, expect_run_ms(context, stage));
        cpu += static_cast<double>(charge.cpu_millis()) * runs_a_second;
        memory += static_cast<double>(charge.memory_mib()) * runs_a_second;
        accelerators +=
            static_cast<double>(charge.accelerators()) * runs_a_second;
    }
    return {static_cast<std::int64_t>(cpu), static_cast<std::int64_t>(memory),
            static_cast<std::int64_t>(accelerators)};
}

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
    std::map<organisation_id, resources> queued;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        if (!stage.startable_)
        {
            continue;
        }
        auto const waiting = count_waiting(stage);
        if (waiting == 0)
        {
            continue;
        }
        std::uint32_t const step = context.stages_.key(row).step_;
        resources const demand = stage.spec_->steps_[step].demand_ * waiting;
        sum.queued_ = sum.queued_ + demand;
        resources& owned = queued[stage.spec_->organisation_];
        owned = owned + demand;
    }
    for (std::size_t row = 0; row < context.organisations_.size(); ++row)
    {
        organisation_row const& organisation = context.organisations_[row];
        organisation_id const&  id = context.organisations_.key(row);
        if (!organisation.limit_.is_zero())
        {
            sum.organisations_.push_back(
                {.organisation_ = id,
                 .used_ = organisation.used_ + organisation.unseen_,
                 .queued_ = queued[id],
                 .claim_ = find_claim(context, id),
                 .unconfirmed_ = organisation.unseen_});
        }
    }
    std::map<queue_id, std::uint32_t> waiting;
    for (job_row const& job : context.jobs_)
    {
        if (job.phase_ == job_phase::pending && !job.spec_->alias_)
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
