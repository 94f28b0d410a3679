// Purpose: table of the committed tickets whose rows are kept, one row a
// ticket.
#ifndef FESCUEVANE_STATE_TICKET_TABLE_HPP
#define FESCUEVANE_STATE_TICKET_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/row_index.hpp"

#include <string>

namespace fescuevane::state
{

struct ticket_table
{
    row_index<ticket_number> index_;
    column<std::string>      text_; // JSON, key hashes for keys
};

void append_ticket(ticket_table& table, ticket_number number, std::string text);
void remove_ticket(ticket_table& table, ticket_number number);

} // namespace fescuevane::state

#endif
