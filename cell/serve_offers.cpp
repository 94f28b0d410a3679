// Purpose: handles offers made to owned shards, see `offer_stages`.
#include "cell/node.hpp"

#include "cell/records.hpp"
#include "plan/answer_offer.hpp"

#include <vector>

namespace fescuevane::cell
{
namespace
{

void answer_offer(node& context, origin const& to, job_answer const& answer)
{
    context.offered_.erase(to);
    if (to.remote_)
    {
        context.outbox_.push_back(reply_peer{to.call_, answer});
    }
    else
    {
        end_offer(context, to.call_, answer);
    }
}

std::vector<origin> list_origins(node const& context, shard_id const& shard,
                                 job_id const& id)
{
    std::vector<origin> found;
    for (auto const& [from, row] : context.offered_)
    {
        if (row.shard_ == shard && row.id_ == id)
        {
            found.push_back(from);
        }
    }
    return found;
}

} // namespace

void serve_offer(node& context, origin const& from, job_call const& call)
{
    owned_row& own = *context.owned_.find(call.shard_);
    context.offered_[from] = {call.shard_, call.id_, call.deadline_};
    plan::post_event(
        *own.planner_,
        plan::job_offered{.job_ = call.job_,
                          .accepted_at_ = accepted_at(context, *call.job_),
                          .answer_by_ =
                              instant(call.deadline_.micros() -
                                      context.settings_.offer_slack_micros_)});
    own.plan_needed_ = true;
    wake_at(context, context.now_);
}

void report_offer(node& context, shard_id const& shard,
                  plan::answer_offer const& answer)
{
    log_event(context, "offer_answered",
              {{"job", answer.id_.str()},
               {"shard", write_shard_name(shard)},
               {"now", std::to_string(answer.fit_now_)},
               {"later", std::to_string(answer.fit_later_)},
               {"free", std::to_string(answer.fit_free_)},
               {"unknown", std::to_string(answer.unknown_)}});
    for (origin const& from : list_origins(context, shard, answer.id_))
    {
        answer_offer(context, from,
                     {.outcome_ = job_outcome::known,
                      .fit_now_ = answer.fit_now_,
                      .fit_later_ = answer.fit_later_,
                      .fit_free_ = answer.fit_free_,
                      .unknown_ = answer.unknown_});
    }
}

void expire_offers(node& context)
{
    std::vector<std::pair<origin, job_outcome>> ended;
    for (auto const& [from, row] : context.offered_)
    {
        if (!owns(context, row.shard_, owned_phase::serving))
        {
            ended.emplace_back(from, job_outcome::not_owner);
        }
        else if (row.deadline_ <= context.now_)
        {
            ended.emplace_back(from, job_outcome::unavailable);
        }
        else
        {
            wake_at(context, row.deadline_);
        }
    }
    for (auto const& [from, outcome] : ended)
    {
        answer_offer(context, from, {.outcome_ = outcome});
    }
}

} // namespace fescuevane::cell
