// Purpose: changes of state of jobs, stages and runs.
//
// Index of sections
//   1. Jobs and stages
//   2. Runs
//   3. Ends of runs
//   4. Delegated tasks
//   5. Estimates and target failures
#include "plan/job_flow.hpp"

#include "core/attempt_count.hpp"
#include "core/job_progress.hpp"
#include "plan/learn_run_times.hpp"
#include "plan/parts.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/tasks_delegated.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace fescuevane::plan
{
namespace
{

// Run time assumed for steps with a declared estimate of zero, since ranking
// needs one.
constexpr double default_run_ms = 1000;

// Weight of the newest sample in the moving average of a target's speed.
constexpr double newest_sample_weight = 0.3;

// Samples of a target's speed are clamped to this range, so that a single
// outlier can't rule the target out.
constexpr double min_speed = 0.1;
constexpr double max_speed = 4;

// At most one in this many targets is on probation at once: when more of them
// fail, the jobs rather than the targets are at fault.
constexpr std::size_t probation_divisor = 3;

void log_note(planner& context, std::string what, run_key const& run,
              target_id const& target, std::string why)
{
    context.outbox_.push_back(
        note{std::move(what), run, target, std::move(why)});
}

// Indexed by `run_end`.
constexpr std::array<char const*, 7> end_names = {
    "done", "failed", "stopped", "lapsed", "broken", "alone", "lost"};

} // namespace

// 1. Jobs and stages

void close_advice_request(planner& context, stage_row& stage)
{
    if (stage.asked_ > 0)
    {
        --stage.asked_;
        --(stage.requested_long_ ? context.long_requests_
                                 : context.short_requests_);
        if (stage.turn_requests_ > 0)
        {
            --stage.turn_requests_;
            --context.turn_requests_;
        }
    }
}

void close_advice_requests(planner& context, stage_row& stage)
{
    while (stage.asked_ > 0)
    {
        close_advice_request(context, stage);
    }
}

std::uint32_t count_occurrences(job_row const& job)
{
    return std::max<std::uint32_t>(1, job.spec_->repeat_count_);
}

queue_policy const* find_policy(planner const& context, staged_job const& job)
{
    queue_policy const* const queue = context.queues_.find(job.queue_);
    return queue == nullptr && job.policy_ ? &job.policy_->queue_ : queue;
}

step_spec const& find_step(planner const& context, stage_key const& key)
{
    return context.jobs_.find(key.job_)->spec_->steps_[key.step_];
}

stage_key origin_of(job_row const& job, stage_key const& stage)
{
    return job.spec_->alias_ ? job.spec_->alias_->stage_ : stage;
}

void append_stage_progress(stage_key const& key, stage_row const& stage,
                           job_progress& output)
{
    for (std::uint32_t index = 0; index < stage.tasks_.size(); ++index)
    {
        task_cell const& task = stage.tasks_[index];
        auto const&      failed = stage.gang_failures_.empty() || index != 0
                                      ? task.failed_runs_
                                      : stage.gang_failures_;
        if (task.done_)
        {
            output.done_tasks_[{key.occurrence_, key.step_}] += index;
        }
        if (!task.delegate_.empty() ||
            (!task.done_ && (!failed.empty() || !task.checkpoint_.empty())))
        {
            output.tasks_.push_back(
                {.occurrence_ = key.occurrence_,
                 .step_ = key.step_,
                 .index_ = index,
                 .done_ = task.done_,
                 .last_run_ = task.last_run_,
                 .failed_runs_ = failed,
                 .checkpoint_ = task.done_ ? "" : task.checkpoint_,
                 .delegate_ = task.delegate_,
                 .gang_run_ = task.delegate_run_});
        }
    }
}

namespace
{

// Stored or delegated progress may hold different checkpoints for the tasks of
// a gang, which have to resume from the same one.
void share_checkpoint(std::vector<task_cell>& tasks)
{
    auto const known = std::find_if(tasks.begin(), tasks.end(),
                                    [](task_cell const& task)
                                    {
                                        return !task.checkpoint_.empty();
                                    });
    if (known == tasks.end())
    {
        return;
    }
    std::string const checkpoint = known->checkpoint_;
    for (task_cell& task : tasks)
    {
        task.checkpoint_ = checkpoint;
    }
}

} // namespace

std::uint32_t find_first_run(planner const& context, staged_job const& job)
{
    if (is_part(job))
    {
        return job.alias_->gang_run_ - 1;
    }
    return context.settings_.run_base_ +
           (job.alias_ ? job.alias_->first_run_ : 0);
}

bool is_opened(job_row const& job, std::uint32_t occurrence)
{
    return occurrence < job.next_occurrence_ ||
           job.opened_early_.contains(occurrence);
}

bool is_due(planner const& context, job_row const& job,
            std::uint32_t occurrence)
{
    staged_job const& spec = *job.spec_;
    return spec.repeat_count_ == 0 ||
           spec.first_due_unix_ms_ + spec.interval_ms_ * occurrence -
                   context.settings_.early_start_ms_ <=
               context.unix_ms_;
}

namespace
{

bool has_ended(job_row const& job, std::uint32_t occurrence, std::uint32_t step)
{
    auto const ended = job.ended_steps_.find(step);
    return ended != job.ended_steps_.end() &&
           boost::icl::contains(ended->second, occurrence);
}

std::vector<task_cell> make_tasks(planner const& context, job_row const& job,
                                  step_spec const& spec)
{
    std::vector<task_cell> tasks(spec.count_);
    for (std::uint32_t index = 0; index < spec.count_; ++index)
    {
        task_cell& task = tasks[index];
        task.last_run_ = find_first_run(context, *job.spec_);
        task.waiting_since_ = context.now_;
        if (job.spec_->alias_)
        {
            task_alias const& alias = *job.spec_->alias_;
            task.failures_ = alias.failures_.at(index);
            task.checkpoint_ = alias.checkpoints_.at(index);
        }
    }
    return tasks;
}

void restore_task(stage_row& stage, task_cell& task, bool is_gang,
                  task_progress const& known)
{
    task.done_ = task.done_ || known.done_;
    task.last_run_ = std::max(task.last_run_, known.last_run_);
    task.checkpoint_ = known.checkpoint_;
    task.delegate_ = known.delegate_;
    task.delegate_run_ = known.gang_run_;
    // Failures of a gang are stored with its first task only.
    if (!known.failed_runs_.empty())
    {
        (is_gang ? stage.gang_failures_ : task.failed_runs_) =
            known.failed_runs_;
    }
}

// Moves the stored progress of a stage into its tasks.
void restore_progress(job_row& job, stage_key const& key, stage_row& stage,
                      std::vector<task_cell>& tasks)
{
    std::pair const place(key.occurrence_, key.step_);
    if (auto const done = job.closed_done_.extract(place))
    {
        for (auto const& range : done.mapped())
        {
            for (std::size_t index = range.lower();
                 index < std::min<std::size_t>(range.upper(), tasks.size());
                 ++index)
            {
                tasks[index].done_ = true;
            }
        }
    }
    if (auto const stored = job.closed_tasks_.extract(place))
    {
        bool const is_gang = job.spec_->steps_[key.step_].gang_;
        for (task_progress const& known : stored.mapped())
        {
            if (known.index_ < tasks.size())
            {
                restore_task(stage, tasks[known.index_], is_gang, known);
            }
        }
    }
    stage.done_ =
        static_cast<std::uint32_t>(std::count_if(tasks.begin(), tasks.end(),
                                                 [](task_cell const& task)
                                                 {
                                                     return task.done_;
                                                 }));
}

// A later owner has to end the delegates of tasks that were reported as done
// after they were delegated.
void keep_delegated(job_row& job, stage_key const& key, stage_row const& stage)
{
    job_progress progress;
    append_stage_progress(key, stage, progress);
    if (!progress.tasks_.empty())
    {
        job.closed_tasks_[{key.occurrence_, key.step_}] =
            std::move(progress.tasks_);
    }
}

void open_stage(planner& context, stage_key const& key)
{
    job_row& job = *context.jobs_.find(key.job_);
    if (has_ended(job, key.occurrence_, key.step_))
    {
        return;
    }
    step_spec const&       spec = job.spec_->steps_[key.step_];
    std::vector<task_cell> tasks = make_tasks(context, job, spec);
    stage_row              stage;
    stage.spec_ = job.spec_;
    restore_progress(job, key, stage, tasks);
    if (spec.gang_)
    {
        share_checkpoint(tasks);
    }
    stage.tasks_ = task_list(std::move(tasks));
    if (stage.done_ == spec.count_)
    {
        // Rows of earlier versions list each task of an ended stage.
        keep_delegated(job, key, stage);
        job.ended_steps_[key.step_] += key.occurrence_;
        return;
    }
    context.stages_.ensure(key) = std::move(stage);
    job.open_stages_.emplace(key.occurrence_, key.step_);
    job.open_tasks_ += spec.count_;
}

} // namespace

void open_occurrence(planner& context, job_id const& id,
                     std::uint32_t occurrence)
{
    std::size_t const steps = context.jobs_.find(id)->spec_->steps_.size();
    for (std::uint32_t step = 0; step < steps; ++step)
    {
        open_stage(context, {id, occurrence, step});
    }
    start_successors(context, id, occurrence);
}

void open_reported(planner& context, stage_key const& stage)
{
    job_row* const job = context.jobs_.find(stage.job_);
    if (job != nullptr && !is_final(job->phase_) &&
        stage.occurrence_ < count_occurrences(*job) &&
        !is_opened(*job, stage.occurrence_))
    {
        job->opened_early_.insert(stage.occurrence_);
        open_occurrence(context, stage.job_, stage.occurrence_);
    }
}

void start_successors(planner& context, job_id const& id,
                      std::uint32_t occurrence)
{
    if (context.offers_.contains(id))
    {
        return; // its tasks still belong to another shard
    }
    job_row const& job = *context.jobs_.find(id);
    if (!is_due(context, job, occurrence))
    {
        return;
    }
    for (auto place = job.open_stages_.lower_bound({occurrence, 0});
         place != job.open_stages_.end() && place->first == occurrence; ++place)
    {
        stage_row& stage =
            *context.stages_.find({id, occurrence, place->second});
        if (stage.startable_)
        {
            continue;
        }
        auto const& after = job.spec_->steps_[place->second].after_;
        stage.startable_ = std::none_of(
            after.begin(), after.end(),
            [&](std::uint32_t before)
            {
                return job.open_stages_.contains({occurrence, before});
            });
        stage.tasks_.change_all(
            [&context](task_cell& task)
            {
                task.waiting_since_ = context.now_;
            });
    }
}

void finish_job_if_complete(planner& context, job_id const& id)
{
    job_row const& job = *context.jobs_.find(id);
    if (job.open_stages_.empty() &&
        job.next_occurrence_ == count_occurrences(job))
    {
        close_job(context, id, job_phase::completed);
    }
}

namespace
{

// Removes a stage from the tables.
void remove_stage(planner& context, job_row& job, stage_key const& key)
{
    close_advice_requests(context, *context.stages_.find(key));
    context.stages_.remove(key);
    job.open_stages_.erase({key.occurrence_, key.step_});
    job.open_tasks_ -= job.spec_->steps_[key.step_].count_;
}

void close_stage(planner& context, stage_key const& stage)
{
    stage_key const key = stage; // the argument may belong to a removed row
    job_row&        job = *context.jobs_.find(key.job_);
    keep_delegated(job, key, *context.stages_.find(key));
    job.ended_steps_[key.step_] += key.occurrence_;
    remove_stage(context, job, key);
    start_successors(context, key.job_, key.occurrence_);
    finish_job_if_complete(context, key.job_);
}

std::vector<run_key> list_runs(planner const& context, job_id const& job)
{
    std::vector<run_key> runs;
    for (std::size_t const row : context.runs_.of_job(job))
    {
        runs.push_back(context.runs_.key(row));
    }
    return runs;
}

} // namespace

void close_job(planner& context, job_id const& id, job_phase phase)
{
    job_row& job = *context.jobs_.find(id);
    if (is_final(job.phase_))
    {
        return;
    }
    job.phase_ = phase;
    while (!job.open_stages_.empty())
    {
        auto const [occurrence, step] = *job.open_stages_.begin();
        remove_stage(context, job, {id, occurrence, step});
    }
    job.ended_steps_.clear();
    job.closed_tasks_.clear();
    job.closed_done_.clear();
    for (run_key const& run : list_runs(context, id))
    {
        order_stop(context, run, "job ended");
    }
    context.outbox_.push_back(job_changed{id});
}

// 2. Runs

namespace
{

void charge_run(planner& context, run_row const& run, int sign)
{
    resources const charge = charged_resources(run.demand_, run.filler_);
    if (target_row* const target = context.targets_.find(run.target_))
    {
        target->used_ = target->used_ + charge * sign;
        if (run.lasting_)
        {
            target->lasting_ = target->lasting_ + charge * sign;
        }
        target->serving_ += run.latency_target_ms_ > 0 ? sign : 0;
        target->fillers_ += run.filler_ ? sign : 0;
    }
    organisation_row& owner = context.organisations_.ensure(run.organisation_);
    owner.used_ = owner.used_ + run.demand_ * sign;
    if (run.lasting_)
    {
        owner.lasting_ = owner.lasting_ + run.demand_ * sign;
    }
}

void append_run(planner& context, run_key const& key, target_id const& target)
{
    job_row&         job = *context.jobs_.find(key.stage_.job_);
    step_spec const& step = job.spec_->steps_[key.stage_.step_];
    stage_row&       stage = *context.stages_.find(key.stage_);
    task_cell const& task = stage.tasks_[key.index_];
    run_row          run;
    run.target_ = target;
    run.origin_ = origin_of(job, key.stage_);
    run.organisation_ = job.spec_->organisation_;
    run.demand_ = step.demand_;
    run.filler_ = step.filler_;
    run.lasting_ = step.perpetual_;
    run.speculative_ = step.speculative_;
    run.resumed_ = !task.checkpoint_.empty();
    run.latency_target_ms_ = step.latency_target_ms_;
    run.image_ = image_of(job, step);
    run.started_at_ = context.now_;
    run.progressed_at_ = context.now_;
    run.base_percent_ = run.resumed_ ? -1 : 0;
    run.base_at_ = context.now_;
    context.runs_.insert(key, run);
    charge_run(context, run, 1);
    stage.tasks_.change(key.index_,
                        [&key](task_cell& started)
                        {
                            ++started.runs_;
                            started.last_run_ =
                                std::max(started.last_run_, key.run_);
                        });
    if (step.gang_)
    {
        stage.gang_run_ = std::max(stage.gang_run_, key.run_);
    }
    ++job.runs_;
    if (job.phase_ == job_phase::pending)
    {
        job.phase_ = job_phase::running;
    }
}

// Removes a run and its charges from the tables. Returns false when there is no
// such run.
bool remove_run(planner& context, run_key const& key)
{
    run_row const* const run = context.runs_.find(key);
    if (run == nullptr)
    {
        return false;
    }
    charge_run(context, *run, -1);
    context.runs_.remove(key);
    if (job_row* const job = context.jobs_.find(key.stage_.job_))
    {
        --job->runs_;
    }
    if (stage_row* const stage = context.stages_.find(key.stage_))
    {
        stage->tasks_.change(key.index_,
                             [&context](task_cell& task)
                             {
                                 --task.runs_;
                                 task.waiting_since_ = context.now_;
                             });
    }
    return true;
}

void stop_stage_runs(planner& context, stage_key const& stage, char const* why)
{
    for (run_key const& run : list_runs(context, stage.job_))
    {
        if (run.stage_ == stage)
        {
            order_stop(context, run, why);
        }
    }
}

} // namespace

void begin_run(planner& context, run_key const& key, target_id const& target,
               std::string const& ticket)
{
    append_run(context, key, target);
    job_row const&   job = *context.jobs_.find(key.stage_.job_);
    task_cell const& task =
        context.stages_.find(key.stage_)->tasks_[key.index_];
    context.outbox_.push_back(start_run{.run_ = key,
                                        .target_ = target,
                                        .job_ = job.spec_,
                                        .checkpoint_ = task.checkpoint_,
                                        .ticket_ = ticket});
}

void adopt_run(planner& context, run_key const& key, target_id const& target,
               std::int32_t percent)
{
    append_run(context, key, target);
    run_state& run = *context.runs_.find_state(key);
    run.phase_ = run_phase::running;
    run.base_percent_ = percent;
    run.base_at_ = context.now_;
    run.percent_ = percent;
}

void order_stop(planner& context, run_key const& key, char const* why)
{
    run_row const* const run = context.runs_.find(key);
    if (run == nullptr || run->phase_ == run_phase::stopping)
    {
        return;
    }
    context.runs_.find_state(key)->phase_ = run_phase::stopping;
    context.outbox_.push_back(stop_run{key, run->target_});
    log_note(context, "stop", key, run->target_, why);
}

// A checkpoint of any task is valid for the whole gang, and all tasks have to
// resume from the same one.
void keep_checkpoint(stage_row& stage, step_spec const& step,
                     std::uint32_t index, std::string const& checkpoint)
{
    if (checkpoint.empty() || stage.tasks_[index].checkpoint_ == checkpoint)
    {
        return;
    }
    auto const keep = [&checkpoint](task_cell& task)
    {
        task.checkpoint_ = checkpoint;
    };
    if (step.gang_)
    {
        stage.tasks_.change_all(keep);
    }
    else
    {
        stage.tasks_.change(index, keep);
    }
}

void discard_run(planner& context, run_key const& key)
{
    if (!remove_run(context, key))
    {
        return;
    }
    job_row const* const job = context.jobs_.find(key.stage_.job_);
    if (job != nullptr && context.stages_.contains(key.stage_) &&
        find_step(context, key.stage_).gang_)
    {
        stop_stage_runs(context, key.stage_,
                        "another run of the gang never began");
    }
}

// 3. Ends of runs

namespace
{

// Arguments of `end_effects`, which apply the end of a run to an open stage.
struct end_context
{
    run_key const&   key_;
    step_spec const& step_;
    target_id const& target_;
};

// Stops the other runs of a speculative task.
void stop_copies(planner& context, stage_key const& stage, std::uint32_t index)
{
    for (run_key const& run : list_runs(context, stage.job_))
    {
        if (run.stage_ == stage && run.index_ == index)
        {
            order_stop(context, run, "another run of the task is done");
        }
    }
}

void mark_done(planner& context, end_context const& at)
{
    stage_row& stage = *context.stages_.find(at.key_.stage_);
    if (at.step_.perpetual_)
    {
        return; // a long-running task is started again
    }
    if (at.step_.gang_)
    {
        stage.tasks_.change_all(
            [](task_cell& task)
            {
                task.done_ = true;
            });
        stage.done_ = at.step_.count_;
    }
    else
    {
        task_cell const& task = stage.tasks_[at.key_.index_];
        if (task.done_)
        {
            return;
        }
        stage.tasks_.change(at.key_.index_,
                            [](task_cell& ended)
                            {
                                ended.done_ = true;
                            });
        ++stage.done_;
        stop_copies(context, at.key_.stage_, at.key_.index_);
    }
    context.outbox_.push_back(job_changed{at.key_.stage_.job_});
    if (stage.done_ == at.step_.count_)
    {
        close_stage(context, at.key_.stage_);
    }
}

// Returns false when the failure was counted before.
bool add_failure(std::vector<std::uint32_t>& failed, std::uint32_t run)
{
    bool const is_new =
        std::find(failed.begin(), failed.end(), run) == failed.end();
    if (is_new)
    {
        failed.push_back(run);
    }
    return is_new;
}

// While the limit isn't known, a task may have had its last attempt, and a job
// that is failed can't be taken back. Such a task waits.
bool awaits_limit(planner const& context, job_row const& job,
                  std::size_t attempts)
{
    return attempts > 0 && find_policy(context, *job.spec_) == nullptr;
}

attempt_count count_attempts(planner const& context, run_key const& key)
{
    stage_row const&          stage = *context.stages_.find(key.stage_);
    task_cell const&          task = stage.tasks_[key.index_];
    job_row const&            job = *context.jobs_.find(key.stage_.job_);
    queue_policy const* const queue = find_policy(context, *job.spec_);
    std::size_t const         failed = find_step(context, key.stage_).gang_
                                           ? stage.gang_failures_.size()
                                           : task.failed_runs_.size();
    return {.failed_ = static_cast<std::uint32_t>(failed) + task.failures_,
            .unread_ = static_cast<std::uint32_t>(task.unreported_runs_.size()),
            .limit_ = queue == nullptr
                          ? std::numeric_limits<std::uint32_t>::max()
                          : std::max<std::uint32_t>(1, queue->max_attempts_)};
}

// Keeps the task from starting while its unreported ends may be its last
// failures, and fails the job after the last one.
void apply_attempt_limit(planner& context, run_key const& key,
                         target_id const& target)
{
    stage_row& stage = *context.stages_.find(key.stage_);
    if (find_step(context, key.stage_).perpetual_ ||
        stage.tasks_[key.index_].done_)
    {
        return;
    }
    attempt_count const attempts = count_attempts(context, key);
    if (stage.part_ != part_phase::none)
    {
        return; // the shard that owns the gang counts its attempts
    }
    bool const held =
        (attempts.unread_ > 0 && !may_start(attempts)) ||
        awaits_limit(context, *context.jobs_.find(key.stage_.job_),
                     attempts.failed_ + attempts.unread_);
    auto const hold = [held](task_cell& task)
    {
        task.held_ = held;
    };
    stage.tasks_.change(key.index_, hold);
    if (is_used_up(attempts))
    {
        log_note(context, "give up", key, target,
                 std::to_string(attempts.failed_) + " runs failed");
        close_job(context, key.stage_.job_, job_phase::failed);
    }
}

} // namespace

void apply_attempt_limits(planner& context)
{
    std::vector<run_key> tasks;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        stage_key const& key = context.stages_.key(row);
        if (stage.spec_->policy_ || context.offers_.contains(key.job_))
        {
            continue; // its limit was known all the time
        }
        for (std::uint32_t index = 0; index < stage.tasks_.size(); ++index)
        {
            task_cell const& task = stage.tasks_[index];
            if (task.held_ || !task.failed_runs_.empty() ||
                task.failures_ > 0 ||
                (index == 0 && !stage.gang_failures_.empty()))
            {
                tasks.push_back({key, index, task.last_run_});
            }
        }
    }
    for (run_key const& task : tasks)
    {
        if (context.stages_.contains(task.stage_))
        {
            apply_attempt_limit(context, task, {});
        }
    }
}

namespace
{

void mark_failed(planner& context, end_context const& at)
{
    stage_row& stage = *context.stages_.find(at.key_.stage_);
    count_target_failure(context, at.target_, at.key_.stage_.job_);
    bool is_new = false;
    stage.tasks_.change(at.key_.index_,
                        [&](task_cell& failed)
                        {
                            failed.failed_on_ = at.target_;
                            is_new = add_failure(at.step_.gang_
                                                     ? stage.gang_failures_
                                                     : failed.failed_runs_,
                                                 at.key_.run_);
                        });
    if (!is_new)
    {
        return;
    }
    context.outbox_.push_back(job_changed{at.key_.stage_.job_});
    apply_attempt_limit(context, at.key_, at.target_);
}

void mark_interrupted(planner& /*context*/, end_context const& /*at*/) {}

// Removes an unreported end: it was reported or is no longer awaited. Returns
// false when the run had none.
bool drop_unreported_end(planner& context, run_key const& key,
                         target_id const& target)
{
    target_row* const row = context.targets_.find(target);
    if (row == nullptr || row->unreported_.erase(key) == 0)
    {
        return false;
    }
    stage_row* const stage = context.stages_.find(key.stage_);
    if (stage != nullptr && key.index_ < stage->tasks_.size())
    {
        stage->tasks_.change(key.index_,
                             [&key](task_cell& task)
                             {
                                 std::erase(task.unreported_runs_, key.run_);
                             });
    }
    return true;
}

// Indexed by `run_end`.
constexpr std::array<void (*)(planner&, end_context const&), 7> end_effects = {
    &mark_done,        &mark_failed,      &mark_interrupted, &mark_interrupted,
    &mark_interrupted, &mark_interrupted, &mark_interrupted};

void learn_run_time(planner& context, run_key const& key, run_row const& run)
{
    step_spec const& step = find_step(context, key.stage_);
    if (!is_sample(run) || step.perpetual_)
    {
        return;
    }
    double const ran_ms =
        static_cast<double>(run.started_at_.remaining_until(context.now_)) /
        micros_per_milli;
    learn_from_run(context, key, run, ran_ms);
    image_row&        image = context.images_.ensure(run.image_);
    stage_row&        stage = *context.stages_.find(key.stage_);
    target_row* const target = context.targets_.find(run.target_);
    if (target != nullptr && stage.samples_ > 0)
    {
        double const speed = std::clamp(stage.ran_ms_ / std::max(ran_ms, 1.0),
                                        min_speed, max_speed);
        target->speed_ += newest_sample_weight * (speed - target->speed_);
    }
    stage.samples_ += 1;
    stage.ran_ms_ += (ran_ms - stage.ran_ms_) / stage.samples_;
    stage.log_ran_ += std::log(std::max(ran_ms, 1.0));
    learn_sample(image, declared_ms(step), ran_ms);
}

} // namespace

void end_run(planner& context, run_key const& key, target_id const& target,
             run_end end, std::string const& checkpoint)
{
    if (target_row* const row = context.targets_.find(target))
    {
        row->unknown_runs_.erase(key);
        if (end == run_end::done)
        {
            row->failed_jobs_.clear();
        }
    }
    run_row const* const run = context.runs_.find(key);
    if (run != nullptr && run->target_ != target)
    {
        return;
    }
    job_row const* const   job = context.jobs_.find(key.stage_.job_);
    stage_row const* const open = context.stages_.find(key.stage_);
    bool const             known =
        job != nullptr && open != nullptr && key.index_ < open->tasks_.size();
    if (known && run != nullptr && end == run_end::done)
    {
        learn_run_time(context, key, *run);
    }
    remove_run(context, key);
    bool const was_unreported = drop_unreported_end(context, key, target);
    if (!known || is_final(job->phase_))
    {
        return;
    }
    step_spec const& step = find_step(context, key.stage_);
    stage_row&       stage = *context.stages_.find(key.stage_);
    if (step.perpetual_)
    {
        log_note(context, "lasting_run_ended", key, target,
                 end_names.at(static_cast<std::size_t>(end)));
    }
    keep_checkpoint(stage, step, key.index_, checkpoint);
    stage.tasks_.change(key.index_,
                        [&key](task_cell& task)
                        {
                            task.last_run_ = std::max(task.last_run_, key.run_);
                        });
    if (end == run_end::lost)
    {
        // A target that lost a run may lose the next one as well.
        stage.tasks_.change(key.index_,
                            [&target](task_cell& task)
                            {
                                task.failed_on_ = target;
                            });
    }
    if (step.gang_ && end != run_end::done)
    {
        stop_stage_runs(context, key.stage_,
                        "another run of the gang ended early");
    }
    end_effects.at(static_cast<std::size_t>(end))(context, {key, step, target});
    if (was_unreported && context.stages_.contains(key.stage_))
    {
        apply_attempt_limit(context, key, target);
    }
}

void keep_unreported_end(planner& context, run_key const& key,
                         target_id const& target)
{
    target_row* const row = context.targets_.find(target);
    stage_row* const  stage = context.stages_.find(key.stage_);
    if (row == nullptr || stage == nullptr ||
        key.index_ >= stage->tasks_.size() ||
        find_step(context, key.stage_).perpetual_)
    {
        return;
    }
    row->unreported_.insert(key);
    stage->tasks_.change(key.index_,
                         [&key](task_cell& task)
                         {
                             task.unreported_runs_.push_back(key.run_);
                         });
    apply_attempt_limit(context, key, target);
}

void settle_unreported_ends(planner& context, target_id const& target)
{
    target_row const* const row = context.targets_.find(target);
    if (row == nullptr)
    {
        return;
    }
    std::set<run_key> const unreported = row->unreported_;
    for (run_key const& key : unreported)
    {
        drop_unreported_end(context, key, target);
        stage_row const* const stage = context.stages_.find(key.stage_);
        if (stage != nullptr && key.index_ < stage->tasks_.size())
        {
            log_note(context, "attempt_settled", key, target,
                     "its end is no longer awaited");
            apply_attempt_limit(context, key, target);
        }
    }
}

// 4. Delegated tasks

void delegate_tasks(planner& context, tasks_delegated const& input)
{
    stage_row* const stage = context.stages_.find(input.stage_);
    if (stage == nullptr)
    {
        return;
    }
    stage->gang_run_ = std::max(stage->gang_run_, input.gang_run_);
    for (std::uint32_t const index : input.indices_)
    {
        stage->tasks_.change(index,
                             [&input](task_cell& task)
                             {
                                 task.delegate_ = input.delegate_;
                                 task.delegate_run_ = input.gang_run_;
                                 task.last_run_ =
                                     std::max(task.last_run_, input.gang_run_);
                             });
    }
    context.outbox_.push_back(job_changed{input.stage_.job_});
}

namespace
{

// The completion of one part completes all tasks of the gang, and the failure
// of one part is one failed attempt of the gang.
void end_part_of_gang(planner& context, stage_key const& key, std::uint32_t run,
                      job_phase phase)
{
    stage_row& stage = *context.stages_.find(key);
    if (phase == job_phase::completed)
    {
        stage.tasks_.change_all(
            [](task_cell& task)
            {
                task.done_ = true;
            });
        stage.done_ = static_cast<std::uint32_t>(stage.tasks_.size());
        close_stage(context, key);
    }
    else if (phase == job_phase::failed &&
             add_failure(stage.gang_failures_, run))
    {
        apply_attempt_limit(context, {key, 0, run}, {});
    }
}

// Removes the delegate of tasks of an ended stage.
void drop_closed_delegate(planner& context, stage_key const& key,
                          job_id const& delegate)
{
    job_row* const job = context.jobs_.find(key.job_);
    if (job == nullptr)
    {
        return;
    }
    auto const tasks = job->closed_tasks_.find({key.occurrence_, key.step_});
    if (tasks == job->closed_tasks_.end())
    {
        return;
    }
    std::erase_if(tasks->second,
                  [&delegate](task_progress const& task)
                  {
                      return task.delegate_ == delegate;
                  });
    if (tasks->second.empty())
    {
        job->closed_tasks_.erase(tasks);
    }
    context.outbox_.push_back(job_changed{key.job_});
}

} // namespace

void end_delegate(planner& context, stage_key const& key,
                  job_id const& delegate, job_phase phase)
{
    open_reported(context, key);
    stage_row* const stage = context.stages_.find(key);
    if (stage == nullptr)
    {
        drop_closed_delegate(context, key, delegate);
        return;
    }
    std::uint32_t gang_run = 0; // 0: not a part of a gang
    bool          found = false;
    bool          open = false;
    stage->tasks_.change_all(
        [&](task_cell& task)
        {
            if (task.delegate_ != delegate)
            {
                return;
            }
            found = true;
            gang_run = std::exchange(task.delegate_run_, 0);
            task.delegate_ = job_id();
            if (task.done_)
            {
                return; // its end was reported after it was delegated
            }
            open = true;
            task.waiting_since_ = context.now_;
            if (phase == job_phase::completed && gang_run == 0)
            {
                task.done_ = true;
                ++stage->done_;
                return;
            }
            task.ended_delegate_ = delegate;
        });
    if (!found)
    {
        return;
    }
    context.outbox_.push_back(job_changed{key.job_});
    if (gang_run != 0)
    {
        end_part_of_gang(context, key, gang_run, phase);
        return;
    }
    if (open && phase == job_phase::failed)
    {
        close_job(context, key.job_, job_phase::failed);
    }
    else if (stage->done_ == stage->tasks_.size())
    {
        close_stage(context, key);
    }
}

void release_returned_tasks(planner& context, stage_key const& key,
                            job_id const& delegate)
{
    if (stage_row* const stage = context.stages_.find(key))
    {
        stage->tasks_.change_all(
            [&delegate](task_cell& task)
            {
                if (task.ended_delegate_ == delegate)
                {
                    task.ended_delegate_ = job_id();
                }
            });
    }
}

// 5. Estimates and target failures

double declared_ms(step_spec const& step)
{
    return step.estimate_ms_ > 0 ? static_cast<double>(step.estimate_ms_)
                                 : default_run_ms;
}

bool is_sample(run_row const& run)
{
    return run.base_percent_ == 0 && !run.resumed_ && !run.filler_;
}

std::string image_of(job_row const& job, step_spec const& step)
{
    return step.image_.empty() ? job.spec_->queue_.str() : step.image_;
}

double expect_run_ms(planner const& context, stage_key const& key)
{
    if (uses_shared_run_times(context))
    {
        return estimate_stage(context, key).median_ms_;
    }
    stage_row const* const stage = context.stages_.find(key);
    if (stage != nullptr && stage->samples_ > 0)
    {
        return stage->ran_ms_;
    }
    return expect_step_ms(context, *context.jobs_.find(key.job_), key.step_);
}

double expect_step_ms(planner const& context, job_row const& job,
                      std::uint32_t step)
{
    if (uses_shared_run_times(context))
    {
        return estimate_step(context, job, step).median_ms_;
    }
    step_spec const&       spec = job.spec_->steps_[step];
    image_row const* const image = context.images_.find(image_of(job, spec));
    return image == nullptr ? declared_ms(spec)
                            : predict_ms(*image, declared_ms(spec));
}

void count_target_failure(planner& context, target_id const& id,
                          job_id const& job)
{
    target_row* const target = context.targets_.find(id);
    if (target == nullptr)
    {
        return;
    }
    target->failed_jobs_.insert(job);
    auto const on_probation = static_cast<std::size_t>(
        std::count_if(context.targets_.begin(), context.targets_.end(),
                      [&](target_row const& row)
                      {
                          return row.probation_until_ > context.now_;
                      }));
    if (target->failed_jobs_.size() >= context.settings_.probation_failures_ &&
        on_probation < context.targets_.size() / probation_divisor)
    {
        target->probation_until_ =
            context.now_.after(context.settings_.probation_micros_);
        log_note(context, "probation", {{job, 0, 0}, 0, 0}, id,
                 std::to_string(target->failed_jobs_.size()) +
                     " jobs failed on this target without a success");
    }
}

} // namespace fescuevane::plan
