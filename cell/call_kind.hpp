// Purpose: what a caller asks for.
#ifndef FESCUEVANE_CELL_CALL_KIND_HPP
#define FESCUEVANE_CELL_CALL_KIND_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class call_kind : std::uint8_t
{
    submit,
    lookup,
    cancel,
    // Only between owners
    offer,        // whether tasks could run
    await_part,   // until a part of a gang has room and tickets
    start_part,   // now that all parts have
    withdraw_part // stops it; it goes back to the shard of the gang
};

} // namespace fescuevane::cell

#endif
