// Purpose: turns of stages that have waited long for a request.
#include "plan/request_turns.hpp"

#include "plan/job_flow.hpp"
#include "plan/planner.hpp"
#include "plan/request_for_stage.hpp"
#include "plan/request_limits.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// Time at which the turn of a stage without a request is due. A stage that was
// handed over or loaded by a new owner has waited before, so its wait counts
// from its acceptance until it has sent a request here.
instant find_turn_time(planner const& context, stage_key const& key,
                       stage_row const& stage)
{
    job_row const& job = *context.jobs_.find(key.job_);
    bool const     has_waited = (job.recovered_ || job.spec_->alias_) &&
                            stage.requested_at_ == instant();
    instant const since = has_waited ? job.accepted_at_ : context.now_;
    return since.after(context.settings_.advice_turn_micros_);
}

// With rank alone a stage would wait for as long as better-ranked ones need all
// requests. So a stage that has waited long for a request has a turn: it sends
// one before better-ranked stages, and its tasks are placed first while it may
// use the tickets. Turns have a part of the requests in flight and go to those
// that have waited longest, so the wait for one depends on the stages that were
// due earlier or hold room, not on work that arrives later. An offer is due at
// once, since its reply has a deadline.
void set_turn_times(planner& context, std::span<stage_rank const> ranks)
{
    for (stage_rank const& rank : ranks)
    {
        stage_row& stage = *context.stages_.find(rank.stage_);
        if (stage.asked_ > 0)
        {
            continue;
        }
        if (stage.turn_due_ == instant::never() && stage.startable_)
        {
            stage.turn_due_ = find_turn_time(context, rank.stage_, stage);
        }
        else if (context.offers_.contains(rank.stage_.job_))
        {
            stage.turn_due_ = std::min(stage.turn_due_, context.now_);
        }
        if (stage.turn_due_ > context.now_)
        {
            wake_at(context, stage.turn_due_);
        }
    }
}

bool may_send_in_turn(planner const& context)
{
    return context.turn_requests_ <
           std::max(1U, context.max_long_requests_ /
                            context.settings_.advice_turn_divisor_);
}

using timed_stages = std::vector<std::pair<instant, stage_key>>;

// Stages whose turn is due, longest waiting first. Among themselves, gangs are
// in the order in which they were accepted, which is the same in all shards: a
// gang on several shards needs tickets in all of them at the same time.
std::vector<stage_key> list_due_stages(planner const&              context,
                                       std::span<stage_rank const> ranks)
{
    timed_stages due;
    timed_stages gangs; // by acceptance
    for (stage_rank const& rank : ranks)
    {
        stage_row const& stage = *context.stages_.find(rank.stage_);
        if (stage.turn_due_ > context.now_ || stage.asked_ > 0)
        {
            continue;
        }
        due.emplace_back(stage.turn_due_, rank.stage_);
        if (find_step(context, rank.stage_).gang_)
        {
            gangs.emplace_back(
                context.jobs_.find(rank.stage_.job_)->accepted_at_,
                rank.stage_);
        }
    }
    std::sort(due.begin(), due.end());
    std::sort(gangs.begin(), gangs.end());
    std::vector<stage_key> stages;
    stages.reserve(due.size());
    auto gang = gangs.begin();
    for (auto const& [at, key] : due)
    {
        stages.push_back(find_step(context, key).gang_ ? (gang++)->second
                                                       : key);
    }
    return stages;
}

// Counts the requests that a stage has sent in its turn since `before`.
void count_turn_requests(planner& context, stage_row& stage,
                         std::uint32_t before)
{
    std::uint32_t const sent = stage.asked_ - before;
    stage.turn_requests_ += sent;
    context.turn_requests_ += sent;
}

// A stage in its turn may send further requests while turns have requests left.
void continue_turn(planner& context, stage_key const& key, free_room& free)
{
    stage_row&          stage = *context.stages_.find(key);
    std::uint32_t const before = stage.asked_;
    request_for_stage(context, key, free, may_send_in_turn(context));
    count_turn_requests(context, stage, before);
}

// Begins the turn of a stage unless it has no use for a request.
void begin_turn(planner& context, stage_key const& key, free_room& free)
{
    stage_row&          stage = *context.stages_.find(key);
    std::uint32_t const before = stage.asked_;
    free_room           rest = free;
    request_for_stage(context, key, rest, true);
    if (stage.asked_ == before)
    {
        return;
    }
    free.swap(rest);
    count_turn_requests(context, stage, before);
    advice_policy const& advice = *find_policy(context, *stage.spec_)->advice_;
    stage.turn_until_ = context.now_.after(
        static_cast<std::int64_t>(
            (find_reply_ms(context, advice) + advice_lead_ms) *
            micros_per_milli) +
        advice.validity_ms_ * micros_per_milli);
}

} // namespace

bool is_in_turn(planner const& context, stage_key const& key)
{
    return context.stages_.find(key)->turn_until_ > context.now_;
}

void request_in_turns(planner& context, std::span<stage_rank const> ranks,
                      free_room& free)
{
    set_turn_times(context, ranks);
    for (stage_rank const& rank : ranks)
    {
        if (is_in_turn(context, rank.stage_))
        {
            continue_turn(context, rank.stage_, free);
        }
    }
    if (!context.requests_scarce_)
    {
        return;
    }
    for (stage_key const& key : list_due_stages(context, ranks))
    {
        if (!may_send_in_turn(context) || !may_request_any(context))
        {
            return;
        }
        if (!is_in_turn(context, key))
        {
            begin_turn(context, key, free);
        }
    }
}

} // namespace fescuevane::plan
