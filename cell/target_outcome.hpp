// Purpose: how a call to a target ended.
#ifndef FESCUEVANE_CELL_TARGET_OUTCOME_HPP
#define FESCUEVANE_CELL_TARGET_OUTCOME_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class target_outcome : std::uint8_t
{
    done,       //
    refused,    // turned down, nothing was done
    superseded, // the target obeys a higher epoch
    replaced,   // another life of a target answers at the address
    unknown     // no answer: it may have happened, or may happen later
};

} // namespace fescuevane::cell

#endif
