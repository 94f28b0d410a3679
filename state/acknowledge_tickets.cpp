// Purpose: the system that acknowledges restrictions on served shards and
// accepts tickets that all shards have acknowledged.
#include "state/ack_value.hpp"
#include "state/control.hpp"
#include "state/row_json.hpp"
#include "state/row_key.hpp"
#include "state/ticket_text.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::state
{
namespace
{

void acknowledge_shard(control& context, std::size_t shard)
{
    shard_table const&  shards = context.shards_;
    shard_id const      id = shards.index_.key(shard);
    commit_key const    key{.purpose_ = commit_purpose::ack, .shard_ = id};
    ticket_number const number = context.committed_->number_;
    if (shards.phase_[shard] != shard_phase::owned ||
        find_ack(shards, shard) >= number || has_commit(context, key) ||
        !holds_limits(context, shard))
    {
        return;
    }
    open_commit(context, key,
                {make_condition(context.rows_, format_shard_key(id))},
                {{format_ack_key(id),
                  write_ack({.number_ = number,
                             .epoch_ = shards.served_epoch_[shard]})}});
}

ticket_number find_lowest_ack(control const& context)
{
    ticket_number lowest = context.committed_->number_;
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        lowest = std::min(lowest, find_ack(context.shards_, row));
    }
    return lowest;
}

// A takeover or a lower acknowledgement in between conflicts.
std::vector<row_condition> list_conditions(control const& context)
{
    std::vector<row_condition> conditions = {
        make_condition(context.rows_, std::string(accepted_key))};
    for (shard_id const& shard : context.shards_.index_.keys())
    {
        conditions.push_back(
            make_condition(context.rows_, format_shard_key(shard)));
        conditions.push_back(
            make_condition(context.rows_, format_ack_key(shard)));
    }
    return conditions;
}

// Rows of tickets that are contained in the accepted configuration and older
// than those kept for reading back.
void remove_old_tickets(control const& context, ticket_number accepted,
                        std::vector<row_write>& writes)
{
    std::uint64_t const keep = context.settings_.ticket_keep_;
    for (ticket_number const number : context.tickets_.index_.keys())
    {
        if (number + keep <= accepted)
        {
            writes.push_back({format_ticket_key(number), "", true});
        }
    }
}

std::shared_ptr<config const> build_config(control const& context,
                                           ticket_number  number)
{
    if (number == context.committed_->number_)
    {
        return context.committed_;
    }
    auto value = context.accepted_;
    while (value->number_ < number)
    {
        std::size_t const row =
            *context.tickets_.index_.find(value->number_ + 1);
        value = std::make_shared<config const>(
            apply_stored_ticket(*value, context.tickets_.text_[row]));
    }
    return value;
}

// An owner that acknowledged late may have grown its part by an earlier commit
// after others had acknowledged: then these have to shrink once more.
bool fits_limits(control const& context, config const& value)
{
    for (auto const& [id, team] : value.teams_)
    {
        auto const row = context.allotments_.index_.find(id);
        if (row && team.limit_ &&
            !sum_parts(context.allotments_.parts_[*row]).fits_in(*team.limit_))
        {
            return false;
        }
    }
    return true;
}

void accept_tickets(control& context, ticket_number number)
{
    std::vector<row_write> writes = {
        {std::string(accepted_key),
         write_config(*build_config(context, number))}};
    remove_old_tickets(context, number, writes);
    open_commit(context, {.purpose_ = commit_purpose::accept},
                list_conditions(context), std::move(writes));
}

// Any process may accept. They take turns, so that usually one of them writes.
instant accept_due_tickets(control& context)
{
    commit_key const    key{.purpose_ = commit_purpose::accept};
    ticket_number const number = find_lowest_ack(context);
    if (number <= context.accepted_->number_ || has_commit(context, key) ||
        !fits_limits(context, *build_config(context, number)))
    {
        context.accept_due_ = instant::never();
        return instant::never();
    }
    if (context.accept_due_ == instant::never())
    {
        context.accept_due_ =
            context.now_.after(rank_self(context, std::string(accepted_key)) *
                               context.settings_.rank_delay_micros_);
    }
    if (context.accept_due_ > context.now_)
    {
        return context.accept_due_;
    }
    accept_tickets(context, number);
    context.accept_due_ = instant::never();
    return instant::never();
}

} // namespace

instant acknowledge_tickets(control& context)
{
    if (context.committed_->number_ <= context.accepted_->number_)
    {
        context.accept_due_ = instant::never();
    }
    if (!std::exchange(context.acks_changed_, false) &&
        context.accept_due_ > context.now_)
    {
        return context.accept_due_;
    }
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        acknowledge_shard(context, row);
    }
    return accept_due_tickets(context);
}

} // namespace fescuevane::state
