// Purpose: applies rows of the platform to the tables, one function a prefix.
#include "state/ack_value.hpp"
#include "state/control.hpp"
#include "state/owner_value.hpp"
#include "state/row_error.hpp"
#include "state/row_json.hpp"
#include "state/row_key.hpp"
#include "state/table_row.hpp"
#include "state/ticket_error.hpp"
#include "state/ticket_text.hpp"

#include <nlohmann/json.hpp>

namespace fescuevane::state
{
namespace
{

// A host that was never heard gets the same time as one that has just been.
std::size_t ensure_known_peer(control& context, host_id const& host)
{
    return ensure_peer(
        context.peers_, host,
        context.now_.after(context.settings_.suspect_after_micros_),
        context.now_.after(context.settings_.host_forget_micros_));
}

void merge_shard(control& context, std::string_view suffix,
                 table_row const& row)
{
    auto const shard = parse_shard_suffix(suffix);
    if (!shard)
    {
        return;
    }
    std::size_t const at = ensure_shard(context.shards_, *shard);
    owner_value const value =
        row.deleted_ ? owner_value{} : read_owner(row.value_);
    if (value.epoch_ < context.shards_.owner_[at].epoch_)
    {
        return; // epochs never decrease
    }
    context.shards_.owner_.replace(at, {.shard_ = *shard,
                                        .host_ = value.host_,
                                        .address_ = value.address_,
                                        .epoch_ = value.epoch_});
    context.shards_.incarnation_[at] = value.incarnation_;
    if (!value.host_.empty() && value.host_ != context.settings_.host_)
    {
        ensure_known_peer(context, value.host_);
    }
    context.shards_changed_ = true;
    context.acks_changed_ = true;
    follow_owner(context, at);
}

void merge_ack(control& context, std::string_view suffix, table_row const& row)
{
    auto const shard = parse_shard_suffix(suffix);
    if (!shard || row.deleted_)
    {
        return;
    }
    ack_value const   value = read_ack(row.value_);
    std::size_t const at = ensure_shard(context.shards_, *shard);
    context.shards_.ack_number_[at] = value.number_;
    context.shards_.ack_epoch_[at] = value.epoch_;
    context.acks_changed_ = true;
}

// What a ticket forbids stays forbidden until a number that contains it is
// accepted, even when a later ticket permits it again: an acknowledgement of
// the later number counts for the earlier one too.
void restrict_further(control& context, config const& committed)
{
    context.restricted_ = std::make_shared<config const>(
        restrict_config(*context.restricted_, committed));
}

// Committed tickets apply in the order of their numbers.
void extend_committed(control& context)
{
    auto const known = [&context]
    {
        return context.tickets_.index_.find(context.committed_->number_ + 1);
    };
    for (auto next = known(); next; next = known())
    {
        context.committed_ = std::make_shared<config const>(apply_stored_ticket(
            *context.committed_, context.tickets_.text_[*next]));
        restrict_further(context, *context.committed_);
        context.config_changed_ = true;
    }
}

// Starts again from a newly accepted configuration. The rows of the tickets
// after it are known: they are removed only once they are accepted.
void restrict_accepted(control& context)
{
    context.restricted_ = context.accepted_;
    std::shared_ptr<config const> committed = context.accepted_;
    while (committed->number_ < context.committed_->number_)
    {
        std::size_t const row =
            *context.tickets_.index_.find(committed->number_ + 1);
        committed = std::make_shared<config const>(
            apply_stored_ticket(*committed, context.tickets_.text_[row]));
        restrict_further(context, *committed);
    }
}

void merge_ticket(control& context, std::string_view suffix,
                  table_row const& row)
{
    auto const number = parse_number(suffix);
    if (!number)
    {
        return;
    }
    if (row.deleted_)
    {
        // No stale read brings the row back: lower numbers change nothing.
        remove_ticket(context.tickets_, *number);
        remove_table_row(context.rows_, row.key_);
        return;
    }
    append_ticket(context.tickets_, *number, row.value_);
    extend_committed(context);
}

void merge_accepted(control&         context, std::string_view /*suffix*/,
                    table_row const& row)
{
    if (row.deleted_)
    {
        return;
    }
    config const value = read_config(row.value_);
    if (value.number_ <= context.accepted_->number_)
    {
        return;
    }
    context.accepted_ = std::make_shared<config const>(value);
    if (context.committed_->number_ < value.number_)
    {
        context.committed_ = context.accepted_;
    }
    restrict_accepted(context);
    context.config_changed_ = true;
    context.acks_changed_ = true;
    extend_committed(context);
}

void merge_allotment(control& context, std::string_view suffix,
                     table_row const& row)
{
    team_id const  team{std::string(suffix)};
    part_map const parts = row.deleted_ ? part_map() : read_parts(row.value_);
    std::size_t const at = ensure_allotment(context.allotments_, team);
    context.allotments_.parts_[at] = parts;
    context.changed_teams_.insert(team);
}

void merge_host(control& context, std::string_view suffix, table_row const& row)
{
    host_id const host{std::string(suffix)};
    if (host == context.settings_.host_)
    {
        if (row.deleted_ && !context.stopping_)
        {
            open_host_commit(context); // forgotten while it was cut off
        }
        return;
    }
    std::size_t const at = ensure_known_peer(context, host);
    context.peers_changed_ = true;
    context.peers_.listed_[at] = row.deleted_ ? 0 : 1;
    if (!row.deleted_)
    {
        owner_value const value = read_owner(row.value_);
        context.peers_.domain_[at] = value.domain_;
        context.peers_.address_[at] = value.address_;
        context.peers_.incarnation_[at] = value.incarnation_;
    }
}

void merge_head(control& /*context*/, std::string_view /*suffix*/,
                table_row const& /*row*/)
{
    // Only its revision is used, as the condition of the next ticket.
}

struct prefix_entry
{
    std::string_view const prefix_;
    void (*const merge_)(control&, std::string_view, table_row const&);
};

constexpr std::array<prefix_entry, 7> prefixes = {{
    {shard_prefix, &merge_shard},
    {ack_prefix, &merge_ack},
    {ticket_prefix, &merge_ticket},
    {allotment_prefix, &merge_allotment},
    {host_prefix, &merge_host},
    {accepted_key, &merge_accepted},
    {head_key, &merge_head},
}};

} // namespace

void merge_row(control& context, table_row const& row)
{
    for (prefix_entry const& entry : prefixes)
    {
        if (!row.key_.starts_with(entry.prefix_))
        {
            continue;
        }
        if (!merge_table_row(context.rows_, row))
        {
            return;
        }
        try
        {
            entry.merge_(
                context,
                std::string_view(row.key_).substr(entry.prefix_.size()), row);
        }
        catch (nlohmann::json::exception const&)
        {
            ++context.malformed_rows_;
        }
        catch (row_error const&)
        {
            ++context.malformed_rows_;
        }
        catch (ticket_error const&)
        {
            ++context.malformed_rows_;
        }
        return;
    }
}

} // namespace fescuevane::state
