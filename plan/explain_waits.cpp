// Purpose: system: logs what tasks that wait long are waiting for.
#include "plan/job_flow.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/room_reservations.hpp"
#include "plan/stage_rank.hpp"
#include "plan/stage_view.hpp"
#include "plan/unconfirmed_work.hpp"

#include <algorithm>
#include <string>

namespace fescuevane::plan
{
namespace
{

constexpr std::int64_t explain_micros = 2'000'000; // between log events
constexpr std::int64_t long_wait_micros = 3'000'000;
constexpr std::int64_t long_running_wait_micros = 1'000'000;

// Counts of targets that pass each check, in the order of the checks.
std::string describe_targets(planner const& context, stage_view const& stage)
{
    std::size_t accepting = 0;
    std::size_t fitting = 0;
    std::size_t ticketed = 0;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        target_id const&  id = context.targets_.key(row);
        if (!accepts_stage(context, stage, target))
        {
            continue;
        }
        ++accepting;
        if (count_startable(context, stage, id, target) == 0)
        {
            continue;
        }
        ++fitting;
        ticketed += has_ticket(context, stage, id) ? 1 : 0;
    }
    return "targets " + std::to_string(context.targets_.size()) +
           ", accepting " + std::to_string(accepting) + ", with room " +
           std::to_string(fitting) + ", with ticket " +
           std::to_string(ticketed);
}

// For long-running tasks and gangs: the number of targets that the policy
// service is known to allow; of these, those with room, with a ticket, reserved
// for the stage, and with both room and a ticket; then the time until all
// reserved room of a gang is free, and the time since the latest pending advice
// request.
std::string describe_allowed(planner const& context, stage_view const& stage)
{
    std::size_t allowed = 0;
    std::size_t fitting = 0;
    std::size_t ticketed = 0;
    std::size_t both = 0;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_id const& id = context.targets_.key(row);
        auto const       ticket = stage.row_.tickets_.find(id);
        if (ticket == stage.row_.tickets_.end() || !ticket->second.good_)
        {
            continue;
        }
        bool const has_room =
            count_startable(context, stage, id, context.targets_[row]) > 0;
        bool const valid = has_ticket(context, stage, id);
        ++allowed;
        fitting += has_room ? 1 : 0;
        ticketed += valid ? 1 : 0;
        both += has_room && valid ? 1 : 0;
    }
    std::string why = ", allowed " + std::to_string(allowed) + " (room " +
                      std::to_string(fitting) + ", ticket " +
                      std::to_string(ticketed) + ", held " +
                      std::to_string(count_reservations(context, stage.key_)) +
                      "), both " + std::to_string(both);
    if (stage.row_.room_at_ != instant::never())
    {
        why +=
            ", all room in " +
            std::to_string(context.now_.remaining_until(stage.row_.room_at_) /
                           micros_per_milli) +
            " ms";
    }
    if (stage.row_.asked_ > 0)
    {
        why += ", asked for " +
               std::to_string(
                   stage.row_.requested_at_.remaining_until(context.now_) /
                   micros_per_milli) +
               " ms";
    }
    return why;
}

// The pending advice request of a stage, or since when it has had none and how
// many requests other stages have in flight.
std::string describe_requests(planner const& context, stage_view const& stage)
{
    if (stage.row_.asked_ > 0)
    {
        return ", advice requested";
    }
    if (!needs_ticket(stage))
    {
        return "";
    }
    std::string const latest =
        stage.row_.requested_at_ == instant()
            ? ", no advice requested so far"
            : ", no advice requested for " +
                  std::to_string(
                      stage.row_.requested_at_.remaining_until(context.now_) /
                      micros_per_milli) +
                  " ms";
    return latest + " (in flight: long " +
           std::to_string(context.long_requests_) + " of " +
           std::to_string(context.max_long_requests_) + ", short " +
           std::to_string(context.short_requests_) + " of " +
           std::to_string(context.settings_.max_short_requests_) + ")";
}

// Logs tasks that can't start because an end of an earlier run may still be
// reported. They don't count as waiting, so nothing else logs them.
void explain_held_tasks(planner& context, stage_key const& key,
                        stage_row const& stage)
{
    for (std::uint32_t index = 0; index < stage.tasks_.size(); ++index)
    {
        task_cell const& task = stage.tasks_[index];
        if (task.held_ && !task.done_ && task.runs_ == 0 &&
            task.waiting_since_.after(long_wait_micros) <= context.now_)
        {
            context.outbox_.push_back(note{
                "held",
                {key, index, task.last_run_},
                {},
                "unreported ends: " +
                    std::to_string(task.unreported_runs_.size()) +
                    ", failed: " + std::to_string(task.failed_runs_.size())});
        }
    }
}

// Targets that may still report work of a former owner.
std::string describe_unconfirmed(planner const& context)
{
    auto const count = [&context](target_phase phase)
    {
        return std::to_string(std::count_if(context.targets_.begin(),
                                            context.targets_.end(),
                                            [phase](target_row const& target)
                                            {
                                                return target.phase_ == phase;
                                            }));
    };
    return ", unconfirmed targets: attaching " +
           count(target_phase::attaching) + ", lapsed " +
           count(target_phase::lapsed) + ", stopping runs " +
           std::to_string(
               std::count_if(context.targets_.begin(), context.targets_.end(),
                             [&context](target_row const& target)
                             {
                                 return target.stops_until_ > context.now_;
                             }));
}

} // namespace

void explain_waits(planner& context)
{
    if (context.explain_at_ > context.now_)
    {
        return;
    }
    context.explain_at_ = context.now_.after(explain_micros);
    unconfirmed_work const unconfirmed = find_unconfirmed_work(context);
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        stage_key const& key = context.stages_.key(row);
        if (!stage.startable_)
        {
            continue;
        }
        explain_held_tasks(context, key, stage);
        if (count_waiting(stage) == 0)
        {
            continue;
        }
        step_spec const&   step = find_step(context, key);
        std::int64_t const bound =
            step.perpetual_ ? long_running_wait_micros : long_wait_micros;
        auto const waiting = std::find_if(
            stage.tasks_.begin(), stage.tasks_.end(),
            [&context, bound](task_cell const& task)
            {
                return is_waiting(task) &&
                       task.waiting_since_.after(bound) <= context.now_;
            });
        if (waiting == stage.tasks_.end())
        {
            continue;
        }
        job_row const& job = *context.jobs_.find(key.job_);
        std::string why = describe_targets(context, view_stage(context, key));
        why += (step.perpetual_ || step.gang_) &&
                       needs_ticket(view_stage(context, key))
                   ? describe_allowed(context, view_stage(context, key))
                   : "";
        why += job.recovered_ && (unconfirmed.runs_ || unconfirmed.ends_)
                   ? describe_unconfirmed(context)
                   : "";
        why += describe_requests(context, view_stage(context, key));
        why += job.over_rate_ ? ", beyond the organisation's rate" : "";
        why += is_within_limit(context, job.spec_->organisation_, key,
                               step.demand_)
                   ? ""
                   : ", at the organisation's limit";
        auto const index =
            static_cast<std::uint32_t>(waiting - stage.tasks_.begin());
        context.outbox_.push_back(
            note{"waiting", {key, index, waiting->last_run_}, {}, why});
    }
}

} // namespace fescuevane::plan
