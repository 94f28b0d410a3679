// Purpose: system: asks the policy service for tickets ahead of need. An answer
// takes longer the more targets it is asked about, and a ticket expires; so a
// stage asks when its tasks are about to start, about targets that have room.
#include "plan/job_flow.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/stage_rank.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// Added to the time of an answer: hops, earlier questions, and estimates that
// are too long.
constexpr double lead_ms = 500;

double answer_ms(planner const& context, advice_policy const& advice)
{
    auto const targets = std::min<std::size_t>(
        context.targets_.size(), context.settings_.advice_targets_);
    return advice.decision_ms_ +
           advice.per_target_ms_ * static_cast<double>(targets) + lead_ms;
}

// Rest of one run. The share of its work that it has done tells more than the
// estimate, which is often off by a factor of several.
double rest_of_run_ms(planner const& context, run_row const& run,
                      double expected_ms)
{
    constexpr int min_percent = 5; // below it the rate is too rough
    int const     done = run.percent_ - run.base_percent_;
    double const  ran_ms =
        static_cast<double>(run.started_at_.remaining_until(context.now_)) /
        micros_per_milli;
    if (run.base_percent_ < 0 || done < min_percent)
    {
        return expected_ms - ran_ms;
    }
    double const until_report_ms =
        static_cast<double>(run.base_at_.remaining_until(run.progressed_at_)) /
        micros_per_milli;
    double const since_report_ms =
        static_cast<double>(run.progressed_at_.remaining_until(context.now_)) /
        micros_per_milli;
    return until_report_ms * (100 - run.percent_) / done - since_report_ms;
}

// Milliseconds until the last run of a stage ends, as far as that is known;
// negative when some of its tasks haven't started.
double remaining_ms(planner const& context, stage_key const& key)
{
    stage_row const& stage = *context.stages_.find(key);
    for (task_cell const& task : stage.tasks_)
    {
        if (is_waiting(task))
        {
            return -1;
        }
    }
    double const expected_ms = expect_run_ms(context, key);
    double       longest = 0;
    for (std::size_t row = 0; row < context.runs_.size(); ++row)
    {
        run_row const& run = context.runs_[row];
        if (context.runs_.key(row).stage_ == key)
        {
            longest =
                std::max(longest, rest_of_run_ms(context, run, expected_ms));
        }
    }
    return longest;
}

// True when all predecessors of a stage end within the time of an answer.
bool starts_soon(planner const& context, stage_key const& key,
                 advice_policy const& advice)
{
    job_row const& job = *context.jobs_.find(key.job_);
    auto const&    after = job.spec_->steps_[key.step_].after_;
    return std::all_of(
        after.begin(), after.end(),
        [&](std::uint32_t step)
        {
            stage_key const before{key.job_, key.occurrence_, step};
            if (!context.stages_.contains(before))
            {
                return true;
            }
            double const rest_ms = remaining_ms(context, before);
            return rest_ms >= 0 && rest_ms <= answer_ms(context, advice);
        });
}

// Targets worth asking about: none while the valid tickets are enough.
std::vector<target_id> choose_questions(planner const&   context,
                                        stage_key const& key,
                                        stage_row const& stage)
{
    std::int64_t const waiting =
        std::count_if(stage.tasks_.begin(), stage.tasks_.end(),
                      [](task_cell const& task)
                      {
                          return is_waiting(task);
                      });
    std::int64_t                                    covered = 0;
    std::vector<std::pair<std::int64_t, target_id>> open;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        target_id const&  id = context.targets_.key(row);
        if (!accepts_stage(context, key, target))
        {
            continue;
        }
        // A stage that isn't startable yet will find other room than now's.
        std::int64_t const fitting =
            stage.startable_ ? count_startable(context, key, id, target) : 1;
        auto const ticket = stage.tickets_.find(id);
        if (fitting == 0 ||
            (ticket != stage.tickets_.end() && !ticket->second.good_))
        {
            continue;
        }
        if (has_ticket(context, key, stage, id))
        {
            covered += fitting;
        }
        else
        {
            open.emplace_back(-fitting, id);
        }
    }
    if (waiting == 0 || covered >= waiting)
    {
        return {};
    }
    std::sort(open.begin(), open.end());
    std::vector<target_id> targets;
    for (auto const& [fitting, id] : open)
    {
        if (targets.size() == context.settings_.advice_targets_)
        {
            break;
        }
        targets.push_back(id);
    }
    return targets;
}

} // namespace

void request_advice(planner& context)
{
    if (context.open_questions_ >= context.settings_.advice_open_)
    {
        return;
    }
    std::vector<stage_rank> ranks;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const&          stage = context.stages_[row];
        stage_key const&          key = context.stages_.key(row);
        job_row const&            job = *context.jobs_.find(key.job_);
        queue_policy const* const queue =
            context.queues_.find(job.spec_->queue_);
        if (queue == nullptr || !queue->advice_ || stage.asked_)
        {
            continue;
        }
        if (stage.ask_after_ > context.now_)
        {
            wake_at(context, stage.ask_after_);
            continue;
        }
        if (stage.startable_ || starts_soon(context, key, *queue->advice_))
        {
            ranks.push_back(rank_stage(context, key));
        }
    }
    std::sort(ranks.begin(), ranks.end());
    for (stage_rank const& rank : ranks)
    {
        stage_row&             stage = *context.stages_.find(rank.stage_);
        std::vector<target_id> targets =
            choose_questions(context, rank.stage_, stage);
        if (targets.empty())
        {
            continue;
        }
        job_row const& job = *context.jobs_.find(rank.stage_.job_);
        stage.asked_ = true;
        ++context.open_questions_;
        context.outbox_.push_back(ask_advice{
            rank.stage_, std::move(targets),
            context.queues_.find(job.spec_->queue_)->advice_->validity_ms_});
        if (context.open_questions_ >= context.settings_.advice_open_)
        {
            break;
        }
    }
}

} // namespace fescuevane::plan
