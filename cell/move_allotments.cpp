// Purpose: system: transfers parts of organisations' upper limits between
// shards.
//
// Each shard starts work within its part of a limit without any coordination.
// The parts are stored in one row for each organisation. Only the owner of a
// shard reduces the shard's part: it stops using what it transfers before it
// writes the row, and the receiver uses it only after reading the row. So the
// parts in use never add up to more than the limit, whatever fails in between.
//
// Index of sections
//   1. Parts
//   2. Reading
//   3. Transfers
//   4. Replies
#include "cell/node.hpp"

#include "cell/record_error.hpp"
#include "cell/records.hpp"

#include <algorithm>

namespace fescuevane::cell
{

namespace
{

constexpr std::int64_t whole_limit = 1000; // parts are thousandths

constexpr char const* allotment_prefix = "allotment/";
constexpr char const* allotment_end = "allotment0"; // first key after them

// 1. Parts

// All domains have equal parts, and so have all shards of a domain. This
// depends only on the layout of the shard's own domain, which its owner knows.
std::int64_t equal_part(node const& context, shard_id const& shard)
{
    return whole_limit / (static_cast<std::int64_t>(context.layouts_.size()) *
                          count_shards(context, shard.domain_));
}

std::int64_t count_thousandths(std::int64_t amount, std::int64_t limit)
{
    return limit <= 0 ? 0 : (amount * whole_limit + limit - 1) / limit;
}

} // namespace

std::int64_t measure_part(resources const& amount, resources const& limit)
{
    return std::max(
        {count_thousandths(amount.cpu_millis(), limit.cpu_millis()),
         count_thousandths(amount.memory_mib(), limit.memory_mib()),
         count_thousandths(amount.accelerators(), limit.accelerators())});
}

std::int64_t stored_part(node const& context, shard_id const& shard,
                         organisation_id const& organisation)
{
    allotment_row const* const row = context.allotments_.find(organisation);
    if (row == nullptr || row->revision_ == 0)
    {
        return equal_part(context, shard);
    }
    // A shard that was unknown to the writer of the row keeps its equal part.
    auto const part = row->record_.parts_.find(shard);
    return part == row->record_.parts_.end() ? equal_part(context, shard)
                                             : part->second;
}

std::int64_t find_part(node const& context, shard_id const& shard,
                       organisation_id const& organisation)
{
    if (owned_row const* const own = context.owned_.find(shard))
    {
        auto const remaining = own->remaining_parts_.find(organisation);
        if (remaining != own->remaining_parts_.end())
        {
            return remaining->second;
        }
    }
    return stored_part(context, shard, organisation);
}

resources scale_limit(resources const& limit, std::int64_t part)
{
    auto const scale = [part](std::int64_t amount)
    {
        // Never zero, since a limit of zero means unlimited.
        return amount <= 0
                   ? amount
                   : std::max<std::int64_t>(1, amount * part / whole_limit);
    };
    return {scale(limit.cpu_millis()), scale(limit.memory_mib()),
            scale(limit.accelerators())};
}

// 2. Reading

void apply_allotment_row(node& context, stored_row const& row)
{
    organisation_id const id(
        row.key_.key_.substr(std::string_view(allotment_prefix).size()));
    allotment_row& known = context.allotments_.ensure(id);
    if (row.revision_ <= known.revision_)
    {
        return;
    }
    known = {.record_ = read_allotment(row.value_), .revision_ = row.revision_};
    for (std::size_t index = 0; index < context.owned_.size(); ++index)
    {
        set_policies(context, context.owned_.key(index));
    }
}

void load_allotments(node& context, shard_id const& shard, owned_row& own)
{
    if (own.allotments_loaded_ || own.allotment_request_ != 0)
    {
        return;
    }
    if (own.transfer_at_ > context.now_)
    {
        wake_at(context, own.transfer_at_);
        return;
    }
    own.allotment_request_ = next_request(context);
    context.requests_.ensure(own.allotment_request_) = {
        .kind_ = request_kind::allotment,
        .shard_ = shard,
        .sent_ = context.now_};
    context.outbox_.push_back(store_read{.request_ = own.allotment_request_,
                                         .table_ = "member",
                                         .part_ = "0",
                                         .from_ = own.allotments_from_.empty()
                                                      ? allotment_prefix
                                                      : own.allotments_from_,
                                         .to_ = allotment_end,
                                         .deadline_ = store_deadline(context)});
}

void end_load_allotments(node& context, request_row const& request,
                         store_reply const& reply)
{
    owned_row* const own = context.owned_.find(request.shard_);
    if (own == nullptr)
    {
        return;
    }
    own->allotment_request_ = 0;
    if (reply.outcome_ != store_outcome::done)
    {
        own->transfer_at_ =
            context.now_.after(context.settings_.store_retry_micros_);
        return;
    }
    for (stored_row const& row : reply.rows_)
    {
        apply(context, member_row_changed{row});
        own->allotments_from_ = row.key_.key_ + '!'; // after this key
    }
    own->allotments_loaded_ = !reply.truncated_ || reply.rows_.empty();
    finish_loading(context, request.shard_);
}

// 3. Transfers

namespace
{

// What an owner knows of one limit when it looks for parts to transfer.
struct limit_view
{
    shard_id const&               shard_;
    resources const&              limit_;
    plan::organisation_load const mine_;
};

plan::organisation_load const* find_load(shard_row const&       shard,
                                         organisation_id const& organisation)
{
    auto const found = std::find_if(
        shard.load_.organisations_.begin(), shard.load_.organisations_.end(),
        [&organisation](plan::organisation_load const& load)
        {
            return load.organisation_ == organisation;
        });
    return found == shard.load_.organisations_.end() ? nullptr : &*found;
}

// A shard that needs more of a limit than its part.
struct shard_deficit
{
    shard_id const     shard_;
    std::int64_t const lacking_; // thousandths
};

// The shard that uses most beyond its part, as the parts are stored now.
std::optional<shard_deficit> find_largest_excess(node const&       context,
                                                 limit_view const& view)
{
    organisation_id const& id = view.mine_.organisation_;
    auto const             found = context.excess_uses_.find(id);
    if (found == context.excess_uses_.end())
    {
        return std::nullopt;
    }
    shard_id     receiver;
    std::int64_t largest = 0;
    for (auto const& [shard, use] : found->second)
    {
        std::int64_t const excess = use - stored_part(context, shard, id);
        if (shard != view.shard_ && excess > largest)
        {
            largest = excess;
            receiver = shard;
        }
    }
    return largest == 0 ? std::nullopt
                        : std::optional(shard_deficit{receiver, largest});
}

// The shard with the largest deficit of one organisation's limit.
std::optional<shard_deficit> find_largest_deficit(node const&       context,
                                                  limit_view const& view)
{
    organisation_id const& id = view.mine_.organisation_;
    shard_id               receiver;
    std::int64_t           largest = 0;
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        shard_id const&                      other = context.shards_.key(row);
        shard_row const&                     shard = context.shards_[row];
        plan::organisation_load const* const load = find_load(shard, id);
        if (other == view.shard_ || load == nullptr || !shard.serving_)
        {
            continue;
        }
        std::int64_t const deficit =
            measure_part(load->used_ + load->queued_, view.limit_) -
            stored_part(context, other, id);
        if (deficit > largest)
        {
            largest = deficit;
            receiver = other;
        }
    }
    return largest == 0 ? std::nullopt
                        : std::optional(shard_deficit{receiver, largest});
}

// What the shard can spare for another one. If both need more than they have,
// each is entitled to its equal part. Running work keeps its share until it
// ends.
std::int64_t count_spare(node const& context, limit_view const& view,
                         shard_id const& receiver)
{
    organisation_id const& id = view.mine_.organisation_;
    std::int64_t const     part = find_part(context, view.shard_, id);
    std::int64_t const     needed =
        measure_part(view.mine_.used_ + view.mine_.queued_, view.limit_);
    std::int64_t spare = part - needed;
    if (stored_part(context, receiver, id) < equal_part(context, receiver))
    {
        spare = std::max(spare, part - equal_part(context, view.shard_));
    }
    return spare;
}

// The remainder that no shard has, since equal parts are rounded down. Zero
// while any layout is unknown, since the shards of that domain have parts, too.
std::int64_t count_unassigned(node const&             context,
                              allotment_record const& record)
{
    bool const all_known =
        std::all_of(context.layouts_.begin(), context.layouts_.end(),
                    [](layout_row const& layout)
                    {
                        return layout.revision_ != 0;
                    });
    std::int64_t assigned = 0;
    for (auto const& [shard, part] : record.parts_)
    {
        assigned += part;
    }
    return all_known ? std::max<std::int64_t>(0, whole_limit - assigned) : 0;
}

// The row after a transfer from the shard to another one.
allotment_record make_transfer(node const& context, limit_view const& view,
                               shard_id const& receiver, std::int64_t amount)
{
    organisation_id const& id = view.mine_.organisation_;
    allotment_record       record;
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        shard_id const& shard = context.shards_.key(row);
        record.parts_[shard] =
            static_cast<std::uint32_t>(stored_part(context, shard, id));
    }
    record.parts_[view.shard_] = static_cast<std::uint32_t>(
        find_part(context, view.shard_, id) - amount);
    record.parts_[receiver] += static_cast<std::uint32_t>(amount);
    record.parts_[receiver] +=
        static_cast<std::uint32_t>(count_unassigned(context, record));
    return record;
}

// Finds the next transfer of one organisation's limit: to the shard that uses
// most beyond its part, then to the shard of the active claim until that has
// enough, else to the shard with the largest deficit. Nothing if the shard has
// no unused part or no other shard needs one.
std::optional<allotment_record> find_transfer(node const&       context,
                                              limit_view const& view)
{
    organisation_id const& id = view.mine_.organisation_;
    std::int64_t const     unused = find_part(context, view.shard_, id) -
                                measure_part(view.mine_.used_, view.limit_);
    if (auto const excess = find_largest_excess(context, view))
    {
        std::int64_t const amount = std::min(unused, excess->lacking_);
        return amount <= 0 ? std::nullopt
                           : std::optional(make_transfer(
                                 context, view, excess->shard_, amount));
    }
    auto const active = context.turns_.find(id);
    if (active != context.turns_.end() && active->second.shard_ == view.shard_)
    {
        return std::nullopt;
    }
    if (active != context.turns_.end() &&
        count_lacking(context, active->second, id) > 0)
    {
        shard_id const&    receiver = active->second.shard_;
        std::int64_t const amount =
            std::min(unused, count_lacking(context, active->second, id));
        return amount <= 0 ? std::nullopt
                           : std::optional(make_transfer(context, view,
                                                         receiver, amount));
    }
    auto const deficit = find_largest_deficit(context, view);
    if (!deficit)
    {
        return std::nullopt;
    }
    std::int64_t const amount =
        std::min({count_spare(context, view, deficit->shard_), unused,
                  deficit->lacking_});
    return amount <= 0 ? std::nullopt
                       : std::optional(make_transfer(context, view,
                                                     deficit->shard_, amount));
}

// Limits that are moved in one transaction, at most.
constexpr std::size_t max_limits = 40;

void send_transfer(node& context, shard_id const& shard, owned_row& own)
{
    own.allotment_request_ = next_request(context);
    context.requests_.ensure(own.allotment_request_) = {
        .kind_ = request_kind::lend, .shard_ = shard, .sent_ = context.now_};
    context.outbox_.push_back(
        store_transact{.request_ = own.allotment_request_,
                       .conditions_ = own.transfer_->conditions_,
                       .writes_ = own.transfer_->writes_,
                       .deadline_ = store_deadline(context)});
}

// Parts can be stored only when the number of shards is known.
bool knows_layouts(node const& context)
{
    return std::all_of(context.shards_.keys().begin(),
                       context.shards_.keys().end(),
                       [&context](shard_id const& shard)
                       {
                           return has_layout(context, shard.domain_);
                       });
}

void begin_transfer(node& context, shard_id const& shard, owned_row& own)
{
    std::vector<row_condition> conditions = {
        {write_fence_key(shard, 0), own.parts_[0].fence_}};
    std::vector<row_write>   writes;
    plan::load_summary const load = plan::summarize_load(*own.planner_);
    for (plan::organisation_load const& mine : load.organisations_)
    {
        resources const* const limit = find_limit(context, mine.organisation_);
        if (limit == nullptr || limit->is_zero() || writes.size() == max_limits)
        {
            continue;
        }
        auto const record = find_transfer(context, {shard, *limit, mine});
        if (!record)
        {
            continue;
        }
        row_key const        key{"member", "0",
                          allotment_prefix + mine.organisation_.str()};
        allotment_row const& known =
            context.allotments_.ensure(mine.organisation_);
        conditions.push_back({key, known.revision_});
        writes.push_back({key, write_allotment(*record)});
        own.remaining_parts_[mine.organisation_] = record->parts_.at(shard);
    }
    if (writes.empty())
    {
        return;
    }
    set_policies(context, shard); // stops using what is transferred
    own.transfer_ = std::make_shared<store_transact const>(store_transact{
        .conditions_ = std::move(conditions), .writes_ = std::move(writes)});
    log_event(
        context, "limit_lent",
        {{"shard", write_shard_name(shard)},
         {"organisations", std::to_string(own.transfer_->writes_.size())}});
    send_transfer(context, shard, own);
}

} // namespace

void move_allotments(node& context)
{
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        owned_row&     own = context.owned_[row];
        shard_id const shard = context.owned_.key(row);
        if (own.phase_ != owned_phase::serving || own.releasing_ ||
            own.allotment_request_ != 0 || own.plan_needed_ ||
            !context.config_ || !context.store_ok_ || !knows_layouts(context))
        {
            continue;
        }
        if (own.transfer_at_ > context.now_)
        {
            wake_at(context, own.transfer_at_);
            continue;
        }
        own.transfer_at_ =
            context.now_.after(context.settings_.transfer_micros_);
        wake_at(context, own.transfer_at_);
        if (own.transfer_)
        {
            // Repeats a write whose outcome is unknown.
            send_transfer(context, shard, own);
            continue;
        }
        begin_transfer(context, shard, own);
    }
}

// 4. Replies

void end_part_transfer(node& context, request_row const& request,
                       store_reply const& reply)
{
    owned_row* const own = context.owned_.find(request.shard_);
    if (own == nullptr || !own->transfer_)
    {
        return;
    }
    own->allotment_request_ = 0;
    if (reply.outcome_ == store_outcome::unknown)
    {
        own->transfer_at_ =
            context.now_.after(context.settings_.store_retry_micros_);
        return; // the transferred part stays unused
    }
    std::shared_ptr<store_transact const> const transfer = own->transfer_;
    own->transfer_.reset();
    own->remaining_parts_.clear();
    std::vector<stored_row> rows = reply.rows_;
    if (reply.outcome_ == store_outcome::done)
    {
        for (row_write const& write : transfer->writes_)
        {
            rows.push_back({write.key_, write.value_, reply.revision_});
        }
    }
    for (stored_row const& row : rows)
    {
        apply(context, member_row_changed{row}); // may drop the shard
    }
    if (context.owned_.contains(request.shard_))
    {
        set_policies(context, request.shard_);
    }
}

} // namespace fescuevane::cell
