// Purpose: calls of local callers: access, routing to owners, answers.
//
// Index of sections
//   1. Ends of a call
//   2. Access
//   3. Opening
//   4. Routing
//   5. Answers
//   6. Expiry
#include "core/core.hpp"
#include "entry/node.hpp"
#include "entry/node_tables.hpp"
#include "state/config.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace fescuevane::entry
{
namespace
{

// A submission that should return at once still waits this long for the word
// of its owner, which covers a takeover.
constexpr std::int64_t accept_wait_micros = 5 * micros_per_second;

// Messages between processes are lost when a link breaks; the owner knows the
// job by its id, so asking again is safe.
constexpr std::int64_t resend_micros = 2 * micros_per_second;

// Offered with refusals that are due to a missing owner; a takeover takes about
// two seconds.
constexpr std::int64_t retry_after_micros = 2 * micros_per_second;

// Team of callers without a key on services that are open to all.
constexpr char const* open_team = "open";

// Marks calls that the node opens itself, apart from those of front ends.
constexpr std::uint64_t own_call_bit = std::uint64_t{1} << 63U;

// 1. Ends of a call

counter find_counter(job_state state)
{
    switch (state)
    {
    case job_state::answered:
        return counter::calls_answered;
    case job_state::not_run:
        return counter::calls_not_run;
    case job_state::unknown:
        return counter::calls_unknown;
    default:
        return counter::calls_opened;
    }
}

void tell_call(node& context, std::size_t row, job_result const& result)
{
    routed_call_table& calls = context.calls_;
    if (is_final(result.state_) && calls.kind_[row] == routed_call_kind::submit)
    {
        count(context, find_counter(result.state_));
    }
    if (calls.kind_[row] != routed_call_kind::transfer)
    {
        context.outbox_.push_back(job_told{calls.index_.key(row), result});
    }
    remove_routed_call(calls, row);
}

void refuse_call(node& context, std::size_t row, std::string reason)
{
    if (context.calls_.kind_[row] == routed_call_kind::transfer)
    {
        job_key const job = context.calls_.job_[row];
        remove_routed_call(context.calls_, row);
        retry_transfer(context, job);
        return;
    }
    bool const clean = context.calls_.sent_to_[row].empty() &&
                       context.calls_.uncertain_[row] == 0;
    tell_call(context, row,
              {.key_ = context.calls_.job_[row],
               .state_ = clean ? job_state::not_run : job_state::unknown,
               .reason_ = std::move(reason),
               .retry_after_micros_ = retry_after_micros,
               .owner_ = context.calls_.sent_to_[row]});
}

void reject_call(node& context, std::uint64_t call, call_error error,
                 std::string message)
{
    count(context, counter::calls_rejected);
    context.outbox_.push_back(call_rejected{call, error, std::move(message)});
}

// 2. Access

bool has_team_key(node const& context, team_id const& team,
                  std::string const& key)
{
    auto const found = context.config_->teams_.find(team);
    return found != context.config_->teams_.end() &&
           found->second.key_hashes_.contains(state::hash_key(key));
}

// The team that the work counts for; no value after a rejection.
std::optional<team_id> admit_submit(node& context, submit_opened const& input)
{
    service_id const& service = input.spec_.service_;
    auto const        found = context.config_->services_.find(service);
    if (found == context.config_->services_.end())
    {
        reject_call(context, input.call_, call_error::key_rejected,
                    "service \"" + service.str() + "\" does not exist");
        return std::nullopt;
    }
    if (input.key_.empty())
    {
        if (found->second.open_)
        {
            return team_id(open_team);
        }
        reject_call(context, input.call_, call_error::key_missing,
                    "service \"" + service.str() + "\" needs a team's key");
        return std::nullopt;
    }
    team_id const& team = input.spec_.key_.team_;
    if (!state::accepts_key(*context.config_, team, service, input.key_))
    {
        reject_call(context, input.call_, call_error::key_rejected,
                    "the key is not granted to team \"" + team.str() +
                        "\" for service \"" + service.str() + "\"");
        return std::nullopt;
    }
    return team;
}

// The team whose jobs a look-up or cancellation may touch.
std::optional<team_id> admit_team(node& context, std::uint64_t call,
                                  team_id const& team, std::string const& key)
{
    if (!context.config_)
    {
        reject_call(context, call, call_error::key_rejected,
                    "no configuration is known yet");
        return std::nullopt;
    }
    if (key.empty())
    {
        return team_id(open_team);
    }
    if (has_team_key(context, team, key))
    {
        return team;
    }
    reject_call(context, call, call_error::key_rejected,
                "the key is not granted to team \"" + team.str() + "\"");
    return std::nullopt;
}

// 3. Opening

// Own failure domain first, then the most room; equal shards take turns by
// chance, because reports of their load are some hundred milliseconds old.
std::optional<shard_id> pick_shard(node& context)
{
    route_table const&                     routes = context.routes_;
    std::optional<std::size_t>             best;
    std::pair<int, double>                 best_score;
    std::uniform_real_distribution<double> chance(0.5, 1.0);
    for (std::size_t row = 0; row < routes.index_.size(); ++row)
    {
        shard_id const& shard = routes.index_.key(row);
        if (routes.host_[row].empty() || !is_in_service(context, shard.domain_))
        {
            continue;
        }
        bool const has_room =
            routes.free_slots_[row] > routes.queued_tasks_[row];
        bool const   local = shard.domain_ == context.settings_.state_.domain_;
        double const room =
            has_room
                ? static_cast<double>(routes.free_slots_[row] -
                                      routes.queued_tasks_[row])
                : 1.0 / (1.0 + static_cast<double>(routes.queued_tasks_[row]));
        std::pair<int, double> const score{(has_room ? 2 : 0) + (local ? 1 : 0),
                                           room * chance(context.random_)};
        if (!best || score > best_score)
        {
            best = row;
            best_score = score;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    return routes.index_.key(*best);
}

job_id make_job_id(node& context, std::optional<shard_id> const& home)
{
    std::string const unique =
        context.settings_.state_.host_.str() + "-" +
        std::to_string(context.settings_.state_.incarnation_) + "-" +
        std::to_string(++context.next_job_);
    return job_id(home ? format_key(*home) + "~" + unique : unique);
}

void open_routed_call(node& context, std::uint64_t call, routed_call_kind kind,
                      job_key const& job, std::shared_ptr<job_spec const> spec,
                      instant wait_deadline)
{
    std::size_t const row =
        append_routed_call(context.calls_, call, kind, job, std::move(spec),
                           context.now_, wait_deadline);
    context.calls_.order_.replace(row, order_shards(context, job));
    context.to_route_.push_back(call);
    context.expire_deadline_ =
        std::min(context.expire_deadline_, wait_deadline);
}

} // namespace

job_spec copy_spec(job_spec const& spec, job_key const& key,
                   std::string const& traceparent)
{
    return {.key_ = key,
            .service_ = spec.service_,
            .kind_ = spec.kind_,
            .task_count_ = spec.task_count_,
            .demand_ = spec.demand_,
            .idempotent_ = spec.idempotent_,
            .start_deadline_ = spec.start_deadline_,
            .declared_run_micros_ = spec.declared_run_micros_,
            .payload_ = spec.payload_,
            .traceparent_ = traceparent};
}

void open_submit(node& context, submit_opened const& input)
{
    count(context, counter::calls_opened);
    if (!is_ready(context) ||
        context.calls_.index_.size() >= context.settings_.max_open_calls_)
    {
        count(context, counter::calls_not_run);
        context.outbox_.push_back(job_told{
            input.call_,
            {.key_ = input.spec_.key_,
             .state_ = job_state::not_run,
             .reason_ = context.stopping_ ? "this process is stopping"
                        : context.config_ ? "too many open calls"
                                          : "no configuration is known yet",
             .retry_after_micros_ = retry_after_micros}});
        return;
    }
    auto const team = admit_submit(context, input);
    if (!team)
    {
        return;
    }
    bool const    fresh = input.spec_.key_.job_.empty();
    job_key const key{*team, fresh ? make_job_id(context, pick_shard(context))
                                   : input.spec_.key_.job_};
    open_routed_call(context, input.call_, routed_call_kind::submit, key,
                     std::make_shared<job_spec const>(
                         copy_spec(input.spec_, key, input.spec_.traceparent_)),
                     input.wait_deadline_);
    std::size_t const row = *context.calls_.index_.find(input.call_);
    context.calls_.may_be_known_[row] = fresh ? 0 : 1;
}

void open_lookup(node& context, lookup_opened const& input)
{
    auto const team =
        admit_team(context, input.call_, input.job_.team_, input.key_);
    if (team)
    {
        open_routed_call(context, input.call_, routed_call_kind::lookup,
                         {*team, input.job_.job_}, nullptr,
                         input.wait_deadline_);
    }
}

// Cancellations are passed on without waiting: what becomes of a job is told to
// whoever waits for it.
void open_cancel(node& context, cancel_opened const& input)
{
    auto const team = admit_team(context, input.call_, input.team_, input.key_);
    if (!team)
    {
        return;
    }
    std::unordered_map<shard_id, std::vector<job_id>> by_shard;
    for (job_id const& job : input.jobs_)
    {
        // A job may have moved to any later shard of its order.
        for (shard_id const& shard : order_shards(context, {*team, job}))
        {
            by_shard[shard].push_back(job);
        }
    }
    for (auto const& [shard, jobs] : by_shard)
    {
        auto const          row = context.routes_.index_.find(shard);
        host_id const&      owner = context.routes_.host_[*row];
        cancel_passed const message{shard, *team, jobs};
        if (owner == context.settings_.state_.host_)
        {
            take_cancel(context, message);
        }
        else if (!owner.empty())
        {
            context.outbox_.push_back(send_peer{owner, message});
        }
    }
    context.outbox_.push_back(cancel_told{input.call_, input.jobs_.size()});
}

void open_ticket(node& context, ticket_opened const& input)
{
    append_routed_call(context.calls_, input.call_, routed_call_kind::ticket,
                       {}, nullptr, context.now_, input.wait_deadline_);
    context.expire_deadline_ =
        std::min(context.expire_deadline_, input.wait_deadline_);
    state::post_event(*context.control_,
                      state::ticket_filed{input.call_, input.text_});
    context.control_dirty_ = true;
}

void abandon_call(node& context, std::uint64_t call)
{
    if (auto const row = context.calls_.index_.find(call))
    {
        context.ticket_calls_.erase(call);
        remove_routed_call(context.calls_, *row);
    }
}

// Passes an accepted job of an owned shard to the next shard of its order. The
// deadline bounds one try; the job stays with its shard until one succeeds.
void open_transfer(node& context, shard_id const& from, job_spec const& spec)
{
    std::uint64_t const call = own_call_bit | ++context.next_call_;
    open_routed_call(context, call, routed_call_kind::transfer, spec.key_,
                     std::make_shared<job_spec const>(spec),
                     context.now_.after(accept_wait_micros));
    std::size_t const row = *context.calls_.index_.find(call);
    auto const&       order = context.calls_.order_[row];
    auto const        home = std::find(order.begin(), order.end(), from);
    context.calls_.position_[row] =
        static_cast<std::size_t>(home - order.begin()) + 1;
    context.calls_.may_be_known_[row] = 1;
}

// 4. Routing

namespace
{

// Doubles the interval each time, from the age of the call.
void plan_resend(node& context, std::size_t row)
{
    routed_call_table& calls = context.calls_;
    std::int64_t const age = calls.opened_[row].remaining_until(context.now_);
    calls.resend_deadline_[row] =
        context.now_.after(std::max(age, resend_micros));
    context.expire_deadline_ =
        std::min(context.expire_deadline_, calls.resend_deadline_[row]);
}

void pass_call(node& context, std::size_t row, std::size_t route)
{
    routed_call_table& calls = context.calls_;
    shard_id const     shard = context.routes_.index_.key(route);
    host_id const      owner = context.routes_.host_[route];
    std::uint64_t      call = calls.index_.key(row);
    if (!calls.sent_to_[row].empty())
    {
        calls.may_be_known_[row] = 1;
        calls.uncertain_[row] |=
            calls.sent_epoch_[row] != context.routes_.epoch_[route] ? 1 : 0;
    }
    calls.sent_to_[row] = owner;
    calls.sent_epoch_[row] = context.routes_.epoch_[route];
    plan_resend(context, row);
    bool const    local = owner == context.settings_.state_.host_;
    watcher const self{context.settings_.state_.host_, call, shard};
    if (!local)
    {
        count(context, counter::hops_sent);
    }
    if (calls.spec_[row] == nullptr)
    {
        lookup_passed const message{call, shard, calls.job_[row]};
        local ? take_lookup(context, self, message)
              : context.outbox_.push_back(send_peer{owner, message});
        return;
    }
    submit_passed const message{call, shard, calls.sent_epoch_[row],
                                *calls.spec_[row],
                                calls.may_be_known_[row] != 0};
    local ? take_submit(context, self, message)
          : context.outbox_.push_back(send_peer{owner, message});
}

void route_call(node& context, std::uint64_t call)
{
    auto const row = context.calls_.index_.find(call);
    if (!row)
    {
        return;
    }
    routed_call_table& calls = context.calls_;
    if (calls.position_[*row] >= calls.order_[*row].size())
    {
        refuse_call(context, *row, "no failure domain in service takes it");
        return;
    }
    shard_id const& shard = calls.order_[*row][calls.position_[*row]];
    auto const      route = context.routes_.index_.find(shard);
    if (context.routes_.host_[*route].empty())
    {
        ++context.parked_;
        return;
    }
    if (calls.resend_deadline_[*row] <= context.now_ ||
        calls.sent_to_[*row] != context.routes_.host_[*route] ||
        calls.sent_epoch_[*row] != context.routes_.epoch_[*route])
    {
        pass_call(context, *row, *route);
    }
}

} // namespace

void route_calls(node& context)
{
    // An answer of this process may send a call on to the next shard, at most
    // once for each shard of the cell.
    for (std::size_t round = 0;
         round <= context.routes_.index_.size() && !context.to_route_.empty();
         ++round)
    {
        for (std::uint64_t const call : std::exchange(context.to_route_, {}))
        {
            route_call(context, call);
        }
    }
}

// 5. Answers

namespace
{

void ask_next_shard(node& context, std::size_t row, shard_id const& moved_to)
{
    routed_call_table& calls = context.calls_;
    calls.sent_to_[row] = host_id();
    calls.sent_epoch_[row] = 0;
    auto const& order = calls.order_[row];
    auto const  next = std::find(order.begin(), order.end(), moved_to);
    calls.position_[row] = next == order.end()
                               ? calls.position_[row] + 1
                               : static_cast<std::size_t>(next - order.begin());
    context.to_route_.push_back(calls.index_.key(row));
}

// An owner that never saw the job can't know that an earlier owner did not run
// it.
job_result qualify_result(job_result const& result, bool uncertain)
{
    if (!uncertain || result.state_ != job_state::not_run)
    {
        return result;
    }
    return {.key_ = result.key_,
            .state_ = job_state::unknown,
            .reason_ =
                "an earlier owner may have run it; now: " + result.reason_,
            .owner_ = result.owner_};
}

void take_state(node& context, std::size_t row, job_result const& heard)
{
    routed_call_table& calls = context.calls_;
    job_result const result = qualify_result(heard, calls.uncertain_[row] != 0);
    if (calls.kind_[row] == routed_call_kind::transfer)
    {
        shard_id const to = calls.order_[row][calls.position_[row]];
        tell_call(context, row, result);
        end_transfer(context, result, to);
        return;
    }
    if (is_final(result.state_) || calls.wait_deadline_[row] <= context.now_)
    {
        tell_call(context, row, result);
        return;
    }
    calls.last_.replace(row, std::make_shared<job_result const>(result));
}

} // namespace

void take_answer(node& context, answer_passed const& answer)
{
    auto const row = context.calls_.index_.find(answer.call_);
    if (!row || context.calls_.job_[*row] != answer.result_.key_)
    {
        return; // late, the call has ended
    }
    // A shard that is no longer asked can still give the answer of the job, but
    // what it refuses says nothing about the shard that is asked now.
    bool const asked =
        context.calls_.position_[*row] < context.calls_.order_[*row].size() &&
        context.calls_.order_[*row][context.calls_.position_[*row]] ==
            answer.shard_;
    if (!asked && (answer.kind_ != answer_kind::state ||
                   answer.result_.state_ != job_state::answered))
    {
        return;
    }
    switch (answer.kind_)
    {
    case answer_kind::state:
        take_state(context, *row, answer.result_);
        break;
    case answer_kind::not_owner:
        context.calls_.sent_to_[*row] = host_id();
        context.calls_.sent_epoch_[*row] = 0;
        ++context.parked_;
        break;
    case answer_kind::not_here:
        // A job that was moved may have run before.
        context.calls_.uncertain_[*row] |= answer.result_.attempt_ > 0 ? 1 : 0;
        ask_next_shard(context, *row, answer.moved_to_);
        break;
    case answer_kind::no_record:
        reject_call(context, answer.call_, call_error::not_found,
                    "no record of job " + format_key(answer.result_.key_));
        remove_routed_call(context.calls_, *row);
        break;
    }
}

// 6. Expiry

namespace
{

instant find_expiry(node const& context, std::size_t row)
{
    routed_call_table const& calls = context.calls_;
    if (calls.last_[row] != nullptr ||
        calls.kind_[row] == routed_call_kind::ticket)
    {
        return calls.wait_deadline_[row];
    }
    return std::max(calls.wait_deadline_[row],
                    calls.opened_[row].after(accept_wait_micros));
}

void expire_ticket(node& context, std::size_t row)
{
    std::uint64_t const call = context.calls_.index_.key(row);
    auto const          found = context.ticket_calls_.find(call);
    if (found == context.ticket_calls_.end())
    {
        context.outbox_.push_back(
            ticket_told{{.call_ = call,
                         .stage_ = state::ticket_stage::unknown,
                         .reason_ = "the store gave no answer in time"}});
    }
    else
    {
        state::ticket_progress const& last = found->second;
        context.outbox_.push_back(ticket_told{
            {.call_ = call,
             .number_ = last.number_,
             .stage_ = last.stage_,
             .missing_ =
                 state::list_missing_domains(*context.control_, last.number_),
             .reason_ = last.reason_}});
        context.ticket_calls_.erase(found);
    }
    remove_routed_call(context.calls_, row);
}

void expire_call(node& context, std::size_t row)
{
    routed_call_table& calls = context.calls_;
    if (calls.kind_[row] == routed_call_kind::ticket)
    {
        expire_ticket(context, row);
    }
    else if (calls.last_[row] != nullptr)
    {
        job_result const last = *calls.last_[row];
        tell_call(context, row, last);
    }
    else
    {
        refuse_call(
            context, row,
            calls.sent_to_[row].empty()
                ? "no owner of the job's shard can be reached"
                : "the owner of the job's shard gave no answer in time");
    }
}

} // namespace

void expire_calls(node& context)
{
    if (context.now_ < context.expire_deadline_)
    {
        return;
    }
    context.expire_deadline_ = instant::never();
    for (std::size_t row = context.calls_.index_.size(); row-- > 0;)
    {
        instant const expiry = find_expiry(context, row);
        if (expiry <= context.now_)
        {
            expire_call(context, row);
        }
        else
        {
            // A call that is due waits for nothing but an owner, and a new one
            // routes it again. Its own time would be due in each tick.
            instant const resend = context.calls_.resend_deadline_[row];
            bool const    due = resend <= context.now_;
            if (due)
            {
                context.to_route_.push_back(context.calls_.index_.key(row));
            }
            context.expire_deadline_ =
                std::min({context.expire_deadline_, expiry,
                          due ? instant::never() : resend});
        }
    }
}

} // namespace fescuevane::entry
