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
    offer // whether tasks could run, only between owners
};

} // namespace fescuevane::cell

#endif
