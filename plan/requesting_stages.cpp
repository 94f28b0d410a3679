// Purpose: stages that lack tickets of the policy service.
#include "plan/requesting_stages.hpp"

#include "plan/job_flow.hpp"
#include "plan/offers.hpp"
#include "plan/planner.hpp"
#include "plan/request_limits.hpp"
#include "plan/room_reservations.hpp"
#include "plan/run_remaining.hpp"
#include "plan/stage_view.hpp"

#include <algorithm>
#include <optional>

namespace fescuevane::plan
{
namespace
{

template <typename Expect>
double rest_of_run_ms(planner const& context, run_row const& run,
                      Expect const& expect_ms)
{
    auto const rest = estimate_remaining_by_progress_ms(context, run);
    return rest ? *rest : expect_ms() - elapsed_run_ms(context, run);
}

// True when all tasks of a stage have started and are expected to end within
// `bound_ms`.
bool ends_within(planner const& context, stage_key const& key,
                 stage_row const& stage, double bound_ms)
{
    if (count_waiting(stage) > 0)
    {
        return false;
    }
    // Runs that report progress don't need it.
    std::optional<double> expected_ms;
    auto const            expect_ms = [&]
    {
        if (!expected_ms)
        {
            expected_ms = stage.samples_ > 0 ? stage.ran_ms_
                                             : expect_run_ms(context, key);
        }
        return *expected_ms;
    };
    auto const rows = context.runs_.of_job(key.job_);
    return std::all_of(rows.begin(), rows.end(),
                       [&](std::size_t row)
                       {
                           // All rows are of one job, so step and occurrence
                           // identify the stage.
                           stage_key const& of = context.runs_.key(row).stage_;
                           return of.step_ != key.step_ ||
                                  of.occurrence_ != key.occurrence_ ||
                                  rest_of_run_ms(context, context.runs_[row],
                                                 expect_ms) <= bound_ms;
                       });
}

// True when all predecessors of a stage are expected to end within the time
// that a reply takes.
bool starts_soon(planner const& context, staged_job const& job,
                 stage_key const& key, advice_policy const& advice)
{
    auto const& after = job.steps_[key.step_].after_;
    return std::all_of(
        after.begin(), after.end(),
        [&](std::uint32_t step)
        {
            stage_key const        before{key.job_, key.occurrence_, step};
            stage_row const* const stage = context.stages_.find(before);
            return stage == nullptr ||
                   ends_within(context, before, *stage,
                               find_reply_ms(context, advice) + advice_lead_ms);
        });
}

} // namespace

std::vector<stage_rank> rank_requesting_stages(planner& context)
{
    std::vector<stage_rank> ranks;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        bool const       later = stage.request_after_ > context.now_;
        // Skips most stages before the more expensive look-ups.
        if (!later && ((stage.asked_ > 0 && !stage.startable_) ||
                       count_waiting(stage) == 0))
        {
            continue;
        }
        queue_policy const* const queue = find_policy(context, *stage.spec_);
        if (queue == nullptr || !queue->advice_)
        {
            continue;
        }
        if (later)
        {
            wake_at(context, stage.request_after_);
            continue;
        }
        stage_key const&     key = context.stages_.key(row);
        advice_policy const& advice = *queue->advice_;
        if (stage.startable_ ||
            (!is_answered_offer(context, key.job_) &&
             may_request(context, is_long_request(context, advice)) &&
             starts_soon(context, *stage.spec_, key, advice)))
        {
            ranks.push_back(rank_stage(context, key));
        }
    }
    std::sort(ranks.begin(), ranks.end());
    if (!context.holds_.empty())
    {
        // Stages with reservations come first: better-ranked ones can't use the
        // reserved room.
        std::stable_partition(ranks.begin(), ranks.end(),
                              [&context](stage_rank const& rank)
                              {
                                  return count_reservations(context,
                                                            rank.stage_) > 0;
                              });
    }
    return ranks;
}

} // namespace fescuevane::plan
