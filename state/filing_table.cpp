// Purpose: rows of the filing table.
#include "state/filing_table.hpp"

#include <utility>

namespace fescuevane::state
{

std::size_t append_filing(filing_table& table, std::uint64_t call,
                          std::string text)
{
    std::size_t const row = table.index_.append(call);
    table.number_.append(0);
    table.text_.append(std::move(text));
    table.phase_.append(filing_phase::waiting);
    table.wanted_read_.append(0);
    return row;
}

void remove_filing(filing_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.number_.remove_by_moving_last(row);
    table.text_.remove_by_moving_last(row);
    table.phase_.remove_by_moving_last(row);
    table.wanted_read_.remove_by_moving_last(row);
}

} // namespace fescuevane::state
