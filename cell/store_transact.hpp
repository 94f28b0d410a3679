// Purpose: command: change rows in one transaction.
#ifndef FESCUEVANE_CELL_STORE_TRANSACT_HPP
#define FESCUEVANE_CELL_STORE_TRANSACT_HPP

#include "cell/row_condition.hpp"
#include "cell/row_write.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::cell
{

struct store_transact
{
    std::uint64_t const              request_ = 0;
    std::vector<row_condition> const conditions_;
    std::vector<row_write> const     writes_;
    instant const                    deadline_;

    friend bool operator==(store_transact const&,
                           store_transact const&) = default;
};

} // namespace fescuevane::cell

#endif
