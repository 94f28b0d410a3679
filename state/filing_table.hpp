// Purpose: table of the tickets filed with this process whose operators wait,
// one row a call.
#ifndef FESCUEVANE_STATE_FILING_TABLE_HPP
#define FESCUEVANE_STATE_FILING_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/row_index.hpp"
#include "state/filing_phase.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::state
{

struct filing_table
{
    row_index<std::uint64_t> index_; // call
    column<ticket_number>    number_;
    column<std::string>      text_; // as filed; empty once it is committed
    column<filing_phase>     phase_;
    column<std::uint64_t>    wanted_read_; // rejected after it; 0: not set
};

std::size_t append_filing(filing_table& table, std::uint64_t call,
                          std::string text);
void        remove_filing(filing_table& table, std::size_t row);

} // namespace fescuevane::state

#endif
