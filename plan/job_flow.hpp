// Purpose: state changes of jobs, stages and runs. Internal to the package.
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
struct job_progress;
struct queue_policy;
struct staged_job;
} // namespace fescuevane

namespace fescuevane::plan
{

struct job_row;
struct planner;
struct run_row;
struct stage_row;
struct tasks_delegated;

// Number of occurrences of a job, at least one.
std::uint32_t count_occurrences(job_row const& job);

// The policy of a job's queue: the configured one, or else the one under which
// the job was accepted. Null when neither is known.
queue_policy const* find_policy(planner const& context, staged_job const& job);

// Fails or holds back the tasks of jobs whose limit of attempts was not known.
void apply_attempt_limits(planner& context);

// The step of an open stage; its job must have a row.
step_spec const& find_step(planner const& context, stage_key const& key);

// The stage that the tasks belonged to before they were delegated to this
// shard.
stage_key origin_of(job_row const& job, stage_key const& stage);

// Closes one or all advice requests of a stage that are in flight.
void close_advice_request(planner& context, stage_row& stage);
void close_advice_requests(planner& context, stage_row& stage);

// Adds the progress of those tasks of a stage that are done, delegated, or have
// a failure or a checkpoint.
void append_stage_progress(stage_key const& key, stage_row const& stage,
                           job_progress& output);

// Lower bound of the run numbers of a job: this owner's runs have higher ones.
// The numbers of a delegated job begin above those of the shard that delegated
// it, and each owner of this shard has a range of its own above them.
std::uint32_t find_first_run(planner const& context, staged_job const& job);

// True once the stages of an occurrence were opened, also after they ended.
bool is_opened(job_row const& job, std::uint32_t occurrence);

// True when the tasks of an occurrence may start.
bool is_due(planner const& context, job_row const& job,
            std::uint32_t occurrence);

// Opens those stages of an occurrence that haven't ended. The occurrence must
// not have been opened before.
void open_occurrence(planner& context, job_id const& job,
                     std::uint32_t occurrence);

// Opens the occurrence of a stage that a target or another shard reported, if
// the job has it and it isn't open. A former owner may have opened it earlier.
void open_reported(planner& context, stage_key const& stage);

// Opens occurrences of a timed job that have stored progress: a former owner
// had opened them. Those above the bound of open tasks open later, when they
// are due or reported.
void open_stored(planner& context, job_id const& job,
                 job_progress const& progress);

// Marks stages of an occurrence as startable when it is due and all of their
// predecessors have ended.
void start_successors(planner& context, job_id const& job,
                      std::uint32_t occurrence);

// Completes a job when every occurrence was opened and no stage is open.
void finish_job_if_complete(planner& context, job_id const& job);

// Orders the start of a run and charges it to its target and organisation.
void begin_run(planner& context, run_key const& run, target_id const& target,
               std::string const& ticket);

// Adds and charges a run that a target reported after a change of owner.
void adopt_run(planner& context, run_key const& run, target_id const& target,
               std::int32_t percent);

// Orders the stop of a run unless it is stopping already.
void order_stop(planner& context, run_key const& run, char const* why);

// Removes a run and applies its end to task, stage and job.
void end_run(planner& context, run_key const& run, target_id const& target,
             run_end end, std::string const& checkpoint);

// Records a run that was declared over as an attempt whose end the target may
// still report.
void keep_unreported_end(planner& context, run_key const& run,
                         target_id const& target);

// Stops waiting for the unreported ends of runs on the target.
void settle_unreported_ends(planner& context, target_id const& target);

// Records a checkpoint of a task; for a gang it applies to all of its tasks.
void keep_checkpoint(stage_row& stage, step_spec const& step,
                     std::uint32_t index, std::string const& checkpoint);

// Removes a run that never began, without applying an end.
void discard_run(planner& context, run_key const& run);

// Ends a job: removes its stages and stops its runs.
void close_job(planner& context, job_id const& job, job_phase phase);

// Marks tasks as delegated to another shard, and applies the end of the
// delegate. Returned tasks wait until that end is stored.
void delegate_tasks(planner& context, tasks_delegated const& input);
void end_delegate(planner& context, stage_key const& stage,
                  job_id const& delegate, job_phase phase);
void release_returned_tasks(planner& context, stage_key const& stage,
                            job_id const& delegate);

// Counts a failure or a stall of a job against a target.
void count_target_failure(planner& context, target_id const& target,
                          job_id const& job);

// Expected run time of one task in milliseconds: the mean of the ended tasks of
// its stage, or else the prediction for its image.
double expect_run_ms(planner const& context, stage_key const& key);
double expect_step_ms(planner const& context, job_row const& job,
                      std::uint32_t step);

// The declared run time of a task, or a default.
double declared_ms(step_spec const& step);

// True for runs whose whole run time is known once they have ended.
bool is_sample(run_row const& run);

// Key of the run time model of a step: its image, or its queue when it has
// none.
std::string image_of(job_row const& job, step_spec const& step);

} // namespace fescuevane::plan

#endif
