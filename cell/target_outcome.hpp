// Purpose: how a call to a target ended.
#ifndef FESCUEVANE_CELL_TARGET_OUTCOME_HPP
#define FESCUEVANE_CELL_TARGET_OUTCOME_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class target_outcome : std::uint8_t
{
    done,       //
    refused,    // rejected, nothing was done
    superseded, // the target has accepted a higher epoch
    replaced,   // another incarnation answers at the address
    unknown     // no reply: performed, not performed, or still pending
};

} // namespace fescuevane::cell

#endif
