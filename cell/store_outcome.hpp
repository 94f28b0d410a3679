// Purpose: how a call to the store ended.
#ifndef FESCUEVANE_CELL_STORE_OUTCOME_HPP
#define FESCUEVANE_CELL_STORE_OUTCOME_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class store_outcome : std::uint8_t
{
    done,     //
    conflict, // a condition didn't hold, nothing was changed
    not_done, // refused, nothing was changed
    unknown   // no reply: performed, not performed, or still pending
};

} // namespace fescuevane::cell

#endif
