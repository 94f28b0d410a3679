// Purpose: system: advances parts of gangs that run on several shards.
//
// The shard of a gang hands parts of it to the shards whose targets together
// can run it, all under one run number. Each part gathers room and tickets, and
// starts when it is ordered to, once the other parts have theirs. It runs only
// once: however the run ends, the part ends when no task of it is left on the
// targets, and the shard of the gang decides what follows. A part ends as
// failed when one of its tasks has failed, so that the run counts as one
// attempt of the gang.
//
// Index of sections
//   1. Changes
//   2. Ends
//   3. Queries
#include "plan/gang_room.hpp"
#include "plan/job_flow.hpp"
#include "plan/overflow.hpp"
#include "plan/part_state.hpp"
#include "plan/parts.hpp"
#include "plan/plan.hpp"
#include "plan/planner.hpp"
#include "plan/rejected_runs.hpp"
#include "plan/room.hpp"
#include "plan/room_reservations.hpp"
#include "plan/stage_view.hpp"
#include "plan/unconfirmed_work.hpp"

#include <algorithm>
#include <array>
#include <vector>

namespace fescuevane::plan
{

// 1. Changes

bool is_part(staged_job const& job)
{
    return job.alias_ && job.alias_->gang_run_ != 0;
}

namespace
{

stage_row* find_part_stage(planner& context, job_id const& id)
{
    stage_row* const stage = context.stages_.find({id, 0, 0});
    return stage == nullptr || stage->part_ == part_phase::none ? nullptr
                                                                : stage;
}

} // namespace

void begin_part(planner& context, job_id const& id)
{
    job_row const& job = *context.jobs_.find(id);
    stage_row&     stage = *context.stages_.find({id, 0, 0});
    stage.part_ = job.recovered_ ? part_phase::started : part_phase::gathering;
    stage.part_until_ =
        context.now_.after(context.settings_.part_gather_micros_);
    // On the gang's own shard, its stage already has advice about the targets.
    stage_row const* const gang =
        context.stages_.find(job.spec_->alias_->stage_);
    if (gang != nullptr && stage.tickets_.empty())
    {
        stage.tickets_ = gang->tickets_;
    }
}

bool may_start_gang(planner const& context, stage_row const& stage)
{
    return stage.part_ == part_phase::none ||
           (stage.part_ == part_phase::ordered &&
            stage.part_until_ > context.now_);
}

void mark_part_started(stage_row& stage)
{
    if (stage.part_ != part_phase::none)
    {
        stage.part_ = part_phase::started;
    }
}

void order_part(planner& context, part_ordered const& input)
{
    stage_row* const stage = find_part_stage(context, input.id_);
    if (stage != nullptr && stage->part_ == part_phase::gathering)
    {
        stage->part_ = part_phase::ordered;
        stage->part_until_ = input.start_by_;
    }
}

void withdraw_part(planner& context, part_withdrawn const& input)
{
    if (stage_row* const stage = find_part_stage(context, input.id_))
    {
        stage->part_ = part_phase::withdrawn;
    }
}

// 2. Ends

namespace
{

bool is_running(task_cell const& task)
{
    return task.runs_ > 0;
}

// True while targets may run a task of the part, or may report an end of one.
bool may_be_running(planner const& context, unconfirmed_work const& unconfirmed,
                    stage_key const& key, stage_row const& stage)
{
    return std::any_of(stage.tasks_.begin(), stage.tasks_.end(),
                       [](task_cell const& task)
                       {
                           return is_running(task) ||
                                  !task.unreported_runs_.empty();
                       }) ||
           may_run_rejected(context, find_rejected_runs(context), key) ||
           may_be_unconfirmed(unconfirmed, *context.jobs_.find(key.job_),
                              find_step(context, key));
}

// True when a new owner finds that only some tasks of a part were started.
bool is_incomplete(planner const& context, unconfirmed_work const& unconfirmed,
                   stage_key const& key, stage_row const& stage)
{
    return context.jobs_.find(key.job_)->recovered_ && !unconfirmed.runs_ &&
           std::any_of(stage.tasks_.begin(), stage.tasks_.end(), is_running) &&
           !std::all_of(stage.tasks_.begin(), stage.tasks_.end(), is_running);
}

void stop_part(planner& context, stage_key const& key, char const* why)
{
    std::vector<run_key> runs;
    for (std::size_t const row : context.runs_.of_job(key.job_))
    {
        runs.push_back(context.runs_.key(row));
    }
    for (run_key const& run : runs)
    {
        order_stop(context, run, why);
    }
}

void end_part(planner& context, stage_key const& key, char const* why)
{
    stage_row const& stage = *context.stages_.find(key);
    bool const       failed = !stage.gang_failures_.empty();
    context.outbox_.push_back(
        note{"part_ended", {key, 0, stage.gang_run_}, {}, why});
    close_job(context, key.job_,
              failed ? job_phase::failed : job_phase::canceled);
}

// One function for each `part_phase`, see `phase_systems`.
void follow_none(planner& /*context*/, unconfirmed_work const& /*unconfirmed*/,
                 stage_key const& /*key*/)
{
}

void follow_unstarted(planner& context, unconfirmed_work const& /*unconfirmed*/,
                      stage_key const& key)
{
    instant const until = context.stages_.find(key)->part_until_;
    if (until <= context.now_)
    {
        end_part(context, key, "no room and tickets in time");
        return;
    }
    wake_at(context, until);
}

void follow_started(planner& context, unconfirmed_work const& unconfirmed,
                    stage_key const& key)
{
    stage_row const& stage = *context.stages_.find(key);
    if (is_incomplete(context, unconfirmed, key, stage))
    {
        stop_part(context, key, "part incomplete");
    }
    if (!may_be_running(context, unconfirmed, key, stage))
    {
        end_part(context, key, "its run has ended");
    }
}

void follow_withdrawn(planner& context, unconfirmed_work const& unconfirmed,
                      stage_key const& key)
{
    stop_part(context, key, "part withdrawn");
    if (!may_be_running(context, unconfirmed, key, *context.stages_.find(key)))
    {
        end_part(context, key, "withdrawn");
    }
}

constexpr std::array<
    void (*)(planner&, unconfirmed_work const&, stage_key const&), 5>
    phase_systems = {&follow_none, &follow_unstarted, &follow_unstarted,
                     &follow_started, &follow_withdrawn};

} // namespace

void follow_parts(planner& context)
{
    std::vector<stage_key> parts;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        if (context.stages_[row].part_ != part_phase::none)
        {
            parts.push_back(context.stages_.key(row));
        }
    }
    if (parts.empty())
    {
        return;
    }
    unconfirmed_work const unconfirmed = find_unconfirmed_work(context);
    for (stage_key const& key : parts)
    {
        auto const phase =
            static_cast<std::size_t>(context.stages_.find(key)->part_);
        phase_systems.at(phase)(context, unconfirmed, key);
    }
}

// 3. Queries

namespace
{

// True when the ticket for the target stays valid long enough for a start that
// is ordered soon.
bool keeps_ticket(planner const& context, stage_view const& stage,
                  target_id const& target)
{
    if (!needs_ticket(stage))
    {
        return true;
    }
    auto const ticket = stage.row_.tickets_.find(target);
    return ticket != stage.row_.tickets_.end() && ticket->second.good_ &&
           ticket->second.valid_until_ >
               context.now_.after(context.settings_.part_ready_micros_);
}

// Tasks that could start now, with room and a ticket.
std::int64_t count_ready(planner const& context, stage_view const& stage)
{
    std::int64_t ready = 0;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        target_id const&  id = context.targets_.key(row);
        if (accepts_stage(context, stage, target) &&
            keeps_ticket(context, stage, id))
        {
            ready += count_startable(context, stage, id, target);
        }
    }
    return ready;
}

bool is_ready(planner const& context, stage_key const& key)
{
    stage_view const   stage = view_stage(context, key);
    std::int64_t const count = stage.step_.count_;
    return is_within_limit(context, stage.job_.spec_->organisation_, key,
                           stage.step_.demand_ * count) &&
           !may_run_rejected(context, find_rejected_runs(context), key) &&
           count_ready(context, stage) >= count;
}

} // namespace

part_state find_part(planner const& context, job_id const& id)
{
    stage_key const        key{id, 0, 0};
    stage_row const* const stage = context.stages_.find(key);
    if (stage == nullptr)
    {
        // A job that was just accepted becomes a row in the next tick.
        return context.jobs_.contains(id) ? part_state::over
                                          : part_state::gathering;
    }
    switch (stage->part_)
    {
    case part_phase::gathering:
        return is_ready(context, key) ? part_state::ready
                                      : part_state::gathering;
    case part_phase::ordered:
        return part_state::gathering;
    case part_phase::started:
        return std::all_of(stage->tasks_.begin(), stage->tasks_.end(),
                           is_running)
                   ? part_state::started
                   : part_state::gathering;
    default:
        return part_state::over;
    }
}

gang_room count_gang_room(planner const& context, stage_key const& key)
{
    stage_view const stage = view_stage(context, key);
    std::int64_t     free = 0;
    std::int64_t     later = 0;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        target_id const&  id = context.targets_.key(row);
        bool const        known =
            !needs_ticket(stage) || stage.row_.tickets_.contains(id);
        if (!known || !could_run(context, stage, id, target))
        {
            continue;
        }
        later += limit_to_spread(context, stage, id,
                                 count_fitting_later(stage, target));
        free += accepts_stage(context, stage, target)
                    ? count_startable(context, stage, id, target)
                    : 0;
    }
    std::int64_t const count = stage.step_.count_;
    return {static_cast<std::uint32_t>(std::min(free, count)),
            static_cast<std::uint32_t>(std::min(later, count))};
}

std::uint32_t find_next_gang_run(planner const& context, stage_key const& key)
{
    stage_row const& stage = *context.stages_.find(key);
    std::uint32_t    run = stage.gang_run_;
    for (task_cell const& task : stage.tasks_)
    {
        run = std::max(run, task.last_run_);
    }
    return run + 1;
}

bool is_gang_spread_complete(planner const& context, stage_key const& key)
{
    stage_row const* const stage = context.stages_.find(key);
    return stage == nullptr ||
           std::none_of(stage->tasks_.begin(), stage->tasks_.end(),
                        [](task_cell const& task)
                        {
                            return task.delegate_.empty();
                        });
}

} // namespace fescuevane::plan
