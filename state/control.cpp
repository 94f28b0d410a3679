// Purpose: life of the control state, its tick and its queries.
//
// Index of sections
//   1. Context
//   2. Tick
//   3. Queries
#include "state/control.hpp"

#include "core/hashing.hpp"
#include "state/owner_value.hpp"
#include "state/row_json.hpp"
#include "state/row_key.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::state
{

// 1. Context

void control_deleter::operator()(control* context) const
{
    delete context;
}

void open_host_commit(control& context)
{
    settings const&  self = context.settings_;
    commit_key const key{.purpose_ = commit_purpose::host, .host_ = self.host_};
    if (!has_commit(context, key))
    {
        open_commit(context, key, {},
                    {{format_host_key(self.host_),
                      write_owner({.host_ = self.host_,
                                   .domain_ = self.domain_,
                                   .address_ = self.address_,
                                   .incarnation_ = self.incarnation_})}});
    }
}

control_ptr make_control(settings const& values, instant now)
{
    control_ptr context(
        new control{.settings_ = values, .now_ = now, .started_ = now});
    for (auto const& [domain, count] : values.shard_counts_)
    {
        for (std::uint32_t index = 0; index < count; ++index)
        {
            ensure_shard(context->shards_, {domain, index});
        }
    }
    context->store_.random_ =
        compute_stable_hash(values.host_.str(), values.seed_);
    context->store_.read_due_ = now;
    context->store_.contact_ = now;
    context->foreign_contact_ = now;
    open_host_commit(*context);
    return context;
}

void post_event(control& context, event input)
{
    context.inbox_.push_back(std::move(input));
}

// 2. Tick

namespace
{

constexpr std::array<system_entry, system_count> systems = {{
    {"notice pause", &notice_pause},
    {"apply events", &apply_events},
    {"check peers", &check_peers},
    {"advance tickets", &advance_tickets},
    {"claim shards", &claim_shards},
    {"adjust allotments", &adjust_allotments},
    {"acknowledge tickets", &acknowledge_tickets},
    {"record grants", &record_grants},
    {"batch journal", &batch_journal},
    {"exchange rows", &exchange_rows},
}};

} // namespace

void run_tick(control& context, instant now, std::vector<command>& output)
{
    instant const last = std::exchange(context.now_, now);
    context.last_tick_ = last;
    for (std::size_t i = 0; i < systems.size(); ++i)
    {
        context.due_[i] = systems[i].run_(context);
    }
    for (command& produced : context.outbox_)
    {
        output.push_back(std::move(produced));
    }
    context.outbox_.clear();
}

instant next_deadline(control const& context)
{
    return *std::min_element(context.due_.begin(), context.due_.end());
}

// 3. Queries

std::optional<shard_owner> find_owner(control const&  context,
                                      shard_id const& shard)
{
    auto const row = context.shards_.index_.find(shard);
    return row ? std::optional(context.shards_.owner_[*row]) : std::nullopt;
}

std::vector<shard_owner> list_owners(control const& context)
{
    return {context.shards_.owner_.begin(), context.shards_.owner_.end()};
}

std::shared_ptr<config const> effective_config(control const& context)
{
    return context.effective_;
}

std::shared_ptr<config const> accepted_config(control const& context)
{
    return context.accepted_;
}

ticket_number committed_number(control const& context)
{
    return context.committed_->number_;
}

std::optional<std::string> find_ticket(control const& context,
                                       ticket_number  number)
{
    auto const row = context.tickets_.index_.find(number);
    return row ? std::optional(context.tickets_.text_[*row]) : std::nullopt;
}

std::vector<domain_id> list_missing_domains(control const& context,
                                            ticket_number  number)
{
    if (number <= context.accepted_->number_)
    {
        return {};
    }
    std::set<domain_id> missing;
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        if (find_ack(context.shards_, row) < number)
        {
            missing.insert(context.shards_.index_.key(row).domain_);
        }
    }
    return {missing.begin(), missing.end()};
}

bool has_released_all(control const& context)
{
    if (!context.stopping_)
    {
        return false;
    }
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        commit_key const claim{.purpose_ = commit_purpose::claim,
                               .shard_ = context.shards_.index_.key(row)};
        if (context.shards_.phase_[row] != shard_phase::foreign ||
            has_commit(context, claim))
        {
            return false;
        }
    }
    return true;
}

} // namespace fescuevane::state
