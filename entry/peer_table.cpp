// Purpose: rows of the table of other entry processes.
#include "entry/peer_table.hpp"

namespace fescuevane::entry
{

std::size_t append_peer(peer_table& table, host_id const& host,
                        domain_id const& domain, std::string const& address)
{
    std::size_t const row = table.index_.append(host);
    table.domain_.append(domain);
    table.address_.append(address);
    table.alive_deadline_.append(instant());
    table.leaving_.append(0);
    table.reports_.append({});
    return row;
}

void remove_peer(peer_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.domain_.remove_by_moving_last(row);
    table.address_.remove_by_moving_last(row);
    table.alive_deadline_.remove_by_moving_last(row);
    table.leaving_.remove_by_moving_last(row);
    table.reports_.remove_by_moving_last(row);
}

} // namespace fescuevane::entry
