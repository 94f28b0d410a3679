// Purpose: system: finds a shard for stages that their own shard can't run.
//
// A blocked stage, or a gang that has waited for some time, is offered to all
// other shards at once, because allowed targets (by the policy service) and
// free room differ between shards. It then moves once, to the shard that could
// run the most of it. While no shard can run the stage, the offer is repeated
// with exponential backoff, without a last round. Tasks that can't run in the
// new shard after all are returned to their original shard, which offers them
// again. Single tasks that have waited long for room are offered, too: their
// shard may be allowed few targets while others are idle.
//
// Index of sections
//   1. Rounds
//   2. Replies
//   3. Decisions
//   4. Ticks
#include "cell/node.hpp"

#include "cell/delegate_load.hpp"
#include "cell/gang_share.hpp"
#include "cell/gang_shares.hpp"
#include "cell/records.hpp"
#include "plan/gang_room.hpp"
#include "plan/overflow.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// 1. Rounds

// A stage without a round for this long starts over with the shortest interval.
constexpr std::int64_t forget_micros = 30'000'000;

// A round for a gang asks again while answers are incomplete, until this long
// after its start: a shard may be out of reach for good.
constexpr std::int64_t repeat_micros = 5'000'000;

// Shards that are unavailable reply at once.
constexpr std::int64_t repeat_interval_micros = 1'000'000;

// Doubles with each round, up to a maximum.
std::int64_t compute_round_interval(settings const& values,
                                    std::uint32_t   rounds)
{
    constexpr std::uint32_t max_doublings = 8;
    return std::min(values.offer_pause_max_micros_,
                    values.offer_pause_micros_
                        << std::min(rounds, max_doublings));
}

// Job id under which a stage is offered; the same in each round.
job_id name_offer(stage_key const& stage)
{
    return job_id(stage.job_.str() + "~offer-" +
                  std::to_string(stage.occurrence_) + "-" +
                  std::to_string(stage.step_));
}

// True for tasks that their shard starts one by one as room becomes free.
bool waits_for_room(step_spec const& step, plan::overflow const& tasks)
{
    return !tasks.blocked_ && !step.gang_ && !step.perpetual_;
}

// A gang may run on several shards, so a shard that fits one task is eligible.
step_spec describe_part(step_spec const& step)
{
    return step.gang_ ? step_spec{.demand_ = step.demand_,
                                  .required_label_ = step.required_label_}
                      : step;
}

// Loads are as old as the latest heartbeat. Shards without room for a single
// task are skipped, since each offer costs the receiver requests to the policy
// service. Tasks that their own shard will start anyway aren't offered to
// shards that are nearly full.
bool may_have_room(shard_row const& shard, step_spec const& step,
                   plan::overflow const& tasks)
{
    if (waits_for_room(step, tasks) &&
        expect_load(shard, tasks.demand_) >= max_delegate_load)
    {
        return false;
    }
    resources const room = tasks.blocked_
                               ? shard.load_.capacity_
                               : shard.load_.capacity_ - shard.load_.used_;
    // Fillers use idle processors.
    resources const demand = step.filler_
                                 ? resources(0, step.demand_.memory_mib(),
                                             step.demand_.accelerators())
                                 : step.demand_;
    return demand.fits_in(room);
}

bool has_open_round(node const& context, shard_id const& shard)
{
    return std::any_of(context.offer_rounds_.begin(),
                       context.offer_rounds_.end(),
                       [&shard](offer_round_row const& round)
                       {
                           return round.open_ && round.shard_ == shard;
                       });
}

void send_offer(node& context, stage_key const& stage, offer_round_row& round,
                shard_id const&                          shard,
                std::shared_ptr<staged_job const> const& job)
{
    std::uint64_t const request = next_request(context);
    round.awaiting_reply_.emplace(request, shard);
    round.unanswered_.insert(shard);
    context.offer_requests_.emplace(request, stage);
    job_call const call{.kind_ = call_kind::offer,
                        .id_ = job->id_,
                        .shard_ = shard,
                        .job_ = job,
                        .deadline_ = round.answer_by_};
    if (owns(context, shard, owned_phase::serving))
    {
        serve_offer(context, {false, request}, call);
        return;
    }
    context.outbox_.push_back(
        call_peer{request, context.shards_.find(shard)->address_, call});
}

std::shared_ptr<staged_job const> make_offer(node const&           context,
                                             shard_id const&       shard,
                                             plan::overflow const& tasks)
{
    return plan::make_delegate(*context.owned_.find(shard)->planner_, tasks,
                               name_offer(tasks.stage_));
}

std::vector<shard_id> list_offer_receivers(node const&           context,
                                           shard_id const&       shard,
                                           plan::overflow const& tasks,
                                           staged_job const&     job)
{
    step_spec const&      step = job.steps_.front();
    std::vector<shard_id> receivers =
        list_receivers(context, shard, job.service_, describe_part(step));
    std::erase_if(receivers,
                  [&](shard_id const& receiver)
                  {
                      return !may_have_room(*context.shards_.find(receiver),
                                            step, tasks);
                  });
    // The own shard, if it can't run all of the gang, hasn't requested advice
    // for any of its targets, but it may run a part.
    if (step.gang_ && tasks.blocked_ && !context.out_.contains(shard.domain_))
    {
        receivers.push_back(shard);
    }
    return receivers;
}

instant answer_deadline(node const& context)
{
    return context.now_.after(context.settings_.offer_micros_ +
                              context.settings_.offer_slack_micros_);
}

void begin_round(node& context, shard_id const& shard,
                 plan::overflow const& tasks)
{
    auto const                  job = make_offer(context, shard, tasks);
    step_spec const&            step = job->steps_.front();
    std::vector<shard_id> const receivers =
        list_offer_receivers(context, shard, tasks, *job);
    if (receivers.empty() && waits_for_room(step, tasks))
    {
        return;
    }
    offer_round_row& round = context.offer_rounds_.ensure(tasks.stage_);
    round.shard_ = shard;
    round.open_ = true;
    round.unanswered_.clear();
    round.offers_.clear();
    round.answer_by_ = answer_deadline(context);
    round.repeats_ = 0;
    round.repeat_at_ = context.now_.after(repeat_interval_micros);
    round.repeat_until_ = context.now_.after(repeat_micros);
    round.forget_at_ = context.now_.after(forget_micros);
    log_event(context, "offer_round",
              {{"job", tasks.stage_.job_.str()},
               {"step", std::to_string(tasks.stage_.step_)},
               {"tasks", std::to_string(tasks.indices_.size())},
               {"blocked", tasks.blocked_ ? "true" : "false"},
               {"round", std::to_string(round.rounds_)},
               {"shards", std::to_string(receivers.size())}});
    for (shard_id const& receiver : receivers)
    {
        send_offer(context, tasks.stage_, round, receiver, job);
    }
    wake_at(context, context.now_);
}

void forget_requests(node& context, offer_round_row& round)
{
    for (auto const& [request, shard] : round.awaiting_reply_)
    {
        context.offer_requests_.erase(request);
    }
    round.awaiting_reply_.clear();
}

void end_round(node& context, offer_round_row& round)
{
    forget_requests(context, round);
    round.open_ = false;
    round.next_at_ = context.now_.after(
        compute_round_interval(context.settings_, round.rounds_));
}

bool is_complete(offer_round_row const& round, shard_id const& shard)
{
    return !round.unanswered_.contains(shard) &&
           std::none_of(round.offers_.begin(), round.offers_.end(),
                        [&shard](shard_offer const& offer)
                        {
                            return offer.shard_ == shard && offer.unknown_ > 0;
                        });
}

// Shards that may have more room than their answers tell. Some that were asked
// may no longer receive tasks.
std::vector<shard_id> list_incomplete(node const&            context,
                                      offer_round_row const& round,
                                      plan::overflow const&  tasks,
                                      staged_job const&      job)
{
    std::vector<shard_id> shards =
        list_offer_receivers(context, round.shard_, tasks, job);
    std::erase_if(shards,
                  [&round](shard_id const& shard)
                  {
                      return is_complete(round, shard);
                  });
    return shards;
}

void repeat_offers(node& context, offer_round_row& round,
                   plan::overflow const&                    tasks,
                   std::shared_ptr<staged_job const> const& job,
                   std::vector<shard_id> const&             shards)
{
    forget_requests(context, round);
    round.answer_by_ = answer_deadline(context);
    round.repeat_at_ = context.now_.after(repeat_interval_micros);
    ++round.repeats_;
    log_event(context, "offer_repeated",
              {{"job", tasks.stage_.job_.str()},
               {"step", std::to_string(tasks.stage_.step_)},
               {"repeat", std::to_string(round.repeats_)},
               {"shards", std::to_string(shards.size())}});
    for (shard_id const& shard : shards)
    {
        send_offer(context, tasks.stage_, round, shard, job);
    }
    wake_at(context, context.now_);
}

} // namespace

bool needs_offer(node const& context, shard_id const& shard,
                 plan::overflow const& tasks)
{
    auto const job = plan::find_job(*context.owned_.find(shard)->planner_,
                                    tasks.stage_.job_);
    return tasks.blocked_ || job->alias_ ||
           job->steps_.at(tasks.stage_.step_).gang_;
}

void offer_stage(node& context, shard_id const& shard,
                 plan::overflow const& tasks)
{
    plan::planner const& planner = *context.owned_.find(shard)->planner_;
    auto const           job = plan::find_job(planner, tasks.stage_.job_);
    bool const           moved = job->alias_.has_value();
    bool const           is_single =
        waits_for_room(job->steps_.at(tasks.stage_.step_), tasks);
    // Tasks may move to room that only becomes free when other work ends.
    if ((moved || is_single) && !tasks.blocked_ &&
        tasks.since_.after(context.settings_.moved_gang_micros_) > context.now_)
    {
        return;
    }
    if (moved && !is_single && plan::is_unstarted(planner, tasks.stage_))
    {
        return_tasks(context, tasks.stage_.job_);
        return;
    }
    offer_round_row const* const round =
        context.offer_rounds_.find(tasks.stage_);
    // One round at a time limits the load that a shard puts on the others.
    if (!has_open_round(context, shard) &&
        (round == nullptr || round->next_at_ <= context.now_))
    {
        begin_round(context, shard, tasks);
    }
}

// 2. Replies

bool end_offer(node& context, std::uint64_t request, job_answer const& answer)
{
    auto const found = context.offer_requests_.find(request);
    if (found == context.offer_requests_.end())
    {
        return false;
    }
    offer_round_row* const round = context.offer_rounds_.find(found->second);
    context.offer_requests_.erase(found);
    if (round != nullptr)
    {
        auto const receiver = round->awaiting_reply_.find(request);
        if (answer.outcome_ == job_outcome::known)
        {
            std::erase_if(round->offers_,
                          [&receiver](shard_offer const& offer)
                          {
                              return offer.shard_ == receiver->second;
                          });
            round->unanswered_.erase(receiver->second);
            round->offers_.push_back({receiver->second, answer.fit_now_,
                                      answer.fit_later_, answer.fit_free_,
                                      answer.unknown_});
        }
        round->awaiting_reply_.erase(receiver);
        wake_at(context, context.now_);
    }
    return true;
}

// 3. Decisions

namespace
{

struct offer_choice
{
    std::optional<shard_offer> best_;
    bool all_start_now_ = false; // room and tickets for all tasks
};

// Prefers the most tasks that can start now, then the most that can start
// later, then the lowest load. Tasks move to room that is still occupied only
// if their own shard can't run them at all.
offer_choice choose_offer(node const& context, shard_id const& from,
                          step_spec const& step, plan::overflow const& tasks,
                          offer_round_row const& round)
{
    auto const count = static_cast<std::uint32_t>(tasks.indices_.size());
    std::uint32_t const         needed = step.gang_ ? count : 1;
    std::vector<shard_id> const receivers = list_receivers(
        context, from,
        plan::find_job(*context.owned_.find(from)->planner_, tasks.stage_.job_)
            ->service_,
        step);
    offer_choice                                     chosen;
    std::tuple<std::uint32_t, std::uint32_t, double> most;
    for (shard_offer const& offer : round.offers_)
    {
        std::uint32_t const now =
            offer.fit_now_ >= needed ? std::min(offer.fit_now_, count) : 0;
        std::uint32_t const later = tasks.blocked_ && offer.fit_later_ >= needed
                                        ? std::min(offer.fit_later_, count)
                                        : 0;
        std::tuple const    value(
               now, later, -expect_load(*context.shards_.find(offer.shard_), {}));
        bool const receives = std::find(receivers.begin(), receivers.end(),
                                        offer.shard_) != receivers.end();
        if (receives && now + later > 0 && (!chosen.best_ || value > most))
        {
            chosen = {offer, now == count};
            most = value;
        }
    }
    return chosen;
}

// Single tasks move only to room that is free now; the rest gain nothing by
// moving.
plan::overflow limit_to_offer(step_spec const& step, plan::overflow tasks,
                              shard_offer const& offer)
{
    if (waits_for_room(step, tasks) && tasks.indices_.size() > offer.fit_now_)
    {
        tasks.indices_.resize(offer.fit_now_);
    }
    return tasks;
}

// Offers of all shards that accept tasks of the gang now, its own included.
std::vector<shard_offer>
list_gang_room(node const& context, shard_id const& from, step_spec const& step,
               plan::overflow const& tasks, offer_round_row const& round)
{
    plan::planner const&  planner = *context.owned_.find(from)->planner_;
    std::vector<shard_id> receivers = list_receivers(
        context, from, plan::find_job(planner, tasks.stage_.job_)->service_,
        describe_part(step));
    bool const takes_own = !context.out_.contains(from.domain_);
    if (takes_own)
    {
        receivers.push_back(from);
    }
    std::vector<shard_offer> found;
    for (shard_offer const& offer : round.offers_)
    {
        if (std::find(receivers.begin(), receivers.end(), offer.shard_) !=
            receivers.end())
        {
            found.push_back(offer);
        }
    }
    bool const answered = std::any_of(found.begin(), found.end(),
                                      [&from](shard_offer const& offer)
                                      {
                                          return offer.shard_ == from;
                                      });
    if (takes_own && !answered)
    {
        plan::gang_room const own =
            plan::count_gang_room(planner, tasks.stage_);
        found.push_back({from, 0, own.later_, own.free_});
    }
    return found;
}

// Division of the gang among shards. Empty: no shard, or a single one.
std::vector<gang_share> choose_shares(node const& context, shard_id const& from,
                                      step_spec const&       step,
                                      plan::overflow const&  tasks,
                                      offer_round_row const& round,
                                      offer_choice const&    chosen)
{
    if (!step.gang_ || chosen.all_start_now_)
    {
        return {};
    }
    auto const count = static_cast<std::uint32_t>(tasks.indices_.size());
    std::vector<shard_offer> const room =
        list_gang_room(context, from, step, tasks, round);
    if (sum_free(room) < count && !tasks.blocked_)
    {
        return {};
    }
    std::vector<gang_share> shares = divide_gang(room, count);
    return shares.size() > 1 ? shares : std::vector<gang_share>();
}

// True if the stage runs, has ended or is in another shard now.
bool is_round_obsolete(node const& context, stage_key const& stage,
                       offer_round_row const& round)
{
    owned_row const* const own = context.owned_.find(round.shard_);
    return own == nullptr || own->phase_ != owned_phase::serving ||
           own->releasing_ || !plan::find_job(*own->planner_, stage.job_) ||
           (!round.open_ && round.forget_at_ <= context.now_);
}

// Targets of the answering shards without advice so far.
std::uint64_t count_unknown(offer_round_row const& round)
{
    std::uint64_t unknown = 0;
    for (shard_offer const& offer : round.offers_)
    {
        unknown += offer.unknown_;
    }
    return unknown;
}

void decide_round(node& context, stage_key const& stage, offer_round_row& round)
{
    shard_id const shard = round.shard_;
    owned_row&     own = *context.owned_.find(shard);
    if (own.plan_needed_)
    {
        wake_at(context, own.plan_after_);
        return; // the planner may be about to start it
    }
    auto const tasks = plan::find_waiting(*own.planner_, stage);
    if (!tasks)
    {
        end_round(context, round);
        ++round.rounds_;
        return;
    }
    step_spec const step =
        plan::find_job(*own.planner_, stage.job_)->steps_.at(stage.step_);
    offer_choice const chosen =
        choose_offer(context, shard, step, *tasks, round);
    bool const is_spreadable =
        step.gang_ && sum_free(list_gang_room(context, shard, step, *tasks,
                                              round)) >= tasks->indices_.size();
    if (!chosen.all_start_now_ && !(is_spreadable && round.repeats_ > 0) &&
        !round.awaiting_reply_.empty() && round.answer_by_ > context.now_)
    {
        wake_at(context, round.answer_by_);
        return;
    }
    std::vector<shard_id> incomplete;
    if (step.gang_ && !chosen.all_start_now_ && !is_spreadable)
    {
        auto const job = make_offer(context, shard, *tasks);
        incomplete = list_incomplete(context, round, *tasks, *job);
        if (!incomplete.empty() && round.repeat_until_ > context.now_)
        {
            if (round.repeat_at_ > context.now_)
            {
                wake_at(context, round.repeat_at_);
                return;
            }
            repeat_offers(context, round, *tasks, job, incomplete);
            return;
        }
    }
    log_event(
        context, "offer_decided",
        {{"job", stage.job_.str()},
         {"step", std::to_string(stage.step_)},
         {"answers", std::to_string(round.offers_.size())},
         {"unanswered", std::to_string(round.unanswered_.size())},
         {"unknown", std::to_string(count_unknown(round))},
         {"repeats", std::to_string(round.repeats_)},
         {"shard",
          chosen.best_ ? write_shard_name(chosen.best_->shard_) : "none"},
         {"now", std::to_string(chosen.best_ ? chosen.best_->fit_now_ : 0)},
         {"later",
          std::to_string(chosen.best_ ? chosen.best_->fit_later_ : 0)}});
    std::vector<gang_share> const shares =
        choose_shares(context, shard, step, *tasks, round, chosen);
    end_round(context, round);
    round.rounds_ += incomplete.empty() ? 1 : 0;
    if (!context.store_ok_ || context.stopping_)
    {
        return;
    }
    if (!shares.empty())
    {
        spread_gang(context, shard, *tasks, shares);
    }
    else if (chosen.best_)
    {
        begin_delegation(context, shard, own,
                         limit_to_offer(step, *tasks, *chosen.best_),
                         chosen.best_->shard_);
    }
    else if (step.gang_)
    {
        auto const count = static_cast<std::uint32_t>(tasks->indices_.size());
        if (auto const to = find_room_for_all(
                list_gang_room(context, shard, step, *tasks, round), shard,
                count))
        {
            begin_delegation(context, shard, own, *tasks, *to);
        }
    }
}

} // namespace

// 4. Ticks

void offer_stages(node& context)
{
    expire_offers(context);
    std::vector<stage_key> const stages = context.offer_rounds_.keys();
    for (stage_key const& stage : stages)
    {
        offer_round_row& round = *context.offer_rounds_.find(stage);
        if (is_round_obsolete(context, stage, round))
        {
            end_round(context, round);
            context.offer_rounds_.remove(stage);
        }
        else if (round.open_)
        {
            decide_round(context, stage, round);
        }
    }
}

} // namespace fescuevane::cell
