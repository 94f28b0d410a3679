// Purpose: system: requests tickets from the policy service ahead of need. A
// reply takes longer the more targets a request names, and a ticket expires. So
// a stage sends its request when its tasks are about to start, for targets with
// room.
#include "plan/job_flow.hpp"
#include "plan/offers.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/room_reservations.hpp"
#include "plan/run_remaining.hpp"
#include "plan/stage_rank.hpp"
#include "plan/stage_view.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// Added to the time of a reply for network hops, earlier requests in the queue,
// and run time estimates that are too long.
constexpr double lead_ms = 500;

double find_reply_ms(planner const& context, advice_policy const& advice)
{
    auto const targets = std::min<std::size_t>(
        context.targets_.size(), context.settings_.advice_targets_);
    return advice.decision_ms_ +
           advice.per_target_ms_ * static_cast<double>(targets);
}

bool may_request(planner const& context, bool is_long)
{
    return is_long ? context.long_requests_ < context.max_long_requests_
                   : context.short_requests_ <
                         context.settings_.max_short_requests_;
}

bool may_request_any(planner const& context)
{
    return may_request(context, false) || may_request(context, true);
}

bool is_long_request(planner const& context, advice_policy const& advice)
{
    return find_reply_ms(context, advice) > context.settings_.advice_long_ms_;
}

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
                               find_reply_ms(context, advice) + lead_ms);
        });
}

// Room that better-ranked stages leave, for each row of the target table. It
// limits requests, since a ticket for room that another stage takes expires
// unused.
using free_room = std::vector<resources>;

free_room list_free_room(planner const& context)
{
    free_room free;
    for (target_row const& target : context.targets_)
    {
        free.push_back(target.capacity_ - target.used_ - target.held_);
    }
    return free;
}

// Reserved room counts as used for all stages except the one it is reserved
// for.
void return_reserved_room(planner const& context, stage_key const& key,
                          free_room& free)
{
    for (room_reservation const& reservation : context.holds_)
    {
        if (reservation.stage_ == key)
        {
            auto const& ids = context.targets_.keys();
            auto const  row = static_cast<std::size_t>(
                std::find(ids.begin(), ids.end(), reservation.target_) -
                ids.begin());
            free[row] = free[row] + reservation.amount_;
        }
    }
}

// A target that a stage may use.
struct candidate
{
    std::int64_t fitting_ = 0;   // tasks
    std::size_t  row_ = 0;       // of the target table
    bool         known_ = false; // the policy service allows it
    bool         ticketed_ = false;
};

// Number of tasks that candidates have room for, and how many of them on
// targets with tickets.
struct coverage
{
    std::int64_t const fitting_ = 0;
    std::int64_t const ticketed_ = 0;
};

// Targets with valid tickets first, then those with the most room.
void sort_candidates(std::vector<candidate>& candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](candidate const& a, candidate const& b)
              {
                  return std::tuple(!a.ticketed_, -a.fitting_, a.row_) <
                         std::tuple(!b.ticketed_, -b.fitting_, b.row_);
              });
}

std::vector<candidate> list_candidates(planner const&    context,
                                       stage_view const& stage,
                                       free_room const&  free)
{
    auto const&            tickets = stage.row_.tickets_;
    std::vector<candidate> candidates;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        // When a stage becomes startable, the free room will have changed.
        std::int64_t fitting =
            stage.row_.startable_
                ? count_fitting_in(stage.step_, target, free[row])
                : count_fitting_later(stage, target);
        if (fitting == 0 || !accepts_stage(context, stage, target))
        {
            continue;
        }
        target_id const& id = context.targets_.key(row);
        auto const       ticket = tickets.find(id);
        if (ticket != tickets.end() && !ticket->second.good_)
        {
            continue;
        }
        fitting = limit_to_spread(context, stage, id, fitting);
        if (fitting > 0)
        {
            candidates.push_back(
                {fitting, row, ticket != tickets.end(),
                 ticket != tickets.end() && is_valid(context, ticket->second)});
        }
    }
    sort_candidates(candidates);
    return candidates;
}

coverage count_room(std::vector<candidate> const& candidates)
{
    std::int64_t fitting = 0;
    std::int64_t ticketed = 0;
    for (candidate const& at : candidates)
    {
        fitting += at.fitting_;
        ticketed += at.ticketed_ ? at.fitting_ : 0;
    }
    return {fitting, ticketed};
}

// Subtracts the room of the waiting tasks from what is left to worse-ranked
// stages.
void take_room(step_spec const& step, std::vector<candidate> const& candidates,
               std::int64_t fitting, std::int64_t waiting, free_room& free)
{
    // A gang that lacks room starts no task, so others may use what is free.
    std::int64_t rest = step.gang_ && fitting < waiting ? 0 : waiting;
    for (candidate const& at : candidates)
    {
        std::int64_t const taken = std::min(rest, at.fitting_);
        free[at.row_] = free[at.row_] - required_room(step) * taken;
        rest -= taken;
    }
}

// Targets without room that may have some when the reply arrives.
std::vector<candidate>
list_later_candidates(planner const& context, stage_view const& stage,
                      std::vector<candidate> const& candidates)
{
    std::vector<bool> listed(context.targets_.size());
    for (candidate const& at : candidates)
    {
        listed[at.row_] = true;
    }
    auto const&            tickets = stage.row_.tickets_;
    std::vector<candidate> later;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        target_id const&  id = context.targets_.key(row);
        if (listed[row] || !accepts_stage(context, stage, target) ||
            !could_run(context, stage, id, target))
        {
            continue;
        }
        std::int64_t const fitting = limit_to_spread(
            context, stage, id, count_fitting_later(stage, target));
        if (fitting > 0)
        {
            auto const ticket = tickets.find(id);
            later.push_back(
                {fitting, row, ticket != tickets.end(),
                 ticket != tickets.end() && is_valid(context, ticket->second)});
        }
    }
    sort_candidates(later);
    return later;
}

// Tickets are useless to a gang that lacks room. But advice about other targets
// is worth a request: which targets are allowed never changes, and decides
// whether the gang has to go to another shard.
void erase_known_targets(std::vector<candidate>& candidates)
{
    std::erase_if(candidates,
                  [](candidate const& at)
                  {
                      return at.known_;
                  });
}

void send_request(planner& context, stage_view const& view,
                  std::vector<target_id> targets, bool is_long)
{
    stage_row& stage = *context.stages_.find(view.key_);
    ++stage.asked_;
    stage.requested_long_ = is_long;
    stage.requested_at_ = context.now_;
    stage.turn_due_ = instant::never();
    ++(is_long ? context.long_requests_ : context.short_requests_);
    context.outbox_.push_back(advice_request{
        view.key_, std::move(targets), view.queue_->advice_->validity_ms_});
}

// Free room changes before the reply arrives, and a request costs more than one
// further target in it. So it names all targets that the stage may use, those
// with room first.
void send_request_for(planner& context, stage_view const& view,
                      std::vector<candidate> const& candidates, bool is_long)
{
    std::vector<target_id> targets;
    for (candidate const& at : candidates)
    {
        if (!at.ticketed_ && targets.size() < context.settings_.advice_targets_)
        {
            targets.push_back(context.targets_.key(at.row_));
        }
    }
    if (!targets.empty())
    {
        send_request(context, view, std::move(targets), is_long);
    }
}

bool lacks_tickets(std::vector<candidate> const& candidates)
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [](candidate const& at)
                       {
                           return !at.ticketed_;
                       });
}

// Stages that may send a request, or whose tasks take room from worse-ranked
// ones.
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

bool is_reserved_for(planner const& context, stage_key const& key,
                     std::size_t row)
{
    target_row const& target = context.targets_[row];
    return !target.held_.is_zero() &&
           context.holds_[target.hold_].stage_ == key;
}

// Targets with a reservation for the stage, even while they are full.
std::vector<candidate> list_reserved(planner const&    context,
                                     stage_view const& stage)
{
    std::vector<candidate> reserved;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        if (!is_reserved_for(context, stage.key_, row))
        {
            continue;
        }
        auto const ticket = stage.row_.tickets_.find(context.targets_.key(row));
        reserved.push_back({context.holds_[context.targets_[row].hold_].tasks_,
                            row, true,
                            ticket != stage.row_.tickets_.end() &&
                                is_valid(context, ticket->second)});
    }
    return reserved;
}

// Time from a request about a number of targets to the start of the tasks.
std::int64_t find_lead_micros(stage_view const& stage, std::size_t targets)
{
    advice_policy const& advice = *stage.queue_->advice_;
    return static_cast<std::int64_t>(
        (advice.decision_ms_ + lead_ms +
         advice.per_target_ms_ * static_cast<double>(targets)) *
        micros_per_milli);
}

// Marks tickets that expire before a reply could arrive as missing, so that
// they are renewed now.
void mark_expiring(planner& context, stage_view const& stage,
                   std::int64_t lead_micros, std::vector<candidate>& candidates)
{
    for (candidate& at : candidates)
    {
        if (at.ticketed_)
        {
            instant const until =
                stage.row_.tickets_.at(context.targets_.key(at.row_))
                    .valid_until_;
            at.ticketed_ = until > context.now_.after(lead_micros);
            if (at.ticketed_)
            {
                wake_at(context, until.after(-lead_micros));
            }
        }
    }
}

// Requests tickets for a gang with reservations when all its room will be free
// by the time of the reply. Names all reserved targets at once, so that no
// ticket expires before the last one arrives. Other targets with room may
// replace a reserved one. False: it is too early.
bool request_for_gang(planner& context, stage_view const& stage,
                      std::vector<candidate> candidates, bool is_long)
{
    std::int64_t lead_micros = find_lead_micros(
        stage, std::min<std::size_t>(stage.step_.count_,
                                     context.settings_.advice_targets_));
    instant const request_at = stage.row_.room_at_.after(-lead_micros);
    if (request_at > context.now_)
    {
        wake_at(context, request_at);
        return false;
    }
    if (stage.row_.part_ != part_phase::none)
    {
        // It has to stay ready until the other parts are.
        lead_micros += context.settings_.part_ready_micros_;
    }
    std::erase_if(candidates,
                  [&](candidate const& at)
                  {
                      return !at.known_ ||
                             is_reserved_for(context, stage.key_, at.row_);
                  });
    std::vector<candidate> reserved = list_reserved(context, stage);
    candidates.insert(candidates.begin(), reserved.begin(), reserved.end());
    mark_expiring(context, stage, lead_micros, candidates);
    bool const reserved_lacks_tickets =
        std::any_of(candidates.begin(), candidates.begin() + reserved.size(),
                    [](candidate const& at)
                    {
                        return !at.ticketed_;
                    });
    if (!reserved_lacks_tickets)
    {
        return true;
    }
    std::size_t const      most = context.settings_.advice_targets_;
    std::vector<target_id> targets;
    std::size_t            number = 0;
    for (candidate const& at : candidates)
    {
        // Only reserved targets are worth a further request.
        bool const is_spare = number++ >= reserved.size();
        if (at.ticketed_ || (is_spare && targets.size() >= most))
        {
            continue;
        }
        if (targets.size() == most)
        {
            if (!may_request(context, is_long))
            {
                return true;
            }
            send_request(context, stage, std::exchange(targets, {}), is_long);
        }
        targets.push_back(context.targets_.key(at.row_));
    }
    if (may_request(context, is_long))
    {
        send_request(context, stage, std::move(targets), is_long);
    }
    return true;
}

// A stage with reservations requests tickets early, to have them when the room
// is free: also while its targets are full, and before its tickets expire. Of
// the targets without room, the request names only those known to be allowed.
void request_for_reserved_room(planner& context, stage_view const& stage,
                               std::vector<candidate> candidates, bool is_long)
{
    std::vector<candidate> const later =
        list_later_candidates(context, stage, candidates);
    std::copy_if(later.begin(), later.end(), std::back_inserter(candidates),
                 [](candidate const& at)
                 {
                     return at.known_;
                 });
    mark_expiring(context, stage, find_lead_micros(stage, candidates.size()),
                  candidates);
    send_request_for(context, stage, candidates, is_long);
}

// For a part of a gang without reserved room: asks only about targets that may
// or may not be allowed. Tickets would expire before its room is reserved, and
// renewing them delays the requests of older gangs.
void learn_allowed_targets(planner& context, stage_view const& stage,
                           std::vector<candidate> candidates, bool is_long)
{
    std::vector<candidate> const later =
        list_later_candidates(context, stage, candidates);
    candidates.insert(candidates.end(), later.begin(), later.end());
    erase_known_targets(candidates);
    send_request_for(context, stage, candidates, is_long);
}

// Takes the room of the stage from `free`, and sends requests if `allowed`.
void request_for_stage(planner& context, stage_key const& key, free_room& free,
                       bool allowed)
{
    stage_view const   stage = view_stage(context, key);
    bool const         startable = stage.row_.startable_;
    std::int64_t const waiting = count_waiting(stage.row_);
    bool const         reserves_for_gang =
        stage.step_.gang_ && stage.row_.room_at_ != instant::never();
    if (waiting == 0 ||
        (startable && !reserves_for_gang &&
         !is_within_limit(context, stage.job_.spec_->organisation_, key,
                          stage.step_.demand_)))
    {
        return;
    }
    bool const is_long =
        needs_ticket(stage) && is_long_request(context, *stage.queue_->advice_);
    // A stage with reservations may be of a queue without a policy service.
    bool const may_send = allowed && needs_ticket(stage) &&
                          stage.row_.asked_ == 0 &&
                          may_request(context, is_long);
    if (!startable && !may_send)
    {
        return;
    }
    bool const has_reservations = count_reservations(context, key) > 0;
    if (reserves_for_gang)
    {
        // On a copy: worse-ranked stages don't get the reserved room.
        free_room own = free;
        return_reserved_room(context, key, own);
        std::vector<candidate> candidates =
            list_candidates(context, stage, own);
        if (may_send && !request_for_gang(context, stage, candidates, is_long))
        {
            // Uses the time to learn which other targets are allowed.
            erase_known_targets(candidates);
            send_request_for(context, stage, candidates, is_long);
        }
        return;
    }
    if (has_reservations)
    {
        return_reserved_room(context, key, free);
    }
    std::vector<candidate> candidates = list_candidates(context, stage, free);
    if (!startable)
    {
        if (is_offer_without_room(context, stage))
        {
            erase_known_targets(candidates);
        }
        send_request_for(context, stage, candidates, is_long);
        return;
    }
    coverage const room = count_room(candidates);
    take_room(stage.step_, candidates, room.fitting_, waiting, free);
    if (stage.row_.part_ != part_phase::none && !has_reservations)
    {
        if (may_send)
        {
            learn_allowed_targets(context, stage, std::move(candidates),
                                  is_long);
        }
        return;
    }
    if (has_reservations && may_send)
    {
        request_for_reserved_room(context, stage, std::move(candidates),
                                  is_long);
        return;
    }
    if (!may_send || room.ticketed_ >= waiting)
    {
        return;
    }
    bool const lacks_room = stage.step_.gang_ && room.fitting_ < waiting;
    if (lacks_room ? is_blocked(context, stage) : !lacks_tickets(candidates))
    {
        return;
    }
    std::vector<candidate> const later =
        list_later_candidates(context, stage, candidates);
    candidates.insert(candidates.end(), later.begin(), later.end());
    if (lacks_room)
    {
        erase_known_targets(candidates);
    }
    send_request_for(context, stage, candidates, is_long);
}

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

bool is_in_turn(planner const& context, stage_key const& key)
{
    return context.stages_.find(key)->turn_until_ > context.now_;
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
        static_cast<std::int64_t>((find_reply_ms(context, advice) + lead_ms) *
                                  micros_per_milli) +
        advice.validity_ms_ * micros_per_milli);
}

// Begins the turns that are due if better-ranked stages had used up the
// requests; otherwise rank serves all stages.
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

void request_for_all(planner& context)
{
    std::vector<stage_rank> const ranks = rank_requesting_stages(context);
    free_room                     free = list_free_room(context);
    std::size_t                   holding = 0;
    for (; holding < ranks.size() &&
           count_reservations(context, ranks[holding].stage_) > 0;
         ++holding)
    {
        request_for_stage(context, ranks[holding].stage_, free, true);
    }
    std::span<stage_rank const> const others =
        std::span(ranks).subspan(holding);
    request_in_turns(context, others, free);
    for (stage_rank const& rank : others)
    {
        if (!may_request_any(context))
        {
            return;
        }
        if (!is_in_turn(context, rank.stage_))
        {
            request_for_stage(context, rank.stage_, free, true);
        }
    }
}

} // namespace

void request_advice(planner& context)
{
    if (may_request_any(context))
    {
        request_for_all(context);
    }
    context.requests_scarce_ =
        !may_request(context, false) || !may_request(context, true);
}

} // namespace fescuevane::plan
