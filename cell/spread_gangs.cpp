// Purpose: system: runs gangs on several shards if no single one can hold them.
//
// The shard of the gang delegates parts of it, under one run number, to shards
// that can run it together. Each part is a job of its own, like other
// delegates, and survives a change of owner on both sides. The parts gather
// room and tickets; once all of them report both, all are ordered to start, so
// a target waits for the rest of the gang only as long as these calls take. If
// a part doesn't start, or its run ends, the others are withdrawn, and the gang
// is queued again once nothing of its run is left anywhere.
//
// Index of sections
//   1. Parts
//   2. Calls
//   3. Phases
//   4. Ticks
#include "cell/node.hpp"

#include "cell/gang_share.hpp"
#include "cell/records.hpp"
#include "plan/overflow.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

// 1. Parts

void spread_gang(node& context, shard_id const& shard,
                 plan::overflow const&          tasks,
                 std::vector<gang_share> const& shares)
{
    owned_row&          own = *context.owned_.find(shard);
    std::uint32_t const run =
        plan::find_next_gang_run(*own.planner_, tasks.stage_);
    gang_spread_row& row = context.spreads_.ensure(tasks.stage_);
    row = {.shard_ = shard,
           .phase_ = spread_phase::placing,
           .until_ =
               context.now_.after(context.settings_.spread_place_micros_)};
    auto next = tasks.indices_.begin();
    for (gang_share const& share : shares)
    {
        plan::overflow part{.stage_ = tasks.stage_,
                            .demand_ = tasks.demand_,
                            .since_ = tasks.since_,
                            .blocked_ = tasks.blocked_,
                            .gang_run_ = run};
        part.indices_.assign(next, next + share.tasks_);
        next += share.tasks_;
        row.parts_[begin_delegation(context, shard, own, part, share.shard_)];
    }
    log_event(context, "gang_spread",
              {{"job", tasks.stage_.job_.str()},
               {"step", std::to_string(tasks.stage_.step_)},
               {"run", std::to_string(run)},
               {"tasks", std::to_string(tasks.indices_.size())},
               {"parts", std::to_string(shares.size())}});
    wake_at(context, context.now_);
}

void restore_spread(node& context, shard_id const& shard,
                    stage_key const& stage, job_id const& part)
{
    gang_spread_row& row = context.spreads_.ensure(stage);
    row.shard_ = shard;
    row.phase_ = spread_phase::gathering;
    row.until_ = context.now_.after(context.settings_.spread_gather_micros_);
    row.parts_[part];
}

namespace
{

void remove_spread(node& context, stage_key const& stage)
{
    for (auto const& [id, part] : context.spreads_.find(stage)->parts_)
    {
        context.part_requests_.erase(part.request_);
    }
    context.spreads_.remove(stage);
}

} // namespace

void drop_spreads(node& context, shard_id const& shard)
{
    std::vector<stage_key> const stages = context.spreads_.keys();
    for (stage_key const& stage : stages)
    {
        if (context.spreads_.find(stage)->shard_ == shard)
        {
            remove_spread(context, stage);
        }
    }
}

// 2. Calls

namespace
{

// Shard that holds a part, if known.
std::optional<shard_id> find_shard(node const& context, job_id const& part)
{
    if (record_row const* const record = context.records_.find(part))
    {
        return record->shard_;
    }
    auto const place = context.job_locations_.find(part);
    return place == context.job_locations_.end() ? std::nullopt
                                                 : std::optional(place->second);
}

// Forgets the call in flight, so that a late reply is ignored.
void abandon_call(node& context, spread_part& part)
{
    context.part_requests_.erase(part.request_);
    part.request_ = 0;
}

void call_part(node& context, stage_key const& stage, job_id const& id,
               spread_part& part, call_kind kind, instant deadline)
{
    abandon_call(context, part);
    part.next_at_ = context.now_.after(context.settings_.spread_retry_micros_);
    std::optional<shard_id> const shard = find_shard(context, id);
    bool const loading = shard && context.owned_.contains(*shard) &&
                         !owns(context, *shard, owned_phase::serving);
    if (!shard || loading || !context.shards_.contains(*shard))
    {
        wake_at(context, part.next_at_);
        return;
    }
    part.next_at_ = std::max(deadline, part.next_at_);
    wake_at(context, part.next_at_);
    std::uint64_t const request = next_request(context);
    part.request_ = request;
    context.part_requests_[request] = {stage, id};
    job_call const call{
        .kind_ = kind, .id_ = id, .shard_ = *shard, .deadline_ = deadline};
    if (owns(context, *shard, owned_phase::serving))
    {
        serve_part(context, {false, request}, call);
        return;
    }
    context.outbox_.push_back(
        call_peer{request, context.shards_.find(*shard)->address_, call});
}

} // namespace

bool end_part_call(node& context, std::uint64_t request,
                   job_answer const& answer)
{
    auto const found = context.part_requests_.find(request);
    if (found == context.part_requests_.end())
    {
        return false;
    }
    part_request const target = found->second;
    context.part_requests_.erase(found);
    gang_spread_row* const row = context.spreads_.find(target.stage_);
    if (row == nullptr || !row->parts_.contains(target.part_))
    {
        return true;
    }
    spread_part& part = row->parts_.at(target.part_);
    if (part.request_ != request)
    {
        return true; // a later call was made meanwhile
    }
    part.request_ = 0;
    part.next_at_ = context.now_.after(context.settings_.spread_retry_micros_);
    if (answer.outcome_ == job_outcome::known)
    {
        part.started_ = answer.phase_ == job_phase::running;
        part.ready_until_ =
            part.started_ ? instant::never()
            : answer.phase_ == job_phase::pending
                ? context.now_.after(context.settings_.spread_ready_micros_)
                : instant();
        part.ended_ = is_final(answer.phase_);
    }
    else if (row->phase_ == spread_phase::starting)
    {
        part.ended_ = true;
    }
    wake_at(context, context.now_);
    return true;
}

// 3. Phases

namespace
{

void enter_phase(node& context, stage_key const& stage, gang_spread_row& row,
                 spread_phase phase, std::int64_t micros, char const* reason)
{
    row.phase_ = phase;
    row.until_ = context.now_.after(micros);
    for (auto& [id, part] : row.parts_)
    {
        abandon_call(context, part);
        part.next_at_ = context.now_;
    }
    log_event(context, "gang_phase",
              {{"job", stage.job_.str()},
               {"step", std::to_string(stage.step_)},
               {"parts", std::to_string(row.parts_.size())},
               {"phase", reason}});
    wake_at(context, context.now_);
}

void withdraw_parts(node& context, stage_key const& stage, gang_spread_row& row,
                    char const* reason)
{
    enter_phase(context, stage, row, spread_phase::withdrawing, 0, reason);
}

template <typename Check>
bool all_parts(gang_spread_row const& row, Check const& check)
{
    return std::all_of(row.parts_.begin(), row.parts_.end(),
                       [&check](auto const& entry)
                       {
                           return check(entry.second);
                       });
}

bool has_ended_part(gang_spread_row const& row)
{
    return !all_parts(row,
                      [](spread_part const& part)
                      {
                          return !part.ended_;
                      });
}

// Calls each part that `needs` it and has no call in flight.
template <typename Needs>
void call_parts(node& context, stage_key const& stage, gang_spread_row& row,
                call_kind kind, instant deadline, Needs const& needs)
{
    for (auto& [id, part] : row.parts_)
    {
        if (!needs(part))
        {
            continue;
        }
        if (part.next_at_ > context.now_)
        {
            wake_at(context, part.next_at_);
            continue;
        }
        call_part(context, stage, id, part, kind, deadline);
    }
}

bool is_accepted(node const& context, job_id const& part)
{
    return context.delegations_.find(part)->phase_ == delegation_phase::running;
}

void advance_placing(node& context, stage_key const& stage,
                     gang_spread_row& row)
{
    bool const placed =
        std::all_of(row.parts_.begin(), row.parts_.end(),
                    [&context](auto const& entry)
                    {
                        return is_accepted(context, entry.first);
                    });
    if (placed)
    {
        enter_phase(context, stage, row, spread_phase::gathering,
                    context.settings_.spread_gather_micros_, "gathering");
    }
    else if (row.until_ <= context.now_)
    {
        withdraw_parts(context, stage, row,
                       "timed out waiting for acceptance of all parts");
    }
}

void advance_gathering(node& context, stage_key const& stage,
                       gang_spread_row& row)
{
    auto const is_ready = [&context](spread_part const& part)
    {
        return part.ready_until_ > context.now_;
    };
    if (has_ended_part(row))
    {
        withdraw_parts(context, stage, row, "a part ended before the start");
        return;
    }
    if (all_parts(row, is_ready))
    {
        enter_phase(context, stage, row, spread_phase::starting,
                    context.settings_.spread_start_micros_, "starting");
        return;
    }
    if (row.until_ <= context.now_)
    {
        // Parts delegated by a former owner may run while one is unreachable.
        bool const some_run = !all_parts(row,
                                         [](spread_part const& part)
                                         {
                                             return !part.started_;
                                         });
        if (some_run)
        {
            enter_phase(context, stage, row, spread_phase::running, 0,
                        "running");
        }
        else
        {
            withdraw_parts(context, stage, row,
                           "timed out waiting for room and tickets");
        }
        return;
    }
    instant const deadline = std::min(
        row.until_, context.now_.after(context.settings_.spread_await_micros_));
    call_parts(context, stage, row, call_kind::await_part, deadline,
               [&is_ready](spread_part const& part)
               {
                   return !is_ready(part);
               });
    for (auto const& [id, part] : row.parts_)
    {
        if (is_ready(part))
        {
            wake_at(context, part.ready_until_);
        }
    }
}

void advance_starting(node& context, stage_key const& stage,
                      gang_spread_row& row)
{
    bool const started = all_parts(row,
                                   [](spread_part const& part)
                                   {
                                       return part.started_;
                                   });
    if (started)
    {
        enter_phase(context, stage, row, spread_phase::running, 0, "running");
        return;
    }
    instant const answer_by =
        row.until_.after(context.settings_.spread_slack_micros_);
    if (has_ended_part(row) || answer_by <= context.now_)
    {
        withdraw_parts(context, stage, row, "a part failed to start");
        return;
    }
    wake_at(context, answer_by);
    call_parts(context, stage, row, call_kind::start_part, row.until_,
               [](spread_part const& part)
               {
                   return !part.started_;
               });
}

void advance_running(node& /*context*/, stage_key const& /*stage*/,
                     gang_spread_row& /*row*/)
{
}

void advance_withdrawing(node& context, stage_key const& stage,
                         gang_spread_row& row)
{
    call_parts(context, stage, row, call_kind::withdraw_part,
               context.now_.after(context.settings_.spread_retry_micros_),
               [](spread_part const& /*part*/)
               {
                   return true;
               });
}

// In the order of `spread_phase`.
constexpr std::array<void (*)(node&, stage_key const&, gang_spread_row&), 5>
    phase_handlers = {&advance_placing, &advance_gathering, &advance_starting,
                      &advance_running, &advance_withdrawing};

bool has_ended(delegation_row const* part)
{
    return part == nullptr || part->phase_ == delegation_phase::unmarking;
}

// Removes ended parts. Returns false if some have ended or are being canceled
// with the gang's job: the others must not start.
bool drop_ended(node& context, gang_spread_row& row)
{
    bool complete = true;
    for (auto at = row.parts_.begin(); at != row.parts_.end();)
    {
        delegation_row const* const part = context.delegations_.find(at->first);
        bool const                  ended = has_ended(part);
        complete =
            complete && !ended && part->phase_ != delegation_phase::canceling;
        if (ended)
        {
            abandon_call(context, at->second);
        }
        at = ended ? row.parts_.erase(at) : std::next(at);
    }
    return complete;
}

// Returns false once this host no longer has to manage the gang.
bool advance_spread(node& context, stage_key const& stage, gang_spread_row& row)
{
    owned_row const* const own = context.owned_.find(row.shard_);
    if (own == nullptr || own->phase_ != owned_phase::serving)
    {
        return own != nullptr;
    }
    bool const complete = drop_ended(context, row);
    if (row.parts_.empty())
    {
        return false;
    }
    bool const all_delegated =
        own->plan_needed_ ||
        plan::is_gang_spread_complete(*own->planner_, stage);
    if (row.phase_ != spread_phase::withdrawing && !(complete && all_delegated))
    {
        withdraw_parts(context, stage, row, "a part has ended");
    }
    phase_handlers.at(static_cast<std::size_t>(row.phase_))(context, stage,
                                                            row);
    return true;
}

} // namespace

// 4. Ticks

void spread_gangs(node& context)
{
    std::vector<stage_key> const stages = context.spreads_.keys();
    for (stage_key const& stage : stages)
    {
        if (!advance_spread(context, stage, *context.spreads_.find(stage)))
        {
            remove_spread(context, stage);
        }
    }
}

} // namespace fescuevane::cell
