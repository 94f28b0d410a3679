// Purpose: rows of the shard table.
#include "state/shard_table.hpp"

namespace fescuevane::state
{

std::size_t ensure_shard(shard_table& table, shard_id const& shard)
{
    if (auto const row = table.index_.find(shard))
    {
        return *row;
    }
    std::size_t const row = table.index_.append(shard);
    table.owner_.append({.shard_ = shard});
    table.incarnation_.append(0);
    table.ack_number_.append(0);
    table.ack_epoch_.append(0);
    table.phase_.append(shard_phase::foreign);
    table.served_epoch_.append(0);
    table.ready_epoch_.append(0);
    table.lost_epoch_.append(0);
    table.lost_at_.append(instant());
    table.successor_.append(host_id());
    table.load_number_.append(0);
    table.told_.append({});
    table.told_once_.append(0);
    return row;
}

bool is_serving(shard_table const& table, std::size_t row)
{
    return table.phase_[row] == shard_phase::owned ||
           table.phase_[row] == shard_phase::handing_over;
}

bool is_ready(shard_table const& table, std::size_t row)
{
    return is_serving(table, row) &&
           table.ready_epoch_[row] == table.served_epoch_[row];
}

ticket_number find_ack(shard_table const& table, std::size_t row)
{
    bool const present = table.owner_[row].epoch_ != 0 &&
                         table.owner_[row].epoch_ == table.ack_epoch_[row];
    return present ? table.ack_number_[row] : 0;
}

} // namespace fescuevane::state
