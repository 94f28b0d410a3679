// Purpose: the host list and its lag.
#include "tests/stand_ins/host_table.hpp"

#include <algorithm>

namespace fescuevane::stand_ins
{
namespace
{

void apply_change(host_table& table, host_change const& change)
{
    auto const row = table.index_.find(change.target_);
    if (row && change.host_)
    {
        table.host_.replace(*row, *change.host_);
    }
    else if (row)
    {
        table.index_.remove_by_moving_last(*row);
        table.host_.remove_by_moving_last(*row);
    }
    else if (change.host_)
    {
        table.index_.append(change.target_);
        table.host_.append(*change.host_);
    }
}

void add_change(host_table& table, instant now, target_id const& target,
                std::optional<host> const& value)
{
    table.pending_.push_back({now.after(table.lag_micros_), target, value});
}

std::optional<host> find_latest(host_table const& table,
                                target_id const&  target)
{
    auto const pending =
        std::find_if(table.pending_.rbegin(), table.pending_.rend(),
                     [&target](host_change const& change)
                     {
                         return change.target_ == target;
                     });
    if (pending != table.pending_.rend())
    {
        return pending->host_;
    }
    auto const row = table.index_.find(target);
    return row ? std::optional<host>(table.host_[*row]) : std::nullopt;
}

} // namespace

void put_host(host_table& table, instant now, host const& value)
{
    add_change(table, now, value.target_, value);
}

void remove_host(host_table& table, instant now, target_id const& target)
{
    add_change(table, now, target, std::nullopt);
}

void mark_host_leaving(host_table& table, instant now, target_id const& target,
                       bool leaving)
{
    if (auto const known = find_latest(table, target))
    {
        put_host(table, now,
                 {.target_ = known->target_,
                  .address_ = known->address_,
                  .listen_ = known->listen_,
                  .domain_ = known->domain_,
                  .rack_ = known->rack_,
                  .capacity_ = known->capacity_,
                  .slots_ = known->slots_,
                  .leaving_ = leaving});
    }
}

std::vector<host> list_hosts(host_table& table, instant now)
{
    while (!table.pending_.empty() &&
           table.pending_.front().visible_from_ <= now)
    {
        apply_change(table, table.pending_.front());
        table.pending_.pop_front();
    }
    return {table.host_.begin(), table.host_.end()};
}

} // namespace fescuevane::stand_ins
