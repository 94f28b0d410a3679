// Purpose: system and events: divides the targets of each failure domain into
// shards, once.
//
// The layout of a domain is a row of the store that is written only if there is
// none yet, so all hosts see the same one whichever host writes it. No shard of
// a domain is claimed before the layout is known.
//
// Index of sections
//   1. Queries
//   2. Division
//   3. Writing
//   4. Reading
#include "cell/node.hpp"

#include "cell/records.hpp"
#include "core/hashing.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace fescuevane::cell
{

// 1. Queries

std::uint32_t count_shards(node const& context, domain_id const& domain)
{
    layout_row const* const layout = context.layouts_.find(domain);
    return layout == nullptr ? 1 : layout->record_.shards_;
}

bool has_layout(node const& context, domain_id const& domain)
{
    layout_row const* const layout = context.layouts_.find(domain);
    return layout != nullptr && layout->revision_ != 0;
}

std::optional<shard_id> shard_of(node const&          context,
                                 listed_target const& target)
{
    if (!has_layout(context, target.domain_))
    {
        return std::nullopt;
    }
    layout_record const& layout =
        context.layouts_.find(target.domain_)->record_;
    auto const rack = layout.racks_.find(target.rack_);
    if (rack != layout.racks_.end())
    {
        return shard_id{target.domain_, rack->second};
    }
    std::string const& name =
        target.rack_.empty() ? target.id_.str() : target.rack_.str();
    return shard_id{
        target.domain_,
        static_cast<std::uint32_t>(compute_stable_hash(name) % layout.shards_)};
}

shard_row* ensure_shard(node& context, shard_id const& shard)
{
    if (!context.layouts_.contains(shard.domain_))
    {
        return nullptr; // the cell has no such failure domain
    }
    bool const is_new = !context.shards_.contains(shard);
    shard_row& row = context.shards_.ensure(shard);
    if (is_new)
    {
        row.confirmed_at_ = context.now_;
    }
    row.revisions_.resize(context.settings_.job_parts_);
    row.epochs_.resize(context.settings_.job_parts_);
    return &row;
}

// 2. Division

namespace
{

// Assigns whole racks, the largest first, each to the shard with the least
// capacity so far. A rack isn't divided, so that its gangs and data stay in one
// shard.
layout_record divide_targets(node const& context, domain_id const& domain)
{
    std::map<rack_id, std::int64_t> racks; // to their capacity
    std::uint32_t                   targets = 0;
    std::uint32_t                   unracked = 0; // without a rack
    for (session_row const& session : context.sessions_)
    {
        if (!session.info_ || !session.listed_ ||
            session.info_->domain_ != domain)
        {
            continue;
        }
        ++targets;
        if (session.info_->rack_.empty())
        {
            ++unracked;
            continue;
        }
        racks[session.info_->rack_] += session.info_->capacity_.cpu_millis();
    }
    std::uint32_t const desired =
        (targets + context.settings_.targets_per_shard_ - 1) /
        context.settings_.targets_per_shard_;
    auto const max_shards = std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(racks.size()) + unracked);
    layout_record layout{.shards_ = std::clamp(desired, 1U, max_shards)};

    std::vector<std::pair<rack_id, std::int64_t>> by_capacity(racks.begin(),
                                                              racks.end());
    std::stable_sort(by_capacity.begin(), by_capacity.end(),
                     [](auto const& a, auto const& b)
                     {
                         return a.second > b.second;
                     });
    std::vector<std::int64_t> assigned(layout.shards_);
    for (auto const& [rack, capacity] : by_capacity)
    {
        auto const least = std::min_element(assigned.begin(), assigned.end());
        *least += capacity;
        layout.racks_[rack] =
            static_cast<std::uint32_t>(least - assigned.begin());
    }
    return layout;
}

} // namespace

// 3. Writing

namespace
{

row_key key_of(domain_id const& domain)
{
    return {"member", "", std::string(layout_prefix) + domain.str()};
}

// A shard with an owner in a domain without a known layout: the owner runs an
// earlier version, which keeps a whole domain in one shard, or the layout row
// hasn't been read yet.
bool has_owned_shard(node const& context, domain_id const& domain)
{
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        if (context.shards_.key(row).domain_ == domain &&
            context.shards_[row].epoch_ > 0)
        {
            return true;
        }
    }
    return false;
}

bool has_targets(node const& context, domain_id const& domain)
{
    return std::any_of(context.sessions_.begin(), context.sessions_.end(),
                       [&domain](session_row const& session)
                       {
                           return session.info_ && session.listed_ &&
                                  session.info_->domain_ == domain;
                       });
}

// When this host writes the layout. A layout never changes, so it is written
// only after no new target has been listed for some time.
instant find_layout_due(node const& context, domain_id const& domain,
                        layout_row const& layout)
{
    settings const& values = context.settings_;
    if (has_owned_shard(context, domain))
    {
        return layout.retry_at_;
    }
    std::int64_t const delay =
        rank_host(context, domain) * values.claim_step_micros_ +
        (domain == values.domain_ ? 0 : values.foreign_claim_micros_);
    instant const settled =
        has_targets(context, domain)
            ? std::max(
                  context.started_.after(values.first_claim_micros_ + delay),
                  layout.listed_at_.after(values.layout_quiet_micros_))
            : context.started_.after(values.layout_empty_micros_ + delay);
    return std::max(settled, layout.retry_at_);
}

void write_layout_row(node& context, domain_id const& domain,
                      layout_row& layout)
{
    layout_record const record = has_owned_shard(context, domain)
                                     ? layout_record{.shards_ = 1}
                                     : divide_targets(context, domain);
    layout.request_ = next_request(context);
    context.requests_.ensure(layout.request_) = {.kind_ = request_kind::layout,
                                                 .shard_ = {domain, 0},
                                                 .text_ = write_layout(record),
                                                 .sent_ = context.now_};
    row_key const key = key_of(domain);
    context.outbox_.push_back(
        store_transact{.request_ = layout.request_,
                       .conditions_ = {{key, 0}},
                       .writes_ = {{key, write_layout(record)}},
                       .deadline_ = store_deadline(context)});
}

} // namespace

void lay_out_domains(node& context)
{
    if (!context.members_known_ || !context.targets_known_ ||
        !context.announced_ || !context.store_ok_ || context.stopping_)
    {
        return;
    }
    for (std::size_t row = 0; row < context.layouts_.size(); ++row)
    {
        domain_id const& domain = context.layouts_.key(row);
        layout_row&      layout = context.layouts_[row];
        if (layout.revision_ != 0 || layout.request_ != 0)
        {
            continue;
        }
        instant const due = find_layout_due(context, domain, layout);
        if (due > context.now_)
        {
            wake_at(context, due);
            continue;
        }
        write_layout_row(context, domain, layout);
    }
}

// 4. Reading

void apply_layout_row(node& context, stored_row const& row)
{
    domain_id const   domain(row.key_.key_.substr(layout_prefix.size()));
    layout_row* const layout = context.layouts_.find(domain);
    if (layout == nullptr || layout->revision_ != 0)
    {
        return;
    }
    layout->record_ = read_layout(row.value_);
    layout->revision_ = row.revision_;
    log_event(context, "layout_known",
              {{"domain", domain.str()},
               {"shards", std::to_string(layout->record_.shards_)},
               {"racks", std::to_string(layout->record_.racks_.size())}});
    for (std::uint32_t index = 0; index < layout->record_.shards_; ++index)
    {
        ensure_shard(context, {domain, index});
    }
    for (session_row& session : context.sessions_)
    {
        if (session.info_ && session.info_->domain_ == domain)
        {
            session.shard_ = *shard_of(context, *session.info_);
        }
    }
}

// Handles the reply to a write. After a conflict it holds the row that another
// host wrote.
void end_layout(node& context, request_row const& request,
                store_reply const& reply)
{
    domain_id const& domain = request.shard_.domain_;
    layout_row&      layout = *context.layouts_.find(domain);
    layout.request_ = 0;
    layout.retry_at_ =
        context.now_.after(context.settings_.store_retry_micros_);
    if (reply.outcome_ == store_outcome::done)
    {
        apply(context, member_row_changed{
                           {key_of(domain), request.text_, reply.revision_}});
        return;
    }
    for (stored_row const& row : reply.rows_)
    {
        apply(context, member_row_changed{row});
    }
}

} // namespace fescuevane::cell
