// Purpose: the context of a node, its tick and its queries.
//
// Index of sections
//   1. Context
//   2. Ticks
//   3. Queries
//   4. Shared by the systems
#include "cell/node.hpp"

#include "cell/cell.hpp"
#include "cell/tick_observer.hpp"
#include "core/hashing.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fescuevane::cell
{

// 1. Context

void node_deleter::operator()(node* context) const
{
    delete context;
}

node_ptr make_node(settings const& values, instant now)
{
    node_ptr context(new node{.settings_ = values});
    context->now_ = now;
    context->started_ = now;
    context->store_replied_at_ = now;
    context->store_micros_ = values.store_min_micros_;
    for (domain_id const& domain : values.domains_)
    {
        context->layouts_.ensure(domain);
    }
    return context;
}

// 2. Ticks

namespace
{

constexpr std::array<system_entry, 21> list_systems = {{
    {"apply_events", &apply_events},
    {"follow_members", &follow_members},
    {"lay_out_domains", &lay_out_domains},
    {"claim_shards", &claim_shards},
    {"load_shards", &load_shards},
    {"limit_advice", &limit_advice},
    {"find_excess_uses", &find_excess_uses},
    {"drive_planners", &drive_planners},
    {"share_run_times", &share_run_times},
    {"offer_stages", &offer_stages},
    {"delegate_tasks", &delegate_tasks},
    {"spread_gangs", &spread_gangs},
    {"answer_parts", &answer_parts},
    {"ask_policy_service", &ask_policy_service},
    {"grant_turns", &choose_active_claims},
    {"move_allotments", &move_allotments},
    {"record_grants", &record_grants},
    {"keep_sessions", &keep_sessions},
    {"write_journal", &write_journal},
    {"route_calls", &route_calls},
    {"release_shards", &release_shards},
}};

// Jobs whose shards are cached; the shards of older ones are read again from
// the store.
constexpr std::size_t max_job_locations = 20000;

} // namespace

void post_event(node& context, event input)
{
    context.inbox_.push_back(std::move(input));
}

void run_tick(node& context, instant now, std::int64_t unix_ms,
              std::vector<command>& output, tick_observer* observer)
{
    context.observer_ = observer;
    context.now_ = now;
    context.unix_ms_ = unix_ms;
    context.on_time_ = context.on_time_.after_tick(
        context.wake_, now, context.settings_.late_micros_);
    context.wake_ = instant::never();
    if (observer != nullptr)
    {
        observer->begin_tick();
    }
    for (system_entry const& system : list_systems)
    {
        context.visited_ = 0;
        system.run_(context);
        if (observer != nullptr)
        {
            observer->end_system(system.name_, context.visited_);
        }
    }
    context.observer_ = nullptr;
    for (command& order : context.outbox_)
    {
        output.push_back(std::move(order));
    }
    context.outbox_.clear();
}

instant next_deadline(node const& context)
{
    return context.inbox_.empty() ? context.wake_ : context.now_;
}

void apply_events(node& context)
{
    std::vector<event> inbox;
    inbox.swap(context.inbox_);
    for (event const& input : inbox)
    {
        std::visit(
            [&context](auto const& value)
            {
                apply(context, value);
            },
            input);
    }
}

// 3. Queries

queue_route const* find_route(node const& context, std::string const& host,
                              std::string const& path)
{
    if (!context.config_)
    {
        return nullptr;
    }
    queue_route const* best = nullptr;
    for (queue_route const& route : context.config_->routes_)
    {
        if (route.host_ == host && path.starts_with(route.prefix_) &&
            (best == nullptr || route.prefix_.size() > best->prefix_.size()))
        {
            best = &route;
        }
    }
    return best;
}

std::optional<organisation_id> find_organisation(node const&        context,
                                                 std::string const& key)
{
    if (!context.config_ || key.empty())
    {
        return std::nullopt;
    }
    for (organisation_entry const& entry : context.config_->organisations_)
    {
        if (std::find(entry.keys_.begin(), entry.keys_.end(), key) !=
            entry.keys_.end())
        {
            return entry.share_.id_;
        }
    }
    return std::nullopt;
}

bool has_config(node const& context)
{
    return context.config_ != nullptr;
}

bool is_ready(node const& context)
{
    // Without the store this host can't accept jobs, while others may.
    bool const cut_off = !context.store_ok_ &&
                         context.store_lost_at_.after(
                             context.settings_.unready_micros_) <= context.now_;
    return context.config_ != nullptr && context.members_known_ &&
           !context.stopping_ && !cut_off;
}

bool owns_shards(node const& context)
{
    return !context.owned_.empty();
}

bool is_stopped(node const& context)
{
    return context.stopping_ && context.owned_.empty();
}

std::uint64_t config_version(node const& context)
{
    return context.config_ ? context.config_->version_ : 0;
}

resources limit_of(node const& context, organisation_id const& id)
{
    resources const* const limit =
        context.config_ ? find_limit(context, id) : nullptr;
    return limit == nullptr ? resources() : *limit;
}

std::uint32_t max_body_bytes(node const& context)
{
    return context.config_ ? context.config_->max_body_bytes_
                           : cell_config().max_body_bytes_;
}

std::uint32_t count_waiting(node const& context, queue_id const& queue)
{
    std::uint32_t waiting = 0;
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        plan::load_summary     load = context.shards_[row].load_;
        owned_row const* const own =
            context.owned_.find(context.shards_.key(row));
        if (own != nullptr && own->planner_)
        {
            load = plan::summarize_load(*own->planner_);
        }
        for (plan::queue_load const& entry : load.queues_)
        {
            waiting += entry.queue_ == queue ? entry.waiting_ : 0;
        }
    }
    return waiting;
}

// 4. Shared by the systems

std::uint64_t next_request(node& context)
{
    return ++context.last_request_;
}

void wake_at(node& context, instant due)
{
    context.wake_ = std::min(context.wake_, due);
}

instant count_silence_from(node const& context, instant contact)
{
    return context.on_time_.count_silence_from(
        contact, context.settings_.late_bound_micros_);
}

bool is_unresponsive(node const& context, instant contact)
{
    return count_silence_from(context, contact).remaining_until(context.now_) >
           context.settings_.suspect_micros_;
}

instant accepted_at(node const& context, staged_job const& job)
{
    std::int64_t const age_ms =
        std::max<std::int64_t>(0, context.unix_ms_ - job.accepted_unix_ms_);
    return instant(context.now_.micros() - age_ms * micros_per_milli);
}

void log_event(node& context, std::string event,
               std::vector<std::pair<std::string, std::string>> fields)
{
    context.outbox_.push_back(log_line{std::move(event), std::move(fields)});
}

instant store_deadline(node const& context)
{
    return context.now_.after(context.store_micros_);
}

bool owns(node const& context, shard_id const& shard, owned_phase at_least)
{
    owned_row const* const row = context.owned_.find(shard);
    return row != nullptr && row->phase_ >= at_least;
}

std::uint32_t part_of(node const& context, job_id const& job)
{
    return static_cast<std::uint32_t>(compute_stable_hash(job.str()) %
                                      context.settings_.job_parts_);
}

void record_job_location(node& context, job_id const& job,
                         shard_id const& shard)
{
    if (context.job_locations_.insert_or_assign(job, shard).second)
    {
        context.job_location_order_.push_back(job);
    }
    while (context.job_location_order_.size() > max_job_locations)
    {
        context.job_locations_.erase(context.job_location_order_.front());
        context.job_location_order_.pop_front();
    }
}

} // namespace fescuevane::cell
