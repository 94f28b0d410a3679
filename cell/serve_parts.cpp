// Purpose: system: handles calls about gang parts in owned shards, see
// `spread_gangs`.
#include "cell/node.hpp"

#include "plan/part_state.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// Empty while the call has to wait.
std::optional<job_answer> find_answer(node const&          context,
                                      part_call_row const& call)
{
    if (!owns(context, call.shard_, owned_phase::serving))
    {
        return job_answer{.outcome_ = job_outcome::not_owner};
    }
    switch (
        plan::find_part(*context.owned_.find(call.shard_)->planner_, call.id_))
    {
    case plan::part_state::started:
        return job_answer{.outcome_ = job_outcome::known,
                          .phase_ = job_phase::running};
    case plan::part_state::over:
        return job_answer{.outcome_ = job_outcome::known,
                          .phase_ = job_phase::canceled};
    case plan::part_state::ready:
        if (call.kind_ == call_kind::await_part)
        {
            return job_answer{.outcome_ = job_outcome::known,
                              .phase_ = job_phase::pending};
        }
        break;
    case plan::part_state::gathering:
        break;
    }
    if (call.deadline_ <= context.now_)
    {
        return job_answer{.outcome_ = job_outcome::unavailable};
    }
    return std::nullopt;
}

void answer_part_call(node& context, origin const& to, job_answer const& answer)
{
    if (to.remote_)
    {
        context.outbox_.push_back(reply_peer{to.call_, answer});
    }
    else
    {
        end_part_call(context, to.call_, answer);
    }
}

} // namespace

void serve_part(node& context, origin const& from, job_call const& call)
{
    owned_row& own = *context.owned_.find(call.shard_);
    own.plan_needed_ = true;
    wake_at(context, context.now_);
    if (call.kind_ == call_kind::withdraw_part)
    {
        plan::post_event(*own.planner_, plan::part_withdrawn{call.id_});
        answer_part_call(context, from, {.outcome_ = job_outcome::accepted});
        return;
    }
    if (call.kind_ == call_kind::start_part)
    {
        plan::post_event(*own.planner_,
                         plan::part_ordered{call.id_, call.deadline_});
    }
    context.part_calls_[from] = {.kind_ = call.kind_,
                                 .shard_ = call.shard_,
                                 .id_ = call.id_,
                                 .deadline_ = call.deadline_};
}

void answer_parts(node& context)
{
    std::vector<std::pair<origin, job_answer>> answers;
    for (auto const& [from, call] : context.part_calls_)
    {
        if (auto const answer = find_answer(context, call))
        {
            answers.emplace_back(from, *answer);
        }
        else
        {
            wake_at(context, call.deadline_);
        }
    }
    for (auto const& [from, answer] : answers)
    {
        context.part_calls_.erase(from);
        answer_part_call(context, from, answer);
    }
}

} // namespace fescuevane::cell
