// Purpose: changes of state of jobs, stages and runs. Internal to the package.
#ifndef FESCUEVANE_PLAN_JOB_FLOW_HPP
#define FESCUEVANE_PLAN_JOB_FLOW_HPP

#include "core/ids.hpp"
#include "core/job_phase.hpp"
#include "core/run_end.hpp"
#include "core/run_key.hpp"
#include "core/step_spec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane
{
struct staged_job;
struct task_progress;
} // namespace fescuevane

namespace fescuevane::plan
{

struct job_row;
struct planner;
struct run_row;
struct stage_row;
struct tasks_delegated;

// Occurrences of a job, at least one.
std::uint32_t count_occurrences(job_row const& job);

// The step of an open stage; its job must have a row.
step_spec const& find_step(planner const& context, stage_key const& key);

// The stage that the tasks belonged to before they were handed to this shard.
stage_key origin_of(job_row const& job, stage_key const& stage);

// Takes note that no question about a stage is in flight any more.
void close_advice_request(planner& context, stage_row& stage);
void close_advice_requests(planner& context, stage_row& stage); // all of them

// Appends the tasks of a stage that have something to tell.
void append_stage_progress(stage_key const& key, stage_row const& stage,
                           std::vector<task_progress>& output);

// This owner's runs of the job have higher numbers. The numbers of a job that
// was handed over begin above those of the shard that it comes from, and each
// owner of this shard has a part of its own there as well.
std::uint32_t find_first_run(planner const& context, staged_job const& job);

// Opens the stages of the next occurrence of a job.
void open_occurrence(planner& context, job_id const& job);

// Marks stages whose predecessors have ended as startable.
void start_successors(planner& context, job_id const& job);

// Orders a run and charges it to target and organisation.
void begin_run(planner& context, run_key const& run, target_id const& target,
               std::string const& ticket);

// Charges a run that a target reported, after a change of owner.
void adopt_run(planner& context, run_key const& run, target_id const& target,
               std::int32_t percent);

// Orders the stop of a run that isn't stopping yet.
void order_stop(planner& context, run_key const& run, char const* why);

// Removes a run and applies its end to task, stage and job.
void end_run(planner& context, run_key const& run, target_id const& target,
             run_end end, std::string const& checkpoint);

// Keeps a run that was judged as over as an attempt whose end may be read yet.
void keep_unreported_end(planner& context, run_key const& run,
                         target_id const& target);

// No end of such runs on the target is awaited any more.
void settle_unreported_ends(planner& context, target_id const& target);

// Takes note of a checkpoint of a task, which counts for its whole gang.
void keep_checkpoint(stage_row& stage, step_spec const& step,
                     std::uint32_t index, std::string const& checkpoint);

// Removes a run without an end: nothing of it has happened.
void discard_run(planner& context, run_key const& run);

// Ends a job: its stages are dropped, its runs are stopped.
void close_job(planner& context, job_id const& job, job_phase phase);

// Marks tasks as handed to another shard, and takes note of what became of
// them.
void delegate_tasks(planner& context, tasks_delegated const& input);
void end_delegate(planner& context, stage_key const& stage,
                  job_id const& delegate, job_phase phase);

// Counts a failure or a stall against a target.
void count_target_failure(planner& context, target_id const& target,
                          job_id const& job);

// Expected run time of one task in milliseconds: that of the ended tasks of its
// stage, else what was learnt of its image.
double expect_run_ms(planner const& context, stage_key const& key);
double expect_step_ms(planner const& context, job_row const& job,
                      std::uint32_t step);

// Name under which run times of a step are learnt.
std::string image_of(job_row const& job, step_spec const& step);

} // namespace fescuevane::plan

#endif
