// Purpose: reservations of targets for gangs.
#include "decide/gang_flow.hpp"

#include "decide/feasibility.hpp"
#include "decide/scheduler.hpp"
#include "decide/shares.hpp"

#include <algorithm>
#include <vector>

namespace fescuevane::decide
{
namespace
{

struct held_estimate
{
    std::int64_t fits_ = 0; // tasks of the gang, once shorter work has ended
    instant      free_at_;  // when that work is expected to have ended
};

// Services don't end, so what they hold is left out.
held_estimate estimate_target(scheduler const& context, std::size_t target,
                              resources const& amount, instant unknown_end)
{
    resources    room = context.targets_.capacity_[target];
    std::int64_t slots = context.targets_.slots_[target];
    instant      free_at = context.now_;
    for (task_key const& key : context.targets_.tasks_[target])
    {
        auto const task = context.tasks_.index_.find(key);
        auto const job = context.jobs_.index_.find(key.job_);
        if (context.jobs_.spec_[*job]->kind_ == work_kind::service)
        {
            room = room - context.tasks_.reservation_[*task];
            --slots;
            continue;
        }
        std::int64_t const run =
            context.estimates_.run_quantile_[context.jobs_.class_[*job]];
        free_at = std::max(free_at,
                           run > 0 ? context.tasks_.started_[*task].after(run)
                                   : unknown_end);
    }
    return {count_fits(room, amount, slots), free_at};
}

std::vector<std::size_t> list_by_free_capacity(scheduler const& context)
{
    std::vector<std::size_t> rows;
    for (std::size_t row = 0; row < context.targets_.index_.size(); ++row)
    {
        if (takes_work(context.targets_, row))
        {
            rows.push_back(row);
        }
    }
    std::stable_sort(rows.begin(), rows.end(),
                     [&context](std::size_t a, std::size_t b)
                     {
                         return context.targets_.free_[a].cpu_millis() >
                                context.targets_.free_[b].cpu_millis();
                     });
    return rows;
}

bool may_reserve(scheduler const& context, std::size_t job)
{
    return !context.reservation_.active_ &&
           context.now_ >= context.jobs_.reserve_after_[job] &&
           context.now_ >= context.jobs_.queued_at_[job].after(
                               context.settings_.gang_age_micros_);
}

} // namespace

void reserve_for_gang(scheduler& context, std::size_t job,
                      resources const& amount)
{
    if (!may_reserve(context, job))
    {
        return;
    }
    instant const deadline =
        context.now_.after(context.settings_.gang_reserve_micros_);
    std::int64_t     missing = context.jobs_.spec_[job]->task_count_;
    gang_reservation made{.active_ = true,
                          .job_ = context.jobs_.index_.key(job),
                          .deadline_ = deadline,
                          .expected_start_ = context.now_};
    for (std::size_t const row : list_by_free_capacity(context))
    {
        auto const estimate = estimate_target(context, row, amount, deadline);
        if (missing <= 0 || estimate.fits_ <= 0)
        {
            continue;
        }
        missing -= estimate.fits_;
        made.expected_start_ =
            std::max(made.expected_start_, estimate.free_at_);
        made.targets_.push_back(context.targets_.index_.key(row));
    }
    if (missing > 0)
    {
        return;
    }
    made.expected_start_ = std::min(made.expected_start_, deadline);
    context.reservation_ = made;
    add_timer(context.timers_, deadline, timer_kind::wake, task_key{made.job_});
    set_held(context, true);
}

void set_held(scheduler& context, bool held)
{
    for (target_id const& target : context.reservation_.targets_)
    {
        if (auto const row = context.targets_.index_.find(target))
        {
            context.targets_.held_[*row] = held ? 1 : 0;
            update_room(context.targets_, *row);
        }
    }
}

void drop_reservation(scheduler& context)
{
    set_held(context, false);
    context.reservation_ = gang_reservation();
    context.place_needed_ = true;
}

void expire_reservation(scheduler& context)
{
    if (!context.reservation_.active_)
    {
        return;
    }
    auto const job = context.jobs_.index_.find(context.reservation_.job_);
    bool const waits =
        job && context.jobs_.result_[*job].state_ == job_state::queued;
    if (waits && context.reservation_.deadline_ > context.now_)
    {
        return;
    }
    if (job)
    {
        // Others may use the targets for as long as they were held.
        instant const again =
            context.now_.after(context.settings_.gang_reserve_micros_);
        context.jobs_.reserve_after_[*job] = again;
        add_timer(context.timers_, again, timer_kind::wake,
                  task_key{context.reservation_.job_});
    }
    drop_reservation(context);
}

} // namespace fescuevane::decide
