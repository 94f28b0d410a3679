// Purpose: scheduling of staged jobs on the targets of one shard. The caller
// owns a `planner`, posts events, runs ticks and carries out the commands. No
// I/O, clock or threads: the same events at the same instants give the same
// commands.
//
// Index of sections
//   1. Context
//   2. Input and output
//   3. Ticks
//   4. Queries
//   5. Admission
#ifndef FESCUEVANE_PLAN_PLAN_HPP
#define FESCUEVANE_PLAN_PLAN_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/job_phase.hpp"
#include "plan/command.hpp"
#include "plan/event.hpp"
#include "plan/settings.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace fescuevane
{
class resources;
struct job_progress;
struct staged_job;
} // namespace fescuevane

namespace fescuevane::plan
{

// 1. Context
struct planner;      // the tables of one shard, see planner.hpp
struct admission;    // decision about a new job
struct load_summary; // input of routing
struct run_time_errors;
struct run_time_row;
struct overflow;  // tasks that wait for room
struct gang_room; // room for a gang on this shard
enum class part_state : std::uint8_t;

// Destroys the context. A functor, so that callers don't need the definition of
// the tables.
struct planner_deleter
{
    void operator()(planner* context) const;
};
using planner_ptr = std::unique_ptr<planner, planner_deleter>;

planner_ptr make_planner(settings const& values);

// 2. Input and output
void post_event(planner& context, event input); // applied by the next tick

// 3. Ticks
// Appends the commands in the order in which they have to be carried out.
// `now` never goes back; `unix_ms` is the time of day, for timed jobs.
void    run_tick(planner& context, instant now, std::int64_t unix_ms,
                 std::vector<command>& output);
instant next_deadline(planner const& context); // next tick without events

// 4. Queries
std::optional<job_phase> find_phase(planner const& context, job_id const& job);
// True for a job that was loaded after a change of owner.
bool is_recovered(planner const& context, job_id const& job);
std::shared_ptr<staged_job const> find_job(planner const& context,
                                           job_id const&  job);
job_progress write_progress(planner const& context, job_id const& job);
// The policy that the planner applies to a job; none when it isn't known.
std::optional<queue_policy> find_policy(planner const& context,
                                        job_id const&  job);
bool has_runs(planner const& context, job_id const& job); // started, not ended
load_summary summarize_load(planner const& context);      // without `sum_freed`
// What running tasks free in a second when each of them is replaced by one like
// it. Tasks that last don't end. Visits all runs.
resources sum_freed(planner const& context);
// Run times that this shard learnt itself, and the errors of estimates.
std::vector<run_time_row> list_run_times(planner const& context);
run_time_errors           sum_run_time_errors(planner const& context);
// Stages with tasks that have waited for room longer than `micros` plus the
// time of several replies of the policy service. Gangs are listed as a whole.
std::vector<overflow> list_overflow(planner const& context, instant now,
                                    std::int64_t micros);
// Tasks of a stage that wait now, for any time; a gang as a whole or not at
// all.
std::optional<overflow> find_waiting(planner const&   context,
                                     stage_key const& stage);
// True when all tasks of a stage wait and this shard can't have started a run
// of them.
bool is_unstarted(planner const& context, stage_key const& stage);
// Number of times that the job's tasks were handed over: each handover adds a
// suffix to the job id.
std::int64_t count_handovers(job_id const& job);
// Tasks of a stage that another shard runs as the job `delegate`.
overflow find_delegated(planner const& context, stage_key const& stage,
                        job_id const& delegate);
// True when all of these tasks have ended, by ends reported to this shard.
bool is_delegate_finished(planner const& context, stage_key const& stage,
                          job_id const& delegate);
// False when the task has ended or was delegated, or its job has ended. True
// for jobs that the planner hasn't loaded yet.
bool is_task_open(planner const& context, stage_key const& stage,
                  std::uint32_t index);
// The job with the id `delegate` that is to run the tasks at another shard.
std::shared_ptr<staged_job const> make_delegate(planner const&  context,
                                                overflow const& tasks,
                                                job_id const&   delegate);
// Number of tasks of a waiting gang that fit on the shard's own targets.
gang_room count_gang_room(planner const& context, stage_key const& stage);
// Number of the next run of a gang.
std::uint32_t find_next_gang_run(planner const&   context,
                                 stage_key const& stage);
// False when tasks of a gang that was delegated in parts have been returned.
bool is_gang_spread_complete(planner const& context, stage_key const& stage);
// State of a part that this shard runs of another shard's gang.
part_state find_part(planner const& context, job_id const& part);

// 5. Admission
// Decides about a job that the planner doesn't know, and counts it as waiting
// work if it is accepted. With `promises` a refused job is told a time at which
// it precedes new jobs of its queue; otherwise only when room is expected.
// Delegated and timed jobs are always accepted.
admission admit_job(planner&                                 context,
                    std::shared_ptr<staged_job const> const& job, instant now,
                    bool promises);

} // namespace fescuevane::plan

#endif
