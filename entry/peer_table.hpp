// Purpose: table of the other entry processes, one row a process.
#ifndef FESCUEVANE_ENTRY_PEER_TABLE_HPP
#define FESCUEVANE_ENTRY_PEER_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"
#include "entry/shard_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fescuevane::entry
{

struct peer_table
{
    row_index<host_id>                       index_;
    column<domain_id>                        domain_;
    column<std::string>                      address_;
    column<instant>                          alive_deadline_; // silent: dead
    column<std::uint8_t>                     leaving_;
    column<std::map<shard_id, shard_report>> reports_; // shards it owns
};

// Appends a silent peer; its host must have no row. Returns the row.
std::size_t append_peer(peer_table& table, host_id const& host,
                        domain_id const& domain, std::string const& address);
void        remove_peer(peer_table& table, std::size_t row);

} // namespace fescuevane::entry

#endif
