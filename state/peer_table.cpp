// Purpose: rows of the peer table.
#include "state/peer_table.hpp"

namespace fescuevane::state
{

std::size_t ensure_peer(peer_table& table, host_id const& host,
                        instant suspect_deadline, instant forget_deadline)
{
    if (auto const row = table.index_.find(host))
    {
        return *row;
    }
    std::size_t const row = table.index_.append(host);
    table.domain_.append(domain_id());
    table.address_.append("");
    table.incarnation_.append(0);
    table.listed_.append(0);
    table.leaving_.append(0);
    table.live_.append(0);
    table.live_since_.append(instant::never());
    table.suspect_deadline_.append(suspect_deadline);
    table.forget_deadline_.append(forget_deadline);
    return row;
}

} // namespace fescuevane::state
