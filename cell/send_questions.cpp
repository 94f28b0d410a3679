// Purpose: sends the questions of planners to the policy service, each through
// the host that is expected to reply first, and returns the replies.
//
// Index of sections
//   1. Choice of the host
//   2. Questions
//   3. Replies
#include "cell/node.hpp"

#include "cell/idle_hosts.hpp"
#include "cell/order_questions.hpp"
#include "cell/records.hpp"
#include "core/hashing.hpp"

#include <algorithm>
#include <map>

namespace fescuevane::cell
{

// 1. Choice of the host

namespace
{

// Expected time of the policy service for advice on a stage, without the wait
// for earlier requests.
std::int64_t estimate_reply_micros(node const& context, shard_id const& shard,
                                   plan::advice_request const& query)
{
    auto const policy = plan::find_policy(*context.owned_.find(shard)->planner_,
                                          query.stage_.job_);
    return policy && policy->advice_
               ? expect_reply_micros(*policy->advice_, query.targets_.size())
               : 0;
}

// Time until the earlier requests of an advice proxy are answered.
std::int64_t expect_wait(node const& context, host_id const& id)
{
    // Zero without the pool.
    std::int64_t const held =
        id == context.settings_.host_ ? find_advice_backlog(context) : 0;
    advice_proxy_row const* const proxy = context.askers_.find(id);
    if (proxy == nullptr)
    {
        return held;
    }
    // The observed lag decreases at the rate at which requests are answered.
    std::int64_t const lag = std::max<std::int64_t>(
        0, proxy->lag_micros_ - proxy->lag_at_.remaining_until(context.now_));
    return std::max({context.now_.remaining_until(proxy->busy_until_),
                     context.now_.remaining_until(proxy->shared_busy_until_),
                     held, lag});
}

// Penalty on the expected reply time of a host. Long requests go to hosts that
// own nothing, so that owners stay free for short ones: a short request behind
// a long one is what delays urgent work. An owner without urgent work takes the
// long requests that would wait elsewhere.
std::int64_t find_time_penalty(node const& context, host_id const& id,
                               bool is_long)
{
    settings const& values = context.settings_;
    bool const      own = id == values.host_;
    bool const      owner = own || owns_shard(context, id);
    if (owner != is_long)
    {
        return 0;
    }
    if (!is_long && values.advice_pool_)
    {
        return values.advice_pool_micros_;
    }
    advice_proxy_row const* const proxy = context.askers_.find(id);
    // Whether other owners have urgent work isn't known here.
    bool const urgent =
        !own || (proxy != nullptr && proxy->urgent_until_ > context.now_);
    return is_long && !urgent ? values.advice_idle_micros_
                              : values.advice_long_micros_;
}

// The hosts that own nothing, numbered from 0 in each failure domain.
std::map<host_id, std::uint32_t> number_idle_hosts(node const& context)
{
    std::map<host_id, std::uint32_t>   numbers;
    std::map<domain_id, std::uint32_t> counts;
    for (host_id const& id : list_idle_hosts(context))
    {
        numbers[id] = counts[context.hosts_.find(id)->domain_]++;
    }
    return numbers;
}

// Owners don't know each other's requests. So the hosts of a domain that own
// nothing are dealt to its shards in turn, and a shard takes those of others
// last, in an order of its own: first the ones that the others have no use for.
std::int64_t find_sharing_penalty(node const& context, shard_id const& shard,
                                  host_id const& id, std::uint32_t number)
{
    settings const&     values = context.settings_;
    domain_id const&    domain = context.hosts_.find(id)->domain_;
    std::uint32_t const shards = std::max(1U, count_shards(context, domain));
    shard_id const      dealt_to{domain, number % shards};
    if (dealt_to == shard)
    {
        return values.advice_hop_micros_;
    }
    auto const order = static_cast<std::int64_t>(
        compute_stable_hash(write_shard_name(shard) + '/' + id.str()) %
        static_cast<std::uint64_t>(values.advice_remote_micros_));
    shard_row const* const other = context.shards_.find(dealt_to);
    bool const             spare = other == nullptr || !other->serving_ ||
                       (other->wanted_requests_ &&
                        number / shards >= *other->wanted_requests_);
    return order +
           (spare ? values.advice_hop_micros_ : values.advice_remote_micros_);
}

// Penalty of a request that another host sends.
std::int64_t find_hop_penalty(node const& context, host_row const& host)
{
    return host.domain_ == context.settings_.domain_
               ? context.settings_.advice_hop_micros_
               : context.settings_.advice_remote_micros_;
}

// The policy service handles the requests of one host in sequence. Of the
// suitable hosts, the one with the earliest expected reply is chosen.
host_id choose_advice_proxy(node const& context, shard_id const& shard,
                            bool is_long)
{
    settings const& values = context.settings_;
    auto const      expect = [&](host_id const& id, std::int64_t penalty)
    {
        return asker{id, context.now_.after(expect_wait(context, id)), penalty};
    };
    std::vector<asker> askers;
    askers.push_back(expect(values.host_,
                            find_time_penalty(context, values.host_, is_long)));
    auto const idle = is_long ? number_idle_hosts(context)
                              : std::map<host_id, std::uint32_t>();
    for (std::size_t row = 0; row < context.hosts_.size(); ++row)
    {
        host_row const& host = context.hosts_[row];
        host_id const&  id = context.hosts_.key(row);
        if (id == values.host_ || !is_usable(context, host))
        {
            continue;
        }
        auto const         number = idle.find(id);
        std::int64_t const penalty =
            number == idle.end()
                ? find_hop_penalty(context, host) +
                      find_time_penalty(context, id, is_long)
                : find_sharing_penalty(context, shard, id, number->second);
        askers.push_back(expect(id, penalty));
    }
    return choose_asker(askers).host_;
}

} // namespace

// 2. Questions

void send_to_advice_proxy(node& context, shard_id const& shard,
                          plan::advice_request const& query)
{
    auto const job = plan::find_job(*context.owned_.find(shard)->planner_,
                                    query.stage_.job_);
    std::int64_t const micros = estimate_reply_micros(context, shard, query);
    bool const        is_long = micros > context.settings_.advice_owner_micros_;
    host_id const     proxy = choose_advice_proxy(context, shard, is_long);
    advice_proxy_row& row = context.askers_.ensure(proxy);
    std::uint64_t const request = next_request(context);
    std::int64_t const  wait = expect_wait(context, proxy);
    row.busy_until_ = std::max(row.busy_until_, context.now_).after(micros);
    // Only heartbeats correct it: this host, and hosts of an earlier version or
    // without the pool, send none with a wait.
    if (row.wait_reported_)
    {
        row.shared_busy_until_ =
            std::max(row.shared_busy_until_, context.now_).after(micros);
    }
    if (!is_long)
    {
        row.urgent_until_ =
            context.now_.after(context.settings_.advice_urgent_micros_);
    }
    context.questions_.ensure(request) = {
        shard,        std::make_shared<plan::advice_request const>(query),
        context.now_, proxy,
        micros,       context.settings_.advice_pool_ ? wait : 0};
    send_question question{
        .request_ = request,
        .question_ = {.stage_ = job && job->alias_ ? job->alias_->stage_
                                                   : query.stage_,
                      .targets_ = query.targets_,
                      .validity_ms_ = query.validity_ms_},
        .address_ = proxy == context.settings_.host_
                        ? std::string()
                        : context.hosts_.find(proxy)->address_,
        .deadline_ = context.now_.after(wait + micros +
                                        context.settings_.advice_slack_micros_),
        .service_micros_ = micros};
    if (context.settings_.advice_pool_ && proxy == context.settings_.host_)
    {
        hold_question(context, 0, std::move(question));
        return;
    }
    context.outbox_.push_back(std::move(question));
}

// 3. Replies

namespace
{

// Lag that is assumed of a host that gave no reply, in practice excluding it
// for this long.
constexpr std::int64_t failed_proxy_lag_micros = 3'000'000;

void update_advice_proxy(node& context, advice_request_row const& pending,
                         bool answered)
{
    advice_proxy_row&  proxy = context.askers_.ensure(pending.proxy_);
    std::int64_t const took = pending.sent_.remaining_until(context.now_);
    proxy.lag_micros_ =
        answered ? std::max<std::int64_t>(0, took - pending.micros_ -
                                                 pending.wait_micros_)
                 : std::max(took, failed_proxy_lag_micros);
    proxy.lag_at_ = context.now_;
    if (std::none_of(context.questions_.begin(), context.questions_.end(),
                     [&pending](advice_request_row const& other)
                     {
                         return other.proxy_ == pending.proxy_;
                     }))
    {
        proxy.busy_until_ = context.now_;
    }
}

} // namespace

void apply(node& context, advice_reply const& input)
{
    if (held_question_row const* const held =
            context.held_questions_.find(input.request_))
    {
        std::uint64_t const call = held->call_;
        context.held_questions_.remove(input.request_);
        if (call != 0)
        {
            context.outbox_.push_back(answer_question{call, input});
            return;
        }
    }
    advice_request_row const* const found =
        context.questions_.find(input.request_);
    if (found == nullptr)
    {
        return;
    }
    advice_request_row const pending = *found;
    context.questions_.remove(input.request_);
    update_advice_proxy(context, pending, input.answered_);
    owned_row* const own = context.owned_.find(pending.shard_);
    if (own == nullptr || !own->planner_)
    {
        return;
    }
    own->plan_needed_ = true;
    if (!input.answered_)
    {
        log_event(context, "advice_failed",
                  {{"job", pending.question_->stage_.job_.str()},
                   {"asker", pending.proxy_.str()},
                   {"error", input.error_}});
        plan::post_event(*own->planner_,
                         plan::advice_failed{pending.question_->stage_});
        return;
    }
    std::int64_t const took = pending.sent_.remaining_until(context.now_);
    log_event(context, "advice",
              {{"job", pending.question_->stage_.job_.str()},
               {"step", std::to_string(pending.question_->stage_.step_)},
               {"asker", pending.proxy_.str()},
               {"sort", pending.micros_ > context.settings_.advice_owner_micros_
                            ? "long"
                            : "short"},
               {"asked", std::to_string(pending.question_->targets_.size())},
               {"good", std::to_string(input.good_.size())},
               {"ms", std::to_string(took / micros_per_milli)},
               {"queued_ms", std::to_string(std::max<std::int64_t>(
                                                0, took - pending.micros_) /
                                            micros_per_milli)}});
    plan::post_event(*own->planner_,
                     plan::advice_given{.stage_ = pending.question_->stage_,
                                        .asked_ = pending.question_->targets_,
                                        .good_ = input.good_,
                                        .valid_until_ = context.now_.after(
                                            pending.question_->validity_ms_ *
                                            micros_per_milli)});
}

} // namespace fescuevane::cell
