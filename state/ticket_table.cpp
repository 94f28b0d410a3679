// Purpose: rows of the ticket table.
#include "state/ticket_table.hpp"

#include <utility>

namespace fescuevane::state
{

void append_ticket(ticket_table& table, ticket_number number, std::string text)
{
    if (!table.index_.contains(number))
    {
        table.index_.append(number);
        table.text_.append(std::move(text));
    }
}

void remove_ticket(ticket_table& table, ticket_number number)
{
    if (auto const row = table.index_.find(number))
    {
        table.index_.remove_by_moving_last(*row);
        table.text_.remove_by_moving_last(*row);
    }
}

} // namespace fescuevane::state
